package raft

import (
	"slices"
	"time"
)

const maxRoundsKept = 64

// lease remembers when heartbeat rounds were sent and which of them each
// voter has answered.
type lease struct {
	round    uint64
	sentAt   map[uint64]time.Duration
	answered map[uint64]uint64
	// start is when the newest round answered by a quorum was sent.
	start time.Duration
	held  bool
}

func newLease() lease {
	return lease{sentAt: map[uint64]time.Duration{}, answered: map[uint64]uint64{}}
}

func (l *lease) nextRound(now time.Duration) uint64 {
	l.round++
	l.sentAt[l.round] = now
	delete(l.sentAt, l.round-maxRoundsKept)
	return l.round
}

// answer records a voter's reply. The lease counts from when the round was
// sent, because the voter's promise began no earlier than that.
func (l *lease) answer(voter, round uint64, voters []uint64, self uint64, quorum int) {
	if l.answered == nil || round <= l.answered[voter] {
		return
	}
	l.answered[voter] = round
	l.answered[self] = l.round
	rounds := make([]uint64, 0, len(voters))
	for _, peer := range voters {
		rounds = append(rounds, l.answered[peer])
	}
	slices.Sort(rounds)
	agreed := rounds[len(rounds)-quorum]
	sent, known := l.sentAt[agreed]
	if known && (!l.held || sent > l.start) {
		l.start = sent
		l.held = true
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
	return n.lease.start + n.config.ElectionTimeout - n.config.LeaseMargin
}

// LeaseValid advances the clock and reports whether the lease is held then.
func (n *Node) LeaseValid(now time.Duration) bool {
	n.advanceClock(now)
	return n.Status().LeaseHeld(n.now)
}
