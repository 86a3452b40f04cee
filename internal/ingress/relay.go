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
func (j *job) pass(ctx context.Context, answer *upstream.Answer, grant *dispatch.Grant) attemptEnd {
	verdict := j.ingress.options.Translator.Judge(answer.Status, answer.Header, j.attributes.ID)
	if verdict.NotRun {
		discard(answer)
		if verdict.Elsewhere {
			return endElsewhere
		}
		return endNotRun
	}
	j.mayHaveRun = true
	if !verdict.Genuine {
		j.log("foreign_answer", "machine", grant.Target.Machine, "status", answer.Status)
		return endFailed
	}
	if answer.Status >= http.StatusInternalServerError && j.canRepeatError() {
		discard(answer)
		return endError
	}
	return j.relay(ctx, answer)
}

// canRepeatError reports whether a machine's own failure is tried elsewhere
// rather than passed on.
func (j *job) canRepeatError() bool {
	spec := j.route.Spec
	return spec.Kind == v1.RouteRepeatable && j.reserveRetry()
}

func discard(answer *upstream.Answer) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxDiscarded))
}

// relay copies head and body. Once the head is out, only the machine's own end
// of the answer may end the caller's.
func (j *job) relay(ctx context.Context, answer *upstream.Answer) attemptEnd {
	header := j.writer.Header()
	for name, values := range upstream.EndToEnd(answer.Header) {
		header[name] = values
	}
	if answer.Length >= 0 && answer.Header.Get("Content-Length") != "" {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	j.answered = true
	j.writer.WriteHeader(answer.Status)
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

// copyBody passes a body on as it comes. It returns how many bytes it passed on
// and the longest pause between two parts.
func (j *job) copyBody(controller *http.ResponseController, answer *upstream.Answer) (passed int64, pause time.Duration, err error) {
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
