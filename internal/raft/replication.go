package raft

import (
	"slices"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	heartbeatType   = wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT
	appendReplyType = wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_REPLY
	// snapshotResend is how many election timeouts pass before a snapshot
	// that was not acknowledged is sent again.
	snapshotResend = 4
)

type progressState int

const (
	// probing sends one message and waits for its answer.
	probing progressState = iota
	// replicating sends ahead of the answers.
	replicating
	// snapshotting waits for a snapshot to be taken.
	snapshotting
)

// progress is what a leader knows of one peer.
type progress struct {
	match, next uint64
	state       progressState
	inflight    int
	// paused is set while a probe is unanswered.
	paused     bool
	lastActive time.Duration
	// roundTrip is what heartbeats to the peer and back take; 0 while that is not known.
	roundTrip      time.Duration
	snapshotSentAt time.Duration
}

// Propose appends commands as leader and returns the index of the first.
func (n *Node) Propose(now time.Duration, commands ...[]byte) (uint64, uint64, error) {
	n.advanceClock(now)
	if n.role != Leader || n.transferTo != None {
		return 0, 0, fault.Unavailable.New("not the leader")
	}
	entries := make([]*wirepb.Entry, 0, len(commands))
	for _, command := range commands {
		entries = append(entries, &wirepb.Entry{Kind: wirepb.EntryKind_ENTRY_KIND_COMMAND, Data: command})
	}
	first := n.log.lastIndex() + 1
	n.appendAsLeader(entries...)
	return first, n.term, nil
}

func (n *Node) appendAsLeader(entries ...*wirepb.Entry) {
	next := n.log.lastIndex() + 1
	for position, entry := range entries {
		entry.Term = n.term
		entry.Index = next + uint64(position)
	}
	n.log.appendNew(entries...)
	n.broadcastAppend()
}

// acknowledgeOwnEntries counts the leader's own durable entries.
func (n *Node) acknowledgeOwnEntries() {
	if own := n.progress[n.config.ID]; own != nil {
		own.match = n.log.stable
		own.next = own.match + 1
	}
	n.maybeCommit()
}

func (n *Node) tickLeader() {
	if !n.quorumActive() {
		n.becomeFollower(n.term, None)
		return
	}
	if n.now >= n.heartbeatDue {
		n.broadcastHeartbeat()
	}
}

// quorumActive reports whether a quorum has been heard of lately. A leader
// without one steps down, so that its clients look elsewhere.
func (n *Node) quorumActive() bool {
	active := 0
	for _, peer := range n.membership.GetVoters() {
		if peer == n.config.ID {
			active++
			continue
		}
		if state := n.progress[peer]; state != nil && n.now-state.lastActive < n.asked {
			active++
		}
	}
	return active >= n.quorum()
}

func (n *Node) broadcastHeartbeat() {
	n.heartbeatDue = n.now + n.config.HeartbeatInterval
	round := n.lease.nextRound(n.now)
	quorumHeard := n.now < n.leaseUntil()
	for _, peer := range n.peers() {
		n.send(&wirepb.RaftMessage{
			Type: heartbeatType, To: peer, Round: round,
			Commit: min(n.log.committed, n.progress[peer].match), HeardRound: n.lease.answered[peer], QuorumHeard: quorumHeard,
			PromiseMs: uint32(n.asked.Milliseconds()),
		})
	}
}

func (n *Node) broadcastAppend() {
	for _, peer := range n.peers() {
		n.sendAppend(peer, false)
	}
}

// sendAppend sends what the peer lacks. With evenEmpty it sends a message in
// any case, to carry the commit index or to find a gap.
func (n *Node) sendAppend(peer uint64, evenEmpty bool) {
	state := n.progress[peer]
	if state.paused || state.state == snapshotting {
		return
	}
	for state.inflight < n.config.MaxInflightMessages {
		previous := state.next - 1
		if previous < n.log.offset {
			n.sendSnapshot(peer, state)
			return
		}
		entries := n.log.slice(state.next, n.config.MaxEntriesPerMessage)
		if len(entries) == 0 && !evenEmpty {
			return
		}
		n.send(&wirepb.RaftMessage{
			Type: wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND, To: peer,
			Index: previous, LogTerm: n.log.term(previous), Entries: entries, Commit: n.log.committed,
		})
		if state.state == probing {
			state.paused = true
			return
		}
		if len(entries) == 0 {
			return
		}
		state.next += uint64(len(entries))
		state.inflight++
		evenEmpty = false
	}
}

func (n *Node) sendSnapshot(peer uint64, state *progress) {
	snapshot := n.provider()
	if snapshot == nil || snapshot.GetMeta().GetIndex() < n.log.offset {
		return
	}
	state.state = snapshotting
	state.snapshotSentAt = n.now
	state.next = snapshot.GetMeta().GetIndex() + 1
	n.send(&wirepb.RaftMessage{
		Type: wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT, To: peer, Snapshot: snapshot,
	})
}

func (n *Node) hearLeader(message *wirepb.RaftMessage) {
	if n.role != Follower {
		n.becomeFollower(message.GetTerm(), message.GetFrom())
	}
	n.leader = message.GetFrom()
	n.gaveWay = false
	n.lastContact = n.now
	n.keepPromise()
	n.resetElectionDeadline()
}

func (n *Node) handleAppend(message *wirepb.RaftMessage) {
	n.hearLeader(message)
	reply := &wirepb.RaftMessage{Type: appendReplyType, To: message.GetFrom()}
	if message.GetIndex() < n.log.committed {
		// Everything up to the commit index is known to be the leader's.
		reply.Index = n.log.committed
		n.send(reply)
		return
	}
	if !n.log.matches(message.GetIndex(), message.GetLogTerm()) {
		reply.Reject = true
		reply.Index = message.GetIndex()
		reply.RejectHint = n.rejectHint(message)
		n.send(reply)
		return
	}
	n.log.merge(message.GetEntries())
	reply.Index = message.GetIndex() + uint64(len(message.GetEntries()))
	n.log.commitTo(min(message.GetCommit(), reply.Index))
	n.send(reply)
}

// rejectHint skips back over entries whose term is later than the leader's
// at that place: none of them can match.
func (n *Node) rejectHint(message *wirepb.RaftMessage) uint64 {
	hint := min(message.GetIndex()-1, n.log.lastIndex())
	for hint > n.log.committed && n.log.term(hint) > message.GetLogTerm() {
		hint--
	}
	return hint
}

func (n *Node) handleHeartbeat(message *wirepb.RaftMessage) {
	n.hearAsked(milliseconds(message.GetPromiseMs()))
	n.hearLeader(message)
	// The leader caps the commit index at what it knows to match here.
	n.log.commitTo(message.GetCommit())
	n.contact.confirm(message.GetTerm(), message.GetHeardRound())
	n.contact.reply(n.now, message.GetTerm(), message.GetRound())
	n.contact.quorumHeard = message.GetQuorumHeard()
	n.send(&wirepb.RaftMessage{
		Type: wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT_REPLY, To: message.GetFrom(), Round: message.GetRound(),
		PromiseMs: uint32(n.promise.Milliseconds()),
	})
}

func (n *Node) handleSnapshot(message *wirepb.RaftMessage) {
	n.hearLeader(message)
	meta := message.GetSnapshot().GetMeta()
	reply := &wirepb.RaftMessage{Type: appendReplyType, To: message.GetFrom()}
	switch {
	case meta.GetIndex() <= n.log.committed:
		// Older than what this node has.
	case n.log.matches(meta.GetIndex(), meta.GetTerm()):
		// The log has all that the snapshot covers, and the entries behind it may
		// have been acknowledged: the leader counts on them.
		n.log.commitTo(meta.GetIndex())
	default:
		n.snapshot = message.GetSnapshot()
		n.log.restore(meta)
		n.membership = meta.GetMembership()
	}
	reply.Index = n.log.committed
	n.send(reply)
}

func (n *Node) handleHeartbeatReply(message *wirepb.RaftMessage) {
	state := n.peerActive(message)
	if state == nil {
		return
	}
	if message.GetRound() > n.lease.answered[message.GetFrom()] {
		n.measure(state, message.GetRound())
	}
	promise := milliseconds(message.GetPromiseMs())
	if promise == 0 {
		promise = n.config.ElectionTimeout // Of a process that promises what the settings say.
	}
	n.lease.answer(message.GetFrom(), message.GetRound(), promise, n.membership.GetVoters(), n.config.ID, n.quorum())
	state.paused = false
	if state.state == snapshotting && n.now-state.snapshotSentAt > snapshotResend*n.config.ElectionTimeout {
		state.state = probing
		state.next = state.match + 1
	}
	if state.match < n.log.lastIndex() {
		// A lost message leaves a gap that only another message reveals.
		state.inflight = 0
		n.sendAppend(message.GetFrom(), true)
	}
}

func (n *Node) peerActive(message *wirepb.RaftMessage) *progress {
	if n.role != Leader {
		return nil
	}
	state := n.progress[message.GetFrom()]
	if state != nil {
		state.lastActive = n.now
	}
	return state
}

func (n *Node) handleAppendReply(message *wirepb.RaftMessage) {
	state := n.peerActive(message)
	if state == nil {
		return
	}
	state.paused = false
	if message.GetReject() {
		n.stepBack(message, state)
		return
	}
	if state.inflight > 0 {
		state.inflight--
	}
	if message.GetIndex() > state.match {
		state.match = message.GetIndex()
	}
	if state.next <= state.match {
		state.next = state.match + 1
	}
	if state.state != replicating && state.match+1 >= state.next {
		state.state = replicating
		state.inflight = 0
	}
	if !n.maybeCommit() {
		n.sendAppend(message.GetFrom(), false)
	}
}

func (n *Node) stepBack(message *wirepb.RaftMessage, state *progress) {
	if message.GetIndex() <= state.match || state.state == snapshotting {
		return // A late rejection of what has matched since.
	}
	state.state = probing
	state.inflight = 0
	state.next = max(min(message.GetIndex(), message.GetRejectHint()+1), state.match+1)
	n.sendAppend(message.GetFrom(), true)
}

// maybeCommit advances the commit index to what a quorum holds, if that entry
// is of this term, and tells the followers at once.
func (n *Node) maybeCommit() bool {
	matches := make([]uint64, 0, len(n.membership.GetVoters()))
	for _, peer := range n.membership.GetVoters() {
		if state := n.progress[peer]; state != nil {
			matches = append(matches, state.match)
		}
	}
	if len(matches) == 0 {
		return false
	}
	slices.Sort(matches)
	agreed := matches[len(matches)-n.quorum()]
	if agreed <= n.log.committed || n.log.term(agreed) != n.term {
		return false
	}
	n.log.commitTo(agreed)
	for _, peer := range n.peers() {
		n.sendAppend(peer, true)
	}
	return true
}
