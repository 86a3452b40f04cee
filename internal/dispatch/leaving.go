package dispatch

import (
	"maps"
	"slices"
	"time"
)

// leavingRetention is how long an unlisted machine is remembered as leaving. A stale fleet view
// may omit a machine and later list it as ready again.
const leavingRetention = 10 * time.Minute

// MarkLeaving excludes a machine that announced its shutdown, regardless of the targets set later.
// Waiting requests that can't be served in time because of it are refused. changed is false if the
// machine was excluded already.
func (s *Scheduler) MarkLeaving(now time.Time, machine string) (outcome Outcome, changed bool) {
	_, alreadyLeaving := s.leaving[machine]
	s.leaving[machine] = now
	if alreadyLeaving {
		return outcome, false
	}
	for _, candidate := range s.targets {
		if candidate.Machine == machine {
			candidate.leaving = true
		}
	}
	s.refuseWaitingOn(now, machine, &outcome)
	return outcome, true
}

// LeavingMachines returns the machines that announced their shutdown, sorted by name.
func (s *Scheduler) LeavingMachines() []string {
	return slices.Sorted(maps.Keys(s.leaving))
}

// RetainLeaving forgets machines that have not been listed for leavingRetention.
func (s *Scheduler) RetainLeaving(now time.Time, isListed func(machine string) bool) {
	maps.DeleteFunc(s.leaving, func(machine string, lastSeen time.Time) bool {
		if isListed(machine) {
			s.leaving[machine] = now
			return false
		}
		return now.Sub(lastSeen) > leavingRetention
	})
}
