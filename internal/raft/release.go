package raft

import "time"

// A node that was leader of its term and has started anew holds no lease, and
// nobody else can hold one of that term or of an earlier one: it was elected by
// a quorum, each of whom had kept its promise to the leader before. Once it says
// so, the promises that voters made to leaders up to that term bind nobody, and
// another election need not wait for them.

const (
	// releasedWaitShare is the part of the election timeout that a node waits
	// before it stands for election where no lease is left: long enough for the
	// votes of the one before, short beside the promise that need not be kept.
	releasedWaitShare = 8
	// successorWaits is how many such parts a node waits longer that was not the
	// leader: the one that was has every committed entry, and stands first.
	successorWaits = 2
)

// releaseOwnLease notes, as a node starts, that it was leader of its present
// term.
func (n *Node) releaseOwnLease() {
	if n.led != None && n.led == n.term {
		n.released = n.term
	}
}

// learnReleased takes note of a term up to which no lease is held. It holds for
// good, so it does not matter how old the message is.
func (n *Node) learnReleased(term uint64) {
	if term <= n.released {
		return
	}
	n.released = term
	if n.role == Follower && n.isReleased() {
		n.leader = None
		n.resetElectionDeadline()
	}
}

// isReleased reports whether no lease of a leader that this node may have made
// a promise to is left: such a leader's term was not above this node's own.
func (n *Node) isReleased() bool {
	return n.released != None && n.term <= n.released
}

// releasedWait is how long to wait for an election where no lease is left.
func (n *Node) releasedWait() time.Duration {
	wait := n.config.ElectionTimeout / releasedWaitShare
	if n.led != n.term {
		wait *= 1 + successorWaits
	}
	return wait + time.Duration(n.config.Random(int64(wait)))
}
