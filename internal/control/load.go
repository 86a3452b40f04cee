package control

import (
	"sync/atomic"
	"time"
)

const loadLogInterval = time.Second

// passPart is a part of a leader's pass.
type passPart int

const (
	// partFollow updates the records of registered machines.
	partFollow passPart = iota
	partPlace
	partDigest
	passParts
)

// passLoad accumulates the durations of a leader's passes.
type passLoad struct {
	since           time.Time
	passes, digests int
	worked, waited  time.Duration
	longest         time.Duration
	parts           [passParts]time.Duration
}

// add records a pass of the given duration, including the time waited for commits.
func (l *passLoad) add(duration, waited time.Duration) {
	l.passes++
	l.worked += duration - waited
	l.waited += waited
	l.longest = max(l.longest, duration)
}

// timePart runs a part of a pass and records its duration, including the time waited for commits.
func (l *passLoad) timePart(part passPart, run func()) {
	started := time.Now()
	run()
	l.parts[part] += time.Since(started)
}

// log logs the load and resets it, if it is due.
func (l *passLoad) log(node *Node, now time.Time) {
	if l.since.IsZero() {
		l.since = now
	}
	span := now.Sub(l.since)
	if span < loadLogInterval {
		return
	}
	node.logger.Info("leader_load", "span_ms", span.Milliseconds(), "passes", l.passes, "digests", l.digests,
		"worked_ms", l.worked.Milliseconds(), "waited_ms", l.waited.Milliseconds(), "longest_ms", l.longest.Milliseconds(),
		"follow_ms", l.parts[partFollow].Milliseconds(), "place_ms", l.parts[partPlace].Milliseconds(),
		"digest_ms", l.parts[partDigest].Milliseconds(), "reports", node.counters.reports.Swap(0),
		"heartbeats", node.counters.heartbeats.Swap(0), "entries", node.counters.entries.Swap(0),
		"log_ms", time.Duration(node.counters.processing.Swap(0)).Milliseconds(), "inbox", len(node.inbox), "proposals", len(node.proposals),
		"election_timeout_ms", node.status.Load().ElectionTimeout.Milliseconds())
	*l = passLoad{since: now}
}

// loadCounters count received and processed items; each log line resets them.
type loadCounters struct {
	// reports are those of nodes, heartbeats those of machines, entries those applied.
	reports, heartbeats, entries atomic.Int64
	// processing is the time spent on persisting, applying and sending, in nanoseconds.
	processing atomic.Int64
}
