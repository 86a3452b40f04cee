package raft

import (
	"math"
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// A restarted node that was leader of its current term holds no lease, and no other node can hold
// one of that term or an earlier one. It announces the term as released, which frees voters from
// promises made in terms up to it, so that the next election need not wait for them.

const (
	// releasedDelayDivisor is the election timeout divided by the election delay in a released
	// term: long enough for the votes of the election before, short beside the lease that need not be
	// waited for.
	releasedDelayDivisor = 8
	// nonLeaderDelayFactor is the additional delay, in multiples, of nodes other than the last
	// leader, which has every committed entry and campaigns first.
	nonLeaderDelayFactor = 2
)

// releaseOwnLease marks the current term as released if this node was its leader before the
// restart.
func (n *Node) releaseOwnLease() {
	if n.lastLedTerm != None && n.lastLedTerm == n.term {
		n.releasedTerm = n.term
	}
}

// observeReleasedTerm records a term without a leader lease. This never changes, so late messages
// are valid.
func (n *Node) observeReleasedTerm(term uint64) {
	if term <= n.releasedTerm {
		return
	}
	n.releasedTerm = term
	if n.role == Follower && n.isTermReleased() {
		n.leader = None
		n.resetElectionDeadline()
	}
}

// isTermReleased reports whether no lease remains of any leader to which this node may have made a
// promise.
func (n *Node) isTermReleased() bool {
	return n.releasedTerm != None && n.term <= n.releasedTerm
}

// releasedElectionDelay returns the delay before an election in a released term.
func (n *Node) releasedElectionDelay() time.Duration {
	wait := n.config.ElectionTimeout / releasedDelayDivisor
	if n.lastLedTerm != n.term {
		wait *= 1 + nonLeaderDelayFactor
	}
	return wait + time.Duration(n.config.Random(int64(wait)))
}

// If the leader does not return, the other voters can still establish that no lease remains. A node
// that is a follower in a term never becomes leader of that term or an earlier one. Once every
// other voter has reported this or has terminated, no voter holds a lease of those terms. A leader
// outside the known voters belongs to a newer membership held by a quorum, which refuses to vote
// for a node that lacks it. The knowledge therefore counts only for votes for the node that has it
// and is not passed on.

// probeDelayDivisor is the election timeout divided by the delay after which a node without a
// leader requests pre-votes.
const probeDelayDivisor = 8

const (
	// rankDelayDivisor is the election timeout divided by the delay between successive voters'
	// campaigns where no lease remains.
	rankDelayDivisor = 4
	// terminated is the idle term of a node whose process has ended permanently.
	terminated uint64 = math.MaxUint64
	// unset stands for a time that has not been recorded.
	unset time.Duration = -1
)

func (n *Node) scheduleProbe() {
	wait := n.config.ElectionTimeout / probeDelayDivisor
	n.probeDeadline = n.now + wait + time.Duration(n.config.Random(int64(wait)))
}

// probeVoters requests pre-votes before the election timeout. Voters bound by a promise refuse, but
// every reply reports the voter's idle term.
func (n *Node) probeVoters() {
	n.scheduleProbe()
	if n.leader != None || n.role == Candidate || n.hasUnappliedMembership() || !n.mayCampaignEarly() {
		return
	}
	n.requestPreVotes()
}

// mayCampaignEarly reports whether this node may campaign before the election timeout. Voters learn
// at about the same time that no lease remains; to avoid split votes, the leader that released its
// lease campaigns first, otherwise the live voters in the order of their IDs, at intervals.
func (n *Node) mayCampaignEarly() bool {
	if n.isTermReleased() {
		return n.lastLedTerm == n.term
	}
	if n.allIdleTerm() < n.term || n.term == None {
		n.allIdleSince = unset
		return true // Only probes: the voters are still bound by promises.
	}
	if n.allIdleSince == unset {
		n.allIdleSince = n.now
	}
	rank := 0
	for _, voter := range n.membership.GetVoters() {
		if voter < n.config.ID && n.idleTerms[voter] != terminated {
			rank++
		}
	}
	return n.now >= n.allIdleSince+time.Duration(rank)*n.config.ElectionTimeout/rankDelayDivisor
}

// ownIdleTerm returns the term up to which this node is not leader and will never be.
func (n *Node) ownIdleTerm() uint64 {
	if n.role == Leader || n.role == Candidate {
		return None
	}
	return n.term
}

// observeIdleTerm records the sender's idle term. A node that requests a pre-vote has not entered
// the requested term yet; one that requests a vote may still win it.
func (n *Node) observeIdleTerm(message *wirepb.RaftMessage) {
	idle := message.GetIdle()
	switch message.GetType() {
	case wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE, wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE:
		idle = message.GetTerm() - 1
	}
	if idle > n.idleTerms[message.GetFrom()] {
		n.idleTerms[message.GetFrom()] = idle
	}
}

// MarkTerminated records that a member's process has ended permanently, because another identity
// runs at its address.
func (n *Node) MarkTerminated(now time.Duration, id uint64) {
	n.advanceClock(now)
	n.idleTerms[id] = terminated
	if n.leader == id {
		n.leader = None
	}
}

// allIdleTerm returns the term up to which no voter is leader, 0 if a voter's idle term is unknown.
func (n *Node) allIdleTerm() uint64 {
	lowest := n.ownIdleTerm()
	for _, voter := range n.membership.GetVoters() {
		if voter != n.config.ID {
			lowest = min(lowest, n.idleTerms[voter])
		}
	}
	return lowest
}
