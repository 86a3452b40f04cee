// Package logging writes a process's log as JSON lines without blocking the
// process.
//
// Lines pass through a bounded buffer to a writer goroutine; lines that don't fit
// are dropped. Each event below level Warn is rate-limited; warnings and errors are
// not. Dropped and suppressed lines are counted and summarized in the log.
package logging

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	bufferLines         = 2048
	eventLinesPerSecond = 100
	eventBurstLines     = 200
	summaryInterval     = 5 * time.Second
)

// Log is the log of a process. Close flushes it.
type Log struct {
	*slog.Logger
	writer  *asyncWriter
	limiter *limiter
	stop    chan struct{}
	stopped sync.WaitGroup
}

// New returns a log that writes to out.
func New(out io.Writer, level slog.Level) *Log {
	writer := newAsyncWriter(out, bufferLines)
	limiter := newLimiter(eventLinesPerSecond, eventBurstLines)
	handler := &limitedHandler{
		Handler: slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: level}), limiter: limiter, now: time.Now,
	}
	created := &Log{Logger: slog.New(handler), writer: writer, limiter: limiter, stop: make(chan struct{})}
	created.stopped.Go(created.summarize)
	return created
}

// Close flushes the buffer and stops the log. It gives up after the timeout.
func (l *Log) Close(timeout time.Duration) {
	close(l.stop)
	l.stopped.Wait()
	l.writer.close(timeout)
}

// summarize periodically logs the numbers of suppressed and dropped lines.
func (l *Log) summarize() {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		for event, count := range l.limiter.takeSuppressed() {
			l.Warn("log_left_out", "event", event, "lines", count)
		}
		if dropped := l.writer.takeDropped(); dropped > 0 {
			l.Warn("log_dropped", "lines", dropped)
		}
	}
}

// Describe implements prometheus.Collector.
func (l *Log) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- droppedDescription
	descriptions <- suppressedDescription
}

var (
	droppedDescription    = prometheus.NewDesc("weldline_log_lines_dropped_total", "Lines dropped since the buffer was full.", nil, nil)
	suppressedDescription = prometheus.NewDesc("weldline_log_lines_left_out_total", "Lines left out beyond their event's rate.", nil, nil)
)

// Collect implements prometheus.Collector.
func (l *Log) Collect(metrics chan<- prometheus.Metric) {
	metrics <- prometheus.MustNewConstMetric(droppedDescription, prometheus.CounterValue, float64(l.writer.dropped.Load()))
	metrics <- prometheus.MustNewConstMetric(suppressedDescription, prometheus.CounterValue, float64(l.limiter.total.Load()))
}

// asyncWriter writes lines to out on its own goroutine. Write never blocks; it
// drops the line if the buffer is full.
type asyncWriter struct {
	out       io.Writer
	lines     chan []byte
	done      chan struct{}
	dropped   atomic.Uint64
	reported  uint64
	closeOnce sync.Once
}

func newAsyncWriter(out io.Writer, capacity int) *asyncWriter {
	writer := &asyncWriter{out: out, lines: make(chan []byte, capacity), done: make(chan struct{})}
	go writer.run()
	return writer
}

// Write implements io.Writer. It copies the line.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- slices.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *asyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil { // Sent by close.
			return
		}
		_, _ = w.out.Write(line)
	}
}

// takeDropped returns the number of lines dropped since the last call.
func (w *asyncWriter) takeDropped() uint64 {
	dropped := w.dropped.Load() - w.reported
	w.reported += dropped
	return dropped
}

func (w *asyncWriter) close(timeout time.Duration) {
	w.closeOnce.Do(func() {
		limit := time.NewTimer(timeout)
		defer limit.Stop()
		select {
		case w.lines <- nil:
		case <-limit.C:
			return
		}
		select {
		case <-w.done:
		case <-limit.C:
		}
	})
}

// limiter is a token bucket per event.
type limiter struct {
	rate, burst float64
	total       atomic.Uint64

	mutex      sync.Mutex
	events     map[string]*bucket
	suppressed map[string]uint64
}

type bucket struct {
	tokens  float64
	updated time.Time
}

func newLimiter(rate, burst float64) *limiter {
	return &limiter{rate: rate, burst: burst, events: map[string]*bucket{}, suppressed: map[string]uint64{}}
}

// allow reports whether a line of an event may be written, and counts it as
// suppressed if not.
func (l *limiter) allow(now time.Time, event string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	state := l.events[event]
	if state == nil {
		state = &bucket{tokens: l.burst, updated: now}
		l.events[event] = state
	}
	state.tokens = min(l.burst, state.tokens+now.Sub(state.updated).Seconds()*l.rate)
	state.updated = now
	if state.tokens < 1 {
		l.suppressed[event]++
		l.total.Add(1)
		return false
	}
	state.tokens--
	return true
}

// takeSuppressed returns the number of suppressed lines by event since the last
// call.
func (l *limiter) takeSuppressed() map[string]uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	suppressed := maps.Clone(l.suppressed)
	clear(l.suppressed)
	return suppressed
}

// limitedHandler suppresses records below level Warn that exceed their event's
// rate.
type limitedHandler struct {
	slog.Handler
	limiter *limiter
	now     func() time.Time
}

// Handle implements slog.Handler.
func (h *limitedHandler) Handle(ctx context.Context, record slog.Record) error {
	if record.Level < slog.LevelWarn && !h.limiter.allow(h.now(), record.Message) {
		return nil
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *limitedHandler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &limitedHandler{Handler: h.Handler.WithAttrs(attributes), limiter: h.limiter, now: h.now}
}

// WithGroup implements slog.Handler.
func (h *limitedHandler) WithGroup(name string) slog.Handler {
	return &limitedHandler{Handler: h.Handler.WithGroup(name), limiter: h.limiter, now: h.now}
}
