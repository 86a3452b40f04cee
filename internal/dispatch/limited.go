package dispatch

import "time"

// maxRetryAfter caps the Retry-After of requests that machines leave no room for: a limit or rest may have
// ended by then, or another machine may serve.
const maxRetryAfter = 10 * time.Second

// refuseBeyondLimits refuses a request that can't be served while it waits because all its machines are limited,
// even if this router got all their capacity. It does not refuse one for which another replica may be ready in time.
func (c *Scheduler) refuseBeyondLimits(now time.Time, version *versionState, request *Request) (Refusal, bool) {
	perSecond, isLimited := c.limitOf(version, request)
	until := request.waitsUntil()
	if !isLimited || version.mayBeReadyElsewhere(until) {
		return Refusal{}, false
	}
	ahead := version.queue.before(request)
	if most := max(1, perSecond) + perSecond*until.Sub(now).Seconds(); float64(ahead) < most {
		return Refusal{}, false
	}
	refusal := Refusal{Request: request, Reason: RefusedLimited, Detail: detailsOfPaced[RefusedLimited]}
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

// limitOf returns the sum of the limits of the machines that could take a request. isLimited is false if one of
// them is not limited, or there is none.
func (c *Scheduler) limitOf(version *versionState, request *Request) (perSecond float64, isLimited bool) {
	if len(c.limited) == 0 {
		return 0, false // As nearly always: a request that waits costs no look at its targets.
	}
	for _, candidate := range version.targets {
		if c.isExcluded(candidate, request) {
			continue
		}
		limit := c.limited[candidate.Machine]
		if !limit.IsSet {
			return 0, false
		}
		perSecond, isLimited = perSecond+limit.PerSecond, true
	}
	return perSecond, isLimited
}

// waitsUntil is until when a request waits for a place.
func (r *Request) waitsUntil() time.Time {
	if r.QueueDeadline.IsZero() || r.Deadline.Before(r.QueueDeadline) {
		return r.Deadline
	}
	return r.QueueDeadline
}

// mayBeReadyElsewhere reports whether a further replica may be ready by a time.
func (v *versionState) mayBeReadyElsewhere(by time.Time) bool {
	return v.estimate != nil && !v.estimate.Refused && !v.estimate.EarliestAt.After(by)
}

// before counts the requests that are served before another.
func (q *queue) before(request *Request) int {
	count := 0
	for _, entry := range q.waiting {
		if servedBefore(entry.request, request) {
			count++
		}
	}
	return count
}
