package dispatch

import (
	"slices"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// A request whose only targets are in drained zones waits for a replica elsewhere, as for a model
// that is not loaded. If none is expected in time, the request is refused at once: only an
// operator ends a drain.

// drainRetryAfter is the Retry-After of requests refused because of a drain. Ending a drain, or
// loading a model elsewhere, takes seconds.
const drainRetryAfter = 2 * time.Second

// setDrained moves a target to the drained ones, which get no requests.
func (s *Scheduler) setDrained(target Target) {
	s.removeTarget(target.Replica)
	s.unsetDrained(target.Replica)
	s.drainedTargets[target.Replica] = target
	version := s.version(target.Version)
	version.drained++
	version.fixed = target.Fixed
}

func (s *Scheduler) unsetDrained(replica string) {
	existing, known := s.drainedTargets[replica]
	if !known {
		return
	}
	delete(s.drainedTargets, replica)
	s.version(existing.Version).drained--
}

func (s *Scheduler) replaceDrained(targets []Target) {
	for replica := range s.drainedTargets {
		s.unsetDrained(replica)
	}
	for _, target := range targets {
		s.setDrained(target)
	}
}

// isDrainedOnly reports whether a version has targets in drained zones and no others that may
// serve a request.
func (v *versionState) isDrainedOnly(request *Request) bool {
	return v.drained > 0 && !v.hasReady(request)
}

// refuseDrained refuses a request whose version has targets in drained zones only, unless another
// replica is expected in time.
func (s *Scheduler) refuseDrained(now time.Time, version *versionState, request *Request) (Refusal, bool) {
	refusal := Refusal{Request: request, Reason: RefusedZoneDrained, RetryAfter: drainRetryAfter}
	estimate := version.estimate
	switch {
	case version.fixed:
		refusal.Detail = "all machines that serve this are in drained zones"
	case estimate == nil:
		return Refusal{}, false // There is no estimate of the leader yet.
	case estimate.Refused:
		return refusalByLeader(request, estimate), true
	case !request.isConstrained() && estimate.EarliestAt.After(request.Deadline):
		refusal.Detail = "the model will not be loaded elsewhere before the deadline"
		refusal.RetryAfter = estimate.ReadyAt.Sub(now)
	default:
		return Refusal{}, false
	}
	return refusal, true
}

// refuseWaitingForDrained applies refuseDrained to the waiting requests, with versions sorted by
// name.
func (s *Scheduler) refuseWaitingForDrained(now time.Time, outcome *Outcome) {
	var names []string
	for name, version := range s.versions {
		if len(version.queue.waiting) > 0 && version.drained > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		version := s.versions[name]
		for _, request := range version.queue.sorted() {
			if !version.isDrainedOnly(request) {
				continue
			}
			if refusal, refused := s.refuseDrained(now, version, request); refused {
				s.dequeue(request)
				outcome.Refusals = append(outcome.Refusals, refusal)
			}
		}
	}
}

// refusalByLeader refuses a request for a version that the leader can't place. If that is only
// because of drained zones, the request may be retried.
func refusalByLeader(request *Request, estimate *Estimate) Refusal {
	if estimate.Reason == v1.ReasonZoneDrained {
		return Refusal{
			Request: request, Reason: RefusedZoneDrained, Detail: "no machine outside of drained zones can load the model",
			RetryAfter: drainRetryAfter,
		}
	}
	return Refusal{Request: request, Reason: RefusedNotLoadable, Detail: estimate.Reason}
}
