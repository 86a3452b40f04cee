package dispatch

import (
	"maps"
	"slices"
	"time"
)

// leavingMemory is how long an unlisted machine is remembered as leaving. A view of the fleet may omit a machine for a
// while and then list it as ready again before its end has been recorded.
const leavingMemory = 10 * time.Minute

// MarkLeaving excludes a machine that stated that it is about to shut down, whatever later views of the fleet list. Waiting
// requests that can't be served in time because of it are refused. changed is false if the machine was excluded
// already.
func (c *Scheduler) MarkLeaving(now time.Time, machine string) (outcome Outcome, changed bool) {
	_, known := c.leaving[machine]
	c.leaving[machine] = now
	if known {
		return outcome, false
	}
	for _, held := range c.targets {
		if held.Machine == machine {
			held.leaving = true
		}
	}
	c.refuseWaitingFor(now, machine, &outcome)
	return outcome, true
}

// LeavingMachines returns the machines that stated that they are leaving, sorted by name.
func (c *Scheduler) LeavingMachines() []string {
	return slices.Sorted(maps.Keys(c.leaving))
}

// RetainLeaving forgets machines that have not been listed for a while.
func (c *Scheduler) RetainLeaving(now time.Time, isListed func(machine string) bool) {
	maps.DeleteFunc(c.leaving, func(machine string, seen time.Time) bool {
		if isListed(machine) {
			c.leaving[machine] = now
			return false
		}
		return now.Sub(seen) > leavingMemory
	})
}
