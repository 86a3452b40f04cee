package controller

import (
	"sort"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/machines"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/quota"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// NodeTimeout is the time after the last report during which a node counts as live.
	NodeTimeout = 2 * time.Second
	// levelRetention is how long a silent node still limits the feature level of the cluster, so that a
	// node of an earlier release can return after a partition.
	levelRetention = 30 * time.Second
	// entryRetention is how long entries of silent nodes and machines are kept.
	entryRetention = 10 * time.Minute
)

type nodeEntry struct {
	report   *wirepb.NodeReport
	received time.Duration
}

func (e nodeEntry) isLive(now time.Duration) bool {
	return now-e.received <= NodeTimeout
}

// machineEntry is the newest report on a machine from any agent.
type machineEntry struct {
	report   *wirepb.MachineReport
	received time.Duration
	// lastReachable is when the engine last responded to an agent.
	lastReachable time.Duration
}

// ReportTable holds the leader's soft state about nodes and machines. Times are monotonic and relative
// to the start of the control node. It is safe for concurrent use.
type ReportTable struct {
	mutex    sync.Mutex
	nodes    map[string]nodeEntry
	machines map[string]machineEntry
	// arrivals counts the requests for each version in the whole fleet; counted holds the counters last
	// reported by each node.
	arrivals map[string]uint64
	counted  nodeTotals[versionTotals]
	// work is the total work requested, by version.
	work map[string]uint64
	// targets has the shortest latency target reported for each version.
	targets         map[string]uint32
	adapterLastUsed map[adapterKey]time.Duration
	answers         *answerTable
	// quotas is the ledger of the current term, or nil before the first.
	quotas *quota.Ledger
}

// NewReportTable returns a table without reports. It has no quota ledger until New creates a controller
// with it.
func NewReportTable() *ReportTable {
	return &ReportTable{
		nodes: map[string]nodeEntry{}, machines: map[string]machineEntry{},
		arrivals: map[string]uint64{}, counted: nodeTotals[versionTotals]{}, work: map[string]uint64{}, targets: map[string]uint32{},
		adapterLastUsed: map[adapterKey]time.Duration{}, answers: newAnswerTable(),
	}
}

// Add stores a report unless it is older than the stored one. It returns whether the change needs
// immediate attention.
func (t *ReportTable) Add(now time.Duration, report *wirepb.NodeReport) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	previous := t.nodes[report.GetNode()].report
	if previous != nil && (report.GetIncarnation() < previous.GetIncarnation() ||
		report.GetIncarnation() == previous.GetIncarnation() && report.GetSequence() <= previous.GetSequence()) {
		return false
	}
	t.nodes[report.GetNode()] = nodeEntry{report: report, received: now}
	t.countArrivals(previous, report)
	t.answers.update(now, previous, report)
	t.recordAdapterUse(now, report)
	if t.quotas != nil && report.GetRouter() {
		t.quotas.ApplyReport(now, quotaReport(report))
	}
	urgent := previous == nil || demandGrew(previous, report) || len(report.GetUnreachable()) > len(previous.GetUnreachable()) ||
		len(report.GetLeaving()) > len(previous.GetLeaving())
	for _, machine := range report.GetMachines() {
		urgent = t.addMachine(machine, now) || urgent
	}
	return urgent
}

// versionTotals are a node's counters for one version since the node started.
type versionTotals struct {
	arrivals, work uint64
	// targetMs is the shortest reported latency target.
	targetMs uint32
}

// isPartialDemand reports whether an entry covers only an adapter or a constraint of its version. The entry
// of the version includes it.
func isPartialDemand(demand *wirepb.ModelDemand) bool {
	return demand.GetAdapter() != "" || isConstrainedDemand(demand)
}

// isConstrainedDemand reports whether only some machines may serve the requests of an entry.
func isConstrainedDemand(demand *wirepb.ModelDemand) bool {
	return len(demand.GetRegions()) > 0 || demand.GetSoftware() != ""
}

func hostsOf(demand *wirepb.ModelDemand) places.HostConstraint {
	return places.HostConstraint{Regions: places.RestrictTo(demand.GetRegions()...), Software: demand.GetSoftware()}
}

// countArrivals adds the increments of a report's counters to the fleet's. Reports omit versions with
// unchanged counters.
func (t *ReportTable) countArrivals(previous, report *wirepb.NodeReport) {
	counted, hasBaseline := t.counted.totalsFor(previous, report)
	for _, demand := range report.GetDemand() {
		if isPartialDemand(demand) {
			continue // Included in the version's entry.
		}
		if target := demand.GetTargetMs(); target > 0 {
			shortest := t.targets[demand.GetVersion()]
			if shortest == 0 || target < shortest {
				t.targets[demand.GetVersion()] = target
			}
		}
		version, before := demand.GetVersion(), counted[demand.GetVersion()]
		if demand.GetArrivals() > before.arrivals {
			t.arrivals[version] += demand.GetArrivals() - before.arrivals
			if hasBaseline {
				t.work[version] += max(demand.GetWork(), before.work) - before.work
			}
			counted[version] = versionTotals{arrivals: demand.GetArrivals(), work: demand.GetWork()}
		}
	}
}

func (t *ReportTable) arrivalCounts() map[string]versionTotals {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := make(map[string]versionTotals, len(t.arrivals))
	for version, count := range t.arrivals {
		counts[version] = versionTotals{arrivals: count, work: t.work[version], targetMs: t.targets[version]}
	}
	return counts
}

// demandGrew reports whether more requests wait for some version than in the earlier report.
func demandGrew(previous, report *wirepb.NodeReport) bool {
	waiting := map[string]uint32{}
	for _, demand := range previous.GetDemand() {
		if !isConstrainedDemand(demand) { // Other entries are included in this one.
			waiting[demand.GetVersion()] = demand.GetWaiting()
		}
	}
	for _, demand := range report.GetDemand() {
		if !isConstrainedDemand(demand) && demand.GetWaiting() > waiting[demand.GetVersion()] {
			return true
		}
	}
	return false
}

func (t *ReportTable) addMachine(report *wirepb.MachineReport, now time.Duration) bool {
	entry := t.machines[report.GetMachine()]
	observed := now - time.Duration(report.GetAgeMs())*time.Millisecond
	if entry.report != nil && observed < entry.received {
		return false
	}
	changed := entry.report == nil || machines.ReplicasDiffer(entry.report, report)
	entry.received = observed
	if report.GetReachable() {
		entry.lastReachable = observed
		entry.report = report
	} else if entry.report == nil {
		entry.report = report
	}
	t.machines[report.GetMachine()] = entry
	return changed
}

// AddMachine stores a report on a machine that the leader polled itself. It returns whether the change
// needs immediate attention.
func (t *ReportTable) AddMachine(now time.Duration, report *wirepb.MachineReport) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.addMachine(report, now)
}

// Unreachable returns the number of live routers that can't connect to each machine.
func (t *ReportTable) Unreachable(now time.Duration) map[string]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := map[string]int{}
	for _, entry := range t.nodes {
		if !entry.isLive(now) {
			continue
		}
		for _, machine := range entry.report.GetUnreachable() {
			counts[machine]++
		}
	}
	return counts
}

// Leaving returns the machines that announced their shutdown in a response to a live router.
func (t *ReportTable) Leaving(now time.Duration) map[string]bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	leaving := map[string]bool{}
	for _, entry := range t.nodes {
		if !entry.isLive(now) {
			continue
		}
		for _, machine := range entry.report.GetLeaving() {
			leaving[machine] = true
		}
	}
	return leaving
}

// Routers returns the number of live routers that accept requests.
func (t *ReportTable) Routers(now time.Duration) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return int(liveRouters(now, t.nodes))
}

// Levels returns the feature levels of the nodes that reported recently.
func (t *ReportTable) Levels(now time.Duration) []level.Level {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var levels []level.Level
	for _, entry := range t.nodes {
		if now-entry.received <= levelRetention {
			levels = append(levels, level.Level(entry.report.GetLevel()))
		}
	}
	return levels
}

// ForgetMachines removes the machine reports of an earlier term.
func (t *ReportTable) ForgetMachines() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.machines = map[string]machineEntry{}
}

// snapshot copies the tables and removes expired entries.
func (t *ReportTable) snapshot(now time.Duration) (map[string]nodeEntry, map[string]machineEntry) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	nodes := make(map[string]nodeEntry, len(t.nodes))
	for name, entry := range t.nodes {
		if now-entry.received > entryRetention {
			delete(t.nodes, name)
			delete(t.counted, name)
			t.answers.forgetNode(name)
			continue
		}
		nodes[name] = entry
	}
	machines := make(map[string]machineEntry, len(t.machines))
	for name, entry := range t.machines {
		if now-entry.received > entryRetention {
			delete(t.machines, name) // No agent reports it any longer.
			continue
		}
		machines[name] = entry
	}
	return nodes, machines
}

// States lists the nodes for the operator API.
func (t *ReportTable) States(now time.Duration) []*wirepb.NodeState {
	nodes, _ := t.snapshot(now)
	states := make([]*wirepb.NodeState, 0, len(nodes))
	for name, entry := range nodes {
		age := now - entry.received
		states = append(states, &wirepb.NodeState{
			Name: name, Zone: entry.report.GetZone(), AppliedRevision: entry.report.GetAppliedRevision(),
			ReportAgeMs: uint32(age.Milliseconds()), Live: age < NodeTimeout, Level: entry.report.GetLevel(),
		})
	}
	sort.Slice(states, func(i, j int) bool { return states[i].GetName() < states[j].GetName() })
	return states
}
