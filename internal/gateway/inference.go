package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/problem"
)

const (
	backoffFirst = 10 * time.Millisecond
	backoffMax   = 500 * time.Millisecond
	// maxFailedAttempts bounds the attempts that may have run.
	maxFailedAttempts = 3
)

// attemptEnd is the outcome of an attempt.
type attemptEnd int

const (
	// endAnswered: the complete response was sent to the client.
	endAnswered attemptEnd = iota
	// endNotRun: the request did not run; nothing was sent to the client.
	endNotRun
	// endFailed: the request may have run; nothing was sent to the client.
	endFailed
	// endBroken: a partial stream and a typed error were sent to the client.
	endBroken
	// endDeadline: there was no response before the deadline.
	endDeadline
)

func (e attemptEnd) String() string {
	return [...]string{"answered", "not-run", "failed", "broken", "deadline"}[e]
}

func (e attemptEnd) health() dispatch.Result {
	switch e {
	case endNotRun:
		return dispatch.ResultNotRun
	case endFailed, endBroken:
		return dispatch.ResultFailed
	}
	return dispatch.ResultOK
}

func (g *Gateway) serveInference(writer http.ResponseWriter, request *http.Request) {
	created, document := g.newJob(writer, request)
	if document == nil {
		document = g.readInference(created, request)
	}
	if document != nil {
		g.refuse(writer, created.id, document)
		return
	}
	release, document := g.enterLimits(created)
	if document != nil {
		g.refuse(writer, created.id, document)
		return
	}
	defer release()
	g.budget.earn()
	result := g.runInference(request.Context(), writer, created)
	g.options.Metrics.requests.WithLabelValues(created.service, result).Inc()
}

// runInference sends the request to replicas until one answers. It returns the
// result for the metrics.
func (g *Gateway) runInference(parent context.Context, writer http.ResponseWriter, created *job) string {
	ctx, cancel := created.context(parent)
	defer cancel()
	if document := g.crashes.Refusal(created.identity); document != nil {
		return g.answerQuarantined(writer, created, document, false)
	}
	wanted := &dispatch.Request{
		Version: created.target.Version, Adapter: created.target.Adapter, Priority: created.spec.Priority,
		Arrived: created.arrived, Deadline: created.deadline, Prefix: created.prefix,
	}
	failures := 0
	for attempt := 1; ; attempt++ {
		grant, refusal := g.dispatcher.Acquire(ctx, wanted)
		if refusal != nil {
			return g.answerRefusal(writer, created, refusal, failures > 0)
		}
		if document := g.crashes.Refusal(created.identity); document != nil {
			g.dispatcher.Release(grant, dispatch.ResultNotRun)
			return g.answerQuarantined(writer, created, document, failures > 0)
		}
		if grant.Waited {
			waited := time.Since(created.arrived)
			g.options.Metrics.replicaWait.Observe(waited.Seconds())
			writer.Header().Set(HeaderReplicaWait, strconv.FormatInt(waited.Milliseconds(), 10))
		}
		end := g.attempt(parent, ctx, writer, created, grant, attempt)
		g.dispatcher.Release(grant, end.health())
		g.options.Metrics.attempts.WithLabelValues(end.String()).Inc()
		switch end {
		case endAnswered, endBroken:
			g.noteCompleted(created, end)
			return end.String()
		case endDeadline:
			g.failUnknown(writer, created, "no answer from the engine before the deadline")
			return end.String()
		case endFailed:
			failures++
			if failures >= maxFailedAttempts || !g.budget.spend() {
				g.failEngine(writer, created)
				return end.String()
			}
		}
		wanted.Avoid = grant.Target.Replica
		if !pause(ctx, attempt) {
			wanted.Deadline = time.Now() // Makes the dispatcher refuse it.
		}
	}
}

// pause backs off with full jitter. It returns false if ctx is done.
func pause(ctx context.Context, attempt int) bool {
	longest := min(backoffMax, backoffFirst<<min(attempt-1, 8))
	select {
	case <-time.After(rand.N(longest)):
		return true
	case <-ctx.Done():
		return false
	}
}

// answerRefusal answers with a refusal of the dispatcher. The outcome is unknown
// if an earlier attempt may have run.
func (g *Gateway) answerRefusal(writer http.ResponseWriter, created *job, refusal *dispatch.Refusal, mayHaveRun bool) string {
	var document *problem.Document
	switch refusal.Reason {
	case dispatch.RefusedOverload:
		document = problem.New(problem.TypeOverloaded, http.StatusTooManyRequests, refusal.Detail)
	case dispatch.RefusedZoneDrained:
		document = problem.New(problem.TypeUnavailable, http.StatusServiceUnavailable, string(refusal.Reason)+": "+refusal.Detail)
	case dispatch.RefusedNotLoadable:
		document = problem.New(problem.TypeNotLoadable, http.StatusServiceUnavailable, refusal.Detail)
	default:
		document = problem.New(problem.TypeDeadline, http.StatusGatewayTimeout, refusal.Detail)
	}
	document.RetryAfter = refusal.RetryAfter
	if mayHaveRun {
		document.Outcome = problem.OutcomeUnknown
		g.fail(writer, created.id, document)
		return "unknown"
	}
	g.refuse(writer, created.id, document)
	return "refused"
}

func (g *Gateway) failUnknown(writer http.ResponseWriter, created *job, detail string) {
	document := problem.New(problem.TypeDeadline, http.StatusGatewayTimeout, detail)
	document.Outcome = problem.OutcomeUnknown
	g.fail(writer, created.id, document)
}

func (g *Gateway) failEngine(writer http.ResponseWriter, created *job) {
	document := problem.New(problem.TypeEngineFailed, http.StatusBadGateway, "the engines failed the request")
	document.Outcome = problem.OutcomeUnknown
	document.RetryAfter = time.Second
	g.fail(writer, created.id, document)
}
