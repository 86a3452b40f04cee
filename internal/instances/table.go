// Package instances keeps the Machine records of machines that register by
// themselves in step with their heartbeats.
//
// The problem: nobody lists these machines. They report to any control node,
// late and sometimes out of order; a crashed one says nothing; addresses are
// used again; and one that said that it leaves must never come back into use,
// whichever node it told.
//
// A machine may also start again under the id that it had. It knows nothing of before, and counts
// its reports anew; so each start has a record of its own (see NameOf). The order of two starts is
// that of the times they tell, and what an earlier one said that comes late changes nothing.
//
// The mechanism: heartbeats are soft state of the leader. What must survive
// (that a machine exists, that it leaves, that it is gone) goes through the
// replicated log, where its phase can only move on. A machine that is silent
// is Lost, which it may return from, and after a long silence Gone. A machine
// that shows up at another's address proves that the other is gone.
package instances

import (
	"encoding/json"
	"maps"
	"sort"
	"sync"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// Entry is the newest report of a machine.
type Entry struct {
	Report   *wirepb.InstanceReport
	Received time.Duration
}

// Table holds the newest report of each machine, by the name of its record. It is safe for
// concurrent use.
type Table struct {
	mutex   sync.Mutex
	entries map[string]Entry
	// goneSince is when each machine that is gone was first seen to be.
	goneSince map[string]time.Duration
	// lostSince is when each machine that is lost was taken to be.
	lostSince map[string]time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]Entry{}, goneSince: map[string]time.Duration{}, lostSince: map[string]time.Duration{}}
}

// Add keeps a report under the name of the machine's record unless a newer one is held, and
// returns whether it is news that the leader should act on at once.
func (t *Table) Add(now time.Duration, name string, report *wirepb.InstanceReport) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	held := t.entries[name].Report
	if held != nil && !isLater(report, held) {
		return false
	}
	received := now - time.Duration(report.GetAgeMs())*time.Millisecond
	t.entries[name] = Entry{Report: report, Received: received}
	return held == nil || held.GetLeaving() != report.GetLeaving() || !sameModels(held, report)
}

// isLater reports whether a report was made after another one of the same id. Sequences are counted
// by one start; where either does not tell its start they are all that there is.
func isLater(report, held *wirepb.InstanceReport) bool {
	if report.GetStartedMs() != held.GetStartedMs() && report.GetStartedMs() != 0 && held.GetStartedMs() != 0 {
		return report.GetStartedMs() > held.GetStartedMs()
	}
	return report.GetSequence() > held.GetSequence()
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

// Entries copies the table.
func (t *Table) Entries() map[string]Entry {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return maps.Clone(t.entries)
}

// Policy tunes how silence is read.
type Policy struct {
	// LostAfter is after how much silence a machine is Lost.
	LostAfter time.Duration
	// SuspectAfter is after how much silence it is Lost if routers can't
	// connect to it either.
	SuspectAfter time.Duration
	// DeadAfter is the same where most routers can't connect to it: the network
	// between them and the machine is not the reason.
	DeadAfter time.Duration
	// GoneAfter is after how much silence it is Gone.
	GoneAfter time.Duration
	// ForgetAfter is for how long the record of one that is gone is kept, so
	// that a late heartbeat can't bring it back.
	ForgetAfter time.Duration
}

// Declared is a stored Machine record.
type Declared struct {
	Object *wirepb.Object
	Spec   *v1.MachineSpec
	Status v1.MachineStatus
}

// Input is everything that Reconcile depends on.
type Input struct {
	Now time.Duration
	// Since is when the leader began its term: silence before it is no sign.
	Since    time.Duration
	Declared map[string]Declared
	Pools    map[string]*v1.PoolSpec
	// Unreachable counts the routers that can't connect to a machine, of Routers
	// that are live.
	Unreachable map[string]int
	Routers     int
	// Leaving holds the machines that stated in an answer to a router that they are about to shut down.
	Leaving map[string]bool
	Policy  Policy
	// RecordStarts is set where records tell when their machines started.
	RecordStarts bool
}

// Reconcile returns the commands that bring the records in step, by name.
func (t *Table) Reconcile(input Input) []*wirepb.RegisterCommand {
	entries := t.Entries()
	newest := newestOf(input.Declared)
	var commands []*wirepb.RegisterCommand
	for name, entry := range entries {
		if _, exists := input.Declared[name]; exists {
			continue
		}
		if input.Now-entry.Received > input.Policy.GoneAfter {
			t.forget(name)
			continue
		}
		if isSuperseded(input, newest, entry) {
			continue
		}
		if command := Registration(name, entry.Report, input.Pools, input.RecordStarts); command != nil {
			commands = append(commands, command)
		}
	}
	for name, declared := range input.Declared {
		entry, heard := entries[name]
		if command := t.follow(input, name, declared, entry, heard, newest); command != nil {
			commands = append(commands, command)
		}
	}
	sort.Slice(commands, func(i, j int) bool { return commands[i].GetMachine() < commands[j].GetMachine() })
	return commands
}

// ReasonAnnounced is the reason for a phase that the machine itself reported: a planned end.
const ReasonAnnounced = "said so"

// ReasonAnnouncedInResponse is the reason for a phase that the machine stated in an answer to a router.
const ReasonAnnouncedInResponse = "said so in an answer"

// Registration returns the command that records a machine for the first time,
// or nil while its pool is not declared: the room that it has is the pool's. The record tells when
// the machine started where that is asked for.
func Registration(name string, report *wirepb.InstanceReport, pools map[string]*v1.PoolSpec, tellsStart bool) *wirepb.RegisterCommand {
	pool := pools[report.GetPool()]
	if pool == nil && !report.GetLeaving() {
		return nil
	}
	spec := &v1.MachineSpec{
		Endpoint: report.GetEndpoint(), Zone: report.GetZone(), Pool: report.GetPool(), Slots: int(report.GetSlots()),
	}
	if tellsStart {
		spec.StartedMs = report.GetStartedMs()
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

// newestRecords names the machine that was recorded last, at each endpoint and under each id. The
// records before it are of machines that are no more: an address and an id belong to one at a time.
type newestRecords struct {
	byEndpoint, byID map[string]string
}

func newestOf(declared map[string]Declared) newestRecords {
	newest := newestRecords{byEndpoint: map[string]string{}, byID: map[string]string{}}
	for name, machine := range declared {
		note(newest.byEndpoint, machine.Spec.Endpoint, name, declared)
		note(newest.byID, IDOf(name), name, declared)
	}
	return newest
}

func note(newest map[string]string, key, name string, declared map[string]Declared) {
	other, taken := newest[key]
	if !taken || declared[other].Object.GetCreateRevision() < declared[name].Object.GetCreateRevision() {
		newest[key] = name
	}
}

// isSuperseded reports whether a report without a record comes from a start before one that has a
// record under the same id: it was held up on its way. If it is the other way round, since a clock
// was set back, the later one falls silent, and the machine goes on to report.
func isSuperseded(input Input, newest newestRecords, entry Entry) bool {
	held, recorded := input.Declared[newest.byID[entry.Report.GetMachine()]]
	started := entry.Report.GetStartedMs()
	if !recorded || !startedBefore(started, held.Spec) {
		return false
	}
	return PrecedesActiveStart(started, held.Spec, held.Status.Phase) || input.Now-entry.Received > input.Policy.LostAfter
}

func (t *Table) follow(input Input, name string, declared Declared, entry Entry, heard bool, newest newestRecords) *wirepb.RegisterCommand {
	phase := declared.Status.Phase
	if phase == v1.MachineGone {
		return t.sweep(input, name)
	}
	if phase != v1.MachineLost {
		t.forgetLost(name)
	}
	silentSince := input.Since
	if heard {
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
	case heard && entry.Report.GetLeaving():
		return transition(name, v1.MachineLeaving, ReasonAnnounced)
	case input.Leaving[name]:
		return transition(name, v1.MachineLeaving, ReasonAnnouncedInResponse)
	case phase == v1.MachineLost:
		return t.recover(input, name, entry, heard && silent <= lostAfter)
	case silent > lostAfter:
		t.setLost(name, input.Now)
		return transition(name, v1.MachineLost, "silent")
	}
	return recordStart(input, name, declared, entry)
}

// recordStart returns the command that adds to a record when its machine started, where it does not
// tell: it is from before records did.
func recordStart(input Input, name string, declared Declared, entry Entry) *wirepb.RegisterCommand {
	if !input.RecordStarts || declared.Spec.StartedMs != 0 || entry.Report.GetStartedMs() == 0 {
		return nil
	}
	command := Registration(name, entry.Report, input.Pools, true)
	if command == nil {
		return nil
	}
	command.Phase, command.Reason = string(declared.Status.Phase), declared.Status.Reason
	return command
}

// recover makes a lost machine Live again, if it was heard of since it was lost:
// that routers no longer complain, since they have given it up, is no sign.
func (t *Table) recover(input Input, name string, entry Entry, heard bool) *wirepb.RegisterCommand {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	lost, known := t.lostSince[name]
	if !known {
		lost = input.Since
	}
	if !heard || entry.Received < lost {
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

// lostAfter is after how much silence a machine is taken to be lost, by what the
// routers say of it.
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

// sweep deletes the record of a machine that has been gone for long.
func (t *Table) sweep(input Input, name string) *wirepb.RegisterCommand {
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
