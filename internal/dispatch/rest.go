package dispatch

import (
	"maps"
	"slices"
	"time"
)

// An overloaded machine can ask this router for a rest: no requests for a span. Routers that were asked at the same
// moment would also return at the same moment, each with a queue, and overload the machine again. So a rest is
// extended by a random part, and a single trial request follows it before the others.

const (
	// restSpread is the largest extension of a rest, as a share of it.
	restSpread = 0.5
	// maxRestSpread caps the extension.
	maxRestSpread = time.Second
	// trialTime is how long other requests wait for the trial. Machines reject within a round trip, so one that
	// has not rejected the trial by then accepts requests again.
	trialTime = 100 * time.Millisecond
)

// rest is the rest of one machine. It is held until a request has been accepted after it.
type rest struct {
	until time.Time
	// trial is the ID of the first request granted after the rest, at trialAt; 0 if there is none yet.
	trial   uint64
	trialAt time.Time
}

// allowsGrant reports whether the machine may be granted a request.
func (r *rest) allowsGrant(now time.Time) bool {
	return !now.Before(r.until) && (r.trial == 0 || !now.Before(r.trialAt.Add(trialTime)))
}

// BackOff withholds requests from a machine for a span and its random extension. It never shortens a rest in force.
// Waiting requests that can't be served in time because of it are refused.
func (c *Scheduler) BackOff(now time.Time, machine string, span time.Duration) Outcome {
	var outcome Outcome
	until := now.Add(span + c.restExtension(now, machine, span))
	if held := c.rests[machine]; held != nil && until.Before(held.until) {
		return outcome
	}
	c.rests[machine] = &rest{until: until}
	c.refuseWaitingFor(now, machine, &outcome)
	return outcome
}

// restExtension is the random extension of a rest. It shrinks with the number of routers to be spread.
func (c *Scheduler) restExtension(now time.Time, machine string, span time.Duration) time.Duration {
	others := 1 - 1/float64(max(1, c.routers))
	longest := min(maxRestSpread.Seconds(), span.Seconds()*restSpread) * others
	return time.Duration(uniform(c.config.Seed+uint64(now.UnixNano()), machine) * longest * float64(time.Second))
}

// MayWrite reports whether a granted request may still be written to its machine, which may have asked for a rest or
// started to leave since the grant.
func (c *Scheduler) MayWrite(now time.Time, grant Grant) bool {
	held := c.rests[grant.Target.Machine]
	isResting := held != nil && now.Before(held.until)
	_, isLeaving := c.leaving[grant.Target.Machine]
	return !isResting && !isLeaving
}

// BackoffCount returns how many machines rest.
func (c *Scheduler) BackoffCount(now time.Time) int {
	count := 0
	for _, held := range c.rests {
		if now.Before(held.until) {
			count++
		}
	}
	return count
}

func (c *Scheduler) allowsGrant(now time.Time, machine string) bool {
	held := c.rests[machine]
	return held == nil || held.allowsGrant(now)
}

// noteGrant makes the first request after a rest its trial, and ends a rest whose trial is over.
func (c *Scheduler) noteGrant(now time.Time, machine string, request *Request) {
	held := c.rests[machine]
	if held == nil {
		return
	}
	if held.trial != 0 {
		delete(c.rests, machine)
		return
	}
	held.trial, held.trialAt = request.ID, now
}

// noteTrial records how a trial ended. A rejected or unsent trial lets the next request try; any other end shows
// that the machine takes requests, or is a matter of its health.
func (c *Scheduler) noteTrial(grant Grant, accepted bool) {
	held := c.rests[grant.Target.Machine]
	if held == nil || held.trial != grant.Request.ID {
		return
	}
	if accepted {
		delete(c.rests, grant.Target.Machine)
		return
	}
	held.trial = 0
}

// RetryAfterBackoff returns when the first machine that could take a request ends its rest, up to maxRetryAfter. It
// includes machines that the request was already sent to, since the caller's next try is a new request. allRest is
// false if one of the machines does not rest, or there is none.
func (c *Scheduler) RetryAfterBackoff(now time.Time, request *Request) (retryAfter time.Duration, allRest bool) {
	if len(c.rests) == 0 {
		return 0, false // The usual case, which need not look at the targets.
	}
	anew := *request
	anew.TriedMachines = nil
	wait, allRest := c.untilRested(now, c.version(request.Version), &anew)
	return min(wait, maxRetryAfter), allRest
}

// untilRested returns how long it takes until the first machine that could take a request ends its rest, if all of
// them rest.
func (c *Scheduler) untilRested(now time.Time, version *versionState, request *Request) (wait time.Duration, allRest bool) {
	for _, candidate := range version.targets {
		if c.isExcluded(candidate, request) {
			continue
		}
		held := c.rests[candidate.Machine]
		if held == nil || !now.Before(held.until) {
			return 0, false
		}
		if remaining := held.until.Sub(now); !allRest || remaining < wait {
			wait, allRest = remaining, true
		}
	}
	return wait, allRest
}

// refuseResting refuses a request if all machines that could take it rest for longer than it waits, or have
// rejected it before they rested.
func (c *Scheduler) refuseResting(now time.Time, version *versionState, request *Request) (Refusal, bool) {
	retryAfter, allRest := c.RetryAfterBackoff(now, request)
	until := request.waitsUntil()
	if !allRest || version.mayBeReadyElsewhere(until) {
		return Refusal{}, false
	}
	if wait, mayReturn := c.untilRested(now, version, request); mayReturn && !now.Add(wait).After(until) {
		return Refusal{}, false
	}
	return Refusal{Request: request, Reason: RefusedBackoff, Detail: detailsOfPaced[RefusedBackoff], RetryAfter: retryAfter}, true
}

// refuseWaitingFor refuses waiting requests for the versions of a machine that can't be served in time any more.
func (c *Scheduler) refuseWaitingFor(now time.Time, machine string, outcome *Outcome) {
	for _, name := range c.versionsOn(machine) {
		version := c.versions[name]
		for _, request := range version.queue.sorted() {
			if refusal, refused := c.refuseEarly(now, version, request); refused {
				c.drop(request)
				outcome.Refusals = append(outcome.Refusals, refusal)
			}
		}
	}
}

// versionsOn returns the versions with a target on a machine for which requests wait, by name.
func (c *Scheduler) versionsOn(machine string) []string {
	found := map[string]bool{}
	for _, held := range c.targets {
		if held.Machine == machine && len(c.version(held.Version).queue.waiting) > 0 {
			found[held.Version] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// RetainBackoffs forgets the ended rests of machines that are not listed any more.
func (c *Scheduler) RetainBackoffs(now time.Time, isListed func(machine string) bool) {
	maps.DeleteFunc(c.rests, func(machine string, held *rest) bool {
		return !now.Before(held.until) && !isListed(machine)
	})
}
