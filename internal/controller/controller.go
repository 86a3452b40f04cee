// Package controller implements the decisions of the leading control node.
//
// A Controller is level-triggered and does no I/O: each pass reads the whole state and the newest
// reports, and returns conditional writes that take effect only if the replicated log accepts them. All
// other state of a controller is soft and is lost when its term ends.
package controller

import (
	"math"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/api/platform"
	"github.com/weldline/weldline/internal/level"
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
	// SettleTime is the default of Config.SettleTime: how long a new leader waits for reports before it
	// places replicas. Until then silence is no sign.
	SettleTime = 1500 * time.Millisecond
	// digestInterval is the interval of digests without urgent changes.
	digestInterval = 500 * time.Millisecond
	// urgentDigestInterval is the minimum interval between digests with urgent changes: of a tenant's
	// share, a machine's warm-up or a machine's rate limit.
	urgentDigestInterval = 100 * time.Millisecond
	historyInterval      = time.Second
	// sweepInterval is the interval between sweeps of the claims.
	sweepInterval = 2 * time.Second
)

// Config holds the settings of a Controller, which are fixed for a term of leadership.
type Config struct {
	Node           string
	Term           uint64
	MachineTimeout time.Duration
	// SettleTime is how long a new leader waits for reports before it decides on replicas. 0 selects
	// the default.
	SettleTime time.Duration
	Planner    placement.Config
	// Quota bounds by how much tenants may exceed their limits.
	Quota  quota.Bound
	Places places.ZoneMap
	// Routers is the number of routers in the digests of the preceding term, if known.
	Routers int
}

// Controller makes the decisions of one term of leadership. It is not safe for concurrent use.
type Controller struct {
	config    Config
	since     time.Duration
	reports   *ReportTable
	planner   *placement.Planner
	estimates []placement.Estimate
	stored    *storedView
	level     level.Level
	warming   *warming.Tracker
	// limitObservations are the rate limits reported for machines, including those that were lifted;
	// activeLimits are the limits in force.
	limitObservations []ratelimit.Observation
	activeLimits      map[string]ratelimit.Limit
	// urgent is set if the next digest has a change in a machine's warm-up or rate limit.
	urgent bool

	control        []*wirepb.MemberAddress
	digestSequence uint64
	// roster is the roster sent in digests; rosterSequence is the sequence number of the first digest
	// that contained it.
	roster         *wirepb.Roster
	rosterSequence uint64
	lastDigest     time.Duration
	lastHistory    time.Duration
	lastSweep      time.Duration
	// decidedAt is the wall-clock time of the last decision.
	decidedAt time.Time
}

// New returns a controller for a term that begins at now.
func New(now time.Duration, config Config, reports *ReportTable) *Controller {
	reports.BeginQuotas(quota.NewLedger(now, config.Quota, config.Routers))
	return &Controller{
		config: config, since: now, reports: reports, lastSweep: now, warming: warming.NewTracker(now),
		planner: placement.NewPlanner(config.Planner),
	}
}

// Term returns the term of leadership whose decisions the controller makes. A node that does not lead in
// that term must not apply them.
func (c *Controller) Term() uint64 {
	return c.config.Term
}

// Observe reads the state if its revision has changed. The caller must hold the state's lock during the
// call, but not while it calls other methods.
func (c *Controller) Observe(machine *state.Machine) {
	if c.stored == nil || c.stored.revision != machine.Revision() {
		c.stored = readState(machine)
	}
	c.level = machine.Level()
}

// MachineWrites returns the writes that reconcile the Machine resources with the machine list and the
// reports. The list is nil before it was first read.
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

// ReplicaDecision is the outcome of a placement pass.
type ReplicaDecision struct {
	Actions []placement.Action
	Writes  []*wirepb.ObjectWrite
	// Commands record the outcomes of loads. They must be proposed before Writes, which delete the
	// replica records that they refer to.
	Commands []*wirepb.Command
}

// DecideReplicas returns the next changes of replica records. The caller must observe their outcome
// before the next call. Wall is the wall-clock time, used for demand history.
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

func (c *Controller) placementInput(view *clusterView, wall time.Time) *placement.Input {
	input := view.placementInput(wall)
	c.applyWarming(view.now, input.Machines)
	c.applyLimits(input.Machines)
	return input
}

// Work returns the average rate of work of each version, in tokens per second.
func (c *Controller) Work() map[string]float64 {
	return c.planner.WorkRates()
}

// SweepDue reports whether a sweep of the claims is due: it closes expired claims and removes closed
// claims after their retention.
func (c *Controller) SweepDue(now time.Duration, machine *state.Machine) bool {
	if now-c.lastSweep < sweepInterval {
		return false
	}
	c.lastSweep = now
	open, _ := machine.ClaimCounts()
	return open > 0
}

// Digest returns the soft state to broadcast, or nil if no digest is due.
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
	loads := machineLoads(now, nodes, reports)
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
	digest.Routers = c.sharingRouters(now, nodes)
	if roster := c.rosterOf(now, nodes, reports); c.roster == nil || !proto.Equal(roster, c.roster) {
		c.roster, c.rosterSequence = roster, c.digestSequence
	}
	digest.Roster, digest.RosterSequence = c.roster, c.rosterSequence
	digest.MachineLoads = packByRoster(c.roster, loads)
	digest.MachineWork = packByRoster(c.roster, outstandingWork(now, nodes))
	digest.MachineWarming = packByRoster(c.roster, c.warming.DigestUnits(now))
	digest.Limits = nodeview.LimitMessages(c.limitObservations)
	digest.History = c.history(now)
	if c.stored != nil && c.level >= level.MachineSoftware {
		digest.Software, digest.SoftwareKnown = c.stored.poolSoftware(), true
	}
	digest.Tenants, digest.TenantsKnown = c.reports.allowances(now, limits)
	if answered, errors := c.reports.Answers(now); len(errors) > 0 {
		digest.MachineAnswers, digest.MachineErrors = packByRoster(c.roster, answered), packByRoster(c.roster, errors)
	}
	return digest
}

// history returns the demand history to hand over to the next leader, at most once per historyInterval.
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

// HistoryOf returns the demand history in a digest, or nil if it has none.
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
	listNodes := c.hasListedMachines()
	for name, entry := range nodes {
		if listNodes && entry.isLive(now) {
			roster.Nodes = append(roster.Nodes, &wirepb.NodeEntry{
				Name: name, Zone: entry.report.GetZone(), Draining: entry.report.GetDraining(),
			})
		}
	}
	roster.Routers = forwardingRouters(now, nodes)
	roster.Keepers = keepersOf(roster.Routers)
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

// forwardingRouters returns the live routers that accept requests from other routers, sorted by name.
func forwardingRouters(now time.Duration, nodes map[string]nodeEntry) []*wirepb.RouterEntry {
	var routers []*wirepb.RouterEntry
	for name, entry := range nodes {
		if entry.isLive(now) && entry.report.GetForwardAddress() != "" && !entry.report.GetDraining() {
			routers = append(routers, &wirepb.RouterEntry{Node: name, Zone: entry.report.GetZone(), Address: entry.report.GetForwardAddress()})
		}
	}
	sort.Slice(routers, func(i, j int) bool { return routers[i].GetNode() < routers[j].GetNode() })
	return routers
}

// hasListedMachines reports whether there are machines that agents have to poll. Only agents need the
// roster's list of nodes. Leaving it out otherwise avoids sending a new roster for each node that
// joins.
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

// machineLoads returns the number of requests at each machine, from engine reports and from the
// requests that routers have in flight.
func machineLoads(now time.Duration, nodes map[string]nodeEntry, reports map[string]machineEntry) map[string]uint32 {
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

// SetControl sets the control nodes published in digests.
func (c *Controller) SetControl(control []*wirepb.MemberAddress) {
	c.control = control
}

// outstandingWork returns the outstanding work at each machine, in units of nodeview.WorkUnit.
func outstandingWork(now time.Duration, nodes map[string]nodeEntry) map[string]uint32 {
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

// packByRoster lists a value for each machine in the roster's order, without trailing zeros.
func packByRoster(roster *wirepb.Roster, reported map[string]uint32) []byte {
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
