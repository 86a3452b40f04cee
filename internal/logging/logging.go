// Package logging writes a process's log as JSON lines without ever holding up
// the process.
//
// The problem: an engineer on call has only logs and metrics, so every failure
// must be in them; but the volume must stay bounded under load, and whoever
// reads standard output may be slow, or not read at all.
//
// The mechanism: lines go through a buffer of fixed size to a goroutine of their
// own; what does not fit is dropped and counted. Before that, each event has a
// rate: failures (warnings and errors) are always kept, other events beyond
// their rate are left out and counted. What was left out is told in a line of
// its own, and by counters.
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
	// bufferLines is how many lines wait for a slow reader.
	bufferLines = 2048
	// eventRate is how many lines of one event are kept in a second, eventBurst
	// how many at once.
	eventRate  = 100
	eventBurst = 200
	// summaryInterval is how often what was left out is told.
	summaryInterval = 5 * time.Second
)

// Log is a process's log. Close writes what is buffered.
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
	limiter := newLimiter(eventRate, eventBurst)
	handler := &limitedHandler{
		Handler: slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: level}), limiter: limiter, now: time.Now,
	}
	created := &Log{Logger: slog.New(handler), writer: writer, limiter: limiter, stop: make(chan struct{})}
	created.stopped.Go(created.summarize)
	return created
}

// Close writes what is buffered, as far as the reader takes it within the time.
func (l *Log) Close(patience time.Duration) {
	close(l.stop)
	l.stopped.Wait()
	l.writer.close(patience)
}

func (l *Log) summarize() {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		for event, count := range l.limiter.takeLeftOut() {
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
	descriptions <- leftOutDescription
}

var (
	droppedDescription = prometheus.NewDesc("weldline_log_lines_dropped_total", "Lines dropped since the buffer was full.", nil, nil)
	leftOutDescription = prometheus.NewDesc("weldline_log_lines_left_out_total", "Lines left out beyond their event's rate.", nil, nil)
)

// Collect implements prometheus.Collector.
func (l *Log) Collect(metrics chan<- prometheus.Metric) {
	metrics <- prometheus.MustNewConstMetric(droppedDescription, prometheus.CounterValue, float64(l.writer.dropped.Load()))
	metrics <- prometheus.MustNewConstMetric(leftOutDescription, prometheus.CounterValue, float64(l.limiter.total.Load()))
}

// asyncWriter passes lines on to a writer on a goroutine of its own. Write never
// waits.
type asyncWriter struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
	told    uint64
	closing sync.Once
}

func newAsyncWriter(out io.Writer, capacity int) *asyncWriter {
	writer := &asyncWriter{out: out, lines: make(chan []byte, capacity), done: make(chan struct{})}
	go writer.run()
	return writer
}

// Write implements io.Writer; the line is copied.
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
		if line == nil {
			return
		}
		_, _ = w.out.Write(line)
	}
}

// takeDropped returns how many lines were dropped since it was called last.
func (w *asyncWriter) takeDropped() uint64 {
	dropped := w.dropped.Load() - w.told
	w.told += dropped
	return dropped
}

func (w *asyncWriter) close(patience time.Duration) {
	w.closing.Do(func() {
		limit := time.NewTimer(patience)
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

// limiter keeps each event to a rate. Time is an argument.
type limiter struct {
	rate, burst float64
	total       atomic.Uint64

	mutex   sync.Mutex
	events  map[string]*bucket
	leftOut map[string]uint64
}

type bucket struct {
	tokens  float64
	updated time.Time
}

func newLimiter(rate, burst float64) *limiter {
	return &limiter{rate: rate, burst: burst, events: map[string]*bucket{}, leftOut: map[string]uint64{}}
}

// allow reports whether a line of an event may be written now.
func (l *limiter) allow(now time.Time, event string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	held := l.events[event]
	if held == nil {
		held = &bucket{tokens: l.burst, updated: now}
		l.events[event] = held
	}
	held.tokens = min(l.burst, held.tokens+now.Sub(held.updated).Seconds()*l.rate)
	held.updated = now
	if held.tokens < 1 {
		l.leftOut[event]++
		l.total.Add(1)
		return false
	}
	held.tokens--
	return true
}

// takeLeftOut returns how many lines were left out since it was called last.
func (l *limiter) takeLeftOut() map[string]uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	leftOut := maps.Clone(l.leftOut)
	clear(l.leftOut)
	return leftOut
}

// limitedHandler leaves out what is beyond an event's rate, failures excepted.
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
