package dispatch

import (
	"slices"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// A request whose only targets stand in drained zones waits for a replica elsewhere, as for a
// model that is not loaded. Where none can be expected in time it is refused at once: the end
// of a drain is an operator's decision, which no deadline of a caller waits for.

// drainRetryAfter is the Retry-After of requests refused for a drain. Operators end drains, and a load elsewhere
// takes seconds, so an earlier try would mostly fail.
const drainRetryAfter = 2 * time.Second

// setDrained notes a target whose zone is drained; it gets nothing.
func (c *Scheduler) setDrained(next Target) {
	c.removeTarget(next.Replica)
	c.unsetDrained(next.Replica)
	c.drained[next.Replica] = next
	version := c.version(next.Version)
	version.drained++
	version.fixed = next.Fixed
}

func (c *Scheduler) unsetDrained(replica string) {
	held, known := c.drained[replica]
	if !known {
		return
	}
	delete(c.drained, replica)
	c.version(held.Version).drained--
}

// replaceDrained takes over all targets whose zones are drained.
func (c *Scheduler) replaceDrained(targets []Target) {
	for replica := range c.drained {
		c.unsetDrained(replica)
	}
	for _, next := range targets {
		c.setDrained(next)
	}
}

// isDrainedOnly reports whether a version has targets in drained zones, and none besides that may
// serve a request.
func (v *versionState) isDrainedOnly(request *Request) bool {
	return v.drained > 0 && !v.hasReady(request)
}

// refuseDrained refuses a request of a version that has targets in drained zones only, if nothing
// else can be expected to take it in time.
func (c *Scheduler) refuseDrained(now time.Time, version *versionState, request *Request) (Refusal, bool) {
	refusal := Refusal{Request: request, Reason: RefusedZoneDrained, RetryAfter: drainRetryAfter}
	estimate := version.estimate
	switch {
	case version.fixed:
		refusal.Detail = "all machines that serve this are in drained zones"
	case estimate == nil:
		return Refusal{}, false // The leader has not been heard on this yet.
	case estimate.Refused:
		return refusalByLeader(request, estimate), true
	case !request.Allowed.IsRestrictive() && estimate.EarliestAt.After(request.Deadline):
		refusal.Detail = "the model will not be loaded elsewhere before the deadline"
		refusal.RetryAfter = estimate.ReadyAt.Sub(now)
	default:
		return Refusal{}, false
	}
	return refusal, true
}

// refuseWaitingForDrained refuses those that wait for what has been drained, versions by name.
func (c *Scheduler) refuseWaitingForDrained(now time.Time, outcome *Outcome) {
	var names []string
	for name, version := range c.versions {
		if len(version.queue.waiting) > 0 && version.drained > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		version := c.versions[name]
		for _, request := range version.queue.sorted() {
			if !version.isDrainedOnly(request) {
				continue
			}
			if refusal, refused := c.refuseDrained(now, version, request); refused {
				c.drop(request)
				outcome.Refusals = append(outcome.Refusals, refusal)
			}
		}
	}
}

// refusalByLeader is what becomes of a request for a version that the leader can't have loaded:
// not at present where all zones that could hold it are drained.
func refusalByLeader(request *Request, estimate *Estimate) Refusal {
	if estimate.Reason == v1.ReasonZoneDrained {
		return Refusal{
			Request: request, Reason: RefusedZoneDrained, Detail: "no machine outside of drained zones can load the model",
			RetryAfter: drainRetryAfter,
		}
	}
	return Refusal{Request: request, Reason: RefusedNotLoadable, Detail: estimate.Reason}
}
