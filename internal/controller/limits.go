package controller

import (
	"maps"
	"math"
	"time"

	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/ratelimit"
)

// unlimitedTime is the assumed duration of a limit: its end is not known in advance.
const unlimitedTime = time.Duration(math.MaxInt64)

// SetLimits replaces the observed rate limits. A change makes the next digest urgent.
func (c *Controller) SetLimits(observed []ratelimit.Observation) {
	limited := map[string]ratelimit.Limit{}
	for _, each := range observed {
		if each.Limit.IsSet {
			limited[each.Machine] = each.Limit
		}
	}
	c.urgent = c.urgent || !maps.Equal(limited, c.activeLimits)
	c.limitObservations, c.activeLimits = observed, limited
}

// applyLimits reduces the capacity of rate-limited machines in the placement input.
func (c *Controller) applyLimits(placed map[string]*placement.Machine) {
	for name, limit := range c.activeLimits {
		machine := placed[name]
		if machine == nil {
			continue
		}
		if machine.ReducedFor > 0 {
			limit.PerSecond = min(limit.PerSecond, machine.ReducedRate)
		}
		machine.ReducedFor, machine.ReducedRate = unlimitedTime, limit.PerSecond
	}
}
