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
	// answerSlack is how long past its deadline a refusal may take.
	answerSlack = 2 * time.Second
	resendDelay = 50 * time.Millisecond
)

// ask is one caller's request for inference.
type ask struct {
	due    time.Time
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

type completionAnswer struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *problem.Document `json:"error"`
}

// answer is what came of one sending of a request.
type answer struct {
	outcome Outcome
	// lost is set where the connection broke without an answer.
	lost       bool
	firstToken time.Duration
	coldWait   time.Duration
	cold       bool
	// refusal is the problem's title and detail.
	refusal string
}

// send sends an ask until it is answered, refused or out of time. A caller
// whose connection breaks turns to the next router.
func (g *generator) send(ctx context.Context, entry ask) {
	limit := entry.due.Add(g.plan.Deadline + answerSlack)
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	result := answer{outcome: OutcomeDropped}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		result = g.sendOnce(ctx, entry, entry.router+attempt)
		if !result.lost {
			break
		}
		result.outcome = OutcomeDropped
		g.recorder.resent()
		time.Sleep(resendDelay)
	}
	g.recorder.inference(result)
}

func (g *generator) sendOnce(ctx context.Context, entry ask, router int) answer {
	body, err := json.Marshal(completionRequest{Model: entry.model, Prompt: entry.prompt, MaxTokens: entry.tokens, Stream: entry.stream})
	if err != nil {
		return answer{outcome: OutcomeInvalid}
	}
	url := g.plan.Routers[router%len(g.plan.Routers)] + "/v1/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return answer{outcome: OutcomeInvalid}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(gateway.HeaderDeadline, time.Until(entry.due.Add(g.plan.Deadline)).String())
	response, err := g.client.Do(request)
	if err != nil {
		return answer{lost: true}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refusalOf(response)
	}
	result := answer{}
	if waited := response.Header.Get(gateway.HeaderReplicaWait); waited != "" {
		millis, _ := strconv.Atoi(waited)
		result.cold, result.coldWait = true, time.Duration(millis)*time.Millisecond
	}
	if entry.stream {
		return g.readStream(entry, response.Body, result)
	}
	return readPlain(entry, response.Body, result)
}

func refusalOf(response *http.Response) answer {
	var document problem.Document
	if err := json.NewDecoder(response.Body).Decode(&document); err != nil {
		return answer{lost: true}
	}
	result := answer{refusal: document.Title + ": " + document.Detail}
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

// expected is the engines' whole answer to the ask.
func (a ask) expected() string {
	encoded, err := json.Marshal(a.prompt)
	if err != nil {
		return ""
	}
	return emulator.Completion(string(encoded), a.tokens)
}

func readPlain(entry ask, body io.Reader, result answer) answer {
	content, err := io.ReadAll(body)
	if err != nil {
		return answer{lost: true}
	}
	result.firstToken = time.Since(entry.due)
	var decoded completionAnswer
	if json.Unmarshal(content, &decoded) != nil || len(decoded.Choices) != 1 || decoded.Choices[0].Text != entry.expected() {
		result.outcome = OutcomeWrong
		return result
	}
	result.outcome = OutcomeAnswered
	return result
}

// readStream reads events to the end mark. A connection that breaks before it
// is lost, not complete.
func (g *generator) readStream(entry ask, body io.Reader, result answer) answer {
	var text strings.Builder
	reader := bufio.NewReader(body)
	last := time.Time{}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return answer{lost: true}
		}
		data, isData := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			break
		}
		var event completionAnswer
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
			result.firstToken = now.Sub(entry.due)
		} else {
			g.recorder.gap(now.Sub(last))
		}
		last = now
		if len(event.Choices) == 1 {
			text.WriteString(event.Choices[0].Text)
		}
	}
	result.outcome = OutcomeAnswered
	if text.String() != entry.expected() {
		result.outcome = OutcomeWrong
	}
	return result
}

func (r *recorder) resent() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.summary.Resent++
}

func (r *recorder) gap(value time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	record(r.tokenGap, value)
}

func (r *recorder) inference(result answer) {
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
	record(r.firstToken, result.firstToken)
	if result.cold {
		record(r.coldStart, result.coldWait)
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
