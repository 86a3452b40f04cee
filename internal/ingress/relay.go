package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/eventstream"
	"github.com/weldline/weldline/internal/upstream"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	copyBufferBytes = 4 << 10
	// maxSavedBytes bounds the body of an error response that is saved.
	maxSavedBytes = 16 << 10
)

// handleResponse relays a machine's response to the client, unless the response allows a
// retry.
func (j *job) handleResponse(ctx context.Context, response *upstream.Response, grant *dispatch.Grant) attemptOutcome {
	verdict := j.ingress.options.Translator.Interpret(response.Status, response.Header, j.attributes.ID)
	j.recordStatement(grant, verdict)
	if verdict.NotRun {
		response.Discard()
		if verdict.WrongMachine {
			return outcomeWrongMachine
		}
		return outcomeNotRun
	}
	j.ingress.dispatcher.MarkStarted(grant)
	j.mayHaveRun = true
	if !verdict.Genuine {
		j.log("foreign_answer", "machine", grant.Target.Machine, "status", response.Status)
		return outcomeFailed
	}
	if response.Status >= http.StatusInternalServerError && j.mayRetryError(grant.Target.Machine) {
		j.saveError(response)
		return outcomeRetriableError
	}
	outcome := j.relay(ctx, response, framingOf(response), j.ingress.paths.observe(grant.Target.Machine, response))
	if (outcome == outcomeAnswered || outcome == outcomeUnmarked) && response.Status >= http.StatusInternalServerError {
		return outcomeErrorAnswered
	}
	return outcome
}

// mayRetryError reports whether the request is retried after a server error of a
// machine, instead of relaying the error.
func (j *job) mayRetryError(machine string) bool {
	return j.route.Spec.Repeatable() && j.ingress.dispatcher.HasAlternative(j.dispatchRequest, machine) && j.reserveRetry()
}

// connectionObserver observes a connection while its response is relayed.
type connectionObserver interface {
	// received is called for each part of the body.
	received()
	// broke is called if the connection breaks before the response is complete.
	broke(err error)
}

// errorResponse is a machine's error response.
type errorResponse struct {
	status  int
	header  http.Header
	framing bodyFraming
	body    []byte
}

// saveError saves a machine's error response for the case that the retry fails. A
// response that is too long or breaks off is not saved, as it would be truncated.
func (j *job) saveError(response *upstream.Response) {
	body, err := io.ReadAll(io.LimitReader(response, maxSavedBytes+1))
	if err != nil || len(body) > maxSavedBytes {
		j.log("error_not_kept", "status", response.Status, "bytes", len(body), "broke_off", err != nil)
		return
	}
	saved := &errorResponse{
		status: response.Status, header: upstream.EndToEndHeaders(response.Header), framing: framingOf(response), body: body,
	}
	if saved.framing.kind != upstream.FramingClose {
		saved.framing = bodyFraming{kind: upstream.FramingLength, length: int64(len(body))}
	}
	j.savedError = saved
}

func (j *job) sendSavedError() {
	j.writeHeader(j.savedError.status, j.savedError.header, j.savedError.framing)
	_, err := j.writer.Write(j.savedError.body)
	j.endBody()
	j.log("answered", "status", j.savedError.status, "bytes", len(j.savedError.body), "first_error", true, "caller_left", err != nil)
	j.ingress.options.Metrics.observe(j.route, "answered", time.Since(j.arrived))
}

// relay copies the header and the body of a response to the client. The client sees the response
// as complete only if its machine marked the end, and as broken off if it was cut off.
func (j *job) relay(ctx context.Context, response *upstream.Response, framing bodyFraming, observer connectionObserver) attemptOutcome {
	j.writeHeader(response.Status, upstream.EndToEndHeaders(response.Header), framing)
	controller := http.NewResponseController(j.writer)
	if j.route.Spec.Kind == v1.RouteStream {
		_ = controller.Flush()
	}
	first := time.Since(j.arrived)
	response.Relay()
	copied, err := j.copyBody(controller, response, observer.received)
	copied.status = response.Status
	j.relayed = copied
	if err == nil && copied.insideEvent {
		err = errInsideEvent
	}
	elapsed := time.Since(j.arrived)
	j.ingress.options.Metrics.observeBody(framing.kind, copied.insideEvent, err != nil)
	fields := []any{
		"status", response.Status, "bytes", copied.bytes, "first_ms", first.Milliseconds(), "longest_pause_ms", copied.longestPause.Milliseconds(),
		"framing", framing.kind.String(), "inside_event", copied.insideEvent,
	}
	if err == nil {
		j.endBody()
		j.log("answered", fields...)
		j.ingress.options.Metrics.observe(j.route, "answered", elapsed)
		if framing.kind == upstream.FramingClose {
			return outcomeUnmarked
		}
		return outcomeAnswered
	}
	if ctx.Err() == nil && response.ReadFailed() {
		observer.broke(err)
	}
	j.log("broken_off", append(fields, "error", err.Error(), "caller_left", j.request.Context().Err() != nil, "deadline_passed", ctx.Err() != nil)...)
	j.ingress.options.Metrics.observe(j.route, "broken_off", elapsed)
	return outcomeBroken
}

// writeHeader sends the status and header to the client.
func (j *job) writeHeader(status int, endToEnd http.Header, framing bodyFraming) {
	header := j.writer.Header()
	for name, values := range endToEnd {
		header[name] = values
	}
	header.Del(headerForwardResult)
	j.setForwardResult(wirepb.ForwardedResult_OUTCOME_ANSWERED, framing.kind == upstream.FramingClose)
	j.beginBody(framing)
	j.headerSent = true
	j.writer.WriteHeader(status)
}

// relayedResponse describes a response as far as it was relayed.
type relayedResponse struct {
	status int
	bytes  int64
	// longestPause is the longest pause between two reads.
	longestPause time.Duration
	// isEventStream is set if the body is an event stream, and insideEvent if it ended within an event.
	isEventStream, insideEvent bool
}

// copyBody streams a body to the client and calls onRead for each part of it.
func (j *job) copyBody(controller *http.ResponseController, response *upstream.Response, onRead func()) (copied relayedResponse, err error) {
	events := eventstream.Boundary{}
	copied.isEventStream = eventstream.IsEventStream(response.Header)
	defer func() { copied.insideEvent = events.InsideEvent() }()
	buffer := make([]byte, copyBufferBytes)
	last := time.Now()
	for {
		count, failure := response.Read(buffer)
		if count > 0 {
			onRead()
			if copied.isEventStream {
				events.Follow(buffer[:count])
			}
			now := time.Now()
			copied.longestPause, last = max(copied.longestPause, now.Sub(last)), now
			if _, err := j.writer.Write(buffer[:count]); err != nil {
				return copied, err
			}
			copied.bytes += int64(count)
			if err := controller.Flush(); err != nil {
				return copied, err
			}
		}
		if failure == io.EOF {
			return copied, nil
		}
		if failure != nil {
			return copied, failure
		}
	}
}
