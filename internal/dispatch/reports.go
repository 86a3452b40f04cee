package dispatch

import "time"

// SetLoads replaces the lagged loads of machines (the requests running there by
// all routers together) and the number of routers that share them.
func (c *Scheduler) SetLoads(now time.Time, loads map[string]int, routers int) Outcome {
	c.routers = max(1, routers)
	c.others = map[string]int{}
	for machine, running := range loads {
		c.others[machine] = max(0, running-c.onMachine[machine])
	}
	var outcome Outcome
	c.dispatchAll(now, &outcome)
	return outcome
}

// SetEstimates replaces the leader's estimates, and refuses those who can't
// be served in time by them.
func (c *Scheduler) SetEstimates(now time.Time, estimates map[string]*Estimate) Outcome {
	var outcome Outcome
	for name, version := range c.versions {
		version.estimate = estimates[name]
		if version.estimate == nil {
			continue
		}
		for _, entry := range append([]*waiter(nil), version.queue.waiting...) {
			if refusal, refused := c.refuseEarly(now, version, entry.request); refused {
				c.drop(entry.request)
				outcome.Refusals = append(outcome.Refusals, refusal)
			}
		}
	}
	return outcome
}
