package dispatch

import "time"

// target is a Target with its load.
type target struct {
	Target
	inFlight int
	// retired targets get nothing new and are dropped when idle.
	retired bool
	// leaving targets get nothing new: their machine has said that it shuts down.
	leaving  bool
	health   health
	adapters map[string]time.Time
	prefixes prefixCache
}

// SetTargets replaces the replicas that may get requests.
func (c *Scheduler) SetTargets(now time.Time, targets []Target) Outcome {
	var outcome Outcome
	listed := make(map[string]bool, len(targets))
	for _, next := range targets {
		listed[next.Replica] = true
		c.putTarget(next)
	}
	for name, held := range c.targets {
		if !listed[name] {
			c.retire(held)
		}
	}
	c.forgetAnswers()
	c.dispatchAll(now, &outcome)
	return outcome
}

// replaceTargets is SetTargets with those in drained zones beside.
func (c *Scheduler) replaceTargets(now time.Time, changes TargetChanges) Outcome {
	c.replaceDrained(changes.Drained)
	outcome := c.SetTargets(now, changes.Targets)
	c.refuseWaitingForDrained(now, &outcome)
	return outcome
}

// ChangeTargets takes over what is new in the replicas that may get requests. It costs what
// has changed, where SetTargets costs all that there is.
func (c *Scheduler) ChangeTargets(now time.Time, changes TargetChanges) Outcome {
	if changes.Full {
		return c.replaceTargets(now, changes)
	}
	var outcome Outcome
	for _, next := range changes.Targets {
		c.putTarget(next)
	}
	for _, name := range changes.Removed {
		c.unsetDrained(name)
		c.removeTarget(name)
	}
	for _, next := range changes.Drained {
		c.setDrained(next)
	}
	if len(changes.Removed) > 0 || len(changes.Drained) > 0 {
		c.forgetAnswers() // Once for all of them: a drain takes out a whole zone's.
	}
	c.dispatchAll(now, &outcome)
	c.refuseWaitingForDrained(now, &outcome)
	return outcome
}

// removeTarget gives a target nothing new, if there is one of that name.
func (c *Scheduler) removeTarget(name string) {
	if held := c.targets[name]; held != nil {
		c.retire(held)
	}
}

func (c *Scheduler) putTarget(next Target) {
	c.unsetDrained(next.Replica)
	if held := c.targets[next.Replica]; held != nil {
		held.Target = next
		held.retired = false
		return
	}
	_, isLeaving := c.leaving[next.Machine]
	added := &target{Target: next, leaving: isLeaving, adapters: map[string]time.Time{}}
	c.targets[next.Replica] = added
	version := c.version(next.Version)
	version.targets = append(version.targets, added)
}

// retire gives a target nothing new; it is dropped once it is idle.
func (c *Scheduler) retire(held *target) {
	held.retired = true
	if held.inFlight == 0 {
		c.forget(held)
	}
}

func (c *Scheduler) forget(held *target) {
	delete(c.targets, held.Replica)
	version := c.version(held.Version)
	for position, other := range version.targets {
		if other == held {
			version.targets = append(version.targets[:position], version.targets[position+1:]...)
			return
		}
	}
}
