package controller

import (
	"maps"
	"math"
	"time"

	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/ratelimit"
)

// openEnd is the assumed duration of a limit: its end is not known in advance.
const openEnd = time.Duration(math.MaxInt64)

// SetLimits replaces the stated limits. A change is published in a digest at once.
func (c *Controller) SetLimits(observed []ratelimit.Observation) {
	limited := map[string]ratelimit.Limit{}
	for _, each := range observed {
		if each.Limit.IsSet {
			limited[each.Machine] = each.Limit
		}
	}
	c.urgent = c.urgent || !maps.Equal(limited, c.limited)
	c.limits, c.limited = observed, limited
}

// addLimits reduces the capacity of limited machines for placement.
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
