package paths

import (
	"sort"
	"time"

	"github.com/weldline/weldline/internal/retrydelay"
)

const (
	// isolationThreshold is the number of machines that must fail, without contact to any, before a
	// router may be isolated. Fewer suffice if fewer are known.
	isolationThreshold = 3
	// confirmations is the number of further machines that must not answer a probe before it counts as isolated: the ones that
	// failed first may have ended together.
	confirmations = 3
	// minIsolation is the least number of machines: one that fails alone may well be down.
	minIsolation = 2
	// A path that is down is probed at intervals that double with each failure.
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = 2 * time.Second
	// maxConcurrentProbes bounds the connections that probes open at once.
	maxConcurrentProbes = 3
	// flapWindow is how soon after a recovery a new failure continues the former intervals.
	flapWindow = 5 * time.Second
	// contactValidity is how long after a contact the router counts as connected.
	contactValidity = time.Second
)

// Failure is the kind of a failed exchange with a machine.
type Failure int

const (
	// FailureConnect: no connection could be opened, or its peer stopped acknowledging.
	FailureConnect Failure = iota
	// FailureBroken: an open connection broke. The next one may succeed.
	FailureBroken
)

// path is the state of the path to one machine.
type path struct {
	down bool
	// downSince and upSince are the times of the last transitions.
	downSince, upSince time.Time
	// failures counts the failed connections since the path was last stable.
	failures int
	probeAt  time.Time
	probing  bool
}

// Change describes a transition of a path or of the router.
type Change struct {
	// WentDown and CameUp are set if the path to the machine changed.
	WentDown, CameUp bool
	// BecameIsolated and Reconnected are set if the router's state changed.
	BecameIsolated, Reconnected bool
	// Duration is how long the state that ended by CameUp or Reconnected has lasted.
	Duration time.Duration
}

// Tracker tracks the paths of one router. It is not safe for concurrent use.
type Tracker struct {
	paths map[string]*path
	// listed are the machines that the router may send requests to.
	listed map[string]bool
	// failing are the machines with failures since the last contact with any machine.
	failing map[string]bool
	// unanswered counts the probes since then of machines that had not failed, and whose paths were up.
	unanswered    int
	isolated      bool
	isolatedSince time.Time
	lastContact   time.Time
}

// NewTracker returns a tracker that assumes all paths to be up.
func NewTracker() *Tracker {
	return &Tracker{paths: map[string]*path{}, failing: map[string]bool{}}
}

// SetMachines sets the machines that the router may send requests to, and forgets all others. The map
// must not be modified afterwards.
func (t *Tracker) SetMachines(listed map[string]bool) {
	t.listed = listed
	for machine := range t.paths {
		if !listed[machine] {
			delete(t.paths, machine)
		}
	}
	for machine := range t.failing {
		if !listed[machine] {
			delete(t.failing, machine)
		}
	}
}

// Failed records a failed exchange.
func (t *Tracker) Failed(now time.Time, machine string, failure Failure) Change {
	change := Change{}
	t.failing[machine] = true
	if failure == FailureConnect {
		change.WentDown = t.setDown(now, machine)
	}
	if t.IsSuspected() && (t.unanswered >= confirmations || t.allFail()) {
		t.isolated, t.isolatedSince, change.BecameIsolated = true, now, true
	}
	return change
}

// IsSuspected reports whether so many machines failed that the router may be isolated. StartProbes then has machines that can
// show it.
func (t *Tracker) IsSuspected() bool {
	return !t.isolated && len(t.failing) >= min(isolationThreshold, max(minIsolation, len(t.listed)))
}

// allFail reports whether no machine is left that could show that the router is not isolated.
func (t *Tracker) allFail() bool {
	return len(t.pick(1, func(machine string) bool { return !t.failing[machine] })) == 0
}

// setDown marks a path as down and returns whether it was up.
func (t *Tracker) setDown(now time.Time, machine string) bool {
	current := t.paths[machine]
	if current == nil {
		current = &path{}
		t.paths[machine] = current
	}
	wentDown := !current.down
	if wentDown {
		if now.Sub(current.upSince) > flapWindow {
			current.failures = 0
		}
		current.down, current.downSince = true, now
	}
	current.probeAt = now.Add(retrydelay.Exponential(minProbeInterval, maxProbeInterval, current.failures))
	current.failures++
	return wentDown
}

// Contact records that bytes were received from a machine, on a connection that was opened at the
// given time. An older connection may outlive a path that carries no new ones.
func (t *Tracker) Contact(now time.Time, machine string, opened time.Time) Change {
	change := Change{}
	t.lastContact = now
	if len(t.failing) > 0 {
		clear(t.failing)
	}
	t.unanswered = 0
	if t.isolated {
		t.isolated, change.Reconnected, change.Duration = false, true, now.Sub(t.isolatedSince)
	}
	if current := t.paths[machine]; current != nil && current.down && opened.After(current.downSince) {
		current.down, current.upSince, change.CameUp, change.Duration = false, now, true, now.Sub(current.downSince)
	}
	return change
}

// IsDown reports whether the path to a machine is down.
func (t *Tracker) IsDown(machine string) bool {
	current := t.paths[machine]
	return current != nil && current.down
}

// IsConnected reports whether a machine has responded recently.
func (t *Tracker) IsConnected(now time.Time) bool {
	return !t.isolated && now.Sub(t.lastContact) <= contactValidity
}

// IsInDoubt reports whether machines have failed since the last contact with any, too few to count as
// isolated.
func (t *Tracker) IsInDoubt() bool { return !t.isolated && len(t.failing) > 0 }

// IsIsolated reports whether no path seems to work.
func (t *Tracker) IsIsolated() bool { return t.isolated }

// AnyDown reports whether any path is down.
func (t *Tracker) AnyDown() bool {
	for _, current := range t.paths {
		if current.down {
			return true
		}
	}
	return false
}

// Sample returns some random machines, as many as must fail for the router to count as isolated.
func (t *Tracker) Sample() []string {
	return t.pick(isolationThreshold, func(machine string) bool { return !t.IsDown(machine) })
}

// Listed returns up to count random machines, whether their paths are up or not.
func (t *Tracker) Listed(count int) []string {
	return t.pick(count, func(string) bool { return true })
}

// pick returns up to count random machines that are suitable.
func (t *Tracker) pick(count int, suitable func(machine string) bool) []string {
	var names []string
	for machine := range t.listed {
		if len(names) >= count {
			break
		}
		if suitable(machine) {
			names = append(names, machine)
		}
	}
	return names
}

// Down returns the machines whose paths are down.
func (t *Tracker) Down() map[string]bool {
	down := map[string]bool{}
	for machine, current := range t.paths {
		if current.down {
			down[machine] = true
		}
	}
	return down
}

// StartProbes returns the machines to probe now: those whose paths are down, some that have not failed while the router may be
// isolated, and any while it is. Each must be followed by EndProbe.
func (t *Tracker) StartProbes(now time.Time) []string {
	due := t.dueProbes(now)
	if t.IsSuspected() {
		due = append(due, t.startConfirmations()...)
	}
	return due
}

// startConfirmations returns machines that have not failed: enough of those whose paths are up, or else some that are down.
func (t *Tracker) startConfirmations() []string {
	probing, probingUp := 0, 0
	for machine, current := range t.paths {
		if current.probing && !t.failing[machine] {
			probing++
			if !current.down {
				probingUp++
			}
		}
	}
	isUntried := func(machine string) bool {
		return !t.failing[machine] && (t.paths[machine] == nil || !t.paths[machine].probing)
	}
	chosen := t.pick(confirmations-t.unanswered-probingUp, func(machine string) bool { return isUntried(machine) && !t.IsDown(machine) })
	if len(chosen) == 0 && probingUp == 0 {
		chosen = t.pick(confirmations-probing, isUntried)
	}
	sort.Strings(chosen)
	for _, machine := range chosen {
		t.startProbe(machine)
	}
	return chosen
}

// dueProbes starts the probes that are due, up to maxConcurrentProbes at a time.
func (t *Tracker) dueProbes(now time.Time) []string {
	running := 0
	var due []string
	for machine, current := range t.paths {
		switch {
		case current.probing:
			running++
		case (current.down || t.isolated) && !now.Before(current.probeAt):
			due = append(due, machine)
		}
	}
	if t.isolated {
		for machine := range t.listed {
			if t.paths[machine] == nil {
				due = append(due, machine)
			}
		}
	}
	sort.Slice(due, func(i, j int) bool {
		left, right := t.probeTime(due[i]), t.probeTime(due[j])
		if !left.Equal(right) {
			return left.Before(right)
		}
		return due[i] < due[j]
	})
	due = due[:min(len(due), max(0, maxConcurrentProbes-running))]
	for _, machine := range due {
		t.startProbe(machine)
	}
	return due
}

func (t *Tracker) startProbe(machine string) {
	if t.paths[machine] == nil {
		t.paths[machine] = &path{}
	}
	t.paths[machine].probing = true
}

func (t *Tracker) probeTime(machine string) time.Time {
	if current := t.paths[machine]; current != nil {
		return current.probeAt
	}
	return time.Time{}
}

// EndProbe records the result of a probe that started at the given time.
func (t *Tracker) EndProbe(now time.Time, machine string, started time.Time, connected bool) Change {
	if current := t.paths[machine]; current != nil {
		current.probing = false
	}
	if !connected {
		if !t.failing[machine] && !t.IsDown(machine) {
			t.unanswered++
		}
		return t.Failed(now, machine, FailureConnect)
	}
	return t.Contact(now, machine, started)
}
