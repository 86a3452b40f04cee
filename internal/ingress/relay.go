package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/upstream"
)

const (
	copyBufferBytes = 4 << 10
	// maxDiscarded bounds what is read of an answer that is not passed on, to
	// keep its connection.
	maxDiscarded = 16 << 10
)

// pass passes a machine's answer on to the caller, unless it proves that the
// request may go elsewhere.
func (j *job) pass(ctx context.Context, answer *upstream.Response, grant *dispatch.Grant) attemptEnd {
	verdict := j.ingress.options.Translator.Interpret(answer.Status, answer.Header, j.attributes.ID)
	j.noteStatement(grant, verdict)
	if verdict.NotRun {
		discard(answer)
		if verdict.WrongMachine {
			return endElsewhere
		}
		return endNotRun
	}
	j.ingress.dispatcher.Started(grant)
	j.mayHaveRun = true
	if !verdict.Genuine {
		j.log("foreign_answer", "machine", grant.Target.Machine, "status", answer.Status)
		return endFailed
	}
	if answer.Status >= http.StatusInternalServerError && j.canRepeatError(grant.Target.Machine) {
		j.keepError(answer)
		return endError
	}
	end := j.relay(ctx, answer)
	if end == endAnswered && answer.Status >= http.StatusInternalServerError {
		return endErrorAnswered
	}
	return end
}

// canRepeatError reports whether a machine's own failure is tried elsewhere rather
// than passed on: nothing has gone to the caller yet, the request may run again, and
// another machine could take it.
func (j *job) canRepeatError(machine string) bool {
	return j.route.Spec.Repeatable() && j.ingress.dispatcher.HasAlternative(j.wanted, machine) && j.reserveRetry()
}

// errorAnswer is a machine's own failure, whole.
type errorAnswer struct {
	status int
	header http.Header
	body   []byte
}

// keepError keeps a machine's failure for the case that no other machine answers. One
// that is too long, or breaks off, is not kept: a part must not look like the whole.
func (j *job) keepError(answer *upstream.Response) {
	body, err := io.ReadAll(io.LimitReader(answer, maxDiscarded+1))
	if err != nil || len(body) > maxDiscarded {
		j.log("error_not_kept", "status", answer.Status, "bytes", len(body), "broke_off", err != nil)
		return
	}
	j.kept = &errorAnswer{status: answer.Status, header: upstream.EndToEndHeaders(answer.Header), body: body}
}

// passKeptError passes on the failure that a machine answered with before.
func (j *job) passKeptError() {
	j.writeHead(j.kept.status, j.kept.header, int64(len(j.kept.body)))
	_, err := j.writer.Write(j.kept.body)
	j.log("answered", "status", j.kept.status, "bytes", len(j.kept.body), "first_error", true, "caller_left", err != nil)
	j.ingress.options.Metrics.observe(j.route, "answered", time.Since(j.arrived))
}

func discard(answer *upstream.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxDiscarded))
}

// relay copies head and body. Once the head is out, only the machine's own end
// of the answer may end the caller's.
func (j *job) relay(ctx context.Context, answer *upstream.Response) attemptEnd {
	length := int64(-1)
	if answer.Header.Get("Content-Length") != "" {
		length = answer.ContentLength
	}
	j.writeHead(answer.Status, upstream.EndToEndHeaders(answer.Header), length)
	controller := http.NewResponseController(j.writer)
	if j.route.Spec.Kind == v1.RouteStream {
		_ = controller.Flush()
	}
	first := time.Since(j.arrived)
	passed, pause, err := j.copyBody(controller, answer)
	elapsed := time.Since(j.arrived)
	if err == nil {
		j.log("answered", "status", answer.Status, "bytes", passed, "first_ms", first.Milliseconds(), "longest_pause_ms", pause.Milliseconds())
		j.ingress.options.Metrics.observe(j.route, "answered", elapsed)
		return endAnswered
	}
	j.log("broken_off", "status", answer.Status, "bytes", passed, "first_ms", first.Milliseconds(), "longest_pause_ms", pause.Milliseconds(),
		"error", err.Error(), "caller_left", j.request.Context().Err() != nil, "deadline_passed", ctx.Err() != nil)
	j.ingress.options.Metrics.observe(j.route, "broken_off", elapsed)
	return endBroken
}

// writeHead passes on the head of a machine's answer, with the length of its body if that
// is not below 0.
func (j *job) writeHead(status int, endToEnd http.Header, length int64) {
	header := j.writer.Header()
	for name, values := range endToEnd {
		header[name] = values
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	j.answered = true
	j.writer.WriteHeader(status)
}

// copyBody passes a body on as it comes. It returns how many bytes it passed on
// and the longest pause between two parts.
func (j *job) copyBody(controller *http.ResponseController, answer *upstream.Response) (passed int64, pause time.Duration, err error) {
	buffer := make([]byte, copyBufferBytes)
	last := time.Now()
	for {
		count, failure := answer.Read(buffer)
		if count > 0 {
			now := time.Now()
			pause, last = max(pause, now.Sub(last)), now
			if _, err := j.writer.Write(buffer[:count]); err != nil {
				return passed, pause, err
			}
			passed += int64(count)
			if err := controller.Flush(); err != nil {
				return passed, pause, err
			}
		}
		if failure == io.EOF {
			return passed, pause, nil
		}
		if failure != nil {
			return passed, pause, failure
		}
	}
}
