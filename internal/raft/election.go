package raft

import (
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// forcedElection in a vote request's round tells that the leader itself gave
// up its lease and asked for the election.
const forcedElection uint64 = 1

// checkTerm compares the terms and reports whether to handle the message.
func (n *Node) checkTerm(message *wirepb.RaftMessage) bool {
	switch {
	case message.GetTerm() > n.term:
		return n.meetHigherTerm(message)
	case message.GetTerm() < n.term:
		n.meetLowerTerm(message)
		return false
	}
	// The term may have become known by another message, before this request came: the promise
	// binds all the same.
	return message.GetType() != wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE || n.mayVoteFor(message)
}

func (n *Node) meetHigherTerm(message *wirepb.RaftMessage) bool {
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

// mayVoteFor reports whether no promise stands against a vote. Voting while the promise to a
// leader lasts would let two leaders hold a lease at once.
func (n *Node) mayVoteFor(request *wirepb.RaftMessage) bool {
	return request.GetRound() == forcedElection || !n.promisedToLeader(request.GetAllIdle())
}

func (n *Node) meetLowerTerm(message *wirepb.RaftMessage) {
	switch {
	case isFromLeader(message.GetType()):
		// The reply's higher term makes the old leader step down.
		n.send(&wirepb.RaftMessage{
			Type: wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_REPLY, To: message.GetFrom(), Reject: true,
		})
	case message.GetType() == wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE:
		n.send(&wirepb.RaftMessage{
			Type: wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY, To: message.GetFrom(), Reject: true, Idle: n.ownIdle(),
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

// promisedToLeader reports whether this node must not help to elect another
// leader yet. A leader holds itself to the promise while its lease may last. Who
// asks may know that all voters are idle up to a term.
func (n *Node) promisedToLeader(allIdle uint64) bool {
	if n.role == Leader {
		return true
	}
	free := n.isReleased() || allIdle != None && n.term <= allIdle
	return !free && n.now < n.promisedUntil
}

func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.term {
		n.term = term
		n.vote = None
		n.gaveWay = false
	}
	n.role = Follower
	n.leader = leader
	n.transferTo = None
	n.lease = lease{}
	n.resetElectionDeadline()
}

func (n *Node) resetElectionDeadline() {
	if n.isReleased() && n.leader == None {
		n.electionDeadline = n.now + n.releasedWait()
		return
	}
	// Where messages take longer, so does it until a candidate is known.
	spread := n.config.Random(int64(n.config.ElectionSpread + n.promise - n.config.ElectionTimeout))
	n.electionDeadline = n.now + n.promise + time.Duration(spread)
}

// campaign asks whether an election could be won, without raising the term:
// a node that was cut off must not depose a working leader when it returns.
func (n *Node) campaign() {
	if n.hasUnappliedMembership() {
		n.resetElectionDeadline()
		return
	}
	n.resetElectionDeadline()
	n.askForPreVotes()
}

// giveWay puts off this node's own election for another's, whose pre-vote it grants. Over long links
// several stand before they hear of each other; the votes split, and an election timeout is lost.
// Of two that ask for pre-votes at a time the one with the lower id goes on: each hears of the
// other before its own pre-votes are back. It gives way once only, until there is an
// election, a newer term or a leader: one that nobody else hears must not hold up the rest.
func (n *Node) giveWay(other uint64) {
	stands := n.role == PreCandidate
	if n.gaveWay || n.isReleased() || n.role != Follower && !stands || stands && other > n.config.ID {
		return
	}
	n.gaveWay = true
	if stands {
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
	allIdle := n.allIdle()
	n.role = Candidate
	n.gaveWay = false
	n.term++
	n.vote = n.config.ID
	n.leader = None
	n.resetElectionDeadline()
	n.votes = map[uint64]bool{n.config.ID: true}
	n.requestVotes(wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE, n.term, round, allIdle)
	n.countVotes()
}

// askForPreVotes counts the node's own vote, unless it may be bound by a promise
// to a leader, and asks for the others'.
func (n *Node) askForPreVotes() {
	allIdle := n.allIdle()
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
			Type: kind, To: peer, Term: term, Round: round, Released: n.released, AllIdle: allIdle,
			Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
		})
	}
}

func (n *Node) handleVoteRequest(message *wirepb.RaftMessage) {
	reply := &wirepb.RaftMessage{To: message.GetFrom(), Term: message.GetTerm()}
	// A node that knows no members has joined with an empty disk: whatever
	// it promised before is forgotten, so it promises nothing.
	mayVote := len(n.membership.GetVoters()) > 0
	upToDate := mayVote && n.log.isUpToDate(message.GetIndex(), message.GetLogTerm())
	if message.GetType() == wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE {
		reply.Type = wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY
		reply.Reject = !upToDate || n.promisedToLeader(message.GetAllIdle()) || message.GetTerm() <= n.term
		if reply.Reject {
			reply.Term = n.term
		}
		reply.Idle = n.ownIdle()
		if upToDate {
			n.scheduleProbe()
		}
		if !reply.Reject {
			n.giveWay(message.GetFrom())
		}
		n.send(reply)
		return
	}
	reply.Type = wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_REPLY
	free := n.vote == None || n.vote == message.GetFrom()
	reply.Reject = !upToDate || !free || n.role == Leader
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
	// A granted pre-vote carries the term asked about, so a late one from an
	// earlier campaign does not count.
	if n.role == PreCandidate && !message.GetReject() && message.GetTerm() != n.term+1 {
		return
	}
	n.votes[message.GetFrom()] = !message.GetReject()
	if n.role == PreCandidate && !n.votes[n.config.ID] && !n.promisedToLeader(n.allIdle()) && n.mayGoFirst() {
		// All are known to be idle by now, which makes them free to vote.
		n.askForPreVotes()
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
		// The others' votes are enough, but to stand is to vote for oneself.
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
	n.led = n.term
	n.asked = n.config.ElectionTimeout
	n.lease = newLease()
	n.progress = map[uint64]*progress{}
	n.syncProgress()
	n.pendingMembership = n.log.lastIndex()
	// An entry of the new term commits everything before it; entries of older
	// terms are never committed by counting replicas.
	n.appendAsLeader(&wirepb.Entry{Kind: wirepb.EntryKind_ENTRY_KIND_COMMAND})
	n.broadcastHeartbeat()
}

func (n *Node) handleTimeoutNow() {
	if n.role == Follower && n.isVoter(n.config.ID) && !n.hasUnappliedMembership() {
		n.startElection(forcedElection)
	}
}

// TransferLeadership asks the most advanced voter to take over, for a planned
// stop. The lease is given up at once.
func (n *Node) TransferLeadership() bool {
	if n.role != Leader {
		return false
	}
	best := None
	for _, peer := range n.membership.GetVoters() {
		state := n.progress[peer]
		if peer == n.config.ID || state == nil {
			continue
		}
		if state.match == n.log.lastIndex() && n.now-state.lastActive < n.patience() {
			best = peer
		}
	}
	if best == None {
		return false
	}
	n.transferTo = best
	n.lease = newLease()
	n.send(&wirepb.RaftMessage{Type: wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_TIMEOUT_NOW, To: best})
	return true
}
