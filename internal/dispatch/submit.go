package dispatch

import (
	"time"

	"github.com/weldline/weldline/internal/places"
)

// Submit asks for a replica. The request is granted, refused, or waits.
func (c *Scheduler) Submit(now time.Time, request *Request) Outcome {
	version := c.version(request.Version)
	version.arrivals++
	version.work += request.Work
	version.rate.add(now, request.Work)
	if request.TTFTTarget > 0 && (version.target == 0 || request.TTFTTarget < version.target) {
		version.target = request.TTFTTarget
	}
	if request.Adapter != "" && c.config.PlacedAdapters {
		version.countAdapter(request.Adapter)
	}
	version.countBound(request)
	return c.enqueue(now, version, request)
}

// Resubmit asks again for a request whose replica turned out not to run it.
func (c *Scheduler) Resubmit(now time.Time, request *Request) Outcome {
	return c.enqueue(now, c.version(request.Version), request)
}

func (c *Scheduler) enqueue(now time.Time, version *versionState, request *Request) Outcome {
	var outcome Outcome
	c.waiters[request.ID] = version.queue.push(request)
	c.dispatch(now, version, &outcome, request)
	if c.waiters[request.ID] == nil {
		return outcome
	}
	if refusal, refused := c.refuseEarly(now, version, request); refused {
		c.drop(request)
		outcome.Refusals = append(outcome.Refusals, refusal)
		return outcome
	}
	c.shed(&outcome)
	return outcome
}

// dispatch grants waiting requests of a version, first come first, as long as
// there is room. Fresh is the request that has just come, if any.
func (c *Scheduler) dispatch(now time.Time, version *versionState, outcome *Outcome, fresh *Request) {
	for {
		request, chosen := c.nextGrant(now, version)
		if chosen == nil {
			return
		}
		c.drop(request)
		chosen.inFlight++
		c.noteGrant(now, chosen.Machine, request)
		c.onMachine[chosen.Machine]++
		c.addWork(chosen.Machine, request)
		version.running++
		version.runAdapter(request.Adapter, 1)
		version.runBound(request, 1)
		chosen.remember(now, request)
		outcome.Grants = append(outcome.Grants, Grant{Request: request, Target: chosen.Target, Waited: request != fresh})
	}
}

// nextGrant returns the first request that there is a place for. Requests that wait for an
// adapter that is placed, or for a place in their regions, don't hold up those behind.
func (c *Scheduler) nextGrant(now time.Time, version *versionState) (*Request, *target) {
	first := version.queue.first()
	if first == nil {
		return nil, nil
	}
	if chosen := c.pick(now, version, first); chosen != nil || !c.config.PlacedAdapters && !first.Allowed.IsRestrictive() {
		return first, chosen
	}
	for _, request := range version.queue.sorted() {
		if request == first {
			continue
		}
		if chosen := c.pick(now, version, request); chosen != nil {
			return request, chosen
		}
	}
	return nil, nil
}

func (c *Scheduler) drop(request *Request) {
	entry := c.waiters[request.ID]
	if entry == nil {
		return
	}
	c.versions[request.Version].queue.remove(entry)
	delete(c.waiters, request.ID)
}

// Cancel takes a waiting request out of its queue.
func (c *Scheduler) Cancel(request *Request) {
	c.drop(request)
}

// SetConstraint changes in which regions a waiting request may be served.
func (c *Scheduler) SetConstraint(now time.Time, request *Request, allowed places.Constraint) Outcome {
	var outcome Outcome
	if c.waiters[request.ID] == nil {
		return outcome
	}
	request.Allowed = allowed
	c.dispatch(now, c.version(request.Version), &outcome, nil)
	return outcome
}
