package control

import (
	"sync/atomic"
	"time"
)

// loadLogInterval is how often a leader tells what it is busy with.
const loadLogInterval = time.Second

// passPart is a part of a leader's pass.
type passPart int

const (
	// partFollow brings records of registered machines in step with what they say.
	partFollow passPart = iota
	// partPlace decides on replicas.
	partPlace
	// partDigest spreads soft state.
	partDigest
	passParts
)

// passLoad adds up what the passes of a leader took.
type passLoad struct {
	since           time.Time
	passes, digests int
	worked, waited  time.Duration
	longest         time.Duration
	parts           [passParts]time.Duration
}

// add counts a pass that took so long, of which it waited for the log.
func (l *passLoad) add(took, waited time.Duration) {
	l.passes++
	l.worked += took - waited
	l.waited += waited
	l.longest = max(l.longest, took)
}

// time counts a part of a pass, waiting for the log included.
func (l *passLoad) time(part passPart, run func()) {
	started := time.Now()
	run()
	l.parts[part] += time.Since(started)
}

// log tells the load and begins anew, if that is due.
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
		"digest_ms", l.parts[partDigest].Milliseconds(), "reports", node.taken.reports.Swap(0),
		"heartbeats", node.taken.heartbeats.Swap(0), "entries", node.taken.entries.Swap(0),
		"log_ms", time.Duration(node.taken.processing.Swap(0)).Milliseconds(), "inbox", len(node.inbox), "proposals", len(node.proposals),
		"election_timeout_ms", node.status.Load().ElectionTimeout.Milliseconds())
	*l = passLoad{since: now}
}

// takenCounts count what a node took, for the leader's log line. All counts begin anew with
// each line.
type takenCounts struct {
	// reports and heartbeats are of nodes and of machines, entries those applied.
	reports, heartbeats, entries atomic.Int64
	// processing is the time, in ns, spent on the log: storing, applying, sending.
	processing atomic.Int64
}
