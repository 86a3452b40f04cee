package controller

import (
	"maps"

	"github.com/weldline/weldline/internal/ratelimit"
)

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
