package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/permits"
	"github.com/weldline/weldline/internal/ratelimit"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// heldWithoutAnswer is for how long a machine is left alone where the leader could not be
	// asked: about as long as an answer may take.
	heldWithoutAnswer = permits.Lifetime
	// leastHold is the shortest time for which a machine is left alone once a permit was refused:
	// the dispatcher looks for places that open by themselves about as often.
	leastHold = 20 * time.Millisecond
)

// errNoPermit ends an exchange before anything was written.
var errNoPermit = fault.Unavailable.New("the machine takes permits, and there is none for it")

// permit allows one send to one machine. The zero permit allows none.
type permit struct {
	machine string
	// until is when it ends, by the clock that counts sleep.
	until time.Duration
}

// permitNeed is why a send to a machine needs a permit; the zero need is none.
type permitNeed struct {
	machine string
	// warms is set where the machine warms up.
	warms bool
	// observed is the machine's limit, where isLimited is set.
	isLimited bool
	observed  ratelimit.Observation
}

func (n permitNeed) exists() bool {
	return n.warms || n.isLimited
}

func (n permitNeed) request() *wirepb.PermitRequest {
	request := &wirepb.PermitRequest{Machine: n.machine}
	if n.isLimited {
		request.Limit, request.LimitOnly = nodeview.LimitMessage(n.observed), !n.warms
	}
	return request
}

// permitGuard knows which machines take permits, and asks for these. A limit is meant for all routers
// together, so none may go by its own count of what it sends.
type permitGuard struct {
	options Options
	warming *warmingGuard
	limits  *machineLimits

	mutex sync.Mutex
	// silentUntil is until when the leader is not asked again, after it could not be.
	silentUntil time.Duration
}

func newPermitGuard(options Options, onLimits func(map[string]ratelimit.Limit)) *permitGuard {
	return &permitGuard{options: options, warming: newWarmingGuard(options), limits: newMachineLimits(options, onLimits)}
}

// need returns what a send to a machine of a pool needs a permit for.
func (g *permitGuard) need(pool, machine string) permitNeed {
	need := permitNeed{machine: machine, warms: g.warming.warms(pool, machine)}
	need.observed, need.isLimited = g.limits.of(machine)
	return need
}

// allows reports whether a request may be written to a machine at this moment.
func (g *permitGuard) allows(pool, machine string, held permit) bool {
	if held.machine == machine && g.options.Now() < held.until {
		return true
	}
	return !g.need(pool, machine).exists()
}

// silence is for how long the leader is not to be asked: while it can't be, a request would wait
// for an answer at one machine after the other.
func (g *permitGuard) silence() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.silentUntil - g.options.Now()
}

func (g *permitGuard) noteSilence() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.silentUntil = g.options.Now() + heldWithoutAnswer
}

// permitAnswer is what came of asking for a permit.
type permitAnswer struct {
	outcome permitOutcome
	// held is the permit, where it was granted.
	held permit
	// wait is for how long not to ask again, where it was not; 0 where the request itself has ended.
	wait time.Duration
	// reason is why the leader gave no answer, for logs.
	reason string
}

// ask asks the leader for a permit.
func (g *permitGuard) ask(ctx context.Context, need permitNeed) permitAnswer {
	if silence := g.silence(); silence > 0 {
		return permitAnswer{outcome: permitUnanswered, wait: max(leastHold, silence), reason: "the leader could not be asked a moment ago"}
	}
	until := g.options.Now() + permits.Lifetime
	reply, err := g.options.Permit(ctx, need.request())
	answer := permitAnswer{outcome: permitGranted, held: permit{machine: need.machine, until: until}}
	switch {
	case err != nil && ctx.Err() != nil:
		return permitAnswer{outcome: permitUnanswered}
	case err != nil:
		g.noteSilence()
		answer = permitAnswer{outcome: permitUnanswered, wait: heldWithoutAnswer, reason: fault.Message(err)}
	case !reply.GetGranted():
		retryAfter := time.Duration(reply.GetRetryAfterMs()) * time.Millisecond
		answer = permitAnswer{outcome: permitRefused, wait: max(leastHold, retryAfter)}
	}
	g.options.Metrics.observePermit(answer.outcome)
	return answer
}

// mayBeSent reports whether a granted request may be sent to its machine, and gets the permit where
// that takes one. Without one the place is given back, and the machine gets nothing for a while; nor
// does any other that takes permits, where the leader could not be asked.
func (j *job) mayBeSent(ctx context.Context, grant *dispatch.Grant) bool {
	machine := grant.Target.Machine
	guard, dispatcher := j.ingress.permits, j.ingress.dispatcher
	need := guard.need(j.pool, machine)
	if !need.exists() {
		return true
	}
	answer := guard.ask(ctx, need)
	if answer.outcome == permitGranted {
		j.permit = answer.held
		return true
	}
	if answer.wait > 0 {
		j.ingress.options.Logger.Info("permit_refused", "id", j.attributes.ID, "pool", j.pool, "machine", machine,
			"age_ms", time.Since(j.arrived).Milliseconds(), "hold_ms", answer.wait.Milliseconds(), "warms", need.warms,
			"limited", need.isLimited, "per_second", need.observed.Limit.PerSecond, "outcome", string(answer.outcome), "error", answer.reason)
		dispatcher.Hold(machine, answer.wait)
	}
	if answer.wait > 0 && answer.outcome == permitUnanswered {
		dispatcher.HoldPaced(answer.wait)
	}
	dispatcher.Release(grant, dispatch.ResultNotSent)
	return false
}
