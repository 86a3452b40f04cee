package dispatch

import (
	"slices"
	"sort"
	"time"
)

// Result is how a granted request ended on its target.
type Result int

const (
	// ResultOK: the request ended without a failure of the target. It is the zero value.
	ResultOK Result = iota
	// ResultError: the engine returned an error response.
	ResultError
	// ResultNotRun: the engine does not accept requests for the replica.
	ResultNotRun
	// ResultRejected: the machine is overloaded and did not run the request.
	ResultRejected
	// ResultFailed: the engine failed or the connection broke.
	ResultFailed
	// ResultTimedOut: there was no complete response in time. The engine may be overloaded.
	ResultTimedOut
	// ResultUnreachable: connecting failed.
	ResultUnreachable
	// ResultNotSent: the router did not send the request. It says nothing about the target.
	ResultNotSent
)

// unacceptedResults are the results of requests that were not accepted by their machine.
var unacceptedResults = []Result{ResultNotRun, ResultRejected, ResultNotSent}

// Release ends a grant and dispatches waiting requests to the freed slot.
func (s *Scheduler) Release(now time.Time, grant Grant, result Result) Outcome {
	var outcome Outcome
	version := s.version(grant.Target.Version)
	version.running--
	version.adjustAdapterRunning(grant.Request.Adapter, -1)
	version.adjustConstrainedRunning(grant.Request, -1)
	s.decrementLoad(grant.Target.Machine)
	s.finishWork(grant.Target.Machine, grant.Request, 0)
	s.countResponse(grant.Target.Machine, result)
	s.acceptBrittle(grant.Target.Machine, grant.Request)
	if result == ResultRejected {
		s.countRejection(now, grant.Target.Machine)
	}
	s.recordProbe(grant, !slices.Contains(unacceptedResults, result))
	existing := s.targets[grant.Target.Replica]
	if existing != nil {
		existing.inFlight--
		existing.health.observe(now, result)
		if existing.retired && existing.inFlight == 0 {
			s.remove(existing)
		}
	}
	s.dispatch(now, version, &outcome, nil)
	return outcome
}

func (s *Scheduler) decrementLoad(machine string) {
	s.ownLoad[machine]--
	if s.ownLoad[machine] <= 0 {
		delete(s.ownLoad, machine)
	}
}

// UnreachableMachines returns the machines with a recent failed connection, sorted by name.
func (s *Scheduler) UnreachableMachines(now time.Time) []string {
	var names []string
	for _, candidate := range s.targets {
		if now.Before(candidate.health.unreachableUntil) && !slices.Contains(names, candidate.Machine) {
			names = append(names, candidate.Machine)
		}
	}
	sort.Strings(names)
	return names
}
