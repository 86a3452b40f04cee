package ingress

import (
	"context"
	"sync"

	"github.com/weldline/weldline/internal/dispatch"
)

// queuedJobs is the set of queued requests. Changes of their allowed regions are applied to them
// at once, not only when they leave the queue.
//
// A job is in the set only while its goroutine is blocked in Dispatcher.Acquire, so that others may
// access it.
type queuedJobs struct {
	mutex sync.Mutex
	jobs  map[*job]struct{}
}

func newQueuedJobs() *queuedJobs {
	return &queuedJobs{jobs: map[*job]struct{}{}}
}

func (q *queuedJobs) add(queued *job) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.jobs[queued] = struct{}{}
}

func (q *queuedJobs) remove(queued *job) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	delete(q.jobs, queued)
}

// each calls visit for each job. Calls of add and remove wait until it has returned.
func (q *queuedJobs) each(visit func(*job)) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for queued := range q.jobs {
		visit(queued)
	}
}

// acquire waits for a grant from the dispatcher.
func (j *job) acquire(ctx context.Context) (*dispatch.Grant, *dispatch.Refusal) {
	j.ingress.queued.add(j)
	defer j.ingress.queued.remove(j)
	return j.ingress.dispatcher.Acquire(ctx, j.dispatchRequest)
}

// updateConstraints applies the current region constraint to a queued request. It refuses the request if no
// machine may serve it any more.
func (j *job) updateConstraints() {
	allowed := j.allowedRegions()
	if j.unservableProblem(allowed) != nil {
		j.ingress.dispatcher.Refuse(j.dispatchRequest, dispatch.RefusedRegion)
		return
	}
	if j.isSoftwareGone() {
		j.ingress.dispatcher.Refuse(j.dispatchRequest, dispatch.RefusedSoftware)
		return
	}
	if allowed.Key() != j.dispatchRequest.Allowed.Key() {
		j.ingress.dispatcher.SetConstraint(j.dispatchRequest, allowed)
	}
}
