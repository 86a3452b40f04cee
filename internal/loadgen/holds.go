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
	// impatience is how long a caller waits before it sends a hold again
	// through another router, every impatientEvery-th time.
	impatience     = 15 * time.Millisecond
	impatientEvery = 4
	maxHoldSends   = 6
)

// hold sends one unrepeatable request, again and again under the same key
// until the answer is clear, as a booking client would.
func (g *generator) hold(ctx context.Context, due time.Time, number int, key string) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(g.plan.Deadline+answerSlack))
	defer cancel()
	if number%impatientEvery == 0 {
		g.impatientSend(ctx, number, key)
	}
	outcome := OutcomeDropped
	for attempt := range maxHoldSends {
		if ctx.Err() != nil {
			break
		}
		answered, lost := g.sendHold(ctx, number+attempt+1, key)
		if lost {
			// A broken connection takes nothing back that was said before.
			g.recorder.resent()
		} else if outcome = answered; outcome != OutcomeUnknown && outcome != OutcomeNotRun {
			break
		}
		time.Sleep(resendDelay)
	}
	g.recorder.hold(key, outcome)
}

// impatientSend gives up on its answer long before it comes.
func (g *generator) impatientSend(ctx context.Context, number int, key string) {
	short, cancel := context.WithTimeout(ctx, impatience)
	defer cancel()
	_, _ = g.sendHold(short, number, key)
}

type holdAnswer struct {
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
	// The client itself must not repeat: it has to show what one sending does.
	request.GetBody = nil
	response, err := g.client.Do(request)
	if err != nil {
		return OutcomeDropped, true
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		refused := refusalOf(response)
		return refused.outcome, refused.lost
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return OutcomeDropped, true
	}
	var decoded holdAnswer
	if json.Unmarshal(content, &decoded) != nil || decoded.Key != key || decoded.Body != body {
		return OutcomeWrong, false
	}
	return OutcomeAnswered, false
}

func (r *recorder) hold(key string, outcome Outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.summary.Total++
	r.summary.Holds++
	r.summary.Requests[outcome]++
	if outcome == OutcomeNotRun {
		r.notRun[key] = true
	}
}

// judgeHolds compares what callers were told with what the back ends ran.
func (r *recorder) judgeHolds(executions map[string]int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	duplicates, falseNotRun := 0, 0
	for execution, count := range executions {
		key := execution[strings.LastIndex(execution, "|")+1:]
		if count > 1 {
			duplicates++
		}
		if count > 0 && r.notRun[key] {
			falseNotRun++
		}
	}
	r.summary.Violations["duplicate_runs"] = duplicates
	r.summary.Violations["false_not_run"] = falseNotRun
}
