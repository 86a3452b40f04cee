package raft

import "time"

// replyConfirmTimeouts is the number of election timeouts within which the leader must confirm a
// reply. A leader without a quorum steps down after one; the rest allows for a lost packet or a
// short pause.
const replyConfirmTimeouts = 2

// replyTracker detects connections that carry messages only from the leader to this follower. Each
// heartbeat names the latest heartbeat round whose reply the leader has received.
type replyTracker struct {
	term uint64
	// repliedAt holds the reply time of the most recent rounds.
	repliedAt map[uint64]time.Duration
	// confirmedRound is the latest round whose reply the leader has received; confirmedSentAt is
	// when that reply was sent.
	confirmedRound  uint64
	confirmedSentAt time.Duration
	// leaderHasQuorum is whether the leader's latest heartbeat reported contact with a quorum.
	leaderHasQuorum bool
}

// recordReply records the reply to a heartbeat round. The first reply of a term starts the
// confirmation timeout.
func (t *replyTracker) recordReply(now time.Duration, term, round uint64) {
	if term != t.term {
		*t = replyTracker{term: term, repliedAt: map[uint64]time.Duration{}, confirmedSentAt: now}
	}
	t.repliedAt[round] = now
	delete(t.repliedAt, round-maxTrackedRounds)
}

// confirmRound records that the leader of a term has received the reply to a round. Heartbeats that
// arrive out of order are ignored.
func (t *replyTracker) confirmRound(term, round uint64) {
	repliedAt, known := t.repliedAt[round]
	if term != t.term || !known || round <= t.confirmedRound {
		return
	}
	t.confirmedRound, t.confirmedSentAt = round, repliedAt
}

func (n *Node) reachableUntil() time.Duration {
	return n.replyTracker.confirmedSentAt + replyConfirmTimeouts*n.promise
}
