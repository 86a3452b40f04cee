package dispatch

import (
	"maps"
	"slices"
	"time"
)

// An overloaded machine can ask a router to back off: to send no requests for a while. Routers
// that were asked at the same moment would also resume at the same moment and overload the machine
// again, so each backoff is extended by random jitter, and followed by a single probe request
// before others are sent.

const (
	// backoffJitter is the largest extension of a backoff, as a fraction of it.
	backoffJitter    = 0.5
	maxBackoffJitter = time.Second
	// probeTimeout is how long other requests wait for the probe. Machines reject within a round
	// trip, so one that has not rejected the probe by then accepts requests again.
	probeTimeout = 100 * time.Millisecond
)

// backoff is the backoff of one machine. It is kept until a request has been accepted after it.
type backoff struct {
	until time.Time
	// probe is the ID of the first request granted after the backoff; 0 if there is none yet.
	probe   uint64
	probeAt time.Time
}

func (b *backoff) allowsGrant(now time.Time) bool {
	return !now.Before(b.until) && (b.probe == 0 || !now.Before(b.probeAt.Add(probeTimeout)))
}

// BackOff withholds requests from a machine for a duration plus jitter. It never shortens a
// backoff in force. Waiting requests that can't be served in time because of it are refused.
func (s *Scheduler) BackOff(now time.Time, machine string, duration time.Duration) Outcome {
	var outcome Outcome
	until := now.Add(duration + s.jitter(now, machine, duration))
	if existing := s.backoffs[machine]; existing != nil && until.Before(existing.until) {
		return outcome
	}
	s.backoffs[machine] = &backoff{until: until}
	s.refuseWaitingOn(now, machine, &outcome)
	return outcome
}

// jitter is the random extension of a backoff. It shrinks with the number of routers.
func (s *Scheduler) jitter(now time.Time, machine string, duration time.Duration) time.Duration {
	spread := 1 - 1/float64(max(1, s.routers))
	maxJitter := min(maxBackoffJitter.Seconds(), duration.Seconds()*backoffJitter) * spread
	return time.Duration(uniform(s.config.Seed+uint64(now.UnixNano()), machine) * maxJitter * float64(time.Second))
}

// MayWrite reports whether a granted request may still be written to its machine, which may have
// requested a backoff or announced its shutdown since the grant.
func (s *Scheduler) MayWrite(now time.Time, grant Grant) bool {
	existing := s.backoffs[grant.Target.Machine]
	isBackedOff := existing != nil && now.Before(existing.until)
	_, isLeaving := s.leaving[grant.Target.Machine]
	return !isBackedOff && !isLeaving
}

// BackoffCount returns how many machines have a backoff in force.
func (s *Scheduler) BackoffCount(now time.Time) int {
	count := 0
	for _, existing := range s.backoffs {
		if now.Before(existing.until) {
			count++
		}
	}
	return count
}

func (s *Scheduler) allowsGrant(now time.Time, machine string) bool {
	existing := s.backoffs[machine]
	return existing == nil || existing.allowsGrant(now)
}

// recordGrant makes the first request after a backoff its probe, and ends a backoff whose probe
// timed out without a rejection.
func (s *Scheduler) recordGrant(now time.Time, machine string, request *Request) {
	existing := s.backoffs[machine]
	if existing == nil {
		return
	}
	if existing.probe != 0 {
		delete(s.backoffs, machine)
		return
	}
	existing.probe, existing.probeAt = request.ID, now
}

// recordProbe records how a probe ended. If it was rejected or not sent, the next request becomes
// the probe; any other end shows that the machine accepts requests, or is handled by its health.
func (s *Scheduler) recordProbe(grant Grant, accepted bool) {
	existing := s.backoffs[grant.Target.Machine]
	if existing == nil || existing.probe != grant.Request.ID {
		return
	}
	if accepted {
		delete(s.backoffs, grant.Target.Machine)
		return
	}
	existing.probe = 0
}

// RetryAfterBackoff returns how long it takes until the first machine that could serve a request
// ends its backoff, up to maxRetryAfter. It includes machines that the request was already sent
// to, since a retry of the caller is a new request. allBackedOff is false if one of the machines
// accepts requests, or there are none.
func (s *Scheduler) RetryAfterBackoff(now time.Time, request *Request) (retryAfter time.Duration, allBackedOff bool) {
	if len(s.backoffs) == 0 {
		return 0, false // Fast path: avoids visiting the targets.
	}
	retry := *request
	retry.TriedMachines = nil
	wait, allBackedOff := s.untilBackoffEnds(now, s.version(request.Version), &retry)
	return min(wait, maxRetryAfter), allBackedOff
}

// untilBackoffEnds returns how long it takes until the first machine that could serve a request
// ends its backoff, if all of them have one.
func (s *Scheduler) untilBackoffEnds(now time.Time, version *versionState, request *Request) (wait time.Duration, allBackedOff bool) {
	for _, candidate := range version.targets {
		if s.isExcluded(candidate, request) {
			continue
		}
		existing := s.backoffs[candidate.Machine]
		if existing == nil || !now.Before(existing.until) {
			return 0, false
		}
		if remaining := existing.until.Sub(now); !allBackedOff || remaining < wait {
			wait, allBackedOff = remaining, true
		}
	}
	return wait, allBackedOff
}

// refuseBackedOff refuses a request if all machines that could serve it back off beyond its time
// in the queue, or have already rejected it.
func (s *Scheduler) refuseBackedOff(now time.Time, version *versionState, request *Request) (Refusal, bool) {
	retryAfter, allBackedOff := s.RetryAfterBackoff(now, request)
	until := request.queuedUntil()
	if !allBackedOff || version.mayBeReadyElsewhere(until) {
		return Refusal{}, false
	}
	if wait, isTemporary := s.untilBackoffEnds(now, version, request); isTemporary && !now.Add(wait).After(until) {
		return Refusal{}, false
	}
	return Refusal{Request: request, Reason: RefusedBackoff, Detail: throttlingDetails[RefusedBackoff], RetryAfter: retryAfter}, true
}

// refuseWaitingOn refuses the waiting requests that can't be served in time any more because a
// machine gets no requests.
func (s *Scheduler) refuseWaitingOn(now time.Time, machine string, outcome *Outcome) {
	for _, name := range s.waitingVersionsOn(machine) {
		version := s.versions[name]
		for _, request := range version.queue.sorted() {
			if refusal, refused := s.refuseEarly(now, version, request); refused {
				s.dequeue(request)
				outcome.Refusals = append(outcome.Refusals, refusal)
			}
		}
	}
}

// waitingVersionsOn returns the versions with waiting requests and a target on a machine, sorted
// by name.
func (s *Scheduler) waitingVersionsOn(machine string) []string {
	found := map[string]bool{}
	for _, candidate := range s.targets {
		if candidate.Machine == machine && len(s.version(candidate.Version).queue.waiting) > 0 {
			found[candidate.Version] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// RetainBackoffs forgets the ended backoffs of unlisted machines.
func (s *Scheduler) RetainBackoffs(now time.Time, isListed func(machine string) bool) {
	maps.DeleteFunc(s.backoffs, func(machine string, existing *backoff) bool {
		return !now.Before(existing.until) && !isListed(machine)
	})
}
