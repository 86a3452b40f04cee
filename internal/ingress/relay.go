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
	passed, err := j.copyBody(controller, answer)
	elapsed := time.Since(j.arrived)
	if err == nil {
		j.log("answered", "status", answer.Status, "bytes", passed)
		j.ingress.options.Metrics.observe(j.route, "answered", elapsed)
		return endAnswered
	}
	j.log("broken_off", "status", answer.Status, "bytes", passed, "error", err.Error(), "caller_left", j.request.Context().Err() != nil,
		"deadline_passed", ctx.Err() != nil)
	j.ingress.options.Metrics.observe(j.route, "broken_off", elapsed)
	return endBroken
}

func (j *job) copyBody(controller *http.ResponseController, answer *upstream.Answer) (int64, error) {
	buffer := make([]byte, copyBufferBytes)
	passed := int64(0)
	for {
		count, err := answer.Read(buffer)
		if count > 0 {
			if _, failure := j.writer.Write(buffer[:count]); failure != nil {
				return passed, failure
			}
			passed += int64(count)
			if failure := controller.Flush(); failure != nil {
				return passed, failure
			}
		}
		if err == io.EOF {
			return passed, nil
		}
		if err != nil {
			return passed, err
		}
	}
}
