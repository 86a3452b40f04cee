// Package instances reconciles the Machine records of self-registering machines with their heartbeats.
//
// Heartbeats are soft state of the leader and may be late or reordered. The facts that must survive (a
// machine exists, is leaving, is gone) are written to the replicated log, where a phase never moves
// back except from Lost to Live. Each start of a machine has a record of its own, see NameOf. A machine
// that registers at another one's endpoint shows that the other is gone.
package instances

import (
	"encoding/json"
	"maps"
	"sort"
	"sync"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// Entry is the newest report of a machine. Received is the time of its receipt less the report's age.
type Entry struct {
	Report   *wirepb.InstanceReport
	Received time.Duration
}

// Table has the newest report of each machine, by the name of its record. It is safe for concurrent
// use.
type Table struct {
	mutex   sync.Mutex
	entries map[string]Entry
	// goneSince is when each gone machine was first seen as gone.
	goneSince map[string]time.Duration
	// lostSince is when each lost machine was marked as lost.
	lostSince map[string]time.Duration
}

// NewTable returns a table without reports, in which no machine counts as lost or gone yet.
func NewTable() *Table {
	return &Table{entries: map[string]Entry{}, goneSince: map[string]time.Duration{}, lostSince: map[string]time.Duration{}}
}

// Add stores a report under the name of the machine's record, unless it is older than the stored one.
// It returns whether the change needs immediate attention.
func (t *Table) Add(now time.Duration, name string, report *wirepb.InstanceReport) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	stored := t.entries[name].Report
	if stored != nil && !isLater(report, stored) {
		return false
	}
	received := now - time.Duration(report.GetAgeMs())*time.Millisecond
	t.entries[name] = Entry{Report: report, Received: received}
	return stored == nil || stored.GetLeaving() != report.GetLeaving() || !sameModels(stored, report)
}

// isLater reports whether a report is newer than another one with the same ID. Sequence numbers are
// comparable within a start, and are used as a fallback if a start time is unknown.
func isLater(report, other *wirepb.InstanceReport) bool {
	if report.GetStartedMs() != other.GetStartedMs() && report.GetStartedMs() != 0 && other.GetStartedMs() != 0 {
		return report.GetStartedMs() > other.GetStartedMs()
	}
	return report.GetSequence() > other.GetSequence()
}

func sameModels(left, right *wirepb.InstanceReport) bool {
	if len(left.GetModels()) != len(right.GetModels()) {
		return false
	}
	for position, model := range left.GetModels() {
		if model.GetModel() != right.GetModels()[position].GetModel() {
			return false
		}
	}
	return true
}

// Entries returns a copy of the table.
func (t *Table) Entries() map[string]Entry {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return maps.Clone(t.entries)
}

// Policy has the periods of silence after which machines change phase.
type Policy struct {
	LostAfter time.Duration
	// SuspectAfter replaces LostAfter, if it is shorter, when any router can't connect to the machine.
	SuspectAfter time.Duration
	// DeadAfter replaces LostAfter, if it is shorter, when at least two routers, and more than half of
	// all, can't connect to the machine. This rules out a network fault at a single router.
	DeadAfter time.Duration
	GoneAfter time.Duration
	// AddressFreeAfter is the silence after which another machine may take over a machine's address. Before that a report
	// of the other one may be a late one of an earlier machine.
	AddressFreeAfter time.Duration
	// ForgetAfter is how long the record of a gone machine is kept, so that late heartbeats can't
	// register it again.
	ForgetAfter time.Duration
}

// Declared is a machine's record with its decoded spec and status.
type Declared struct {
	Object *wirepb.Object
	Spec   *v1.MachineSpec
	Status v1.MachineStatus
}

// Input has all that Reconcile depends on, besides the heartbeats.
type Input struct {
	Now time.Duration
	// Since is the start of the leader's term. Earlier silence is ignored.
	Since    time.Duration
	Declared map[string]Declared
	Pools    map[string]*v1.PoolSpec
	// Unreachable has, by machine, the number of live routers that can't connect to it. Routers is the
	// number of live routers.
	Unreachable map[string]int
	Routers     int
	// Leaving has the machines that announced their shutdown in a response to a router.
	Leaving map[string]bool
	Policy  Policy
	// Level is the cluster's level, which determines the fields of records.
	Level level.Level
}

// Reconcile returns the commands that reconcile the records with the heartbeats, sorted by name.
func (t *Table) Reconcile(input Input) []*wirepb.RegisterCommand {
	entries := t.Entries()
	newest, heard := newNewestRecords(input.Declared), lastHeard(input, entries)
	var commands []*wirepb.RegisterCommand
	for name, entry := range entries {
		if _, exists := input.Declared[name]; exists {
			continue
		}
		if input.Now-entry.Received > input.Policy.GoneAfter {
			t.forget(name)
			continue
		}
		if isSuperseded(input, newest, entry) || heard[entry.Report.GetEndpoint()] != name || isAddressInUse(input, entries, newest, entry.Report) {
			continue
		}
		if command := Registration(name, entry.Report, input.Pools, input.Level); command != nil {
			commands = append(commands, command)
		}
	}
	for name, declared := range input.Declared {
		entry, reported := entries[name]
		if command := t.reconcileRecord(input, name, declared, entry, reported, newest); command != nil {
			commands = append(commands, command)
		}
	}
	sort.Slice(commands, func(i, j int) bool { return commands[i].GetMachine() < commands[j].GetMachine() })
	return commands
}

// ReasonAnnounced is the reason for a phase that the machine reported in a heartbeat.
const ReasonAnnounced = "said so"

// ReasonAnnouncedInResponse is the reason for a phase that the machine stated in a response to a
// router.
const ReasonAnnouncedInResponse = "said so in an answer"

// Registration returns the command that creates a machine's record. It returns nil if the machine is not
// leaving and its pool, which determines its capacity, is not declared. The record contains the fields
// that the cluster's level allows.
func Registration(name string, report *wirepb.InstanceReport, pools map[string]*v1.PoolSpec, active level.Level) *wirepb.RegisterCommand {
	pool := pools[report.GetPool()]
	if pool == nil && !report.GetLeaving() {
		return nil
	}
	spec := &v1.MachineSpec{
		Endpoint: report.GetEndpoint(), Zone: report.GetZone(), Pool: report.GetPool(), Slots: int(report.GetSlots()),
	}
	if active >= level.MachineStarts {
		spec.StartedMs = report.GetStartedMs()
	}
	if active >= level.MachineSoftware {
		spec.Software = report.GetSoftware()
	}
	if pool != nil && pool.Engine != nil {
		spec.Accelerators = 1
		spec.AcceleratorBytes = pool.Engine.MemoryBytes
	}
	encoded, err := json.Marshal(spec)
	if err != nil {
		return nil
	}
	phase := v1.MachineLive
	if report.GetLeaving() {
		phase = v1.MachineLeaving
	}
	return &wirepb.RegisterCommand{Machine: name, Spec: encoded, Phase: string(phase), Reason: "registered"}
}

// unknownEndpoint is the endpoint in records of machines that deregistered before they had registered. No machine can have it.
const unknownEndpoint = "http://0.0.0.0:1"

// Deregistration returns the command that records that a machine without a record is gone, so that a late heartbeat does not
// register it. The record counts as that of a start at the given time, which lets later starts register.
func Deregistration(name string, now time.Time, active level.Level) *wirepb.RegisterCommand {
	spec := &v1.MachineSpec{Endpoint: unknownEndpoint, Zone: "unknown", Pool: "unknown"}
	if active >= level.MachineStarts {
		spec.StartedMs = now.UnixMilli()
	}
	encoded, err := json.Marshal(spec)
	if err != nil {
		return nil // Unreachable: a MachineSpec always encodes.
	}
	return &wirepb.RegisterCommand{Machine: name, Spec: encoded, Phase: string(v1.MachineGone), Reason: ReasonAnnounced}
}

// IsUnknown reports whether a record stands for a machine that deregistered before it had registered.
func IsUnknown(spec *v1.MachineSpec) bool { return spec.Endpoint == unknownEndpoint }

// newestRecords has the name of the newest record at each endpoint and of each ID. Older records are
// obsolete, since endpoints and IDs belong to one machine at a time.
type newestRecords struct {
	byEndpoint, byID map[string]string
}

func newNewestRecords(declared map[string]Declared) newestRecords {
	newest := newestRecords{byEndpoint: map[string]string{}, byID: map[string]string{}}
	for name, machine := range declared {
		keepNewest(newest.byEndpoint, machine.Spec.Endpoint, name, declared)
		keepNewest(newest.byID, IDOf(name), name, declared)
	}
	return newest
}

func keepNewest(newest map[string]string, key, name string, declared map[string]Declared) {
	other, taken := newest[key]
	if !taken || declared[other].Object.GetCreateRevision() < declared[name].Object.GetCreateRevision() {
		newest[key] = name
	}
}

// isSuperseded reports whether a report without a record is a late one from an earlier start of a
// machine that has a record. If the start times are reversed because a clock was set back, the recorded
// start falls silent while reports of the other one continue.
func isSuperseded(input Input, newest newestRecords, entry Entry) bool {
	record, recorded := input.Declared[newest.byID[entry.Report.GetMachine()]]
	started := entry.Report.GetStartedMs()
	if !recorded || !startedBefore(started, record.Spec) {
		return false
	}
	return PrecedesActiveStart(started, record.Spec, record.Status.Phase) || input.Now-entry.Received > input.Policy.LostAfter
}

// lastHeard returns, by address, the name of the machine with the newest report, except for gone machines.
func lastHeard(input Input, entries map[string]Entry) map[string]string {
	heard := make(map[string]string, len(entries))
	for name, entry := range entries {
		if input.Declared[name].Status.Phase == v1.MachineGone {
			continue
		}
		other, found := heard[entry.Report.GetEndpoint()]
		if !found || entries[other].Received < entry.Received || entries[other].Received == entry.Received && other < name {
			heard[entry.Report.GetEndpoint()] = name
		}
	}
	return heard
}

// isAddressInUse reports whether a report without a record comes from the address of another machine that may be running.
func isAddressInUse(input Input, entries map[string]Entry, newest newestRecords, report *wirepb.InstanceReport) bool {
	holder, held := newest.byEndpoint[report.GetEndpoint()]
	return held && IDOf(holder) != report.GetMachine() && input.mayRun(holder, entries)
}

// mayRun reports whether a machine has been silent for so short a time that it may be running.
func (i *Input) mayRun(name string, entries map[string]Entry) bool {
	if i.Declared[name].Status.Phase == v1.MachineGone {
		return false
	}
	return i.Now-max(i.Since, entries[name].Received) <= i.Policy.AddressFreeAfter
}

func (t *Table) reconcileRecord(input Input, name string, declared Declared, entry Entry, reported bool, newest newestRecords) *wirepb.RegisterCommand {
	phase := declared.Status.Phase
	if phase == v1.MachineGone {
		return t.forgetGone(input, name)
	}
	if phase != v1.MachineLost {
		t.forgetLost(name)
	}
	silentSince := input.Since
	if reported {
		silentSince = max(silentSince, entry.Received)
	}
	silent := input.Now - silentSince
	lostAfter := input.lostAfter(name)
	switch {
	case newest.byEndpoint[declared.Spec.Endpoint] != name:
		return transition(name, v1.MachineGone, "another machine has its address")
	case newest.byID[IDOf(name)] != name:
		return transition(name, v1.MachineGone, "it has started again")
	case silent > input.Policy.GoneAfter:
		return transition(name, v1.MachineGone, "silent for too long")
	case phase == v1.MachineLeaving:
		return nil
	case reported && entry.Report.GetLeaving():
		return transition(name, v1.MachineLeaving, ReasonAnnounced)
	case input.Leaving[name]:
		return transition(name, v1.MachineLeaving, ReasonAnnouncedInResponse)
	case phase == v1.MachineLost:
		return t.recover(input, name, entry, reported && silent <= lostAfter)
	case silent > lostAfter:
		t.setLost(name, input.Now)
		return transition(name, v1.MachineLost, "silent")
	}
	return completeRecord(input, name, declared, entry)
}

// completeRecord returns the command that adds the fields that a record from a lower level lacks.
func completeRecord(input Input, name string, declared Declared, entry Entry) *wirepb.RegisterCommand {
	lacksStart := input.Level >= level.MachineStarts && declared.Spec.StartedMs == 0 && entry.Report.GetStartedMs() != 0
	lacksSoftware := input.Level >= level.MachineSoftware && declared.Spec.Software == "" && entry.Report.GetSoftware() != ""
	if !lacksStart && !lacksSoftware {
		return nil
	}
	command := Registration(name, entry.Report, input.Pools, input.Level)
	if command == nil {
		return nil
	}
	command.Phase, command.Reason = string(declared.Status.Phase), declared.Status.Reason
	return command
}

// recover marks a lost machine as Live if it reported after it was lost. Routers that report no failed
// connections are not enough, since they no longer connect to lost machines.
func (t *Table) recover(input Input, name string, entry Entry, reported bool) *wirepb.RegisterCommand {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	lost, known := t.lostSince[name]
	if !known {
		lost = input.Since
	}
	if !reported || entry.Received < lost {
		return nil
	}
	delete(t.lostSince, name)
	return transition(name, v1.MachineLive, "heard again")
}

func (t *Table) setLost(name string, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.lostSince[name] = now
}

// lostAfter returns the period of silence after which a machine is lost, given the routers' reports.
func (i *Input) lostAfter(name string) time.Duration {
	unreachable := i.Unreachable[name]
	switch {
	case unreachable == 0:
		return i.Policy.LostAfter
	case unreachable > 1 && 2*unreachable > i.Routers:
		return min(i.Policy.LostAfter, i.Policy.DeadAfter)
	}
	return min(i.Policy.LostAfter, i.Policy.SuspectAfter)
}

func transition(name string, phase v1.MachinePhase, reason string) *wirepb.RegisterCommand {
	return &wirepb.RegisterCommand{Machine: name, Phase: string(phase), Reason: reason}
}

// forgetGone returns the command that deletes the record of a gone machine after ForgetAfter.
func (t *Table) forgetGone(input Input, name string) *wirepb.RegisterCommand {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	since, known := t.goneSince[name]
	if !known {
		t.goneSince[name] = input.Now
		return nil
	}
	if input.Now-since <= input.Policy.ForgetAfter {
		return nil
	}
	delete(t.goneSince, name)
	delete(t.entries, name)
	return &wirepb.RegisterCommand{Machine: name, Phase: string(v1.MachineGone), Forget: true}
}

func (t *Table) forgetLost(name string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.lostSince, name)
}

func (t *Table) forget(name string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.entries, name)
}
