package dispatch

import "time"

// SetLoads replaces the lagged loads of machines, in running requests of all routers, and the
// number of routers.
func (s *Scheduler) SetLoads(now time.Time, loads map[string]int, routers int) Outcome {
	s.routers = max(1, routers)
	s.othersLoad = map[string]int{}
	for machine, running := range loads {
		s.othersLoad[machine] = max(0, running-s.ownLoad[machine])
	}
	var outcome Outcome
	s.dispatchAll(now, &outcome)
	return outcome
}

// SetEstimates replaces the leader's estimates and refuses waiting requests that can't be served
// in time.
func (s *Scheduler) SetEstimates(now time.Time, estimates map[string]*Estimate) Outcome {
	var outcome Outcome
	for name, version := range s.versions {
		version.estimate = estimates[name]
		if version.estimate == nil {
			continue
		}
		for _, entry := range append([]*waiter(nil), version.queue.waiting...) {
			if refusal, refused := s.refuseEarly(now, version, entry.request); refused {
				s.dequeue(entry.request)
				outcome.Refusals = append(outcome.Refusals, refusal)
			}
		}
	}
	return outcome
}
