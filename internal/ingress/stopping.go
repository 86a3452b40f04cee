package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/problem"
)

// retryAfterStopping lets clients retry at once, at another node.
const retryAfterStopping = time.Millisecond

// EndSending stops sending requests to machines that may be unanswered at the given time, when this node cancels what is in flight.
// They are refused as not run, whereas a request that was sent and is then canceled may have run and can't always be repeated.
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
