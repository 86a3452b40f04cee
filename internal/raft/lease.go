package raft

import (
	"math"
	"slices"
	"time"
)

const maxRoundsKept = 64

// lease remembers when heartbeat rounds were sent, which of them each voter has answered, and
// until when each has promised to elect no other leader.
type lease struct {
	round    uint64
	sentAt   map[uint64]time.Duration
	answered map[uint64]uint64
	promised map[uint64]time.Duration
	// until is the time up to which a quorum has promised.
	until time.Duration
	held  bool
}

func newLease() lease {
	return lease{sentAt: map[uint64]time.Duration{}, answered: map[uint64]uint64{}, promised: map[uint64]time.Duration{}}
}

func (l *lease) nextRound(now time.Duration) uint64 {
	l.round++
	l.sentAt[l.round] = now
	delete(l.sentAt, l.round-maxRoundsKept)
	return l.round
}

// answer records a voter's reply and what it promised with it. The promise counts from when the
// round was sent, because the voter's began no earlier than that. The leader itself elects no
// other while it leads.
func (l *lease) answer(voter, round uint64, promise time.Duration, voters []uint64, self uint64, quorum int) {
	if l.answered == nil || round <= l.answered[voter] {
		return
	}
	l.answered[voter] = round
	sent, known := l.sentAt[round]
	if !known {
		return
	}
	l.promised[voter] = max(l.promised[voter], sent+promise)
	until := make([]time.Duration, 0, len(voters))
	for _, peer := range voters {
		if peer == self {
			until = append(until, math.MaxInt64)
		} else {
			until = append(until, l.promised[peer])
		}
	}
	slices.Sort(until)
	agreed := until[len(until)-quorum]
	if agreed == math.MaxInt64 {
		return // The only voter: nobody's promise holds once there are others.
	}
	if agreed > l.until {
		l.until, l.held = agreed, true
	}
}

func (n *Node) leaseUntil() time.Duration {
	if n.role != Leader || n.transferTo != None {
		return 0
	}
	if n.quorum() == 1 && n.isVoter(n.config.ID) {
		return n.now + n.config.ElectionTimeout
	}
	if !n.lease.held {
		return 0
	}
	return n.lease.until - n.config.LeaseMargin
}

// LeaseValid advances the clock and reports whether the lease is held then.
func (n *Node) LeaseValid(now time.Duration) bool {
	n.advanceClock(now)
	return n.Status().LeaseHeld(n.now)
}
