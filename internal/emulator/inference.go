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
	// LeaveGrace is the time after a machine was listed as leaving during which requests may still
	// start there.
	LeaveGrace = 5 * time.Second
	// streamRetention is how long a finished stream can be resumed.
	streamRetention = 30 * time.Second
	// readerGrace is how long a generation continues without a reader.
	readerGrace = 3 * time.Second
)

// inferenceRequest holds the request fields that the emulator uses.
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

// Token returns one token of the response to a prompt. It depends only on the prompt and the position,
// so that clients can verify every token.
func Token(prompt string, position int) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt)%1_000_000, 36) + "-" + strconv.Itoa(position) + " "
}

// Completion returns the whole response to a prompt.
func Completion(prompt string, tokens int) string {
	var text strings.Builder
	for position := range tokens {
		text.WriteString(Token(prompt, position))
	}
	return text.String()
}

// slotWaiter is a request queued for a slot in a replica's batch.
type slotWaiter struct {
	priority int
	bytes    int64
	granted  chan struct{}
	refused  chan struct{}
}

// acquireSlot reserves a batch slot and cache memory for a request, by priority. It returns false if
// the replica does not accept requests or stops doing so; the request has then not run.
func (e *Engine) acquireSlot(ctx context.Context, name string, priority int, bytes int64) (*replica, bool) {
	e.mutex.Lock()
	target := e.replicas[name]
	if target == nil || target.Phase != engine.PhaseReady {
		e.mutex.Unlock()
		return nil, false
	}
	if target.hasCapacity(bytes) {
		e.model.BeginRequest(name)
		target.cacheUsed += bytes
		e.mutex.Unlock()
		return target, true
	}
	waiting := &slotWaiter{priority: priority, bytes: bytes, granted: make(chan struct{}), refused: make(chan struct{})}
	target.waiting = append(target.waiting, waiting)
	sort.SliceStable(target.waiting, func(i, j int) bool { return target.waiting[i].priority > target.waiting[j].priority })
	e.mutex.Unlock()
	select {
	case <-waiting.granted:
		return target, true
	case <-waiting.refused:
		return nil, false
	case <-ctx.Done():
		return nil, e.cancelWait(target, waiting)
	}
}

func (r *replica) hasCapacity(bytes int64) bool {
	if r.Running >= r.Order.MaxConcurrent {
		return false
	}
	return r.Running == 0 || r.cacheUsed+bytes <= r.Order.CacheBytes
}

// cancelWait removes a waiter. If its slot was granted concurrently, it is released.
func (e *Engine) cancelWait(target *replica, waiting *slotWaiter) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for position, other := range target.waiting {
		if other == waiting {
			target.waiting = append(target.waiting[:position], target.waiting[position+1:]...)
			return false
		}
	}
	select {
	case <-waiting.granted:
		e.releaseSlotLocked(target, waiting.bytes)
	default:
	}
	return false
}

func (e *Engine) releaseSlot(target *replica, bytes int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.releaseSlotLocked(target, bytes)
}

func (e *Engine) releaseSlotLocked(target *replica, bytes int64) {
	e.model.EndRequest(target.Replica)
	target.cacheUsed -= bytes
	for len(target.waiting) > 0 && target.Phase == engine.PhaseReady && target.hasCapacity(target.waiting[0].bytes) {
		next := target.waiting[0]
		target.waiting = target.waiting[1:]
		e.model.BeginRequest(target.Order.Replica)
		target.cacheUsed += next.bytes
		close(next.granted)
	}
	e.removeIfUnloaded(target)
}

// stream buffers the output of one request for any number of readers.
type stream struct {
	mutex  sync.Mutex
	events []string
	ended  bool
	// truncated is set if the generation ended before its last token; chat selects the format of the
	// events.
	truncated bool
	chat      bool
	changed   chan struct{}
	// idleSince is when the last reader left.
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
	s.notify()
}

func (s *stream) end(cut bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
	s.truncated = cut
	s.notify()
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// after returns the events from a position on, whether the stream has ended, and a channel that is
// closed at the next change.
func (s *stream) after(position int) ([]string, bool, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if position > len(s.events) {
		position = len(s.events)
	}
	return s.events[position:len(s.events):len(s.events)], s.ended, s.changed
}

func (s *stream) addReaders(change int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readers += change
	if s.readers == 0 {
		s.idleSince = time.Now()
	}
}

// isAbandoned reports whether the stream has had no reader for longer than readerGrace.
func (s *stream) isAbandoned(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.readers == 0 && now.Sub(s.idleSince) > readerGrace
}

// start starts a request and returns its stream, or nil if the request does not run. The generation
// continues as long as the stream has readers.
func (e *Engine) start(ctx context.Context, name, id, adapter string, priority int, body inferenceRequest) *stream {
	prompt := body.prompt()
	promptTokens := len(prompt)/bytesPerToken + 1
	bytes := int64(promptTokens+body.tokens()) * e.config.CacheBytesPerToken
	target, admitted := e.acquireSlot(ctx, name, priority, bytes)
	if !admitted {
		return nil
	}
	if since, leaving := e.leavingSince(e.machine); leaving && time.Since(since) > LeaveGrace {
		e.auditor.update(func(audit *Audit) { audit.WorkAfterLeaving++ })
	}
	e.mutex.Lock()
	generation, cancel := context.WithCancel(e.processContext)
	created := newStream(cancel)
	created.chat = len(body.Messages) > 0
	e.streams[id] = created
	prefill := e.prefillTime(target, prompt, promptTokens, adapter)
	e.mutex.Unlock()
	go func() {
		defer cancel()
		defer e.releaseSlot(target, bytes)
		e.generate(generation, target, created, body, prompt, prefill)
		time.AfterFunc(streamRetention, func() { e.removeStream(id, created) })
	}()
	return created
}

func (e *Engine) removeStream(id string, ended *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.streams[id] == ended {
		delete(e.streams, id)
	}
}

const maxCachedPrefixes = 512

// prefillTime is shorter if the beginning of the prompt is cached.
func (e *Engine) prefillTime(target *replica, prompt string, tokens int, adapter string) time.Duration {
	if adapter != "" {
		target.adapters[adapter] = true
	}
	prefix := xxhash.Sum64String(prompt[:min(len(prompt), prefixTokens*bytesPerToken)])
	uncached := tokens
	if target.prefixes[prefix] {
		uncached = max(1, tokens-prefixTokens)
	}
	if len(target.prefixes) >= maxCachedPrefixes {
		target.prefixes = map[uint64]bool{}
	}
	target.prefixes[prefix] = true
	return time.Duration(uncached) * e.config.PrefillPerToken
}

func (e *Engine) generate(ctx context.Context, target *replica, output *stream, body inferenceRequest, prompt string, prefill time.Duration) {
	wait := prefill
	for position := range body.tokens() {
		e.mutex.Lock()
		others := max(0, target.Running-1)
		e.mutex.Unlock()
		wait += e.config.TokenInterval + time.Duration(others)*e.config.BatchSlowdown
		select {
		case <-ctx.Done():
			output.end(true)
			return
		case <-time.After(wait):
		}
		if output.isAbandoned(time.Now()) {
			e.auditor.update(func(audit *Audit) { audit.AbandonedStreams++ })
			output.end(true)
			return
		}
		wait = 0
		output.add(Token(prompt, position))
	}
	e.auditor.update(func(audit *Audit) { audit.Runs++ })
	output.end(false)
}
