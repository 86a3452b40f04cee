package logging

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingWriter is a writer whose Write never returns.
type blockingWriter struct{ entered chan struct{} }

func (b blockingWriter) Write([]byte) (int, error) {
	b.entered <- struct{}{}
	select {}
}

// TestBlockedOutput checks that Write doesn't block on its output, and that the
// dropped lines are counted.
func TestBlockedOutput(t *testing.T) {
	output := blockingWriter{entered: make(chan struct{}, 1)}
	writer := newAsyncWriter(output, 10)
	_, _ = writer.Write([]byte("first"))
	<-output.entered
	for range 100 {
		if count, err := writer.Write([]byte("line")); err != nil || count != 4 {
			t.Fatal(count, err)
		}
	}
	if dropped := writer.takeDropped(); dropped != 90 {
		t.Errorf("%d lines were dropped, want 90", dropped)
	}
	if dropped := writer.takeDropped(); dropped != 0 {
		t.Errorf("%d dropped lines are counted twice", dropped)
	}
	writer.close(time.Millisecond)
}

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(line)
}

func (b *lockedBuffer) text() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

// TestFailuresAreNotSuppressed checks that warnings are kept beyond the rate at
// which lines below level Warn are suppressed.
func TestFailuresAreNotSuppressed(t *testing.T) {
	output := &lockedBuffer{}
	log := New(output, slog.LevelInfo)
	for range 3 * eventBurstLines {
		log.Info("request_answered")
		log.Warn("request_failed")
	}
	log.Info("leader_elected")
	log.Close(time.Minute)
	text := output.text()
	if failures := strings.Count(text, `"request_failed"`); failures != 3*eventBurstLines {
		t.Errorf("%d of %d failures are in the log", failures, 3*eventBurstLines)
	}
	if successes := strings.Count(text, `"request_answered"`); successes < eventBurstLines || successes == 3*eventBurstLines {
		t.Errorf("%d of %d successes are in the log", successes, 3*eventBurstLines)
	}
	if !strings.Contains(text, `"leader_elected"`) {
		t.Error("a line was suppressed by the rate of another event")
	}
}

// TestLimiter checks the rate and burst of an event, and that events have
// separate buckets.
func TestLimiter(t *testing.T) {
	start := time.Unix(1000, 0)
	limiter := newLimiter(2, 3)
	for position, step := range []struct {
		after   time.Duration
		event   string
		allowed bool
	}{
		{0, "a", true},
		{0, "a", true},
		{0, "a", true},
		{0, "a", false},
		{0, "b", true},
		{500 * time.Millisecond, "a", true},
		{500 * time.Millisecond, "a", false},
		{time.Hour, "a", true},
	} {
		if allowed := limiter.allow(start.Add(step.after), step.event); allowed != step.allowed {
			t.Errorf("step %d: allowed is %v", position, allowed)
		}
	}
	if suppressed := limiter.takeSuppressed(); suppressed["a"] != 2 || suppressed["b"] != 0 {
		t.Errorf("suppressed: %v", suppressed)
	}
}

func BenchmarkLine(b *testing.B) {
	log := New(io.Discard, slog.LevelInfo)
	defer log.Close(time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		log.Warn("request_failed", "id", "9c41d07be2a35f68", "route", "a.example/chat/", "age_ms", 12)
	}
}

func BenchmarkSuppressedLine(b *testing.B) {
	log := New(io.Discard, slog.LevelInfo)
	defer log.Close(time.Minute)
	log.limiter.rate = 0
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request_answered", "id", "9c41d07be2a35f68", "route", "a.example/chat/", "age_ms", 12)
	}
}

func BenchmarkFullBuffer(b *testing.B) {
	output := blockingWriter{entered: make(chan struct{}, 1)}
	log := New(output, slog.LevelInfo)
	b.ReportAllocs()
	for b.Loop() {
		log.Warn("request_failed", "id", "9c41d07be2a35f68", "route", "a.example/chat/", "age_ms", 12)
	}
}
