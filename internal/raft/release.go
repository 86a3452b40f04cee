package raft

import (
	"math"
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

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

// Where the leader itself does not come back (its disk may be lost), the others
// can still find out that no lease is left. A node that is follower in a term will
// never lead that term or an earlier one; this stays true, whenever it was said.
// Once every other voter has said so, or is gone for good, no voter holds a lease
// of the terms that all of them spoke of. The lease of a leader that is not among
// these voters can't matter: it is a voter of a newer membership, which a quorum
// holds, and that quorum refuses whoever lacks it. For that reason the knowledge
// counts only for the votes of the node that has it, and others don't keep it.

// probeShare is the part of the election timeout after which a node without a
// leader asks the others whether they lead.
const probeShare = 8

const (
	// rankShare is the part of the election timeout that the voters keep between
	// them where no lease is left.
	rankShare = 4
	// gone is the term up to which a node leads nothing that has ended for good.
	gone uint64 = math.MaxUint64
	// never is a time that has not come.
	never time.Duration = -1
)

func (n *Node) scheduleProbe() {
	wait := n.config.ElectionTimeout / probeShare
	n.probeDue = n.now + wait + time.Duration(n.config.Random(int64(wait)))
}

// probe asks for votes before the election is due. Nobody who may be bound by a
// promise grants one, but all say whether they lead.
func (n *Node) probe() {
	n.scheduleProbe()
	if n.leader != None || n.role == Candidate || n.hasUnappliedMembership() || !n.mayGoFirst() {
		return
	}
	n.askForPreVotes()
}

// mayGoFirst reports whether this node may stand before an election is due. Where
// no lease is left, all voters find out at about the same time; two that stood at
// once would split the votes and lose an election timeout. So one goes first: the
// leader that released its lease, or else the voter with the lowest id of those
// that are there; the others follow at intervals.
func (n *Node) mayGoFirst() bool {
	if n.isReleased() {
		return n.led == n.term
	}
	if n.allIdle() < n.term || n.term == None {
		n.idleSince = never
		return true // It may still ask, but nobody is free to vote for it.
	}
	if n.idleSince == never {
		n.idleSince = n.now
	}
	rank := 0
	for _, voter := range n.membership.GetVoters() {
		if voter < n.config.ID && n.idle[voter] != gone {
			rank++
		}
	}
	return n.now >= n.idleSince+time.Duration(rank)*n.config.ElectionTimeout/rankShare
}

// ownIdle is the term up to which this node leads nothing and never will.
func (n *Node) ownIdle() uint64 {
	if n.role == Leader || n.role == Candidate {
		return None
	}
	return n.term
}

// learnIdle notes what a request or reply tells of its sender. Who asks for a
// pre-vote for a term is not in it yet; who asks for a vote may win that term.
func (n *Node) learnIdle(message *wirepb.RaftMessage) {
	idle := message.GetIdle()
	switch message.GetType() {
	case wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE, wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE:
		idle = message.GetTerm() - 1
	}
	if idle > n.idle[message.GetFrom()] {
		n.idle[message.GetFrom()] = idle
	}
}

// MarkTerminated tells that a member's process has ended for good: another identity
// runs at its address.
func (n *Node) MarkTerminated(now time.Duration, id uint64) {
	n.advanceClock(now)
	n.idle[id] = gone
	if n.leader == id {
		n.leader = None
	}
}

// allIdle returns the term up to which no voter leads anything, 0 if that is
// not known of all of them.
func (n *Node) allIdle() uint64 {
	least := n.ownIdle()
	for _, voter := range n.membership.GetVoters() {
		if voter != n.config.ID {
			least = min(least, n.idle[voter])
		}
	}
	return least
}
