package faultsim

import (
	"time"

	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/permits"
	"github.com/weldline/weldline/internal/ratelimit"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// limitStated is the rate that a limited engine states, in requests a second.
	limitStated = 0.5
	// limitLinger is how much longer than the fault an engine states its limit, so that whole windows can be
	// judged.
	limitLinger = 10 * time.Second
	// limitSpread is how long after a router has read the limit all routers in contact must know it, also
	// across a change of leader.
	limitSpread = 4 * time.Second
	// limitWindow, limitFactor and limitSlack bound what the engine may get in any window.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// permitTimeout bounds the wait for a permit.
	permitTimeout = permits.Lifetime
)

// limit makes an engine state a limit in its answers for a while.
func (w *world) limit(m *machine, span time.Duration) func() {
	if m.limit.IsSet {
		return nil
	}
	m.limit, m.limitKnown, m.limitArrivals = ratelimit.NewLimit(limitStated), 0, nil
	incarnation := m.incarnation
	w.After(span+limitLinger, func() {
		if m.incarnation == incarnation {
			m.limit = ratelimit.Unlimited
		}
	})
	return nothing
}

// observeLimit records what an engine stated in an answer to a request that was sent at a time.
func (r *routerNode) observeLimit(m *machine, stated ratelimit.Limit, sent time.Duration) {
	r.limits.Observe(m.name, ratelimit.Statement{Limit: stated, Sent: sent, Received: r.clock()})
	r.core.SetLimited(r.limits.Active())
	if stated.IsSet && m.limitKnown == 0 {
		m.limitKnown = r.world.Now() + limitSpread
	}
}

// mergeLimits records the limits that a leader's digest publishes.
func (r *routerNode) mergeLimits(digest *wirepb.ClusterDigest) {
	for _, observed := range nodeview.LimitObservations(digest.GetLimits()) {
		r.limits.Merge(r.clock(), observed)
	}
	r.core.SetLimited(r.limits.Active())
}

// sendPermitted sends a granted request, with a permit of the leader if its engine is limited.
func (r *routerNode) sendPermitted(entry *inference, grant dispatch.Grant) {
	machine := grant.Target.Machine
	observed, known := r.limits.Lookup(r.clock(), machine)
	if !known || !observed.Limit.IsSet || r.world.mutation == MutationIgnoreLimits {
		r.sendToEngine(entry, grant)
		return
	}
	if r.clock() < r.silentUntil {
		r.withhold(entry, grant, r.silentUntil-r.clock())
		return
	}
	until := r.clock() + permits.Lifetime
	upstream := r.world.controls[r.upstream%controlCount]
	request := &wirepb.PermitRequest{Machine: machine, Limit: nodeview.LimitMessage(observed), LimitOnly: true}
	call(&r.process, &upstream.process, permitTimeout, func(reply func(*wirepb.PermitReply)) {
		upstream.permit(request, reply)
	}, func(answer *wirepb.PermitReply, answered bool) {
		switch {
		case !answered || answer.GetUnavailable():
			r.silentUntil = r.clock() + permits.Lifetime
			r.core.HoldPermitMachines(r.wall().Add(permits.Lifetime))
			r.withhold(entry, grant, permits.Lifetime)
		case !answer.GetGranted():
			r.withhold(entry, grant, max(dispatchTick, time.Duration(answer.GetRetryAfterMs())*time.Millisecond))
		case r.clock() >= until || !r.core.MayWrite(r.wall(), grant):
			r.withhold(entry, grant, dispatchTick)
		default:
			r.sendToEngine(entry, grant)
		}
	})
}

// withhold gives back a place, and leaves its machine alone for a span.
func (r *routerNode) withhold(entry *inference, grant dispatch.Grant, span time.Duration) {
	r.core.Hold(r.wall(), grant.Target.Machine, r.wall().Add(span))
	r.deliver(r.core.Release(r.wall(), grant, dispatch.ResultNotSent))
	if entry.ended {
		return
	}
	r.waiting[entry.request.ID] = entry
	r.deliver(r.core.Resubmit(r.wall(), entry.request))
}

// mergeLimits records the observations of a router or a leader.
func (c *controlNode) mergeLimits(messages []*wirepb.MachineLimit) {
	for _, observed := range nodeview.LimitObservations(messages) {
		change := c.limits.Merge(c.clock(), observed)
		if change.Changed() && !change.Before.IsSet && c.permits != nil {
			c.permits.Empty(c.clock(), change.Machine)
		}
	}
}

// permit answers a question for a permit as leader, or passes it on.
func (c *controlNode) permit(request *wirepb.PermitRequest, reply func(*wirepb.PermitReply)) {
	leader := c.world.control(c.member.Raft.Status().Leader)
	switch {
	case leader == c:
		reply(c.localPermit(request))
	case leader == nil || c.muted:
		reply(&wirepb.PermitReply{Unavailable: true})
	default:
		call(&c.process, &leader.process, permitTimeout, func(reply func(*wirepb.PermitReply)) {
			reply(leader.localPermit(request))
		}, func(answer *wirepb.PermitReply, answered bool) {
			if !answered {
				answer = &wirepb.PermitReply{Unavailable: true}
			}
			reply(answer)
		})
	}
}

// localPermit answers as leader. The lease is checked after the token was taken.
func (c *controlNode) localPermit(request *wirepb.PermitRequest) *wirepb.PermitReply {
	if c.permits == nil || c.decider == nil {
		return &wirepb.PermitReply{Unavailable: true}
	}
	c.mergeLimits([]*wirepb.MachineLimit{request.GetLimit()})
	limit := c.limits.Get(request.GetMachine())
	if !limit.IsSet {
		return &wirepb.PermitReply{Granted: true}
	}
	decision := c.permits.Take(c.clock(), request.GetMachine(), limit.BucketConfig())
	if !c.leads() || !c.member.Raft.Status().LeadsIn(c.decider.Term()) {
		return &wirepb.PermitReply{Unavailable: true}
	}
	return &wirepb.PermitReply{Granted: decision.Granted, RetryAfterMs: uint32(decision.RetryAfter.Milliseconds())}
}

// arrivedAtLimited counts a request that reaches a limited engine. Only routers in contact with the leader, and up
// for as long as it takes to learn of the limit, are held to it.
func (c *checks) arrivedAtLimited(m *machine, router *routerNode) {
	now := c.world.Now()
	isBound := now-router.lastDigest < contact && now-router.startedAt > limitSpread
	if !m.limit.IsSet || m.limitKnown == 0 || now < m.limitKnown || !isBound {
		return
	}
	m.limitArrivals = append(m.limitArrivals, now)
	for now-m.limitArrivals[0] >= limitWindow {
		m.limitArrivals = m.limitArrivals[1:]
	}
	allowed := limitFactor*m.limit.PerSecond*limitWindow.Seconds() + limitSlack
	if count := len(m.limitArrivals); float64(count) > allowed {
		c.violate(CheckLimits, "%s got %d requests within %s, and states a limit of %g a second", m.name, count, limitWindow, m.limit.PerSecond)
	}
}
