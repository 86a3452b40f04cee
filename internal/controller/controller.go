// Package controller holds the decisions of the leading control node.
//
// The problem: the leader must turn declared resources, lagging reports and
// demand into replica records, again and again, and nothing that it believes
// may matter unless the replicated log accepts it.
//
// The mechanism: Controller is level-triggered and pure. Each pass looks at
// the whole state and the newest reports and returns conditional writes. The
// control node proposes them; the simulator drives the same code in virtual
// time. What a controller remembers is soft and begins anew with each term.
package controller

import (
	"math"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/api/platform"
	"github.com/weldline/weldline/internal/machines"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/quota"
	"github.com/weldline/weldline/internal/ratelimit"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/warming"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// SettleTime is how long a new leader waits for reports before it places
	// replicas: until then silence is no sign.
	SettleTime = 1500 * time.Millisecond
	// digestInterval is how often soft state is spread without a reason.
	digestInterval = 500 * time.Millisecond
	// urgentDigestInterval is how often at most it is spread because a tenant's share changes
	// fast, or a machine begins to warm up: a link of a router carries a digest in a fraction of
	// that.
	urgentDigestInterval = 100 * time.Millisecond
	// historyInterval is how often control nodes are told of past demand.
	historyInterval = time.Second
	// sweepInterval is how often abandoned claims are looked for.
	sweepInterval = 2 * time.Second
)

// Config is fixed for one term of leadership.
type Config struct {
	Node           string
	Term           uint64
	MachineTimeout time.Duration
	// SettleTime is how long a new leader waits for reports before it places
	// replicas; 0 stands for the package's.
	SettleTime time.Duration
	Planner    placement.Config
	// Quota is by how much tenants may exceed their limits.
	Quota quota.Bound
	// Places tells in which regions machines and routers stand.
	Places places.ZoneMap
	// Routers is how many the term before had, as far as that is known.
	Routers int
}

// Controller decides for one term. It is not safe for concurrent use.
type Controller struct {
	config    Config
	since     time.Duration
	reports   *ReportTable
	planner   *placement.Planner
	estimates []placement.Estimate
	stored    *storedView
	warming   *warming.Tracker
	// limits are those that machines name, as digests tell of them; limited are those in force.
	limits  []ratelimit.Observation
	limited map[string]ratelimit.Limit
	// urgent is set while routers have not heard of a machine that began to warm up or is warm, or
	// whose limit is another one.
	urgent bool

	// control are the control nodes.
	control        []*wirepb.MemberAddress
	digestSequence uint64
	// roster is what the digests carry, since rosterSequence.
	roster         *wirepb.Roster
	rosterSequence uint64
	lastDigest     time.Duration
	lastHistory    time.Duration
	lastSweep      time.Duration
	// decidedAt is the time of day of the last decision.
	decidedAt time.Time
}

// New returns a controller that begins its term at now.
func New(now time.Duration, config Config, reports *ReportTable) *Controller {
	reports.BeginQuotas(quota.NewLedger(now, config.Quota, config.Routers))
	return &Controller{
		config: config, since: now, reports: reports, lastSweep: now, warming: warming.NewTracker(now),
		planner: placement.NewPlanner(config.Planner),
	}
}

// Term is the term that the controller decides for.
func (c *Controller) Term() uint64 {
	return c.config.Term
}

// Observe reads the state, unless it is as it was. The caller must hold the state for the call,
// and need not hold it for those that decide: what was read is never written to.
func (c *Controller) Observe(machine *state.Machine) {
	if c.stored == nil || c.stored.revision != machine.Revision() {
		c.stored = readState(machine)
	}
}

// MachineWrites keeps the Machine resources in step with the machine list and
// the reports, by the state observed last. The list is nil while it has never been read.
func (c *Controller) MachineWrites(now time.Duration, list *platform.MachineList) []*wirepb.ObjectWrite {
	_, reports := c.reports.snapshot(now)
	return machines.Reconcile(machines.Input{
		List: list, Declared: c.stored.listedMachines(), Observed: observations(now, reports),
		Timeout: c.config.MachineTimeout,
	})
}

func (c *Controller) settleTime() time.Duration {
	if c.config.SettleTime > 0 {
		return c.config.SettleTime
	}
	return SettleTime
}

// ReplicaDecision is what a pass decided about replicas.
type ReplicaDecision struct {
	Actions []placement.Action
	Writes  []*wirepb.ObjectWrite
	// Commands record what came of loads; they go before the writes, which drop what tells.
	Commands []*wirepb.Command
}

// DecideReplicas returns the next changes of replica records, by the state observed last. The
// caller must observe the outcome before the next call. Wall is the time of day, for what is
// learned of it.
func (c *Controller) DecideReplicas(now time.Duration, wall time.Time) ReplicaDecision {
	if now-c.since < c.settleTime() {
		return ReplicaDecision{}
	}
	view := c.view(now)
	c.decidedAt = wall
	decision := c.planner.Decide(c.placementInput(view, wall))
	if !sameEstimates(c.estimates, decision.Estimates) {
		c.lastDigest = 0
	}
	c.estimates = decision.Estimates
	return ReplicaDecision{
		Actions: decision.Actions, Writes: replicaWrites(view.revision, decision.Actions), Commands: view.loadCommands(decision.Actions),
	}
}

// placementInput is what placement decides on.
func (c *Controller) placementInput(view *clusterView, wall time.Time) *placement.Input {
	input := view.placementInput(wall)
	c.addWarming(view.now, input.Machines)
	c.addLimits(input.Machines)
	return input
}

// Work returns the averaged rate of work of each version, in tokens per second.
func (c *Controller) Work() map[string]float64 {
	return c.planner.WorkRates()
}

// SweepDue reports whether abandoned claims should be looked for. It stands
// behind the owners' own resolution; see the state package.
func (c *Controller) SweepDue(now time.Duration, machine *state.Machine) bool {
	if now-c.lastSweep < sweepInterval {
		return false
	}
	c.lastSweep = now
	held, _ := machine.OpenClaims()
	return held > 0
}

// Digest returns the soft state to spread, or nil if none is due.
func (c *Controller) Digest(now time.Duration, revision uint64) *wirepb.ClusterDigest {
	limits := c.tenantLimits()
	urgent := c.reports.UpdateQuotas(now, limits)
	interval := digestInterval
	if urgent || c.urgent {
		interval = urgentDigestInterval
	}
	if c.lastDigest != 0 && now-c.lastDigest < interval {
		return nil
	}
	c.lastDigest, c.urgent = now, false
	c.digestSequence++
	nodes, reports := c.reports.snapshot(now)
	loads := loadsOf(now, nodes, reports)
	digest := &wirepb.ClusterDigest{
		Term: c.config.Term, Sequence: c.digestSequence, Leader: c.config.Node, Revision: revision,
	}
	for _, estimate := range c.estimates {
		digest.Estimates = append(digest.Estimates, &wirepb.ReplicaEstimate{
			Version: estimate.Version, ReadyInMs: uint32(estimate.ReadyIn.Milliseconds()),
			EarliestInMs: uint32(estimate.EarliestIn.Milliseconds()),
			Refused:      estimate.Refused, Reason: estimate.Reason,
		})
	}
	digest.Routers = liveRouters(now, nodes)
	if roster := c.rosterOf(now, nodes, reports); c.roster == nil || !proto.Equal(roster, c.roster) {
		c.roster, c.rosterSequence = roster, c.digestSequence
	}
	digest.Roster, digest.RosterSequence = c.roster, c.rosterSequence
	digest.MachineLoads = packed(c.roster, loads)
	digest.MachineWork = packed(c.roster, workOf(now, nodes))
	digest.MachineWarming = packed(c.roster, c.warming.DigestUnits(now))
	digest.Limits = nodeview.LimitMessages(c.limits)
	digest.History = c.history(now)
	digest.Tenants, digest.TenantsKnown = c.reports.allowances(now, limits)
	if answered, errors := c.reports.Answers(now); len(errors) > 0 {
		digest.MachineAnswers, digest.MachineErrors = packed(c.roster, answered), packed(c.roster, errors)
	}
	return digest
}

// history returns what the next leader should know of demand, once in
// historyInterval.
func (c *Controller) history(now time.Duration) []*wirepb.DemandHistory {
	if c.lastHistory != 0 && now-c.lastHistory < historyInterval {
		return nil
	}
	c.lastHistory = now
	var messages []*wirepb.DemandHistory
	for _, entry := range c.planner.History(c.decidedAt) {
		messages = append(messages, &wirepb.DemandHistory{
			Version: entry.Version, Rate: float32(entry.Rate), IdleMs: uint32(entry.Idle.Milliseconds()),
		})
	}
	return messages
}

// HistoryOf returns what a digest hands on of demand; nil if it hands on nothing.
func HistoryOf(digest *wirepb.ClusterDigest) []placement.VersionHistory {
	var history []placement.VersionHistory
	for _, entry := range digest.GetHistory() {
		history = append(history, placement.VersionHistory{
			Version: entry.GetVersion(), Rate: float64(entry.GetRate()), Idle: time.Duration(entry.GetIdleMs()) * time.Millisecond,
		})
	}
	return history
}

func liveRouters(now time.Duration, nodes map[string]nodeEntry) uint32 {
	count := uint32(0)
	for _, entry := range nodes {
		if entry.isLive(now) && entry.report.GetRouter() && !entry.report.GetDraining() {
			count++
		}
	}
	return count
}

func (c *Controller) rosterOf(now time.Duration, nodes map[string]nodeEntry, reports map[string]machineEntry) *wirepb.Roster {
	roster := &wirepb.Roster{}
	watched := c.hasListedMachines()
	for name, entry := range nodes {
		if watched && entry.isLive(now) {
			roster.Nodes = append(roster.Nodes, &wirepb.NodeEntry{
				Name: name, Zone: entry.report.GetZone(), Draining: entry.report.GetDraining(),
			})
		}
	}
	sort.Slice(roster.Nodes, func(i, j int) bool { return roster.Nodes[i].GetName() < roster.Nodes[j].GetName() })
	for name := range reports {
		roster.Machines = append(roster.Machines, name)
	}
	if c.stored != nil {
		for name, machine := range c.stored.machines {
			if _, reported := reports[name]; machine.Spec.Pool != "" && !reported {
				roster.Machines = append(roster.Machines, name)
			}
		}
	}
	sort.Strings(roster.Machines)
	for _, node := range c.control {
		roster.Control = append(roster.Control, node.GetAddress())
		roster.ControlZones = append(roster.ControlZones, node.GetZone())
	}
	return roster
}

// hasListedMachines reports whether agents have machines to watch. Only they need to know of
// the other nodes; where all machines register, a roster that lists nodes would be sent anew
// to every node, with the names of all machines, for each that comes.
func (c *Controller) hasListedMachines() bool {
	if c.stored == nil {
		return true
	}
	for _, declared := range c.stored.machines {
		if declared.Spec.Pool == "" {
			return true
		}
	}
	return false
}

// loadsOf returns the requests at each machine: by its engine's report, or by
// what the routers have in flight there.
func loadsOf(now time.Duration, nodes map[string]nodeEntry, reports map[string]machineEntry) map[string]uint32 {
	loads := make(map[string]uint32, len(reports))
	for name, entry := range reports {
		loads[name] = entry.report.GetRunning() + entry.report.GetQueued()
	}
	for _, entry := range nodes {
		if !entry.isLive(now) {
			continue
		}
		for _, load := range entry.report.GetLoads() {
			loads[load.GetMachine()] += load.GetRunning()
		}
	}
	return loads
}

// SetControl sets the control nodes that digests tell nodes of.
func (c *Controller) SetControl(control []*wirepb.MemberAddress) {
	c.control = control
}

// workOf returns the outstanding work at each machine, in units of a digest.
func workOf(now time.Duration, nodes map[string]nodeEntry) map[string]uint32 {
	tokens := map[string]uint32{}
	for _, entry := range nodes {
		if !entry.isLive(now) {
			continue
		}
		for _, load := range entry.report.GetLoads() {
			tokens[load.GetMachine()] += load.GetWork()
		}
	}
	for machine, work := range tokens {
		tokens[machine] = (work + nodeview.WorkUnit - 1) / nodeview.WorkUnit
	}
	return tokens
}

// packed lists a number for each machine in the roster's order, without the
// zeros at its end.
func packed(roster *wirepb.Roster, reported map[string]uint32) []byte {
	loads := make([]byte, len(roster.GetMachines()))
	used := 0
	for position, name := range roster.GetMachines() {
		loads[position] = byte(min(reported[name], math.MaxUint8))
		if loads[position] > 0 {
			used = position + 1
		}
	}
	return loads[:used]
}

func sameEstimates(left, right []placement.Estimate) bool {
	if len(left) != len(right) {
		return false
	}
	known := make(map[string]placement.Estimate, len(left))
	for _, estimate := range left {
		known[estimate.Version] = estimate
	}
	for _, estimate := range right {
		other, found := known[estimate.Version]
		if !found || other.Refused != estimate.Refused {
			return false
		}
	}
	return true
}
