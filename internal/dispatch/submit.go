package dispatch

import (
	"time"

	"github.com/weldline/weldline/internal/places"
)

// Submit grants, refuses or queues a request.
func (s *Scheduler) Submit(now time.Time, request *Request) Outcome {
	version := s.version(request.Version)
	if request.Forwarded {
		return s.enqueue(now, version, request)
	}
	version.arrivals++
	version.work += request.Work
	version.rate.add(now, request.Work)
	if request.TTFTTarget > 0 && (version.ttftTarget == 0 || request.TTFTTarget < version.ttftTarget) {
		version.ttftTarget = request.TTFTTarget
	}
	if request.Adapter != "" && s.config.PlacedAdapters {
		version.countAdapter(request.Adapter)
	}
	version.countConstrained(request)
	return s.enqueue(now, version, request)
}

// Resubmit submits a request again that its target did not run.
func (s *Scheduler) Resubmit(now time.Time, request *Request) Outcome {
	return s.enqueue(now, s.version(request.Version), request)
}

func (s *Scheduler) enqueue(now time.Time, version *versionState, request *Request) Outcome {
	var outcome Outcome
	if request.isExpired(now) {
		outcome.Refusals = append(outcome.Refusals, Refusal{Request: request, Reason: RefusedDeadline, Detail: "the deadline has passed"})
		return outcome
	}
	s.waiters[request.ID] = version.queue.push(request)
	s.dispatch(now, version, &outcome, request)
	if s.waiters[request.ID] == nil {
		return outcome
	}
	if refusal, refused := s.refuseUnreachable(now, version, request); refused {
		s.dequeue(request)
		outcome.Refusals = append(outcome.Refusals, refusal)
		return outcome
	}
	if refusal, refused := s.refuseEarly(now, version, request); refused {
		s.dequeue(request)
		outcome.Refusals = append(outcome.Refusals, refusal)
		return outcome
	}
	s.shed(&outcome)
	return outcome
}

// dispatch grants waiting requests of a version in serving order while there is capacity. fresh is
// the request just submitted, or nil. Requests whose time is over are refused instead: Tick may be late, for
// example after a pause of the process. The fresh one does not wait, and enqueue has checked its deadline.
func (s *Scheduler) dispatch(now time.Time, version *versionState, outcome *Outcome, fresh *Request) {
	for {
		request, chosen := s.nextGrant(now, version)
		if chosen == nil {
			return
		}
		s.dequeue(request)
		if request != fresh && request.isQueueExpired(now) {
			outcome.Refusals = append(outcome.Refusals, s.expiryRefusal(now, request))
			continue
		}
		chosen.inFlight++
		s.recordGrant(now, chosen.Machine, request)
		s.exposeBrittle(now, chosen.Machine, request)
		s.ownLoad[chosen.Machine]++
		s.addWork(chosen.Machine, request)
		version.running++
		version.adjustAdapterRunning(request.Adapter, 1)
		version.adjustConstrainedRunning(request, 1)
		chosen.recordCached(now, request)
		outcome.Grants = append(outcome.Grants, Grant{Request: request, Target: chosen.Target, Waited: request != fresh})
	}
}

// nextGrant returns the first request that can be granted. Requests that wait for a placed adapter,
// for their regions or for their software don't block the others.
func (s *Scheduler) nextGrant(now time.Time, version *versionState) (*Request, *target) {
	first := version.queue.first()
	if first == nil {
		return nil, nil
	}
	if chosen := s.pick(now, version, first); chosen != nil || !s.config.PlacedAdapters && !first.isConstrained() {
		return first, chosen
	}
	for _, request := range version.queue.sorted() {
		if request == first {
			continue
		}
		if chosen := s.pick(now, version, request); chosen != nil {
			return request, chosen
		}
	}
	return nil, nil
}

func (s *Scheduler) dequeue(request *Request) {
	entry := s.waiters[request.ID]
	if entry == nil {
		return
	}
	s.versions[request.Version].queue.remove(entry)
	delete(s.waiters, request.ID)
}

// Cancel removes a waiting request from its queue.
func (s *Scheduler) Cancel(request *Request) {
	s.dequeue(request)
}

// SetConstraint changes the region constraint of a waiting request.
func (s *Scheduler) SetConstraint(now time.Time, request *Request, allowed places.Constraint) Outcome {
	var outcome Outcome
	if s.waiters[request.ID] == nil {
		return outcome
	}
	request.Allowed = allowed
	s.dispatch(now, s.version(request.Version), &outcome, nil)
	return outcome
}
