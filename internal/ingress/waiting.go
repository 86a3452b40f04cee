package ingress

import (
	"context"
	"sync"

	"github.com/weldline/weldline/internal/dispatch"
)

// waitingJobs are the requests that ask for a place, so that a change of what binds them reaches
// them at once: one that waits in a region which does not allow it any more would use up its time
// beside a machine that it may use.
//
// A job is registered while its goroutine waits for the dispatcher, and does not touch it then.
type waitingJobs struct {
	mutex sync.Mutex
	jobs  map[*job]struct{}
}

func newWaitingJobs() *waitingJobs {
	return &waitingJobs{jobs: map[*job]struct{}{}}
}

func (w *waitingJobs) add(waiting *job) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.jobs[waiting] = struct{}{}
}

func (w *waitingJobs) remove(waiting *job) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.jobs, waiting)
}

// each calls visit with all of them; none is removed meanwhile.
func (w *waitingJobs) each(visit func(*job)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for waiting := range w.jobs {
		visit(waiting)
	}
}

// acquire waits for a place, under what binds the request while it waits.
func (j *job) acquire(ctx context.Context) (*dispatch.Grant, *dispatch.Refusal) {
	j.ingress.waiting.add(j)
	defer j.ingress.waiting.remove(j)
	return j.ingress.dispatcher.Acquire(ctx, j.wanted)
}

// rebind binds a waiting request to what is declared now, or ends its wait if no machine may
// serve it any more.
func (j *job) rebind() {
	allowed := j.allowed()
	if j.unservable(allowed) != nil {
		j.ingress.dispatcher.Refuse(j.wanted, dispatch.RefusedRegion)
		return
	}
	if allowed.Key() != j.wanted.Allowed.Key() {
		j.ingress.dispatcher.Rebind(j.wanted, allowed)
	}
}
