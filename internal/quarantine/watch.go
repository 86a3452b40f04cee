package quarantine

import (
	"slices"
	"strconv"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// endedLifetime is for how long it is kept that a machine ended, for requests whose ends are
	// noticed later, on other connections. No other verdict is kept: a machine that is alive now
	// may end in the next moment.
	endedLifetime = 10 * time.Second
	// maxExamined bounds the machines that are looked at, or remembered, at a time. Beyond it
	// crashes go unrecorded; a router has requests at so many machines only where all of them
	// end at once, which one request does not do.
	maxExamined = 256
	// maxRuns bounds the requests remembered of one machine while it is looked at.
	maxRuns = 256
	// firstIncarnation is that of every machine that registers.
	firstIncarnation = 1
)

// BrokenRequest is a request whose answer from a machine broke off, or did not come.
type BrokenRequest struct {
	// Machine is the machine's name, and Address where it takes connections.
	Machine, Address string
	// Instance names the life of the machine's process; see InstanceName.
	Instance      string
	Identity      Identity
	Route, Tenant string
}

// InstanceName names one life of a machine's process: its name, and its incarnation where it starts
// again under the same name. Machines that register have a new name in each life, and all the
// first incarnation.
func InstanceName(machine string, incarnation uint64) string {
	if incarnation <= firstIncarnation {
		return machine
	}
	return machine + "/" + strconv.FormatUint(incarnation, 10)
}

// Verdict is what has become of a machine whose answers broke off.
type Verdict int

const (
	// VerdictPending: it is not known yet.
	VerdictPending Verdict = iota
	// VerdictEnded: its process ended, and nobody planned that.
	VerdictEnded
	// VerdictAlive: it takes connections, so only those that stood have broken.
	VerdictAlive
	// VerdictPlanned: it was leaving.
	VerdictPlanned
	// VerdictUnknown: it neither takes nor refuses connections: it is cut off, or dark.
	VerdictUnknown
)

// String names the verdict in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"none", "ended", "alive", "planned", "unknown"}[v]
}

// Evidence is what can be seen of a machine whose answers broke off.
type Evidence struct {
	// Replaced is set once another live machine stands at its address, Leaving if it had said
	// that it leaves.
	Replaced, Leaving bool
	// Accepts and Refuses tell what it does with a new connection; neither if it says nothing.
	Accepts, Refuses bool
}

// Verdict tells what has become of a machine; VerdictPending where another look is needed.
//
// A process that has ended refuses connections, or another one registers at its address; one
// whose connections were reset takes new ones; one that is cut off does neither.
func (s Evidence) Verdict() Verdict {
	switch {
	case s.Replaced:
		return VerdictEnded
	case s.Leaving:
		return VerdictPlanned
	case s.Accepts:
		return VerdictAlive
	case s.Refuses:
		return VerdictEnded
	}
	return VerdictPending
}

// examination is what is found out about one machine.
type examination struct {
	verdict Verdict
	// until is when the verdict is forgotten.
	until time.Time
	runs  []BrokenRequest
}

// Tracker is what one router knows of machines that ended under its requests, before the log
// and beside it. It is not safe for concurrent use.
type Tracker struct {
	examined map[string]*examination
	// own are the crashes that the router's view may not hold yet: the lives, by request.
	own map[Identity][]string
	// clearing are the requests whose records are being dropped.
	clearing map[Identity]bool
}

// NewTracker returns a watch that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{examined: map[string]*examination{}, own: map[Identity][]string{}, clearing: map[Identity]bool{}}
}

// Action is what a router has to do about a broken run.
type Action int

const (
	// ActionNone: what is known suffices, or will come.
	ActionNone Action = iota
	// ActionProbe: it has to find out what has become of the machine.
	ActionProbe
	// ActionRecord: it has to record the run: the machine is known to have ended.
	ActionRecord
	// ActionDropped: so many machines are looked at that this one is not.
	ActionDropped
)

// AddBroken takes a run.
func (w *Tracker) AddBroken(now time.Time, run BrokenRequest) Action {
	for life, held := range w.examined {
		if held.verdict != VerdictPending && now.After(held.until) {
			delete(w.examined, life)
		}
	}
	held := w.examined[run.Instance]
	switch {
	case held == nil && len(w.examined) >= maxExamined:
		return ActionDropped
	case held == nil:
		w.examined[run.Instance] = &examination{runs: []BrokenRequest{run}}
		return ActionProbe
	case held.verdict == VerdictPending && len(held.runs) < maxRuns:
		held.runs = append(held.runs, run)
	case held.verdict == VerdictEnded:
		w.note(run)
		return ActionRecord
	}
	return ActionNone
}

// Forget drops a life that can't be examined.
func (w *Tracker) Forget(life string) {
	delete(w.examined, life)
}

// ApplyVerdict takes the verdict on one life of a machine and returns the runs to be recorded.
func (w *Tracker) ApplyVerdict(now time.Time, life string, verdict Verdict) []BrokenRequest {
	held := w.examined[life]
	if held == nil {
		return nil
	}
	if verdict != VerdictEnded {
		delete(w.examined, life)
		return nil
	}
	runs := held.runs
	held.verdict, held.until, held.runs = verdict, now.Add(endedLifetime), nil
	for _, run := range runs {
		w.note(run)
	}
	return runs
}

// note makes the router heed a crash at once.
func (w *Tracker) note(run BrokenRequest) {
	if !slices.Contains(w.own[run.Identity], run.Instance) {
		w.own[run.Identity] = append(w.own[run.Identity], run.Instance)
	}
}

// MarkRecorded drops runs that the router's view holds by now.
func (w *Tracker) MarkRecorded(runs []BrokenRequest) {
	for _, run := range runs {
		left := slices.DeleteFunc(w.own[run.Identity], func(life string) bool { return life == run.Instance })
		if len(left) == 0 {
			delete(w.own, run.Identity)
			continue
		}
		w.own[run.Identity] = left
	}
}

// HasSuspects reports whether the router knows of crashes that its view may not hold, or looks for some.
func (w *Tracker) HasSuspects() bool {
	return len(w.own) > 0 || w.isLooking()
}

// isLooking reports whether it is being found out what has become of a machine.
func (w *Tracker) isLooking() bool {
	for _, held := range w.examined {
		if held.verdict == VerdictPending {
			return true
		}
	}
	return false
}

// Crashes returns the machines that ended under a request, as far as this router knows, and
// whether it must not run any more. Held is the record in the view; nil if there is none.
func (w *Tracker) Crashes(identity Identity, held *v1.SuspectSpec) (machines []string, quarantined bool) {
	if held != nil {
		machines, quarantined = slices.Clone(held.Machines), held.Quarantined
	}
	for _, machine := range w.own[identity] {
		if !slices.Contains(machines, machine) {
			machines = append(machines, machine)
		}
	}
	return machines, quarantined || len(machines) >= QuarantineThreshold
}

// IsPending reports whether a request may have ended as many machines as convict it, once it is known what
// has become of those that are looked at. It must not run meanwhile: its caller may come back sooner than
// that, and each run may end one more machine.
func (w *Tracker) IsPending(identity Identity, held *v1.SuspectSpec) bool {
	machines, _ := w.Crashes(identity, held)
	count := len(machines)
	for life, examined := range w.examined {
		if examined.verdict == VerdictPending && !slices.Contains(machines, life) && examined.concerns(identity) {
			count++
		}
	}
	return count >= QuarantineThreshold
}

// concerns reports whether a request's answer broke off at the machine.
func (e *examination) concerns(identity Identity) bool {
	return slices.ContainsFunc(e.runs, func(run BrokenRequest) bool { return run.Identity == identity })
}

// Complete takes a request that a machine has run to the end: a machine that ended under it
// ended for another reason. It returns whether its record has to be dropped.
func (w *Tracker) Complete(identity Identity, recorded bool) bool {
	delete(w.own, identity)
	if !recorded || w.clearing[identity] {
		return false
	}
	w.clearing[identity] = true
	return true
}

// MarkCleared takes that a record was dropped, or could not be.
func (w *Tracker) MarkCleared(identity Identity) {
	delete(w.clearing, identity)
}

// IsIdle reports whether nothing is being found out or recorded.
func (w *Tracker) IsIdle() bool {
	return !w.isLooking() && len(w.own) == 0 && len(w.clearing) == 0
}

// RecordCommand is the command that records runs at one life of a machine.
func RecordCommand(life string, runs []BrokenRequest) *wirepb.Command {
	command := &wirepb.RecordCrashCommand{Machine: life}
	for _, run := range runs {
		command.Requests = append(command.Requests, &wirepb.SuspectRequest{Identity: run.Identity[:], Route: run.Route, Tenant: run.Tenant})
	}
	return &wirepb.Command{Body: &wirepb.Command_RecordCrash{RecordCrash: command}}
}

// ClearCommand is the command that drops the record of a request.
func ClearCommand(identity Identity) *wirepb.Command {
	command := &wirepb.ClearSuspectsCommand{Identities: [][]byte{identity[:]}}
	return &wirepb.Command{Body: &wirepb.Command_ClearSuspects{ClearSuspects: command}}
}
