package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/problem"
)

// retryAfterStopping has clients come back at once: another node serves them.
const retryAfterStopping = time.Millisecond

// EndSending has requests refused from now on that were not sent to a machine and that may be unanswered at a time, at which this
// node ends what is in flight. A request that is sent and then cut off may have run, so that its client can't always repeat it.
func (i *Ingress) EndSending(end time.Time) {
	i.sendingEnd.Store(&end)
	i.queued.each(func(queued *job) {
		if queued.mayOutliveNode() {
			i.dispatcher.Refuse(queued.dispatchRequest, dispatch.RefusedStopping)
		}
	})
}

// mayOutliveNode reports whether the request may be unanswered when this stopping node ends.
func (j *job) mayOutliveNode() bool {
	end := j.ingress.sendingEnd.Load()
	return end != nil && j.deadline.After(*end)
}

// refuseIfStopping answers a request that may be unanswered when this node ends. It reports whether it did.
func (j *job) refuseIfStopping(ctx context.Context) bool {
	if !j.mayOutliveNode() {
		return false
	}
	if j.mayHaveRun {
		j.answerFailure(ctx, outcomeFailed)
		return true
	}
	j.notServing = true
	j.fail(problem.New(problem.TypeStopping, http.StatusServiceUnavailable, "this node is stopping; use another"), retryAfterStopping)
	return true
}
