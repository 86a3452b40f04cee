package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/permits"
	"github.com/weldline/weldline/internal/warming"
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
var errNoPermit = fault.Unavailable.New("the machine warms up, and there is no permit for it")

// permit allows one send to one machine. The zero permit allows none.
type permit struct {
	machine string
	// until is when it ends, by the clock that counts sleep.
	until time.Duration
}

// warmingGuard knows which machines warm up, and asks for the permits to send to them.
type warmingGuard struct {
	options Options

	mutex sync.Mutex
	state *warming.State
	// silentUntil is until when the leader is not asked again, after it could not be.
	silentUntil time.Duration
}

func newWarmingGuard(options Options) *warmingGuard {
	return &warmingGuard{options: options, state: warming.NewState()}
}

func (g *warmingGuard) takeDigest(digest *wirepb.ClusterDigest) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.state.TakeDigest(g.options.Now(), nodeview.WarmingOf(digest))
}

func (g *warmingGuard) noteFailure(machine string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.state.NoteFailure(g.options.Now(), machine)
}

// machines returns those that warm up.
func (g *warmingGuard) machines() map[string]bool {
	found := map[string]bool{}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.options.Now()
	g.options.View.EachThatMayWarmUp(func(machine string, changed uint64) {
		if g.state.Warms(now, machine, changed) {
			found[machine] = true
		}
	})
	return found
}

// needsPermit reports whether a send to a machine of a pool needs a permit.
func (g *warmingGuard) needsPermit(pool, machine string) bool {
	changed, may := g.options.View.MayWarmUp(pool, machine)
	if !may {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.state.Warms(g.options.Now(), machine, changed)
}

// allows reports whether a request may be written to a machine at this moment.
func (g *warmingGuard) allows(pool, machine string, held permit) bool {
	if held.machine == machine && g.options.Now() < held.until {
		return true
	}
	return !g.needsPermit(pool, machine)
}

// forget drops what digests said: this machine has slept since.
func (g *warmingGuard) forget() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.state = warming.NewState()
}

// silence is for how long the leader is not to be asked: while it can't be, a request would wait
// for an answer at one machine after the other.
func (g *warmingGuard) silence() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.silentUntil - g.options.Now()
}

func (g *warmingGuard) noteSilence() {
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
	// reason tells, for logs, why the leader gave no answer.
	reason string
}

// ask asks the leader for a permit.
func (g *warmingGuard) ask(ctx context.Context, machine string) permitAnswer {
	if silence := g.silence(); silence > 0 {
		return permitAnswer{outcome: permitUnanswered, wait: max(leastHold, silence), reason: "the leader could not be asked a moment ago"}
	}
	until := g.options.Now() + permits.Lifetime
	reply, err := g.options.Permit(ctx, &wirepb.PermitRequest{Machine: machine})
	answer := permitAnswer{outcome: permitGranted, held: permit{machine: machine, until: until}}
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
// does any other that warms up, where the leader could not be asked.
func (j *job) mayBeSent(ctx context.Context, grant *dispatch.Grant) bool {
	machine := grant.Target.Machine
	guard, dispatcher := j.ingress.warming, j.ingress.dispatcher
	if !guard.needsPermit(j.pool, machine) {
		return true
	}
	answer := guard.ask(ctx, machine)
	if answer.outcome == permitGranted {
		j.permit = answer.held
		return true
	}
	if answer.wait > 0 {
		j.ingress.options.Logger.Info("permit_refused", "id", j.attributes.ID, "pool", j.pool, "machine", machine,
			"age_ms", time.Since(j.arrived).Milliseconds(), "hold_ms", answer.wait.Milliseconds(),
			"outcome", string(answer.outcome), "error", answer.reason)
		dispatcher.Hold(machine, answer.wait)
	}
	if answer.wait > 0 && answer.outcome == permitUnanswered {
		dispatcher.HoldWarming(answer.wait)
	}
	dispatcher.Release(grant, dispatch.ResultNotSent)
	return false
}

// followWarming keeps what the dispatcher knows of warming machines up to date until ctx ends.
func (i *Ingress) followWarming(ctx context.Context) {
	i.options.View.FollowDigests(ctx, func(digest *wirepb.ClusterDigest) {
		i.warming.takeDigest(digest)
		i.dispatcher.SetWarming(i.warming.machines())
	})
}
