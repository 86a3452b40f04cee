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

// stuck is an output that is never read.
type stuck struct{ entered chan struct{} }

func (s stuck) Write([]byte) (int, error) {
	s.entered <- struct{}{}
	select {}
}

// TestOutputThatIsNeverRead: the process goes on, and what was lost is counted.
func TestOutputThatIsNeverRead(t *testing.T) {
	output := stuck{entered: make(chan struct{}, 1)}
	writer := newAsyncWriter(output, 10)
	_, _ = writer.Write([]byte("first"))
	<-output.entered
	for range 100 {
		if count, err := writer.Write([]byte("line")); err != nil || count != 4 {
			t.Fatal(count, err)
		}
	}
	if dropped := writer.takeDropped(); dropped != 90 {
		t.Errorf("%d lines were dropped, 90 did not fit", dropped)
	}
	if dropped := writer.takeDropped(); dropped != 0 {
		t.Errorf("%d lines are told twice", dropped)
	}
	writer.close(time.Millisecond)
}

// guarded is a buffer for two goroutines.
type guarded struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (g *guarded) Write(line []byte) (int, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.buffer.Write(line)
}

func (g *guarded) text() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.buffer.String()
}

// TestFailuresAreKept beyond the rate at which successes are left out.
func TestFailuresAreKept(t *testing.T) {
	output := &guarded{}
	log := New(output, slog.LevelInfo)
	for range 3 * eventBurst {
		log.Info("request_answered")
		log.Warn("request_failed")
	}
	log.Info("leader_elected")
	log.Close(time.Minute)
	text := output.text()
	if failures := strings.Count(text, `"request_failed"`); failures != 3*eventBurst {
		t.Errorf("%d of %d failures are in the log", failures, 3*eventBurst)
	}
	if successes := strings.Count(text, `"request_answered"`); successes < eventBurst || successes == 3*eventBurst {
		t.Errorf("%d of %d successes are in the log", successes, 3*eventBurst)
	}
	if !strings.Contains(text, `"leader_elected"`) {
		t.Error("one event's rate left out another")
	}
}

// TestRateOfAnEvent tables when a line is left out.
func TestRateOfAnEvent(t *testing.T) {
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
			t.Errorf("step %d is allowed: %v", position, allowed)
		}
	}
	if leftOut := limiter.takeLeftOut(); leftOut["a"] != 2 || leftOut["b"] != 0 {
		t.Errorf("left out: %v", leftOut)
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

func BenchmarkLineThatIsLeftOut(b *testing.B) {
	log := New(io.Discard, slog.LevelInfo)
	defer log.Close(time.Minute)
	log.limiter.rate = 0
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request_answered", "id", "9c41d07be2a35f68", "route", "a.example/chat/", "age_ms", 12)
	}
}

func BenchmarkFullBuffer(b *testing.B) {
	output := stuck{entered: make(chan struct{}, 1)}
	log := New(output, slog.LevelInfo)
	b.ReportAllocs()
	for b.Loop() {
		log.Warn("request_failed", "id", "9c41d07be2a35f68", "route", "a.example/chat/", "age_ms", 12)
	}
}
