package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/weldline/weldline/internal/emulator"
	"github.com/weldline/weldline/internal/gateway"
	"github.com/weldline/weldline/internal/problem"
)

const (
	// responseGrace is how long after its deadline a request may still be answered or refused.
	responseGrace = 2 * time.Second
	resendDelay   = 50 * time.Millisecond
)

// inferenceCall is a scheduled inference request of one client.
type inferenceCall struct {
	dueAt  time.Time
	model  string
	prompt string
	tokens int
	stream bool
	router int
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type completionResponse struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *problem.Document `json:"error"`
}

// callResult is the result of one attempt to send a request.
type callResult struct {
	outcome        Outcome
	connectionLost bool
	firstToken     time.Duration
	coldStartWait  time.Duration
	coldStart      bool
	// refusal is the title and detail of the problem document.
	refusal string
}

// send sends a call until it is answered or refused, or its deadline passes. After a broken connection
// it switches to the next router.
func (g *generator) send(ctx context.Context, call inferenceCall) {
	limit := call.dueAt.Add(g.plan.Deadline + responseGrace)
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	result := callResult{outcome: OutcomeDropped}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		result = g.sendOnce(ctx, call, call.router+attempt)
		if !result.connectionLost {
			break
		}
		result.outcome = OutcomeDropped
		g.recorder.recordResend()
		time.Sleep(resendDelay)
	}
	g.recorder.recordInference(result)
}

func (g *generator) sendOnce(ctx context.Context, call inferenceCall, router int) callResult {
	body, err := json.Marshal(completionRequest{Model: call.model, Prompt: call.prompt, MaxTokens: call.tokens, Stream: call.stream})
	if err != nil {
		return callResult{outcome: OutcomeInvalid}
	}
	url := g.plan.Routers[router%len(g.plan.Routers)] + "/v1/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return callResult{outcome: OutcomeInvalid}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(gateway.HeaderDeadline, time.Until(call.dueAt.Add(g.plan.Deadline)).String())
	response, err := g.client.Do(request)
	if err != nil {
		return callResult{connectionLost: true}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return decodeRefusal(response)
	}
	result := callResult{}
	if wait := response.Header.Get(gateway.HeaderReplicaWait); wait != "" {
		millis, _ := strconv.Atoi(wait)
		result.coldStart, result.coldStartWait = true, time.Duration(millis)*time.Millisecond
	}
	if call.stream {
		return g.readStream(call, response.Body, result)
	}
	return readComplete(call, response.Body, result)
}

func decodeRefusal(response *http.Response) callResult {
	var document problem.Document
	if err := json.NewDecoder(response.Body).Decode(&document); err != nil {
		return callResult{connectionLost: true}
	}
	result := callResult{refusal: document.Title + ": " + document.Detail}
	switch {
	case response.StatusCode < http.StatusInternalServerError && response.StatusCode != http.StatusTooManyRequests &&
		document.Outcome != problem.OutcomeUnknown:
		result.outcome = OutcomeInvalid
	case document.Outcome == problem.OutcomeNotRun:
		result.outcome = OutcomeNotRun
	case document.Outcome == problem.OutcomeUnknown:
		result.outcome = OutcomeUnknown
	default:
		result.outcome = OutcomeWrong
	}
	return result
}

// expectedText is the engines' whole response to the call.
func (c inferenceCall) expectedText() string {
	encoded, err := json.Marshal(c.prompt)
	if err != nil {
		return ""
	}
	return emulator.Completion(string(encoded), c.tokens)
}

func readComplete(call inferenceCall, body io.Reader, result callResult) callResult {
	content, err := io.ReadAll(body)
	if err != nil {
		return callResult{connectionLost: true}
	}
	result.firstToken = time.Since(call.dueAt)
	var decoded completionResponse
	if json.Unmarshal(content, &decoded) != nil || len(decoded.Choices) != 1 || decoded.Choices[0].Text != call.expectedText() {
		result.outcome = OutcomeWrong
		return result
	}
	result.outcome = OutcomeAnswered
	return result
}

// readStream reads events up to the end marker. A connection that breaks earlier counts as lost.
func (g *generator) readStream(call inferenceCall, body io.Reader, result callResult) callResult {
	var text strings.Builder
	reader := bufio.NewReader(body)
	last := time.Time{}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return callResult{connectionLost: true}
		}
		data, isData := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			break
		}
		var event completionResponse
		if json.Unmarshal([]byte(data), &event) != nil {
			result.outcome = OutcomeWrong
			return result
		}
		if event.Error != nil {
			result.outcome = OutcomeUnknown
			return result
		}
		now := time.Now()
		if last.IsZero() {
			result.firstToken = now.Sub(call.dueAt)
		} else {
			g.recorder.recordTokenGap(now.Sub(last))
		}
		last = now
		if len(event.Choices) == 1 {
			text.WriteString(event.Choices[0].Text)
		}
	}
	result.outcome = OutcomeAnswered
	if text.String() != call.expectedText() {
		result.outcome = OutcomeWrong
	}
	return result
}

func (r *recorder) recordResend() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.summary.Resent++
}

func (r *recorder) recordTokenGap(value time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	recordDuration(r.tokenGap, value)
}

func (r *recorder) recordInference(result callResult) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.summary.Total++
	r.summary.Requests[result.outcome]++
	if result.refusal != "" {
		r.summary.Refusals[result.refusal]++
	}
	if result.outcome != OutcomeAnswered {
		return
	}
	recordDuration(r.firstToken, result.firstToken)
	if result.coldStart {
		recordDuration(r.coldStart, result.coldStartWait)
	}
}

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
