package raft

import (
	"math"
	"slices"
	"time"
)

const maxTrackedRounds = 64

// lease tracks the heartbeat rounds sent, the latest round that each voter has answered, and the
// end of each voter's promise.
type lease struct {
	round          uint64
	sentAt         map[uint64]time.Duration
	answeredRounds map[uint64]uint64
	promisedUntil  map[uint64]time.Duration
	// until is the end of the promises of a quorum; held is set once there is one.
	until time.Duration
	held  bool
}

func newLease() lease {
	return lease{sentAt: map[uint64]time.Duration{}, answeredRounds: map[uint64]uint64{}, promisedUntil: map[uint64]time.Duration{}}
}

func (l *lease) nextRound(now time.Duration) uint64 {
	l.round++
	l.sentAt[l.round] = now
	delete(l.sentAt, l.round-maxTrackedRounds)
	return l.round
}

// recordReply records a voter's reply and the promise in it. The promise is counted from when the
// round was sent, because the voter's own period started no earlier. The leader itself votes for no
// other node while it leads.
func (l *lease) recordReply(voter, round uint64, promise time.Duration, voters []uint64, self uint64, quorum int) {
	if l.answeredRounds == nil || round <= l.answeredRounds[voter] {
		return
	}
	l.answeredRounds[voter] = round
	sentAt, known := l.sentAt[round]
	if !known {
		return
	}
	l.promisedUntil[voter] = max(l.promisedUntil[voter], sentAt+promise)
	ends := make([]time.Duration, 0, len(voters))
	for _, peer := range voters {
		if peer == self {
			ends = append(ends, math.MaxInt64)
		} else {
			ends = append(ends, l.promisedUntil[peer])
		}
	}
	slices.Sort(ends)
	quorumUntil := ends[len(ends)-quorum]
	if quorumUntil == math.MaxInt64 {
		return // The only voter: no promise of another node backs the lease.
	}
	if quorumUntil > l.until {
		l.until, l.held = quorumUntil, true
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

// LeaseValid advances the clock to now and reports whether the lease is held.
func (n *Node) LeaseValid(now time.Duration) bool {
	n.advanceClock(now)
	return n.Status().LeaseHeld(n.now)
}
