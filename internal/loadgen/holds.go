package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/weldline/weldline/internal/gateway"
)

const (
	holdPath = "/holds"
	// For one in earlyResendEvery holds, the client abandons the first attempt after earlyResendDelay and
	// resends it through another router.
	earlyResendDelay = 15 * time.Millisecond
	earlyResendEvery = 4
	maxHoldAttempts  = 6
)

// hold sends one non-idempotent request, and resends it under the same key until its outcome is known.
func (g *generator) hold(ctx context.Context, due time.Time, number int, key string) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(g.plan.Deadline+responseGrace))
	defer cancel()
	if number%earlyResendEvery == 0 {
		g.sendAndAbandon(ctx, number, key)
	}
	outcome := OutcomeDropped
	for attempt := range maxHoldAttempts {
		if ctx.Err() != nil {
			break
		}
		answered, lost := g.sendHold(ctx, number+attempt+1, key)
		if lost {
			// A broken connection does not invalidate the outcome of an earlier attempt.
			g.recorder.recordResend()
		} else if outcome = answered; outcome != OutcomeUnknown && outcome != OutcomeNotRun {
			break
		}
		time.Sleep(resendDelay)
	}
	g.recorder.recordHold(key, outcome)
}

// sendAndAbandon sends a hold and abandons the response after earlyResendDelay.
func (g *generator) sendAndAbandon(ctx context.Context, number int, key string) {
	short, cancel := context.WithTimeout(ctx, earlyResendDelay)
	defer cancel()
	_, _ = g.sendHold(short, number, key)
}

type holdResponse struct {
	Key  string `json:"key"`
	Body string `json:"body"`
}

func (g *generator) sendHold(ctx context.Context, router int, key string) (Outcome, bool) {
	body := `{"seat":"` + key + `"}`
	url := g.plan.Routers[router%len(g.plan.Routers)] + "/v1/services/" + g.plan.Service + holdPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return OutcomeInvalid, false
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set(gateway.HeaderDeadline, g.plan.Deadline.String())
	// Prevents the HTTP client from retrying on its own.
	request.GetBody = nil
	response, err := g.client.Do(request)
	if err != nil {
		return OutcomeDropped, true
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		refused := decodeRefusal(response)
		return refused.outcome, refused.connectionLost
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return OutcomeDropped, true
	}
	var decoded holdResponse
	if json.Unmarshal(content, &decoded) != nil || decoded.Key != key || decoded.Body != body {
		return OutcomeWrong, false
	}
	return OutcomeAnswered, false
}

func (r *recorder) recordHold(key string, outcome Outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.summary.Total++
	r.summary.Holds++
	r.summary.Requests[outcome]++
	if outcome == OutcomeNotRun {
		r.notRunKeys[key] = true
	}
}

// checkHolds compares the outcomes reported to clients with the executions at the backends.
func (r *recorder) checkHolds(executions map[string]int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	duplicates, falseNotRun := 0, 0
	for execution, count := range executions {
		key := execution[strings.LastIndex(execution, "|")+1:]
		if count > 1 {
			duplicates++
		}
		if count > 0 && r.notRunKeys[key] {
			falseNotRun++
		}
	}
	r.summary.Violations["duplicate_runs"] = duplicates
	r.summary.Violations["false_not_run"] = falseNotRun
}
