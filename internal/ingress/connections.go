package ingress

import "github.com/weldline/weldline/internal/nodeview"

const (
	maxIdlePerMachine = 8
	// activePerSlot is the maximum number of active connections per slot of a machine: the dispatcher
	// allows two requests per slot.
	activePerSlot = 2
)

// maxIdle returns a function for the number of idle connections to keep to a machine. A machine resets
// connections beyond the limit of its pool, which all routers share.
func maxIdle(view *nodeview.View) func(machine string) int {
	return func(name string) int {
		machine, known := view.Machine(name)
		if !known {
			return maxIdlePerMachine
		}
		pool := view.Pool(machine.Spec.Pool)
		if pool == nil || pool.MaxConnections == 0 {
			return maxIdlePerMachine
		}
		return idleShare(pool.MaxConnections, machine.Spec.Slots, routersOf(view))
	}
}

// idleShare returns a router's share of a machine's idle connections. It is at least one, since without
// idle connections each request would need a new one.
func idleShare(connections, slots, routers int) int {
	idle := connections - activePerSlot*slots
	return min(maxIdlePerMachine, max(1, idle/max(1, routers)))
}
