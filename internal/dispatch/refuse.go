package dispatch

import "time"

// refuseEarly refuses a request that is known to be out of reach by its deadline, even if
// all goes well, so that its caller learns it now and not at the deadline.
func (c *Scheduler) refuseEarly(now time.Time, version *versionState, request *Request) (Refusal, bool) {
	if !now.Before(request.Deadline) {
		return Refusal{Request: request, Reason: RefusedDeadline, Detail: "the deadline has passed"}, true
	}
	if version.isDrainedOnly(request) {
		return c.refuseDrained(now, version, request)
	}
	if refusal, refused := c.refuseBeyondLimits(now, version, request); refused {
		return refusal, true
	}
	if refusal, refused := c.refuseResting(now, version, request); refused {
		return refusal, true
	}
	estimate := version.estimate
	if estimate == nil || version.hasReady(request) {
		return Refusal{}, false
	}
	if estimate.Refused {
		return refusalByLeader(request, estimate), true
	}
	// When a replica is ready is said of the version as a whole: one in the request's regions may
	// be ready sooner, so nobody who is bound to some is refused for it.
	if !request.Allowed.IsRestrictive() && estimate.EarliestAt.After(request.Deadline) {
		return Refusal{
			Request: request, Reason: RefusedDeadline, Detail: "the model will not be loaded before the deadline",
			RetryAfter: estimate.ReadyAt.Sub(now),
		}, true
	}
	return Refusal{}, false
}

// hasReady reports whether a replica that may serve a request is ready.
func (v *versionState) hasReady(request *Request) bool {
	for _, held := range v.targets {
		if !held.retired && !held.leaving && request.Allowed.Allows(held.Region) {
			return true
		}
	}
	return false
}

// shedRetryAfter is the Retry-After of requests that were shed.
const shedRetryAfter = time.Second

// shed refuses the last to be served while more wait than may.
func (c *Scheduler) shed(outcome *Outcome) {
	for len(c.waiters) > c.config.MaxWaiting {
		var last *Request
		for _, entry := range c.waiters {
			if last == nil || servedBefore(last, entry.request) {
				last = entry.request
			}
		}
		c.drop(last)
		outcome.Refusals = append(outcome.Refusals, Refusal{
			Request: last, Reason: RefusedOverload, Detail: "too many requests wait", RetryAfter: shedRetryAfter,
		})
	}
}
