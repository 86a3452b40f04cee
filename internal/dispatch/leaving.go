package dispatch

import (
	"maps"
	"slices"
	"time"
)

// leavingMemory is for how long a machine that is not listed is remembered as leaving. Views of the fleet may
// leave it out for a while and list it again, as ready, before its end has been recorded.
const leavingMemory = 10 * time.Minute

// Leave gives a machine nothing more: it has said that it is about to shut down, whatever views of the fleet
// say. Waiting requests that can't be served because of it are refused. changed is false if that was known.
func (c *Core) Leave(now time.Time, machine string) (outcome Outcome, changed bool) {
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

// Leaving returns the machines that said that they are leaving, by name.
func (c *Core) Leaving() []string {
	return slices.Sorted(maps.Keys(c.leaving))
}

// RetainLeaving forgets machines that have not been listed for a while.
func (c *Core) RetainLeaving(now time.Time, isListed func(machine string) bool) {
	maps.DeleteFunc(c.leaving, func(machine string, seen time.Time) bool {
		if isListed(machine) {
			c.leaving[machine] = now
			return false
		}
		return now.Sub(seen) > leavingMemory
	})
}
