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
	// holdAfterNoReply is the hold after a permit request that the leader did not answer.
	holdAfterNoReply = permits.Lifetime
	// minHold is about the dispatcher's tick interval.
	minHold = 20 * time.Millisecond
)

// errNoPermit ends an attempt before the request is written.
var errNoPermit = fault.Unavailable.New("the machine requires a permit and none is held")

// permit allows one send to one machine. The zero permit allows none.
type permit struct {
	machine string
	// expires is the expiry time, by Options.Now.
	expires time.Duration
}

// permitRequirement is why a send to a machine needs a permit, if it does.
type permitRequirement struct {
	machine   string
	isWarming bool
	// observed is the machine's rate limit, if isLimited is set.
	isLimited bool
	observed  ratelimit.Observation
}

func (r permitRequirement) exists() bool {
	return r.isWarming || r.isLimited
}

func (r permitRequirement) message() *wirepb.PermitRequest {
	request := &wirepb.PermitRequest{Machine: r.machine}
	if r.isLimited {
		request.Limit, request.LimitOnly = nodeview.LimitMessage(r.observed), !r.isWarming
	}
	return request
}

// permitClient tracks which machines require permits and requests these from the leader, which
// enforces the limits across all routers.
type permitClient struct {
	options Options
	warming *warmingTracker
	limits  *machineLimits

	mutex sync.Mutex
	// leaderRetryAt is when the leader may be asked again after it did not answer.
	leaderRetryAt time.Duration
}

func newPermitClient(options Options, onLimits func(map[string]ratelimit.Limit)) *permitClient {
	return &permitClient{options: options, warming: newWarmingTracker(options), limits: newMachineLimits(options, onLimits)}
}

// requirement returns why a send to a machine of a pool needs a permit.
func (c *permitClient) requirement(pool, machine string) permitRequirement {
	requirement := permitRequirement{machine: machine, isWarming: c.warming.isWarming(pool, machine)}
	requirement.observed, requirement.isLimited = c.limits.lookup(machine)
	return requirement
}

// allows reports whether a request may be written to a machine now.
func (c *permitClient) allows(pool, machine string, held permit) bool {
	if held.machine == machine && c.options.Now() < held.expires {
		return true
	}
	return !c.requirement(pool, machine).exists()
}

// leaderRetryDelay returns how long the leader is not to be asked. Without this delay a request would wait
// for an unreachable leader once for each machine.
func (c *permitClient) leaderRetryDelay() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.leaderRetryAt - c.options.Now()
}

func (c *permitClient) recordNoReply() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leaderRetryAt = c.options.Now() + holdAfterNoReply
}

type permitResult struct {
	outcome permitOutcome
	permit  permit
	// retryDelay is the delay before the next permit request, if this one was not granted; 0 if the
	// client request has ended.
	retryDelay time.Duration
	// reason is why the leader did not answer, for logs.
	reason string
}

func (c *permitClient) request(ctx context.Context, requirement permitRequirement) permitResult {
	if delay := c.leaderRetryDelay(); delay > 0 {
		return permitResult{outcome: permitUnanswered, retryDelay: max(minHold, delay), reason: "the leader was unreachable moments ago"}
	}
	expires := c.options.Now() + permits.Lifetime
	reply, err := c.options.Permit(ctx, requirement.message())
	result := permitResult{outcome: permitGranted, permit: permit{machine: requirement.machine, expires: expires}}
	switch {
	case err != nil && ctx.Err() != nil:
		return permitResult{outcome: permitUnanswered}
	case err != nil:
		c.recordNoReply()
		result = permitResult{outcome: permitUnanswered, retryDelay: holdAfterNoReply, reason: fault.Message(err)}
	case !reply.GetGranted():
		retryAfter := time.Duration(reply.GetRetryAfterMs()) * time.Millisecond
		result = permitResult{outcome: permitRefused, retryDelay: max(minHold, retryAfter)}
	}
	c.options.Metrics.observePermit(result.outcome)
	return result
}

// obtainPermit reports whether a granted request may be sent to its machine, and obtains a permit if the
// machine requires one. If there is none, the grant is released and the machine put on hold; so are all
// machines that require permits if the leader did not answer.
func (j *job) obtainPermit(ctx context.Context, grant *dispatch.Grant) bool {
	machine := grant.Target.Machine
	permits, dispatcher := j.ingress.permits, j.ingress.dispatcher
	requirement := permits.requirement(j.pool, machine)
	if !requirement.exists() {
		return true
	}
	result := permits.request(ctx, requirement)
	if result.outcome == permitGranted {
		j.permit = result.permit
		return true
	}
	if result.retryDelay > 0 {
		j.ingress.options.Logger.Info("permit_refused", "id", j.attributes.ID, "pool", j.pool, "machine", machine,
			"age_ms", time.Since(j.arrived).Milliseconds(), "hold_ms", result.retryDelay.Milliseconds(), "warms", requirement.isWarming,
			"limited", requirement.isLimited, "per_second", requirement.observed.Limit.PerSecond, "outcome", string(result.outcome), "error", result.reason)
		dispatcher.Hold(machine, result.retryDelay)
	}
	if result.retryDelay > 0 && result.outcome == permitUnanswered {
		dispatcher.HoldPermitMachines(result.retryDelay)
	}
	dispatcher.Release(grant, dispatch.ResultNotSent)
	return false
}
