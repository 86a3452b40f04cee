package dispatch

import (
	"sort"
	"time"
)

// refuseEarly refuses a request that can't be served before its deadline, so that the caller
// learns it at once.
func (s *Scheduler) refuseEarly(now time.Time, version *versionState, request *Request) (Refusal, bool) {
	if version.isDrainedOnly(request) {
		return s.refuseDrained(now, version, request)
	}
	if refusal, refused := s.refuseBeyondLimits(now, version, request); refused {
		return refusal, true
	}
	if refusal, refused := s.refuseBackedOff(now, version, request); refused {
		return refusal, true
	}
	estimate := version.estimate
	if estimate == nil || version.hasReady(request) {
		return Refusal{}, false
	}
	if estimate.Refused {
		return refusalByLeader(request, estimate), true
	}
	// Estimates apply to the version as a whole. A replica in the allowed regions may be ready
	// earlier, so constrained requests are not refused by them.
	if !request.isConstrained() && estimate.EarliestAt.After(request.Deadline) {
		return Refusal{
			Request: request, Reason: RefusedDeadline, Detail: "the model will not be loaded before the deadline",
			RetryAfter: estimate.ReadyAt.Sub(now),
		}, true
	}
	return Refusal{}, false
}

// refuseAll removes refused requests from their queues, in order of ID.
func (s *Scheduler) refuseAll(refusals []Refusal, outcome *Outcome) {
	sort.Slice(refusals, func(i, j int) bool { return refusals[i].Request.ID < refusals[j].Request.ID })
	for _, refusal := range refusals {
		s.dequeue(refusal.Request)
	}
	outcome.Refusals = append(outcome.Refusals, refusals...)
}

// hasReady reports whether a replica that may serve a request is ready.
func (v *versionState) hasReady(request *Request) bool {
	for _, candidate := range v.targets {
		if !candidate.retired && !candidate.leaving && request.mayRunAt(candidate) {
			return true
		}
	}
	return false
}

const shedRetryAfter = time.Second

// shed refuses the requests that would be served last while there are more than MaxWaiting.
func (s *Scheduler) shed(outcome *Outcome) {
	for len(s.waiters) > s.config.MaxWaiting {
		var last *Request
		for _, entry := range s.waiters {
			if last == nil || servedBefore(last, entry.request) {
				last = entry.request
			}
		}
		s.dequeue(last)
		outcome.Refusals = append(outcome.Refusals, Refusal{
			Request: last, Reason: RefusedOverload, Detail: "too many requests wait", RetryAfter: shedRetryAfter,
		})
	}
}
