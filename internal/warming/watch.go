package warming

import (
	"cmp"
	"slices"
	"time"
)

// Report is the last report of a machine.
type Report struct {
	// Received is when a control node received the report.
	Received time.Duration
	// Remaining is the warm-up time left at Received.
	Remaining time.Duration
}

// Machine is the leader's knowledge of a machine.
type Machine struct {
	Zone string
	// DeclaredWarming is set if the machine's pool declares that its machines warm up.
	DeclaredWarming bool
	// Lost is set while the machine is silent.
	Lost bool
	// Report is nil if there is none.
	Report *Report
}

// Drain is the latest drain setting of a zone.
type Drain struct {
	Revision uint64
	Drained  bool
}

// Change is a machine that started to warm up or became warm.
type Change struct {
	Machine string
	// Remaining is the warm-up time left; 0 if the machine is warm.
	Remaining time.Duration
}

// Transitions are the results of an update.
type Transitions struct {
	// Changes are the machines that reported to be warming up, or became warm, sorted by name.
	Changes []Change
	// LeftWarm are the machines that were warm, and got requests without permits, sorted by name.
	LeftWarm []string
	// Urgent is set if routers should get a digest at once.
	Urgent bool
}

// Tracker tracks the machines that are warming up, for the leader of one term. It is not safe for
// concurrent use.
//
// The status of a machine is known by a report received in this term and after the latest drain
// setting of its zone was seen: a machine whose drain has ended may have restarted.
type Tracker struct {
	termStart time.Duration
	drains    map[string]seenDrain
	machines  map[string]Machine
	statuses  map[string]status
}

// seenDrain is a drain setting and when it was first seen.
type seenDrain struct {
	Drain
	seenAt time.Duration
}

type status int

const (
	statusUnknown status = iota
	statusWarming
	statusWarm
)

// NewTracker returns the tracker of a term that starts now.
func NewTracker(now time.Duration) *Tracker {
	return &Tracker{termStart: now, drains: map[string]seenDrain{}, statuses: map[string]status{}}
}

// Update applies the leader's current knowledge. The maps must not be modified afterwards.
func (t *Tracker) Update(now time.Duration, drains map[string]Drain, machines map[string]Machine) Transitions {
	t.machines = machines
	for zone, drain := range drains {
		if seen, known := t.drains[zone]; !known || seen.Revision != drain.Revision {
			t.drains[zone] = seenDrain{Drain: drain, seenAt: now}
		}
	}
	var transitions Transitions
	statuses := make(map[string]status, len(machines))
	for name, machine := range machines {
		remaining, known := t.remaining(now, machine)
		statuses[name] = statusOf(remaining, known)
		transitions.add(Change{Machine: name, Remaining: remaining}, t.statuses[name], statuses[name])
	}
	t.statuses = statuses
	slices.SortFunc(transitions.Changes, func(left, right Change) int { return cmp.Compare(left.Machine, right.Machine) })
	slices.Sort(transitions.LeftWarm)
	return transitions
}

// add records the transition of a machine.
func (t *Transitions) add(change Change, before, after status) {
	if before == after {
		return
	}
	t.Urgent = true
	if after == statusWarming || before == statusWarming && after == statusWarm {
		t.Changes = append(t.Changes, change)
	}
	if before == statusWarm {
		t.LeftWarm = append(t.LeftWarm, change.Machine)
	}
}

func statusOf(remaining time.Duration, known bool) status {
	switch {
	case !known:
		return statusUnknown
	case remaining > 0:
		return statusWarming
	}
	return statusWarm
}

// DigestUnits returns the digest values of the machines that are not warm.
func (t *Tracker) DigestUnits(now time.Duration) map[string]uint32 {
	units := map[string]uint32{}
	for name, machine := range t.machines {
		remaining, known := t.remaining(now, machine)
		switch statusOf(remaining, known) {
		case statusUnknown:
			units[name] = UnitsUnknown
		case statusWarming:
			units[name] = uint32(ToUnits(remaining))
		}
	}
	return units
}

// Remaining returns the warm-up time left of the machines that reported to be warming up.
func (t *Tracker) Remaining(now time.Duration) map[string]time.Duration {
	found := map[string]time.Duration{}
	for name, machine := range t.machines {
		if remaining, known := t.remaining(now, machine); known && remaining > 0 {
			found[name] = remaining
		}
	}
	return found
}

// remaining returns the warm-up time left of a machine. known is false if its status is unknown. A
// machine without DeclaredWarming is warm unless it reports otherwise.
func (t *Tracker) remaining(now time.Duration, machine Machine) (remaining time.Duration, known bool) {
	drain := t.drains[machine.Zone]
	since := max(t.termStart, drain.seenAt)
	isHeard := machine.Report != nil && machine.Report.Received >= since
	if !isHeard || machine.Lost || drain.Drained {
		return 0, !machine.DeclaredWarming
	}
	return max(0, machine.Report.Remaining-(now-machine.Report.Received)), true
}
