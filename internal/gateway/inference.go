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
	// maxFailedAttempts bounds the attempts that failed without proof that
	// they did not run.
	maxFailedAttempts = 3
)

// attemptEnd is how one attempt at a replica ended.
type attemptEnd int

const (
	// endAnswered: the caller has the whole answer.
	endAnswered attemptEnd = iota
	// endNotRun: proved not to have run, nothing was written to the caller.
	endNotRun
	// endFailed: it may have run, nothing was written to the caller.
	endFailed
	// endBroken: the caller has a part, and a typed error behind it.
	endBroken
	// endDeadline: no answer before the deadline.
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

// runInference tries replicas until one answers. It returns how the request
// ended, for the metrics.
func (g *Gateway) runInference(parent context.Context, writer http.ResponseWriter, created *job) string {
	ctx, cancel := created.context(parent)
	defer cancel()
	if document := g.crashes.Refusal(created.identity); document != nil {
		return g.answerQuarantined(writer, created, document, false)
	}
	wanted := &dispatch.Request{
		Version: created.target.Version, Adapter: created.target.Adapter, Priority: created.spec.Priority,
		Arrived: created.arrived, Deadline: created.deadline, PrefixHash: created.prefix,
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
			wanted.Deadline = time.Now() // The queue then refuses it at once.
		}
	}
}

// pause backs off with full jitter; it returns false if ctx ended.
func pause(ctx context.Context, attempt int) bool {
	longest := min(backoffMax, backoffFirst<<min(attempt-1, 8))
	select {
	case <-time.After(rand.N(longest)):
		return true
	case <-ctx.Done():
		return false
	}
}

// answerRefusal reports a refusal. Where an earlier attempt failed without
// proof, the outcome is unknown.
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
