package emulator

import (
	"context"
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/weldline/weldline/api/engine"
)

const (
	defaultMaxTokens = 16
	bytesPerToken    = 4
	prefixTokens     = 128
	// LeaveGrace is how long after a machine was listed as leaving a request
	// may still be begun there.
	LeaveGrace = 5 * time.Second
	// streamKept is how long an ended stream can be resumed.
	streamKept = 30 * time.Second
	// readerGrace is how long a stream runs on without a reader.
	readerGrace = 3 * time.Second
)

// inferenceRequest is what the emulator reads of a request.
type inferenceRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (r inferenceRequest) prompt() string {
	if len(r.Prompt) > 0 {
		return string(r.Prompt)
	}
	return string(r.Messages)
}

func (r inferenceRequest) tokens() int {
	if r.MaxTokens <= 0 {
		return defaultMaxTokens
	}
	return r.MaxTokens
}

// Token returns the position-th token of the answer to a prompt: whoever
// knows the prompt can check an answer word for word.
func Token(prompt string, position int) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt)%1_000_000, 36) + "-" + strconv.Itoa(position) + " "
}

// Completion returns the whole answer to a prompt.
func Completion(prompt string, tokens int) string {
	var text strings.Builder
	for position := range tokens {
		text.WriteString(Token(prompt, position))
	}
	return text.String()
}

// slotWaiter is a request that waits for a place in a replica's batch.
type slotWaiter struct {
	priority int
	bytes    int64
	granted  chan struct{}
	refused  chan struct{}
}

// enter takes a place in the batch and the cache memory for a request, in
// order of priority. It returns false where the replica does not, or no
// longer, take requests: the request has then not run.
func (e *Engine) enter(ctx context.Context, name string, priority int, bytes int64) (*replica, bool) {
	e.mutex.Lock()
	held := e.replicas[name]
	if held == nil || held.Phase != engine.PhaseReady {
		e.mutex.Unlock()
		return nil, false
	}
	if held.admits(bytes) {
		e.model.BeginRequest(name)
		held.cacheUsed += bytes
		e.mutex.Unlock()
		return held, true
	}
	waiting := &slotWaiter{priority: priority, bytes: bytes, granted: make(chan struct{}), refused: make(chan struct{})}
	held.waiting = append(held.waiting, waiting)
	sort.SliceStable(held.waiting, func(i, j int) bool { return held.waiting[i].priority > held.waiting[j].priority })
	e.mutex.Unlock()
	select {
	case <-waiting.granted:
		return held, true
	case <-waiting.refused:
		return nil, false
	case <-ctx.Done():
		return nil, e.withdraw(held, waiting)
	}
}

func (r *replica) admits(bytes int64) bool {
	if r.Running >= r.Order.MaxConcurrent {
		return false
	}
	return r.Running == 0 || r.cacheUsed+bytes <= r.Order.CacheBytes
}

// withdraw takes a waiter out; where it was granted at the same moment, its
// place is given back.
func (e *Engine) withdraw(held *replica, waiting *slotWaiter) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for position, other := range held.waiting {
		if other == waiting {
			held.waiting = append(held.waiting[:position], held.waiting[position+1:]...)
			return false
		}
	}
	select {
	case <-waiting.granted:
		e.leaveLocked(held, waiting.bytes)
	default:
	}
	return false
}

func (e *Engine) leave(held *replica, bytes int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaveLocked(held, bytes)
}

func (e *Engine) leaveLocked(held *replica, bytes int64) {
	e.model.EndRequest(held.Replica)
	held.cacheUsed -= bytes
	for len(held.waiting) > 0 && held.Phase == engine.PhaseReady && held.admits(held.waiting[0].bytes) {
		next := held.waiting[0]
		held.waiting = held.waiting[1:]
		e.model.BeginRequest(held.Order.Replica)
		held.cacheUsed += next.bytes
		close(next.granted)
	}
	e.dropUnloaded(held)
}

// stream is the buffered output of one request; readers follow it.
type stream struct {
	mutex  sync.Mutex
	events []string
	ended  bool
	// cut is set where the generation ended before its last token; chat is
	// the form of the events.
	cut     bool
	chat    bool
	changed chan struct{}
	// readers counts those that follow; idleSince is when the last left.
	readers   int
	idleSince time.Time
	cancel    context.CancelFunc
}

func newStream(cancel context.CancelFunc) *stream {
	return &stream{changed: make(chan struct{}), cancel: cancel, idleSince: time.Now()}
}

func (s *stream) add(event string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.events = append(s.events, event)
	s.wake()
}

func (s *stream) end(cut bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
	s.cut = cut
	s.wake()
}

func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// after returns the events from a position on, whether the stream has ended,
// and a channel that is closed at the next change.
func (s *stream) after(position int) ([]string, bool, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if position > len(s.events) {
		position = len(s.events)
	}
	return s.events[position:len(s.events):len(s.events)], s.ended, s.changed
}

func (s *stream) follow(change int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readers += change
	if s.readers == 0 {
		s.idleSince = time.Now()
	}
}

// abandoned reports whether nobody has followed the stream for a while.
func (s *stream) abandoned(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.readers == 0 && now.Sub(s.idleSince) > readerGrace
}

// start begins a request and returns its stream, or nil where it does not
// run. The generation goes on while anybody follows it.
func (e *Engine) start(ctx context.Context, name, id, adapter string, priority int, body inferenceRequest) *stream {
	prompt := body.prompt()
	promptTokens := len(prompt)/bytesPerToken + 1
	bytes := int64(promptTokens+body.tokens()) * e.config.CacheBytesPerToken
	held, admitted := e.enter(ctx, name, priority, bytes)
	if !admitted {
		return nil
	}
	if since, leaving := e.leavingSince(e.machine); leaving && time.Since(since) > LeaveGrace {
		e.auditor.count(func(audit *Audit) { audit.WorkAfterLeaving++ })
	}
	e.mutex.Lock()
	life, cancel := context.WithCancel(e.life)
	created := newStream(cancel)
	created.chat = len(body.Messages) > 0
	e.streams[id] = created
	prefill := e.prefillTime(held, prompt, promptTokens, adapter)
	e.mutex.Unlock()
	go func() {
		defer cancel()
		defer e.leave(held, bytes)
		e.generate(life, held, created, body, prompt, prefill)
		time.AfterFunc(streamKept, func() { e.forget(id, created) })
	}()
	return created
}

func (e *Engine) forget(id string, ended *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.streams[id] == ended {
		delete(e.streams, id)
	}
}

const maxPrefixesCached = 512

// prefillTime is shorter where the prompt's beginning is cached.
func (e *Engine) prefillTime(held *replica, prompt string, tokens int, adapter string) time.Duration {
	if adapter != "" {
		held.adapters[adapter] = true
	}
	prefix := xxhash.Sum64String(prompt[:min(len(prompt), prefixTokens*bytesPerToken)])
	uncached := tokens
	if held.prefixes[prefix] {
		uncached = max(1, tokens-prefixTokens)
	}
	if len(held.prefixes) >= maxPrefixesCached {
		held.prefixes = map[uint64]bool{}
	}
	held.prefixes[prefix] = true
	return time.Duration(uncached) * e.config.PrefillPerToken
}

func (e *Engine) generate(ctx context.Context, held *replica, output *stream, body inferenceRequest, prompt string, prefill time.Duration) {
	wait := prefill
	for position := range body.tokens() {
		e.mutex.Lock()
		others := max(0, held.Running-1)
		e.mutex.Unlock()
		wait += e.config.TokenInterval + time.Duration(others)*e.config.BatchSlowdown
		select {
		case <-ctx.Done():
			output.end(true)
			return
		case <-time.After(wait):
		}
		if output.abandoned(time.Now()) {
			e.auditor.count(func(audit *Audit) { audit.AbandonedStreams++ })
			output.end(true)
			return
		}
		wait = 0
		output.add(Token(prompt, position))
	}
	e.auditor.count(func(audit *Audit) { audit.Runs++ })
	output.end(false)
}
