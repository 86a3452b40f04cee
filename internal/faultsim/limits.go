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
	// statedRate is the limit that an engine advertises, in requests per second.
	statedRate = 0.5
	// limitExtension keeps a limit in force after the fault ends, so that whole windows can be
	// checked.
	limitExtension = 10 * time.Second
	// limitPropagation is the time until all connected routers know a limit that one router has read,
	// including a change of leader.
	limitPropagation = 4 * time.Second
	// limitWindow, limitFactor and limitSlack bound the requests that a limited engine may receive in
	// any window.
	limitWindow   = 4 * time.Second
	limitFactor   = 1.5
	limitSlack    = 5
	permitTimeout = permits.Lifetime
)

// limitEngine makes an engine advertise a rate limit in its responses.
func (s *simulation) limitEngine(m *machine, span time.Duration) func() {
	if m.limit.IsSet {
		return nil
	}
	m.limit, m.limitKnown, m.limitArrivals = ratelimit.NewLimit(statedRate), 0, nil
	incarnation := m.incarnation
	s.After(span+limitExtension, func() {
		if m.incarnation == incarnation {
			m.limit = ratelimit.Unlimited
		}
	})
	return noHeal
}

// observeLimit records the limit advertised in the response to a request sent at the given time.
func (r *routerNode) observeLimit(m *machine, stated ratelimit.Limit, sent time.Duration) {
	r.limits.Observe(m.name, ratelimit.Statement{Limit: stated, Sent: sent, Received: r.clock()})
	r.core.SetLimited(r.limits.Active())
	if stated.IsSet && m.limitKnown == 0 {
		m.limitKnown = r.sim.Now() + limitPropagation
	}
}

// mergeLimits records the limits published in a leader's digest.
func (r *routerNode) mergeLimits(digest *wirepb.ClusterDigest) {
	for _, observed := range nodeview.LimitObservations(digest.GetLimits()) {
		r.limits.Merge(r.clock(), observed)
	}
	r.core.SetLimited(r.limits.Active())
}

// sendWithPermit sends a granted request. If its engine is limited, it first requests a permit from
// the leader.
func (r *routerNode) sendWithPermit(entry *inference, grant dispatch.Grant) {
	machine := grant.Target.Machine
	observed, known := r.limits.Lookup(r.clock(), machine)
	if !known || !observed.Limit.IsSet || r.sim.mutation == MutationIgnoreLimits {
		r.sendToEngine(entry, grant)
		return
	}
	if r.clock() < r.permitsUnavailableUntil {
		r.requeue(entry, grant, r.permitsUnavailableUntil-r.clock())
		return
	}
	until := r.clock() + permits.Lifetime
	upstream := r.sim.controls[r.upstream%controlCount]
	request := &wirepb.PermitRequest{Machine: machine, Limit: nodeview.LimitMessage(observed), LimitOnly: true}
	call(&r.process, &upstream.process, permitTimeout, func(reply func(*wirepb.PermitReply)) {
		upstream.handlePermit(request, reply)
	}, func(answer *wirepb.PermitReply, answered bool) {
		switch {
		case !answered || answer.GetUnavailable():
			r.permitsUnavailableUntil = r.clock() + permits.Lifetime
			r.core.HoldPermitMachines(r.wall().Add(permits.Lifetime))
			r.requeue(entry, grant, permits.Lifetime)
		case !answer.GetGranted():
			r.requeue(entry, grant, max(dispatchTick, time.Duration(answer.GetRetryAfterMs())*time.Millisecond))
		case r.clock() >= until || !r.core.MayWrite(r.wall(), grant):
			r.requeue(entry, grant, dispatchTick)
		default:
			r.sendToEngine(entry, grant)
		}
	})
}

// requeue releases a grant, blocks its machine for a time and resubmits the request.
func (r *routerNode) requeue(entry *inference, grant dispatch.Grant, span time.Duration) {
	r.core.Hold(r.wall(), grant.Target.Machine, r.wall().Add(span))
	r.applyOutcome(r.core.Release(r.wall(), grant, dispatch.ResultNotSent))
	if entry.ended {
		return
	}
	r.waiting[entry.request.ID] = entry
	r.applyOutcome(r.core.Resubmit(r.wall(), entry.request))
}

// mergeLimits records the limits observed by a router or another control node.
func (c *controlNode) mergeLimits(messages []*wirepb.MachineLimit) {
	for _, observed := range nodeview.LimitObservations(messages) {
		change := c.limits.Merge(c.clock(), observed)
		if change.Changed() && !change.Before.IsSet && c.permits != nil {
			c.permits.Empty(c.clock(), change.Machine)
		}
	}
}

// handlePermit answers a permit request as leader or forwards it.
func (c *controlNode) handlePermit(request *wirepb.PermitRequest, reply func(*wirepb.PermitReply)) {
	leader := c.sim.control(c.member.Raft.Status().Leader)
	switch {
	case leader == c:
		reply(c.takePermit(request))
	case leader == nil || c.muted:
		reply(&wirepb.PermitReply{Unavailable: true})
	default:
		call(&c.process, &leader.process, permitTimeout, func(reply func(*wirepb.PermitReply)) {
			reply(leader.takePermit(request))
		}, func(answer *wirepb.PermitReply, answered bool) {
			if !answered {
				answer = &wirepb.PermitReply{Unavailable: true}
			}
			reply(answer)
		})
	}
}

// takePermit answers a permit request as leader. The lease is checked after the token is taken.
func (c *controlNode) takePermit(request *wirepb.PermitRequest) *wirepb.PermitReply {
	if c.permits == nil || c.controller == nil {
		return &wirepb.PermitReply{Unavailable: true}
	}
	c.mergeLimits([]*wirepb.MachineLimit{request.GetLimit()})
	limit := c.limits.Get(request.GetMachine())
	if !limit.IsSet {
		return &wirepb.PermitReply{Granted: true}
	}
	decision := c.permits.Take(c.clock(), request.GetMachine(), limit.BucketConfig())
	if !c.holdsLease() || !c.member.Raft.Status().LeadsIn(c.controller.Term()) {
		return &wirepb.PermitReply{Unavailable: true}
	}
	return &wirepb.PermitReply{Granted: decision.Granted, RetryAfterMs: uint32(decision.RetryAfter.Milliseconds())}
}

// checkLimit counts a request that arrives at a limited engine. It covers routers that are in contact
// with the leader and have been up long enough to learn the limit.
func (c *checks) checkLimit(m *machine, router *routerNode) {
	now := c.sim.Now()
	isBound := now-router.lastDigest < contactTimeout && now-router.startedAt > limitPropagation
	if !m.limit.IsSet || m.limitKnown == 0 || now < m.limitKnown || !isBound {
		return
	}
	m.limitArrivals = append(m.limitArrivals, now)
	for now-m.limitArrivals[0] >= limitWindow {
		m.limitArrivals = m.limitArrivals[1:]
	}
	allowed := limitFactor*m.limit.PerSecond*limitWindow.Seconds() + limitSlack
	if count := len(m.limitArrivals); float64(count) > allowed {
		c.violate(CheckLimits, "%s got %d requests within %s, limit is %g per second", m.name, count, limitWindow, m.limit.PerSecond)
	}
}
