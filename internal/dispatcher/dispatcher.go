// Package dispatcher makes dispatch.Scheduler safe for concurrent use.
//
// A mutex guards the scheduler. Each queued request waits on its own channel until it is
// granted a target or refused.
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

// tickInterval is the interval of Scheduler.Tick while requests are queued.
const tickInterval = 20 * time.Millisecond

// Dispatcher queues requests and grants them targets. It is safe for concurrent use.
type Dispatcher struct {
	mutex     sync.Mutex
	scheduler *dispatch.Scheduler
	waiting   map[uint64]chan result
	nextID    uint64
	onQueued  func()
	// queueStarted is signaled when a request is queued.
	queueStarted chan struct{}
}

// result is the result of a queued request; exactly one field is set.
type result struct {
	grant   *dispatch.Grant
	refusal *dispatch.Refusal
}

// New returns a dispatcher. It calls onQueued when a request is queued.
func New(config dispatch.Config, onQueued func()) *Dispatcher {
	return &Dispatcher{
		scheduler: dispatch.New(config),
		waiting:   map[uint64]chan result{}, onQueued: onQueued, queueStarted: make(chan struct{}, 1),
	}
}

// Acquire waits for a grant or a refusal. The first call assigns the request's ID;
// later calls are further attempts of the same request.
func (d *Dispatcher) Acquire(ctx context.Context, request *dispatch.Request) (*dispatch.Grant, *dispatch.Refusal) {
	reply := make(chan result, 1)
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
		outcome = d.scheduler.Submit(now, request)
	} else {
		outcome = d.scheduler.Resubmit(now, request)
	}
	d.deliver(outcome)
	_, queued := d.waiting[request.ID]
	d.mutex.Unlock()
	if queued {
		d.signalQueued()
		d.onQueued()
	}
	select {
	case received := <-reply:
		return received.grant, received.refusal
	case <-ctx.Done():
		return d.cancel(request, reply)
	}
}

// cancel cancels a request whose context is done, unless it has got its result
// meanwhile.
func (d *Dispatcher) cancel(request *dispatch.Request, reply chan result) (*dispatch.Grant, *dispatch.Refusal) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	select {
	case received := <-reply:
		return received.grant, received.refusal
	default:
	}
	delete(d.waiting, request.ID)
	d.scheduler.Cancel(request)
	return nil, &dispatch.Refusal{Request: request, Reason: dispatch.RefusedDeadline, Detail: "the caller has gone"}
}

// deliver sends results to the waiting requests. The mutex must be held.
func (d *Dispatcher) deliver(outcome dispatch.Outcome) {
	for position := range outcome.Grants {
		grant := outcome.Grants[position]
		d.resolve(grant.Request.ID, result{grant: &grant})
	}
	for position := range outcome.Refusals {
		refusal := outcome.Refusals[position]
		d.resolve(refusal.Request.ID, result{refusal: &refusal})
	}
}

func (d *Dispatcher) resolve(id uint64, received result) {
	if reply := d.waiting[id]; reply != nil {
		delete(d.waiting, id)
		reply <- received
	}
}

// HasAlternative reports whether a machine other than the given one, to which the request
// was not sent yet, could take it.
func (d *Dispatcher) HasAlternative(request *dispatch.Request, machine string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.HasAlternative(time.Now(), request, machine)
}

// SetConstraint changes the allowed regions of a request if it is still queued.
func (d *Dispatcher) SetConstraint(request *dispatch.Request, allowed places.Constraint) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.waiting[request.ID] != nil {
		d.deliver(d.scheduler.SetConstraint(time.Now(), request, allowed))
	}
}

// Refuse refuses a request if it is still queued.
func (d *Dispatcher) Refuse(request *dispatch.Request, reason dispatch.RefusalReason) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.waiting[request.ID] != nil {
		d.scheduler.Cancel(request)
		d.deliver(dispatch.Outcome{Refusals: []dispatch.Refusal{{Request: request, Reason: reason}}})
	}
}

// Release ends a grant.
func (d *Dispatcher) Release(grant *dispatch.Grant, result dispatch.Result) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.deliver(d.scheduler.Release(time.Now(), *grant, result))
}

// Hold grants no requests to a machine for the given time.
func (d *Dispatcher) Hold(machine string, duration time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.scheduler.Hold(now, machine, now.Add(duration))
}

// HoldPermitMachines grants no requests to any machine that requires permits for the given time.
func (d *Dispatcher) HoldPermitMachines(duration time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.scheduler.HoldPermitMachines(time.Now().Add(duration))
}

// BackOff grants no requests to a machine for a time that it asked for.
func (d *Dispatcher) BackOff(machine string, duration time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.deliver(d.scheduler.BackOff(time.Now(), machine, duration))
}

// MarkLeaving grants no further requests to a machine that announced its shutdown. changed is false
// if the machine was marked already.
func (d *Dispatcher) MarkLeaving(machine string) (changed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	outcome, changed := d.scheduler.MarkLeaving(time.Now(), machine)
	d.deliver(outcome)
	return changed
}

// LeavingMachines returns the machines that announced their shutdown.
func (d *Dispatcher) LeavingMachines() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.LeavingMachines()
}

// BackoffCount returns the number of machines that asked to back off and still get no requests.
func (d *Dispatcher) BackoffCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.BackoffCount(time.Now())
}

// RetryAfterBackoff returns the time until a machine may be tried again, if all machines that could
// take the request asked to back off.
func (d *Dispatcher) RetryAfterBackoff(request *dispatch.Request) (retryAfter time.Duration, allBackedOff bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.RetryAfterBackoff(time.Now(), request)
}

// MayWrite reports whether a granted request may still be written to its machine.
func (d *Dispatcher) MayWrite(grant *dispatch.Grant) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.MayWrite(time.Now(), *grant)
}

// Retain drops the back-offs of unlisted machines, and after a while their announced shutdowns.
func (d *Dispatcher) Retain(isListed func(machine string) bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.scheduler.RetainBackoffs(now, isListed)
	d.scheduler.RetainLeaving(now, isListed)
}

// SetLimited replaces the set of rate-limited machines. The map must not be modified afterwards.
func (d *Dispatcher) SetLimited(limited map[string]ratelimit.Limit) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.scheduler.SetLimited(limited)
}

// SetBrittle replaces the rejections per second that brittle machines bear. The map must not be modified
// afterwards.
func (d *Dispatcher) SetBrittle(brittle map[string]float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.deliver(d.scheduler.SetBrittle(time.Now(), brittle))
}

// SetWarming replaces the set of machines that are warming up. The map must not be modified
// afterwards.
func (d *Dispatcher) SetWarming(warming map[string]bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.scheduler.SetWarming(warming)
}

// MarkStarted records that the machine has accepted a granted request and begun to respond.
func (d *Dispatcher) MarkStarted(grant *dispatch.Grant) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.scheduler.MarkStarted(*grant)
}

// UnreachableMachines returns the machines whose recent connections failed.
func (d *Dispatcher) UnreachableMachines(now time.Time) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.UnreachableMachines(now)
}

// SetPaths replaces the machines without a path from this router. The map must not be modified
// afterwards.
func (d *Dispatcher) SetPaths(unreachable map[string]bool, isolated bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.deliver(d.scheduler.SetPaths(time.Now(), unreachable, isolated))
}

// Machines returns the machines of all targets.
func (d *Dispatcher) Machines() map[string]bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.Machines()
}

// Work returns the outstanding work by machine.
func (d *Dispatcher) Work() map[string]float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.Work()
}

// ResponseCounts returns the counts of responses by machine.
func (d *Dispatcher) ResponseCounts() map[string]dispatch.ResponseCounts {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.ResponseCounts()
}

// SetTargets replaces the targets.
func (d *Dispatcher) SetTargets(now time.Time, targets []dispatch.Target) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.deliver(d.scheduler.SetTargets(now, targets))
}

// ChangeTargets applies changes of the targets.
func (d *Dispatcher) ChangeTargets(now time.Time, changes dispatch.TargetChanges) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.deliver(d.scheduler.ChangeTargets(now, changes))
}

// ApplyDigest applies the loads, work, response counts and estimates of a leader's digest.
func (d *Dispatcher) ApplyDigest(now time.Time, digest *wirepb.ClusterDigest) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.scheduler.SetWork(now, nodeview.WorkOf(digest))
	d.scheduler.SetResponseCounts(now, nodeview.AnswersOf(digest))
	d.deliver(d.scheduler.SetLoads(now, nodeview.LoadsOf(digest), int(digest.GetRouters())))
	d.deliver(d.scheduler.SetEstimates(now, nodeview.EstimatesOf(digest, now)))
}

// FollowDigests applies each digest of the view until ctx is done.
func (d *Dispatcher) FollowDigests(ctx context.Context, view *nodeview.View) {
	view.FollowDigests(ctx, func(digest *wirepb.ClusterDigest) { d.ApplyDigest(time.Now(), digest) })
}

// RunTicks runs the timers of queued requests until ctx is done.
func (d *Dispatcher) RunTicks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.queueStarted:
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

// tick reports whether any request was queued.
func (d *Dispatcher) tick(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.scheduler.Waiting() == 0 {
		return false
	}
	d.deliver(d.scheduler.Tick(now))
	return true
}

func (d *Dispatcher) signalQueued() {
	select {
	case d.queueStarted <- struct{}{}:
	default:
	}
}

// Demand returns the demand for each model version.
func (d *Dispatcher) Demand(now time.Time) []dispatch.Demand {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.Demand(now)
}

// Loads returns the requests in flight by machine.
func (d *Dispatcher) Loads() map[string]int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.Loads()
}
