package faultsim

import (
	"time"

	"github.com/weldline/weldline/internal/dispatch"
)

const (
	// restAsked is the rest that an overloaded engine asks a router for.
	restAsked = 2 * time.Second
	// restGrace is how long after a router has heard of a rest requests may still arrive that were under way.
	restGrace = 500 * time.Millisecond
	// mostDuringRest is how many requests of one router may reach the engine from then to the end of the rest.
	mostDuringRest = 2
)

// restSpan is a rest that a router was asked for by one life of an engine.
type restSpan struct {
	from, until time.Duration
	arrived     int
}

// restKey names a router's life and an engine's.
type restKey struct {
	router, engine string
	epoch          int
	incarnation    uint64
}

func restKeyOf(router *routerNode, m *machine) restKey {
	return restKey{router: router.name, engine: m.name, epoch: router.epoch, incarnation: m.incarnation}
}

// overload makes an engine reject all requests, each with a rest.
func (w *world) overload(m *machine) func() {
	if m.overloaded {
		return nil
	}
	m.overloaded = true
	return func() { m.overloaded = false }
}

// rejected takes an engine's rejection, which asked for a rest.
func (r *routerNode) rejected(entry *inference, grant dispatch.Grant, from *machine) {
	if r.world.mutation != MutationIgnoreBackoff {
		r.deliver(r.core.BackOff(r.wall(), grant.Target.Machine, restAsked))
	}
	r.world.checks.restAsked(r, from)
	r.again(entry, grant, dispatch.ResultRejected)
}

// restAsked notes that a router has been asked for a rest. A rest may be extended, not shortened.
func (c *checks) restAsked(router *routerNode, m *machine) {
	now := c.world.Now()
	c.rests[restKeyOf(router, m)] = append(c.rests[restKeyOf(router, m)], &restSpan{from: now + restGrace, until: now + restAsked})
}

// arrivedAt counts a request that reaches an engine against the rests that its router was asked for.
func (c *checks) arrivedAt(m *machine, router *routerNode) {
	now := c.world.Now()
	for _, span := range c.rests[restKeyOf(router, m)] {
		if now <= span.from || now >= span.until {
			continue
		}
		if span.arrived++; span.arrived > mostDuringRest {
			c.violate(CheckBackoff, "%s got %d requests from %s during a rest until %s", m.name, span.arrived, router.name, span.until)
		}
	}
}
