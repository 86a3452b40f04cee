package raft

import (
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// forcedElection in the round of a vote request marks an election that the leader requested by a
// leadership transfer, which overrides promises.
const forcedElection uint64 = 1

// checkTerm compares the message's term with the current one and reports whether to handle the
// message.
func (n *Node) checkTerm(message *wirepb.RaftMessage) bool {
	switch {
	case message.GetTerm() > n.term:
		return n.handleHigherTerm(message)
	case message.GetTerm() < n.term:
		n.handleLowerTerm(message)
		return false
	}
	// The term may already be known from another message; the promise still applies to the vote
	// request.
	return message.GetType() != wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE || n.mayVoteFor(message)
}

func (n *Node) handleHigherTerm(message *wirepb.RaftMessage) bool {
	switch message.GetType() {
	case wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE:
		return true
	case wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY:
		if !message.GetReject() {
			return true
		}
	case wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE:
		if !n.mayVoteFor(message) {
			return false
		}
	}
	leader := None
	if isFromLeader(message.GetType()) {
		leader = message.GetFrom()
	}
	n.becomeFollower(message.GetTerm(), leader)
	return true
}

// mayVoteFor reports whether no promise forbids the requested vote. A vote during a promise could
// let two leaders hold a lease at once.
func (n *Node) mayVoteFor(request *wirepb.RaftMessage) bool {
	return request.GetRound() == forcedElection || !n.promisedToLeader(request.GetAllIdle())
}

func (n *Node) handleLowerTerm(message *wirepb.RaftMessage) {
	switch {
	case isFromLeader(message.GetType()):
		// The higher term in the reply makes the stale leader step down.
		n.send(&wirepb.RaftMessage{
			Type: wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_REPLY, To: message.GetFrom(), Reject: true,
		})
	case message.GetType() == wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE:
		n.send(&wirepb.RaftMessage{
			Type: wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY, To: message.GetFrom(), Reject: true, Idle: n.ownIdleTerm(),
		})
	}
}

func isFromLeader(kind wirepb.RaftMessageType) bool {
	switch kind {
	case wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND,
		wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT,
		wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT:
		return true
	}
	return false
}

// promisedToLeader reports whether a promise forbids voting for a new leader. A candidate may know
// that all voters are idle up to allIdle, which frees this node of promises made in those terms.
func (n *Node) promisedToLeader(allIdle uint64) bool {
	if n.role == Leader {
		return true
	}
	released := n.isTermReleased() || allIdle != None && n.term <= allIdle
	return !released && n.now < n.promisedUntil
}

func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.term {
		n.term = term
		n.vote = None
		n.campaignDeferred = false
	}
	n.role = Follower
	n.leader = leader
	n.transferTo = None
	n.lease = lease{}
	n.resetElectionDeadline()
}

func (n *Node) resetElectionDeadline() {
	if n.isTermReleased() && n.leader == None {
		n.electionDeadline = n.now + n.releasedElectionDelay()
		return
	}
	// With a longer timeout, the spread grows as well: candidates take longer to learn of each other.
	spread := n.config.Random(int64(n.config.ElectionSpread + n.promise - n.config.ElectionTimeout))
	n.electionDeadline = n.now + n.promise + time.Duration(spread)
}

// campaign starts a pre-vote, which does not raise the term: a node that rejoins after a partition
// must not depose a working leader.
func (n *Node) campaign() {
	if n.hasUnappliedMembership() {
		n.resetElectionDeadline()
		return
	}
	n.resetElectionDeadline()
	n.requestPreVotes()
}

// deferCampaign postpones this node's election after it has granted another node's pre-vote. Over
// long links several nodes campaign before they learn of each other and would split the votes. Of
// two pre-candidates, the one with the lower ID continues. A node defers only once per term and
// leader, so that a candidate without connectivity can't block the others.
func (n *Node) deferCampaign(other uint64) {
	preCandidate := n.role == PreCandidate
	if n.campaignDeferred || n.isTermReleased() || n.role != Follower && !preCandidate || preCandidate && other > n.config.ID {
		return
	}
	n.campaignDeferred = true
	if preCandidate {
		n.role = Follower
	}
	n.resetElectionDeadline()
}

func (n *Node) hasUnappliedMembership() bool {
	for _, entry := range n.log.unapplied() {
		if entry.GetKind() == wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP {
			return true
		}
	}
	return false
}

func (n *Node) startElection(round uint64) {
	allIdle := n.allIdleTerm()
	n.role = Candidate
	n.campaignDeferred = false
	n.term++
	n.vote = n.config.ID
	n.leader = None
	n.resetElectionDeadline()
	n.votes = map[uint64]bool{n.config.ID: true}
	n.requestVotes(wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE, n.term, round, allIdle)
	n.countVotes()
}

// requestPreVotes requests pre-votes from the other voters. The node counts its own unless a
// promise forbids it.
func (n *Node) requestPreVotes() {
	allIdle := n.allIdleTerm()
	n.role = PreCandidate
	n.leader = None
	n.votes = map[uint64]bool{n.config.ID: !n.promisedToLeader(allIdle)}
	n.requestVotes(wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE, n.term+1, 0, allIdle)
	n.countVotes()
}

func (n *Node) requestVotes(kind wirepb.RaftMessageType, term, round, allIdle uint64) {
	for _, peer := range n.membership.GetVoters() {
		if peer == n.config.ID {
			continue
		}
		n.send(&wirepb.RaftMessage{
			Type: kind, To: peer, Term: term, Round: round, Released: n.releasedTerm, AllIdle: allIdle,
			Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
		})
	}
}

func (n *Node) handleVoteRequest(message *wirepb.RaftMessage) {
	reply := &wirepb.RaftMessage{To: message.GetFrom(), Term: message.GetTerm()}
	// A node without a membership has joined with an empty disk. Its earlier votes and promises are
	// lost, so it must not vote.
	mayVote := len(n.membership.GetVoters()) > 0
	upToDate := mayVote && n.log.isUpToDate(message.GetIndex(), message.GetLogTerm())
	if message.GetType() == wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE {
		reply.Type = wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY
		reply.Reject = !upToDate || n.promisedToLeader(message.GetAllIdle()) || message.GetTerm() <= n.term
		if reply.Reject {
			reply.Term = n.term
		}
		reply.Idle = n.ownIdleTerm()
		if upToDate {
			n.scheduleProbe()
		}
		if !reply.Reject {
			n.deferCampaign(message.GetFrom())
		}
		n.send(reply)
		return
	}
	reply.Type = wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_REPLY
	unvoted := n.vote == None || n.vote == message.GetFrom()
	reply.Reject = !upToDate || !unvoted || n.role == Leader
	if !reply.Reject {
		n.vote = message.GetFrom()
		n.resetElectionDeadline()
	}
	n.send(reply)
}

func (n *Node) handleVoteReply(message *wirepb.RaftMessage) {
	expected := wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_REPLY
	if n.role == PreCandidate {
		expected = wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY
	}
	if message.GetType() != expected || (n.role != PreCandidate && n.role != Candidate) {
		return
	}
	// A granted pre-vote carries the requested term; one of an earlier campaign is ignored.
	if n.role == PreCandidate && !message.GetReject() && message.GetTerm() != n.term+1 {
		return
	}
	n.votes[message.GetFrom()] = !message.GetReject()
	if n.role == PreCandidate && !n.votes[n.config.ID] && !n.promisedToLeader(n.allIdleTerm()) && n.mayCampaignEarly() {
		// All voters are now known to be idle, which frees them to vote.
		n.requestPreVotes()
		return
	}
	n.countVotes()
}

func (n *Node) countVotes() {
	granted := 0
	for _, peer := range n.membership.GetVoters() {
		if n.votes[peer] {
			granted++
		}
	}
	if granted < n.quorum() {
		return
	}
	if n.role == PreCandidate {
		// A candidate votes for itself, which a promise may forbid even if the others suffice.
		if n.votes[n.config.ID] {
			n.startElection(0)
		}
		return
	}
	n.becomeLeader()
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.config.ID
	n.lastLedTerm = n.term
	n.requestedTimeout = n.config.ElectionTimeout
	n.lease = newLease()
	n.progress = map[uint64]*progress{}
	n.syncProgress()
	n.pendingMembership = n.log.lastIndex()
	// Entries of earlier terms are not committed by counting replicas; committing an entry of the
	// new term commits them.
	n.appendAsLeader(&wirepb.Entry{Kind: wirepb.EntryKind_ENTRY_KIND_COMMAND})
	n.broadcastHeartbeat()
}

func (n *Node) handleTimeoutNow() {
	if n.role == Follower && n.isVoter(n.config.ID) && !n.hasUnappliedMembership() {
		n.startElection(forcedElection)
	}
}

// TransferLeadership asks an up-to-date voter to take over and gives up the lease. It reports
// whether there was one.
func (n *Node) TransferLeadership() bool {
	if n.role != Leader {
		return false
	}
	target := None
	for _, peer := range n.membership.GetVoters() {
		state := n.progress[peer]
		if peer == n.config.ID || state == nil {
			continue
		}
		if state.match == n.log.lastIndex() && n.now-state.lastActive < n.activeElectionTimeout() {
			target = peer
		}
	}
	if target == None {
		return false
	}
	n.transferTo = target
	n.lease = newLease()
	n.send(&wirepb.RaftMessage{Type: wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_TIMEOUT_NOW, To: target})
	return true
}
