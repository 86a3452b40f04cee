// Package dispatcher runs the pure dispatch core for concurrent requests.
//
// One mutex guards the core; a request that must wait does so on a channel of
// its own until it is granted a target or refused.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/ratelimit"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// tickInterval is how often deadlines are checked while requests wait. A router that has none
// sleeps: most of a large fleet's do most of the time.
const tickInterval = 20 * time.Millisecond

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	mutex   sync.Mutex
	core    *dispatch.Scheduler
	waiting map[uint64]chan verdict
	nextID  uint64
	nudge   func()
	// mustTick is signalled when a request begins to wait.
	mustTick chan struct{}
}

// verdict ends the wait of a request: exactly one field is set.
type verdict struct {
	grant   *dispatch.Grant
	refusal *dispatch.Refusal
}

// New returns a dispatcher. Nudge is called when a request has to wait.
func New(config dispatch.Config, nudge func()) *Dispatcher {
	return &Dispatcher{
		core:    dispatch.New(config),
		waiting: map[uint64]chan verdict{}, nudge: nudge, mustTick: make(chan struct{}, 1),
	}
}

// Acquire waits for a grant. The request gets its id at the first call; a
// later call is another attempt of the same request.
func (d *Dispatcher) Acquire(ctx context.Context, request *dispatch.Request) (*dispatch.Grant, *dispatch.Refusal) {
	reply := make(chan verdict, 1)
	d.mutex.Lock()
	now := time.Now()
	first := request.ID == 0
	if first {
		d.nextID++
		request.ID = d.nextID
	}
	d.waiting[request.ID] = reply
	var outcome dispatch.Outcome
	if first {
		outcome = d.core.Submit(now, request)
	} else {
		outcome = d.core.Resubmit(now, request)
	}
	d.deliver(outcome)
	_, mustWait := d.waiting[request.ID]
	d.mutex.Unlock()
	if mustWait {
		d.wakeTick()
		d.nudge()
	}
	select {
	case result := <-reply:
		return result.grant, result.refusal
	case <-ctx.Done():
		return d.abandon(request, reply)
	}
}

// abandon takes back a request whose caller has gone, unless the verdict
// came at the same moment.
func (d *Dispatcher) abandon(request *dispatch.Request, reply chan verdict) (*dispatch.Grant, *dispatch.Refusal) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	select {
	case result := <-reply:
		return result.grant, result.refusal
	default:
	}
	delete(d.waiting, request.ID)
	d.core.Cancel(request)
	return nil, &dispatch.Refusal{Request: request, Reason: dispatch.RefusedDeadline, Detail: "the caller has gone"}
}

// deliver passes verdicts on; the mutex must be held.
func (d *Dispatcher) deliver(outcome dispatch.Outcome) {
	for position := range outcome.Grants {
		grant := outcome.Grants[position]
		d.answer(grant.Request.ID, verdict{grant: &grant})
	}
	for position := range outcome.Refusals {
		refusal := outcome.Refusals[position]
		d.answer(refusal.Request.ID, verdict{refusal: &refusal})
	}
}

func (d *Dispatcher) answer(id uint64, result verdict) {
	if reply := d.waiting[id]; reply != nil {
		delete(d.waiting, id)
		reply <- result
	}
}

// HasAlternative reports whether a machine that the request was not sent to, other than
// the given one, could take it.
func (d *Dispatcher) HasAlternative(request *dispatch.Request, machine string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.core.HasAlternative(time.Now(), request, machine)
}

// Rebind changes in which regions a request may be served, if it still waits.
func (d *Dispatcher) Rebind(request *dispatch.Request, allowed places.Constraint) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.waiting[request.ID] != nil {
		d.deliver(d.core.SetConstraint(time.Now(), request, allowed))
	}
}

// Refuse ends the wait of a request, if it still waits.
func (d *Dispatcher) Refuse(request *dispatch.Request, reason dispatch.RefusalReason) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.waiting[request.ID] != nil {
		d.core.Cancel(request)
		d.deliver(dispatch.Outcome{Refusals: []dispatch.Refusal{{Request: request, Reason: reason}}})
	}
}

// Release ends a grant.
func (d *Dispatcher) Release(grant *dispatch.Grant, result dispatch.Result) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.deliver(d.core.Release(time.Now(), *grant, result))
}

// Hold gives a machine nothing for a while.
func (d *Dispatcher) Hold(machine string, span time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.core.Hold(now, machine, now.Add(span))
}

// HoldPaced gives nothing to any machine that takes permits for a while.
func (d *Dispatcher) HoldPaced(span time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.core.HoldPermitMachines(time.Now().Add(span))
}

// Rest gives a machine nothing for a span that it asked for.
func (d *Dispatcher) Rest(machine string, span time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.deliver(d.core.BackOff(time.Now(), machine, span))
}

// Leave gives a machine nothing more, as it said that it is leaving. It reports whether that was not known.
func (d *Dispatcher) Leave(machine string) (changed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	outcome, changed := d.core.MarkLeaving(time.Now(), machine)
	d.deliver(outcome)
	return changed
}

// Leaving returns the machines that said that they are leaving.
func (d *Dispatcher) Leaving() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.core.LeavingMachines()
}

// RestingMachines returns how many machines rest.
func (d *Dispatcher) RestingMachines() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.core.BackoffCount(time.Now())
}

// RetryAfterRest returns when a caller may try again, if all machines that could take a request rest.
func (d *Dispatcher) RetryAfterRest(request *dispatch.Request) (retryAfter time.Duration, allRest bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.core.RetryAfterBackoff(time.Now(), request)
}

// MayWrite reports whether a granted request may still be written to its machine.
func (d *Dispatcher) MayWrite(grant *dispatch.Grant) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.core.MayWrite(time.Now(), *grant)
}

// Retain forgets what machines that are not listed any more stated about themselves.
func (d *Dispatcher) Retain(isListed func(machine string) bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.core.RetainBackoffs(now, isListed)
	d.core.RetainLeaving(now, isListed)
}

// SetLimited replaces the machines that name a limit, which must not be changed afterwards.
func (d *Dispatcher) SetLimited(limited map[string]ratelimit.Limit) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.core.SetLimited(limited)
}

// SetWarming replaces the machines that warm up, which must not be changed afterwards.
func (d *Dispatcher) SetWarming(warming map[string]bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.core.SetWarming(warming)
}

// Started notes that the machine has accepted a granted request, and its answer has begun.
func (d *Dispatcher) Started(grant *dispatch.Grant) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.core.MarkStarted(*grant)
}

// Unreachable returns the machines that no connection came about to lately.
func (d *Dispatcher) Unreachable(now time.Time) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.core.UnreachableMachines(now)
}

// Work returns the outstanding work by machine.
func (d *Dispatcher) Work() map[string]float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.core.Work()
}

// Answers counts how machines have answered this router.
func (d *Dispatcher) Answers() map[string]dispatch.ResponseCounts {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.core.ResponseCounts()
}

// SetTargets replaces the targets.
func (d *Dispatcher) SetTargets(now time.Time, targets []dispatch.Target) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.deliver(d.core.SetTargets(now, targets))
}

// ChangeTargets takes over what is new in the targets.
func (d *Dispatcher) ChangeTargets(now time.Time, changes dispatch.TargetChanges) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.deliver(d.core.ChangeTargets(now, changes))
}

// TakeDigest takes the leader's loads and estimates.
func (d *Dispatcher) TakeDigest(now time.Time, digest *wirepb.ClusterDigest) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.core.SetWork(now, nodeview.WorkOf(digest))
	d.core.SetResponseCounts(now, nodeview.AnswersOf(digest))
	d.deliver(d.core.SetLoads(now, nodeview.LoadsOf(digest), int(digest.GetRouters())))
	d.deliver(d.core.SetEstimates(now, nodeview.EstimatesOf(digest, now)))
}

// FollowDigests takes each digest of the view until ctx ends.
func (d *Dispatcher) FollowDigests(ctx context.Context, view *nodeview.View) {
	view.FollowDigests(ctx, func(digest *wirepb.ClusterDigest) { d.TakeDigest(time.Now(), digest) })
}

// Tick lets deadlines pass while requests wait.
func (d *Dispatcher) Tick(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.mustTick:
			d.tickWhileWaiting(ctx)
		}
	}
}

func (d *Dispatcher) tickWhileWaiting(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if !d.tick(now) {
				return
			}
		}
	}
}

// tick reports whether any request still waits. One that begins to wait afterwards wakes Tick again.
func (d *Dispatcher) tick(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.core.Waiting() == 0 {
		return false
	}
	d.deliver(d.core.Tick(now))
	return true
}

func (d *Dispatcher) wakeTick() {
	select {
	case d.mustTick <- struct{}{}:
	default:
	}
}

// Demand returns what is asked of each version.
func (d *Dispatcher) Demand(now time.Time) []dispatch.Demand {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.core.Demand(now)
}

// Loads returns the requests in flight by machine.
func (d *Dispatcher) Loads() map[string]int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.core.Loads()
}
