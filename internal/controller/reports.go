package controller

import (
	"sort"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/machines"
	"github.com/weldline/weldline/internal/quota"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// NodeTimeout is how long a silent node counts as live.
	NodeTimeout = 2 * time.Second
	// levelMemory is for how long a node that has fallen silent counts where what all nodes
	// understand is asked: one of an earlier release that is cut off for a while could not come
	// back.
	levelMemory = 30 * time.Second
	// forgetAfter bounds the table where nodes and machines come and go.
	forgetAfter = 10 * time.Minute
)

// nodeEntry is the newest report of a node.
type nodeEntry struct {
	report   *wirepb.NodeReport
	received time.Duration
}

// isLive reports whether the node was heard of lately enough.
func (e nodeEntry) isLive(now time.Duration) bool {
	return now-e.received <= NodeTimeout
}

// machineEntry is the newest report on a machine, by whichever agent.
type machineEntry struct {
	report   *wirepb.MachineReport
	received time.Duration
	// lastReachable is when the engine last answered an agent.
	lastReachable time.Duration
}

// ReportTable is the leader's soft state about nodes and machines. Times are
// monotonic, since the control node started. It is safe for concurrent use.
type ReportTable struct {
	mutex    sync.Mutex
	nodes    map[string]nodeEntry
	machines map[string]machineEntry
	// arrivals counts the requests for each version in the whole fleet;
	// counted is how many of a node's are in it.
	arrivals map[string]uint64
	counted  nodeTotals[runningTotals]
	// work adds up what requests asked of machines, like arrivals.
	work map[string]uint64
	// targets are the shortest targets reported of each version.
	targets map[string]uint32
	// adapterUsed is when each adapter was last asked for.
	adapterUsed map[adapterUse]time.Duration
	// answers is how machines have answered all routers lately.
	answers *answerTable
	// quotas is the ledger of the present term; nil before one has begun.
	quotas *quota.Ledger
}

// NewReportTable returns an empty table.
func NewReportTable() *ReportTable {
	return &ReportTable{
		nodes: map[string]nodeEntry{}, machines: map[string]machineEntry{},
		arrivals: map[string]uint64{}, counted: nodeTotals[runningTotals]{}, work: map[string]uint64{}, targets: map[string]uint32{},
		adapterUsed: map[adapterUse]time.Duration{}, answers: newAnswerTable(),
	}
}

// Add keeps a report unless a newer one is held. It returns whether the
// leader should look at once.
func (t *ReportTable) Add(now time.Duration, report *wirepb.NodeReport) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	held := t.nodes[report.GetNode()].report
	if held != nil && (report.GetIncarnation() < held.GetIncarnation() ||
		report.GetIncarnation() == held.GetIncarnation() && report.GetSequence() <= held.GetSequence()) {
		return false
	}
	t.nodes[report.GetNode()] = nodeEntry{report: report, received: now}
	t.countArrivals(held, report)
	t.answers.take(now, held, report)
	t.noteAdapters(now, report)
	if t.quotas != nil && report.GetRouter() {
		t.quotas.ApplyReport(now, quotaReport(report))
	}
	urgent := held == nil || demandGrew(held, report) || len(report.GetUnreachable()) > len(held.GetUnreachable()) ||
		len(report.GetLeaving()) > len(held.GetLeaving())
	for _, machine := range report.GetMachines() {
		urgent = t.takeMachine(machine, now) || urgent
	}
	return urgent
}

// runningTotals are a node's counts for one version since it started.
type runningTotals struct {
	arrivals, work uint64
	// targetMs is the shortest target reported.
	targetMs uint32
}

// isPart reports whether an entry tells of a part of its version's demand, which is told as a whole
// beside it.
func isPart(demand *wirepb.ModelDemand) bool {
	return demand.GetAdapter() != "" || len(demand.GetRegions()) > 0
}

// countArrivals adds what is new to the fleet's counts. Reports leave out versions
// without news.
func (t *ReportTable) countArrivals(held, report *wirepb.NodeReport) {
	counted, isNews := t.counted.of(held, report)
	for _, demand := range report.GetDemand() {
		if isPart(demand) {
			continue // Counted with its version.
		}
		if target := demand.GetTargetMs(); target > 0 {
			held := t.targets[demand.GetVersion()]
			if held == 0 || target < held {
				t.targets[demand.GetVersion()] = target
			}
		}
		version, before := demand.GetVersion(), counted[demand.GetVersion()]
		if demand.GetArrivals() > before.arrivals {
			t.arrivals[version] += demand.GetArrivals() - before.arrivals
			if isNews {
				t.work[version] += max(demand.GetWork(), before.work) - before.work
			}
			counted[version] = runningTotals{arrivals: demand.GetArrivals(), work: demand.GetWork()}
		}
	}
}

// arrivalCounts copies the fleet's counts.
func (t *ReportTable) arrivalCounts() map[string]runningTotals {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := make(map[string]runningTotals, len(t.arrivals))
	for version, count := range t.arrivals {
		counts[version] = runningTotals{arrivals: count, work: t.work[version], targetMs: t.targets[version]}
	}
	return counts
}

// demandGrew reports whether requests wait for a version that none waited
// for in the earlier report.
func demandGrew(held, report *wirepb.NodeReport) bool {
	waiting := map[string]uint32{}
	for _, demand := range held.GetDemand() {
		if len(demand.GetRegions()) == 0 { // Else they count with their version's.
			waiting[demand.GetVersion()] = demand.GetWaiting()
		}
	}
	for _, demand := range report.GetDemand() {
		if len(demand.GetRegions()) == 0 && demand.GetWaiting() > waiting[demand.GetVersion()] {
			return true
		}
	}
	return false
}

func (t *ReportTable) takeMachine(report *wirepb.MachineReport, now time.Duration) bool {
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

// AddMachine keeps a report on a machine that the leader itself looked at. It
// returns whether the controllers should look at once.
func (t *ReportTable) AddMachine(now time.Duration, report *wirepb.MachineReport) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.takeMachine(report, now)
}

// Unreachable counts, for each machine, the live routers that can't connect to
// it.
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

// Leaving returns the machines that live routers report as leaving.
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

// Routers returns how many routers are live and take requests.
func (t *ReportTable) Routers(now time.Duration) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return int(liveRouters(now, t.nodes))
}

// Levels returns the levels that the nodes heard of lately understand.
func (t *ReportTable) Levels(now time.Duration) []level.Level {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var levels []level.Level
	for _, entry := range t.nodes {
		if now-entry.received <= levelMemory {
			levels = append(levels, level.Level(entry.report.GetLevel()))
		}
	}
	return levels
}

// ForgetMachines drops what an earlier term learned of machines.
func (t *ReportTable) ForgetMachines() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.machines = map[string]machineEntry{}
}

// snapshot copies the tables and forgets who is long gone.
func (t *ReportTable) snapshot(now time.Duration) (map[string]nodeEntry, map[string]machineEntry) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	nodes := make(map[string]nodeEntry, len(t.nodes))
	for name, entry := range t.nodes {
		if now-entry.received > forgetAfter {
			delete(t.nodes, name)
			delete(t.counted, name)
			t.answers.forgetNode(name)
			continue
		}
		nodes[name] = entry
	}
	machines := make(map[string]machineEntry, len(t.machines))
	for name, entry := range t.machines {
		if now-entry.received > forgetAfter {
			delete(t.machines, name) // No agent has it any more.
			continue
		}
		machines[name] = entry
	}
	return nodes, machines
}

// States lists the nodes for an operator.
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
