package dispatch

import (
	"maps"
	"time"

	"github.com/weldline/weldline/internal/ratelimit"
)

// Machines that are warming up handle only a few requests per second, so they are used only when
// no warm machine has capacity. Rate-limited machines are used like any other, since only their
// responses show when the limit ends. Each request to either needs a permit from the leader, which
// the router requests after the target is selected. A machine that gets no permit is put on hold.

// tier is the preference of a target: a lower tier is used up first.
type tier int

const (
	tierWarm tier = iota
	tierWarming
	// tierSuspect: the machine has been silent for a while.
	tierSuspect
	// tierSuspectWarming: the machine is also taken to be warming up, since it may have restarted.
	// It is used only if no other machine could serve the request: the machine is probably down,
	// and a request that asks for a permit loses its place in the queue.
	tierSuspectWarming
)

func (s *Scheduler) tierOf(candidate *target) tier {
	switch {
	case candidate.Suspect && s.warming[candidate.Machine]:
		return tierSuspectWarming
	case candidate.Suspect:
		return tierSuspect
	case s.warming[candidate.Machine]:
		return tierWarming
	}
	return tierWarm
}

// allSuspectWarming reports whether all targets that could serve a request, regardless of their
// load, are in tierSuspectWarming.
func (s *Scheduler) allSuspectWarming(version *versionState, request *Request) bool {
	for _, candidate := range version.targets {
		if s.tierOf(candidate) != tierSuspectWarming && !s.isExcluded(candidate, request) {
			return false
		}
	}
	return true
}

// SetWarming replaces the set of machines that are warming up.
func (s *Scheduler) SetWarming(warming map[string]bool) {
	s.warming = warming
}

// SetLimited replaces the rate limits of machines. The hold of a machine ends if its limit ended
// or grew.
func (s *Scheduler) SetLimited(limited map[string]ratelimit.Limit) {
	for machine, before := range s.limited {
		after := limited[machine]
		if !after.IsSet || after.PerSecond > before.PerSecond {
			delete(s.holds, machine)
		}
	}
	s.limited = limited
}

// needsPermit reports whether requests to a machine need permits.
func (s *Scheduler) needsPermit(machine string) bool {
	return s.warming[machine] || s.limited[machine].IsSet
}

// Hold withholds requests from a machine until the given time. Tick grants its capacity afterwards.
func (s *Scheduler) Hold(now time.Time, machine string, until time.Time) {
	maps.DeleteFunc(s.holds, func(_ string, expiry time.Time) bool { return !now.Before(expiry) })
	s.holds[machine] = until
}

// HoldPermitMachines withholds requests from all machines that need permits until the given
// time. A request would otherwise try each of them in turn.
func (s *Scheduler) HoldPermitMachines(until time.Time) {
	s.permitHoldUntil = until
}

func (s *Scheduler) isHeld(now time.Time, machine string) bool {
	return now.Before(s.holds[machine]) || now.Before(s.permitHoldUntil) && s.needsPermit(machine)
}

// throttledBy returns the reason for which a request waits, if its machines are on hold or busy
// because they are warming up or limited.
func (s *Scheduler) throttledBy(now time.Time, request *Request) (reason RefusalReason, isThrottled bool) {
	version := s.version(request.Version)
	onlySuspectWarming := s.allSuspectWarming(version, request)
	for _, candidate := range version.targets {
		switch {
		case s.isExcluded(candidate, request) || !onlySuspectWarming && s.tierOf(candidate) == tierSuspectWarming:
		case s.limited[candidate.Machine].IsSet && s.isHeld(now, candidate.Machine):
			return RefusedLimited, true
		case s.warming[candidate.Machine] || s.isHeld(now, candidate.Machine):
			return RefusedWarming, true
		}
	}
	return "", false
}
