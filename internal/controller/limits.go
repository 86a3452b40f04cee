package controller

import (
	"maps"
	"math"
	"time"

	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/ratelimit"
)

// openEnd is for how long a limit is taken to last: nothing tells when it ends.
const openEnd = time.Duration(math.MaxInt64)

// SetLimits takes what is known of the limits that machines name. Routers hear of a change at once.
func (c *Controller) SetLimits(told []ratelimit.Told) {
	limited := map[string]ratelimit.Limit{}
	for _, each := range told {
		if each.Limit.IsSet {
			limited[each.Machine] = each.Limit
		}
	}
	c.urgent = c.urgent || !maps.Equal(limited, c.limited)
	c.limits, c.limited = told, limited
}

// addLimits tells placement which machines name a limit: what they don't take, others must.
func (c *Controller) addLimits(placed map[string]*placement.Machine) {
	for name, limit := range c.limited {
		machine := placed[name]
		if machine == nil {
			continue
		}
		if machine.ReducedFor > 0 {
			limit.PerSecond = min(limit.PerSecond, machine.ReducedRate)
		}
		machine.ReducedFor, machine.ReducedRate = openEnd, limit.PerSecond
	}
}
