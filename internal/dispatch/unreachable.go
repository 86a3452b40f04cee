package dispatch

import "time"

// Reachability is a property of the path between this router and a machine. Other routers may reach a
// machine that this one can't, so a request that only has unreachable targets is refused at once if it
// can be forwarded. One that can't be is granted as if the paths worked: trying is better than waiting.

// SetPaths replaces the machines without a path from this router. isolated is set if no path seems to
// work. The map must not be modified afterwards.
func (s *Scheduler) SetPaths(now time.Time, unreachable map[string]bool, isolated bool) Outcome {
	var outcome Outcome
	for _, candidate := range s.targets {
		if s.unreachable[candidate.Machine] && !unreachable[candidate.Machine] {
			candidate.health = health{} // It was ejected because of its path.
		}
	}
	s.unreachable, s.isolated = unreachable, isolated
	s.refuseWaitingUnreachable(now, &outcome)
	s.dispatchAll(now, &outcome)
	return outcome
}

func (s *Scheduler) hasPath(machine string) bool {
	return !s.isolated && !s.unreachable[machine]
}

// needsPath reports whether a request must not be sent to a machine without a path: another router may
// serve it, or the one that forwarded it may try others.
func (r *Request) needsPath() bool { return r.Forwardable || r.Forwarded }

// avoidsPath reports whether a request should be served by another router rather than by a target.
func (s *Scheduler) avoidsPath(candidate *target, request *Request) bool {
	return request.needsPath() && !s.hasPath(candidate.Machine)
}

// isUnreachable reports whether there are targets for a request, but no path to any of those that are
// left to try. A request that no other router may serve is tried at all of them first.
func (s *Scheduler) isUnreachable(version *versionState, request *Request) bool {
	if !s.isolated && len(s.unreachable) == 0 {
		return false
	}
	if !request.needsPath() && (len(request.TriedMachines) == 0 || version.mayBeReadyElsewhere(request.queuedUntil())) {
		return false
	}
	untried := *request
	untried.TriedMachines = nil
	found := false
	for _, candidate := range version.targets {
		if !s.isExcluded(candidate, request) && !s.avoidsPath(candidate, request) {
			return false
		}
		found = found || !s.hasPath(candidate.Machine) && !s.isExcluded(candidate, &untried)
	}
	return found
}

func (s *Scheduler) refuseUnreachable(now time.Time, version *versionState, request *Request) (Refusal, bool) {
	if request.isExpired(now) || !s.isUnreachable(version, request) {
		return Refusal{}, false
	}
	return Refusal{Request: request, Reason: RefusedUnreachable, Detail: "this router has no path to the machines that could take it"}, true
}

// refuseWaitingUnreachable refuses the waiting requests without a path to a machine, in order of ID.
func (s *Scheduler) refuseWaitingUnreachable(now time.Time, outcome *Outcome) {
	if !s.isolated && len(s.unreachable) == 0 {
		return
	}
	var refusals []Refusal
	for _, entry := range s.waiters {
		if refusal, refused := s.refuseUnreachable(now, s.version(entry.request.Version), entry.request); refused {
			refusals = append(refusals, refusal)
		}
	}
	s.refuseAll(refusals, outcome)
}
