package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/weldline/weldline/api/engine"
	"github.com/weldline/weldline/internal/dispatch"
)

const (
	// maxPlainAnswer bounds the body of a response that is not a stream.
	maxPlainAnswer = 32 << 20
	eventStream    = "text/event-stream"
)

// attempt sends the request to a granted replica and relays the response.
//
// The context parent is the client's; waiting also has the deadline, which applies
// until the first byte.
func (g *Gateway) attempt(parent, waiting context.Context, writer http.ResponseWriter, created *job, grant *dispatch.Grant, number int) attemptEnd {
	if g.options.View.ZoneDrained(grant.Target.Zone) {
		return endNotRun
	}
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	attemptID := created.id + "." + strconv.Itoa(number)
	stop := context.AfterFunc(waiting, cancel)
	defer stop()
	response, err := g.engines.Do(engineRequest(ctx, created, grant, attemptID))
	if err != nil {
		if ctx.Err() == nil && !notConnected(err) {
			g.noteBroken(created, grant)
		}
		return failedBy(waiting)
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get(engine.HeaderRequestID) != attemptID {
		g.options.Metrics.discarded.Inc()
		return endFailed
	}
	if response.Header.Get(engine.HeaderOutcome) == engine.OutcomeNotRun {
		return endNotRun
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return endFailed
	}
	if !strings.HasPrefix(response.Header.Get("Content-Type"), eventStream) {
		return g.passPlain(ctx, waiting, writer, created, grant, response)
	}
	relay := &streamRelay{gateway: g, writer: writer, created: created, grant: grant, attemptID: attemptID, waiting: waiting}
	return relay.run(ctx, stop, response)
}

// failedBy distinguishes a deadline from a failure of the engine.
func failedBy(waiting context.Context) attemptEnd {
	if waiting.Err() != nil {
		return endDeadline
	}
	return endFailed
}

func engineRequest(ctx context.Context, created *job, grant *dispatch.Grant, attemptID string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, grant.Target.Endpoint+created.path, bytes.NewReader(created.body))
	if err != nil {
		// Endpoints are validated when they are declared.
		request = &http.Request{Method: http.MethodPost, Header: http.Header{}}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(engine.HeaderRequestID, attemptID)
	request.Header.Set(engine.HeaderReplica, grant.Target.Replica)
	request.Header.Set(engine.HeaderPriority, strconv.Itoa(int(created.spec.Priority)))
	request.Header.Set(HeaderTraceParent, created.traceParent)
	if created.target.Adapter != "" {
		request.Header.Set(engine.HeaderAdapter, created.target.Adapter)
	}
	return request
}

// passPlain reads the complete response before it sends any of it to the client,
// so that a truncated one can be retried.
func (g *Gateway) passPlain(ctx, waiting context.Context, writer http.ResponseWriter, created *job, grant *dispatch.Grant, response *http.Response) attemptEnd {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPlainAnswer+1))
	if err != nil {
		if ctx.Err() == nil {
			g.noteBroken(created, grant)
		}
		return failedBy(waiting)
	}
	if len(body) > maxPlainAnswer {
		return endFailed
	}
	g.options.Metrics.firstByte.Observe(time.Since(created.arrived).Seconds())
	copyAnswerHeaders(writer.Header(), response.Header)
	writer.WriteHeader(response.StatusCode)
	_, _ = writer.Write(body)
	return endAnswered
}

func copyAnswerHeaders(to, from http.Header) {
	for _, name := range []string{"Content-Type", "Cache-Control"} {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}
