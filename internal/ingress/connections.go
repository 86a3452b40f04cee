package ingress

import "github.com/weldline/weldline/internal/nodeview"

const (
	// mostIdle bounds the resting connections to a machine, however many it takes.
	mostIdle = 8
	// busyPerSlot is how many connections of a machine may be in use for each of its slots: routers
	// send it at most twice as many requests as it runs.
	busyPerSlot = 2
)

// maxIdle returns how many connections to a machine a router keeps while they rest. What a machine takes
// is meant for all routers together, and it resets what comes beyond, so each keeps its share of what
// those in use leave.
func maxIdle(view *nodeview.View) func(machine string) int {
	return func(name string) int {
		machine, known := view.Machine(name)
		if !known {
			return mostIdle
		}
		pool := view.Pool(machine.Spec.Pool)
		if pool == nil || pool.MaxConnections == 0 {
			return mostIdle
		}
		return idleShare(pool.MaxConnections, machine.Spec.Slots, routersOf(view))
	}
}

// idleShare is one router's share of the connections that may rest at a machine; one at least, as a
// router that kept none would connect anew for each request.
func idleShare(connections, slots, routers int) int {
	resting := connections - busyPerSlot*slots
	return min(mostIdle, max(1, resting/max(1, routers)))
}
