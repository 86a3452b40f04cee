package gateway

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/weldline/weldline/api/engine"
	"github.com/weldline/weldline/internal/bodymemory"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/fault"
)

const (
	// maxPlainBodyBytes bounds the body of a response that is not a stream.
	maxPlainBodyBytes = 32 << 20
	eventStream       = "text/event-stream"
)

// attempt sends the request to a granted replica and relays the response.
//
// The context parent is the client's. deadlineCtx also has the deadline, which no longer
// applies once the first event of a stream has arrived.
func (g *Gateway) attempt(parent, deadlineCtx context.Context, writer http.ResponseWriter, j *job, grant *dispatch.Grant, number int) attemptOutcome {
	if g.options.View.ZoneDrained(grant.Target.Zone) {
		return outcomeNotRun
	}
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	attemptID := j.id + "." + strconv.Itoa(number)
	stop := context.AfterFunc(deadlineCtx, cancel)
	defer stop()
	response, err := g.engines.Do(engineRequest(ctx, j, grant, attemptID))
	if err != nil {
		if ctx.Err() == nil && !notConnected(err) {
			g.reportBroken(j, grant)
		}
		return failureOutcome(deadlineCtx)
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get(engine.HeaderRequestID) != attemptID {
		g.options.Metrics.discarded.Inc()
		return outcomeFailed
	}
	if response.Header.Get(engine.HeaderOutcome) == engine.OutcomeNotRun {
		return outcomeNotRun
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return outcomeFailed
	}
	if !strings.HasPrefix(response.Header.Get("Content-Type"), eventStream) {
		return g.relayPlain(ctx, deadlineCtx, writer, j, grant, response)
	}
	relay := &streamRelay{gateway: g, writer: writer, job: j, grant: grant, attemptID: attemptID, deadlineCtx: deadlineCtx}
	return relay.run(ctx, stop, response)
}

// failureOutcome distinguishes a deadline from a failure of the engine.
func failureOutcome(deadlineCtx context.Context) attemptOutcome {
	if deadlineCtx.Err() != nil {
		return outcomeDeadline
	}
	return outcomeFailed
}

func engineRequest(ctx context.Context, j *job, grant *dispatch.Grant, attemptID string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, grant.Target.Endpoint+j.path, bytes.NewReader(j.body))
	if err != nil {
		// Endpoints are validated when they are declared.
		request = &http.Request{Method: http.MethodPost, Header: http.Header{}}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(engine.HeaderRequestID, attemptID)
	request.Header.Set(engine.HeaderReplica, grant.Target.Replica)
	request.Header.Set(engine.HeaderPriority, strconv.Itoa(int(j.spec.Priority)))
	request.Header.Set(HeaderTraceParent, j.traceParent)
	if j.target.Adapter != "" {
		request.Header.Set(engine.HeaderAdapter, j.target.Adapter)
	}
	return request
}

// relayPlain reads the complete response before it sends any of it to the client,
// so that a truncated one can be retried.
func (g *Gateway) relayPlain(ctx, deadlineCtx context.Context, writer http.ResponseWriter, j *job, grant *dispatch.Grant, response *http.Response) attemptOutcome {
	body, err := g.readBody(response)
	if err != nil {
		g.options.Logger.Info("response_not_relayed", "id", j.id, "error", fault.Message(err))
		if ctx.Err() == nil && err != bodymemory.ErrExhausted {
			g.reportBroken(j, grant)
		}
		return failureOutcome(deadlineCtx)
	}
	defer body.release()
	g.options.Metrics.firstByte.Observe(time.Since(j.arrived).Seconds())
	copyResponseHeaders(writer.Header(), response.Header)
	writer.WriteHeader(response.StatusCode)
	_, _ = writer.Write(body.content)
	return outcomeAnswered
}

func copyResponseHeaders(to, from http.Header) {
	for _, name := range []string{"Content-Type", "Cache-Control"} {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}
