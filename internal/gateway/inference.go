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
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// maxFailedAttempts bounds the attempts that may have run.
	maxFailedAttempts = 3
)

type attemptOutcome int

const (
	// outcomeAnswered: the complete response was sent to the client.
	outcomeAnswered attemptOutcome = iota
	// outcomeNotRun: the request did not run; nothing was sent to the client.
	outcomeNotRun
	// outcomeFailed: the request may have run; nothing was sent to the client.
	outcomeFailed
	// outcomeBroken: a partial stream and a typed error were sent to the client.
	outcomeBroken
	// outcomeDeadline: there was no response before the deadline.
	outcomeDeadline
)

func (o attemptOutcome) String() string {
	return [...]string{"answered", "not-run", "failed", "broken", "deadline"}[o]
}

func (o attemptOutcome) result() dispatch.Result {
	switch o {
	case outcomeNotRun:
		return dispatch.ResultNotRun
	case outcomeFailed, outcomeBroken:
		return dispatch.ResultFailed
	}
	return dispatch.ResultOK
}

func (g *Gateway) serveInference(writer http.ResponseWriter, request *http.Request) {
	j, document := g.newJob(writer, request)
	if document == nil {
		document = g.readInference(j, request)
	}
	if document != nil {
		g.refuse(writer, j.id, document)
		return
	}
	release, document := g.acquireLimits(j)
	if document != nil {
		g.refuse(writer, j.id, document)
		return
	}
	defer release()
	g.budget.deposit()
	result := g.runInference(request.Context(), writer, j)
	g.options.Metrics.requests.WithLabelValues(j.service, result).Inc()
}

// runInference sends the request to replicas until one answers. It returns the
// result for the metrics.
func (g *Gateway) runInference(parent context.Context, writer http.ResponseWriter, j *job) string {
	ctx, cancel := j.context(parent)
	defer cancel()
	if document := g.crashes.Refusal(j.crashRequest()); document != nil {
		return g.refuseQuarantined(writer, j, document, false)
	}
	dispatchRequest := &dispatch.Request{
		Version: j.target.Version, Adapter: j.target.Adapter, Priority: j.spec.Priority,
		Arrived: j.arrived, Deadline: j.deadline, PrefixHash: j.prefix,
	}
	failures := 0
	for attempt := 1; ; attempt++ {
		grant, refusal := g.dispatcher.Acquire(ctx, dispatchRequest)
		if refusal != nil {
			return g.answerRefusal(writer, j, refusal, failures > 0)
		}
		if document := g.crashes.Refusal(j.crashRequest()); document != nil {
			g.dispatcher.Release(grant, dispatch.ResultNotRun)
			return g.refuseQuarantined(writer, j, document, failures > 0)
		}
		if grant.Waited {
			waited := time.Since(j.arrived)
			g.options.Metrics.replicaWait.Observe(waited.Seconds())
			writer.Header().Set(HeaderReplicaWait, strconv.FormatInt(waited.Milliseconds(), 10))
		}
		outcome := g.attempt(parent, ctx, writer, j, grant, attempt)
		g.dispatcher.Release(grant, outcome.result())
		g.options.Metrics.attempts.WithLabelValues(outcome.String()).Inc()
		switch outcome {
		case outcomeAnswered, outcomeBroken:
			g.reportCompleted(j, outcome)
			return outcome.String()
		case outcomeDeadline:
			g.failUnknown(writer, j, "no answer from the engine before the deadline")
			return outcome.String()
		case outcomeFailed:
			failures++
			if failures >= maxFailedAttempts || !g.budget.withdraw() {
				g.failEngine(writer, j)
				return outcome.String()
			}
		}
		dispatchRequest.Avoid = grant.Target.Replica
		if !backOff(ctx, attempt) {
			dispatchRequest.Deadline = time.Now() // Makes the dispatcher refuse it.
		}
	}
}

// backOff backs off with full jitter. It returns false if ctx is done.
func backOff(ctx context.Context, attempt int) bool {
	longest := min(maxBackoff, initialBackoff<<min(attempt-1, 8))
	select {
	case <-time.After(rand.N(longest)):
		return true
	case <-ctx.Done():
		return false
	}
}

// answerRefusal answers with a refusal of the dispatcher. The outcome is unknown
// if an earlier attempt may have run.
func (g *Gateway) answerRefusal(writer http.ResponseWriter, j *job, refusal *dispatch.Refusal, mayHaveRun bool) string {
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
		g.fail(writer, j.id, document)
		return "unknown"
	}
	g.refuse(writer, j.id, document)
	return "refused"
}

func (g *Gateway) failUnknown(writer http.ResponseWriter, j *job, detail string) {
	document := problem.New(problem.TypeDeadline, http.StatusGatewayTimeout, detail)
	document.Outcome = problem.OutcomeUnknown
	g.fail(writer, j.id, document)
}

func (g *Gateway) failEngine(writer http.ResponseWriter, j *job) {
	document := problem.New(problem.TypeEngineFailed, http.StatusBadGateway, "the engines failed the request")
	document.Outcome = problem.OutcomeUnknown
	document.RetryAfter = time.Second
	g.fail(writer, j.id, document)
}
