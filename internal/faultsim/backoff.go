package faultsim

import (
	"time"

	"github.com/weldline/weldline/internal/dispatch"
)

const (
	backoffDuration = 2 * time.Second
	// backoffGrace covers requests that were in flight when the router received the backoff.
	backoffGrace = 500 * time.Millisecond
	// maxRequestsDuringBackoff limits the requests of one router per backoff period.
	maxRequestsDuringBackoff = 2
)

// backoffPeriod is a backoff that one engine instance requested from one router process.
type backoffPeriod struct {
	start, end time.Duration
	requests   int
}

// backoffKey identifies a router process and an engine instance.
type backoffKey struct {
	router, engine string
	epoch          int
	incarnation    uint64
}

func backoffKeyOf(router *routerNode, m *machine) backoffKey {
	return backoffKey{router: router.name, engine: m.name, epoch: router.epoch, incarnation: m.incarnation}
}

// overloadEngine makes an engine reject all requests and request a backoff.
func (s *simulation) overloadEngine(m *machine) func() {
	if m.overloaded {
		return nil
	}
	m.overloaded = true
	return func() { m.overloaded = false }
}

// handleRejection applies the backoff requested by an engine and resubmits the request.
func (r *routerNode) handleRejection(entry *inference, grant dispatch.Grant, from *machine) {
	if r.sim.mutation != MutationIgnoreBackoff {
		r.applyOutcome(r.core.BackOff(r.wall(), grant.Target.Machine, backoffDuration))
	}
	r.sim.checks.recordBackoff(r, from)
	r.resubmit(entry, grant, dispatch.ResultRejected)
}

// recordBackoff adds a period. A later backoff may extend the earlier ones but not shorten them.
func (c *checks) recordBackoff(router *routerNode, m *machine) {
	now := c.sim.Now()
	c.backoffs[backoffKeyOf(router, m)] = append(c.backoffs[backoffKeyOf(router, m)], &backoffPeriod{start: now + backoffGrace, end: now + backoffDuration})
}

// checkBackoff counts a request against the backoff periods of its router and engine.
func (c *checks) checkBackoff(m *machine, router *routerNode) {
	now := c.sim.Now()
	for _, span := range c.backoffs[backoffKeyOf(router, m)] {
		if now <= span.start || now >= span.end {
			continue
		}
		if span.requests++; span.requests > maxRequestsDuringBackoff {
			c.violate(CheckBackoff, "%s got %d requests from %s during a backoff period ending at %s", m.name, span.requests, router.name, span.end)
		}
	}
}
