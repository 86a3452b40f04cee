package dispatch

import "time"

// maxRetryAfter caps the Retry-After of requests refused because of limits or backoffs, which may
// end early.
const maxRetryAfter = 10 * time.Second

// refuseBeyondLimits refuses a request that can't be served in time because all its machines are
// rate-limited, even if this router got all their capacity. It does not refuse a request for which
// another replica may be ready in time.
func (s *Scheduler) refuseBeyondLimits(now time.Time, version *versionState, request *Request) (Refusal, bool) {
	perSecond, isLimited := s.rateLimitOf(version, request)
	until := request.queuedUntil()
	if !isLimited || version.mayBeReadyElsewhere(until) {
		return Refusal{}, false
	}
	ahead := version.queue.countAhead(request)
	if capacity := max(1, perSecond) + perSecond*until.Sub(now).Seconds(); float64(ahead) < capacity {
		return Refusal{}, false
	}
	refusal := Refusal{Request: request, Reason: RefusedLimited, Detail: throttlingDetails[RefusedLimited]}
	refusal.RetryAfter = retryAfterLimit(ahead, perSecond)
	return refusal, true
}

// retryAfterLimit is how long it takes to serve the requests ahead at a rate, up to maxRetryAfter.
func retryAfterLimit(ahead int, perSecond float64) time.Duration {
	if float64(ahead) >= perSecond*maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// rateLimitOf returns the sum of the rate limits of the machines that could serve a request.
// isLimited is false if one of them is unlimited, or there are none.
func (s *Scheduler) rateLimitOf(version *versionState, request *Request) (perSecond float64, isLimited bool) {
	if len(s.limited) == 0 {
		return 0, false // Fast path: avoids visiting the targets.
	}
	for _, candidate := range version.targets {
		if s.isExcluded(candidate, request) {
			continue
		}
		limit := s.limited[candidate.Machine]
		if !limit.IsSet {
			return 0, false
		}
		perSecond, isLimited = perSecond+limit.PerSecond, true
	}
	return perSecond, isLimited
}

// queuedUntil is the end of the request's time in the queue.
func (r *Request) queuedUntil() time.Time {
	if r.QueueDeadline.IsZero() || r.Deadline.Before(r.QueueDeadline) {
		return r.Deadline
	}
	return r.QueueDeadline
}

// mayBeReadyElsewhere reports whether another replica may be ready by the given time.
func (v *versionState) mayBeReadyElsewhere(by time.Time) bool {
	return v.estimate != nil && !v.estimate.Refused && !v.estimate.EarliestAt.After(by)
}

// countAhead counts the waiting requests that are served before another.
func (q *queue) countAhead(request *Request) int {
	count := 0
	for _, entry := range q.waiting {
		if servedBefore(entry.request, request) {
			count++
		}
	}
	return count
}
