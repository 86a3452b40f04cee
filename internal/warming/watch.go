package warming

import (
	"cmp"
	"slices"
	"time"
)

// Report is what a machine said of itself last.
type Report struct {
	// Received is when a control node got it.
	Received time.Duration
	// Remaining is for how long the machine warmed up from then on.
	Remaining time.Duration
}

// Machine is what the leader holds of a machine.
type Machine struct {
	Zone string
	// DeclaredWarming is set where the machine's pool says that its machines warm up.
	DeclaredWarming bool
	// Lost is set while the machine is silent.
	Lost bool
	// Report is nil where the machine has said nothing.
	Report *Report
}

// Drain is the newest order for a zone.
type Drain struct {
	Revision uint64
	Drained  bool
}

// Change tells that a machine began to warm up, or is warm.
type Change struct {
	Machine string
	// Remaining is for how long it warms up; 0 where it is warm.
	Remaining time.Duration
}

// Transitions is what an update of the watch brings.
type Transitions struct {
	// Changes are the machines that said that they warm up, or are warm again, by name.
	Changes []Change
	// LeftWarm are those that were warm, and got requests without permits, by name.
	LeftWarm []string
	// Urgent is set where routers should hear at once of how any machine stands.
	Urgent bool
}

// Tracker is what the leader of one term knows of machines that warm up. It is not safe for
// concurrent use.
//
// A machine is vouched for by a report from this term, and from after the newest order for its
// zone was seen: a machine whose drain has ended may have started anew meanwhile.
type Tracker struct {
	began    time.Duration
	drains   map[string]seenDrain
	machines map[string]Machine
	// stood is what was last known of each machine.
	stood map[string]standing
}

// seenDrain is an order for a zone, and when it was first seen.
type seenDrain struct {
	Drain
	seen time.Duration
}

// standing is how a machine stands.
type standing int

const (
	unsaid standing = iota
	warms
	warm
)

// NewTracker returns the watch of a term that begins at now.
func NewTracker(now time.Duration) *Tracker {
	return &Tracker{began: now, drains: map[string]seenDrain{}, stood: map[string]standing{}}
}

// Update takes what the leader holds now, which must not be changed afterwards.
func (w *Tracker) Update(now time.Duration, drains map[string]Drain, machines map[string]Machine) Transitions {
	w.machines = machines
	for zone, drain := range drains {
		if held, known := w.drains[zone]; !known || held.Revision != drain.Revision {
			w.drains[zone] = seenDrain{Drain: drain, seen: now}
		}
	}
	var news Transitions
	stood := make(map[string]standing, len(machines))
	for name, machine := range machines {
		remaining, said := w.remaining(now, machine)
		stood[name] = standingOf(remaining, said)
		news.add(Change{Machine: name, Remaining: remaining}, w.stood[name], stood[name])
	}
	w.stood = stood
	slices.SortFunc(news.Changes, func(left, right Change) int { return cmp.Compare(left.Machine, right.Machine) })
	slices.Sort(news.LeftWarm)
	return news
}

// add takes in how a machine stood and stands.
func (n *Transitions) add(change Change, before, after standing) {
	if before == after {
		return
	}
	n.Urgent = true
	if after == warms || before == warms && after == warm {
		n.Changes = append(n.Changes, change)
	}
	if before == warm {
		n.LeftWarm = append(n.LeftWarm, change.Machine)
	}
}

func standingOf(remaining time.Duration, said bool) standing {
	switch {
	case !said:
		return unsaid
	case remaining > 0:
		return warms
	}
	return warm
}

// DigestUnits returns what a digest that is sent now says of the machines that are not warm.
func (w *Tracker) DigestUnits(now time.Duration) map[string]uint32 {
	units := map[string]uint32{}
	for name, machine := range w.machines {
		remaining, said := w.remaining(now, machine)
		switch standingOf(remaining, said) {
		case unsaid:
			units[name] = UnitsUnknown
		case warms:
			units[name] = uint32(ToUnits(remaining))
		}
	}
	return units
}

// Remaining returns for how long the machines that said that they warm up still do.
func (w *Tracker) Remaining(now time.Duration) map[string]time.Duration {
	found := map[string]time.Duration{}
	for name, machine := range w.machines {
		if remaining, said := w.remaining(now, machine); said && remaining > 0 {
			found[name] = remaining
		}
	}
	return found
}

// remaining is for how long a machine warms up; said is false where nobody vouches for it. A
// machine of a pool whose machines don't warm up is passed over unless it says that it does.
func (w *Tracker) remaining(now time.Duration, machine Machine) (remaining time.Duration, said bool) {
	drain := w.drains[machine.Zone]
	since := max(w.began, drain.seen)
	isHeard := machine.Report != nil && machine.Report.Received >= since
	if !isHeard || machine.Lost || drain.Drained {
		return 0, !machine.DeclaredWarming
	}
	return max(0, machine.Report.Remaining-(now-machine.Report.Received)), true
}
