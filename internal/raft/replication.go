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
	// snapshotResendTimeouts is the number of election timeouts after which an unacknowledged
	// snapshot is sent again.
	snapshotResendTimeouts = 4
)

type progressState int

const (
	// probing sends one append message at a time.
	probing progressState = iota
	// replicating pipelines append messages.
	replicating
	// snapshotting waits for the acknowledgement of a snapshot.
	snapshotting
)

// progress is the leader's replication state for a peer.
type progress struct {
	match, next uint64
	state       progressState
	inflight    int
	// paused is set while a probe is unacknowledged.
	paused     bool
	lastActive time.Duration
	// roundTrip is the smoothed heartbeat round trip time; 0 if unknown.
	roundTrip      time.Duration
	snapshotSentAt time.Duration
}

// Propose appends commands as leader and returns the index of the first and the term.
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

// acknowledgeOwnEntries advances the leader's own match index to its durable entries.
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
	if n.now >= n.heartbeatDeadline {
		n.broadcastHeartbeat()
	}
}

// quorumActive reports whether a quorum has replied within the election timeout. A leader without
// one steps down, so that clients look for another.
func (n *Node) quorumActive() bool {
	active := 0
	for _, peer := range n.membership.GetVoters() {
		if peer == n.config.ID {
			active++
			continue
		}
		if state := n.progress[peer]; state != nil && n.now-state.lastActive < n.requestedTimeout {
			active++
		}
	}
	return active >= n.quorum()
}

func (n *Node) broadcastHeartbeat() {
	n.heartbeatDeadline = n.now + n.config.HeartbeatInterval
	round := n.lease.nextRound(n.now)
	quorumHeard := n.now < n.leaseUntil()
	for _, peer := range n.peers() {
		n.send(&wirepb.RaftMessage{
			Type: heartbeatType, To: peer, Round: round,
			Commit: min(n.log.committed, n.progress[peer].match), HeardRound: n.lease.answeredRounds[peer], QuorumHeard: quorumHeard,
			PromiseMs: uint32(n.requestedTimeout.Milliseconds()),
		})
	}
}

func (n *Node) broadcastAppend() {
	for _, peer := range n.peers() {
		n.sendAppend(peer, false)
	}
}

// sendAppend sends the entries that the peer lacks. With sendEmpty it also sends a message without
// entries, to carry the commit index or to detect a gap.
func (n *Node) sendAppend(peer uint64, sendEmpty bool) {
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
		if len(entries) == 0 && !sendEmpty {
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
		sendEmpty = false
	}
}

func (n *Node) sendSnapshot(peer uint64, state *progress) {
	snapshot := n.snapshotProvider()
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

func (n *Node) recordLeaderContact(message *wirepb.RaftMessage) {
	if n.role != Follower {
		n.becomeFollower(message.GetTerm(), message.GetFrom())
	}
	n.leader = message.GetFrom()
	n.campaignDeferred = false
	n.lastContact = n.now
	n.renewPromise()
	n.resetElectionDeadline()
}

func (n *Node) handleAppend(message *wirepb.RaftMessage) {
	n.recordLeaderContact(message)
	reply := &wirepb.RaftMessage{Type: appendReplyType, To: message.GetFrom()}
	if message.GetIndex() < n.log.committed {
		// Committed entries are identical to the leader's.
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

// rejectHint skips back over entries whose term is greater than the leader's at the rejected index:
// none of them can match.
func (n *Node) rejectHint(message *wirepb.RaftMessage) uint64 {
	hint := min(message.GetIndex()-1, n.log.lastIndex())
	for hint > n.log.committed && n.log.term(hint) > message.GetLogTerm() {
		hint--
	}
	return hint
}

func (n *Node) handleHeartbeat(message *wirepb.RaftMessage) {
	n.acceptTimeout(milliseconds(message.GetPromiseMs()))
	n.recordLeaderContact(message)
	// The leader bounds the commit index by this node's match index.
	n.log.commitTo(message.GetCommit())
	n.replyTracker.confirmRound(message.GetTerm(), message.GetHeardRound())
	n.replyTracker.recordReply(n.now, message.GetTerm(), message.GetRound())
	n.replyTracker.leaderHasQuorum = message.GetQuorumHeard()
	n.send(&wirepb.RaftMessage{
		Type: wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT_REPLY, To: message.GetFrom(), Round: message.GetRound(),
		PromiseMs: uint32(n.promise.Milliseconds()),
	})
}

func (n *Node) handleSnapshot(message *wirepb.RaftMessage) {
	n.recordLeaderContact(message)
	meta := message.GetSnapshot().GetMeta()
	reply := &wirepb.RaftMessage{Type: appendReplyType, To: message.GetFrom()}
	switch {
	case meta.GetIndex() <= n.log.committed:
		// Older than the committed log.
	case n.log.matches(meta.GetIndex(), meta.GetTerm()):
		// The log contains everything that the snapshot covers, and later entries may have been
		// acknowledged to the leader: keep them.
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
	if message.GetRound() > n.lease.answeredRounds[message.GetFrom()] {
		n.recordRoundTrip(state, message.GetRound())
	}
	promise := milliseconds(message.GetPromiseMs())
	if promise == 0 {
		promise = n.config.ElectionTimeout // An earlier release promises the configured timeout and does not report it.
	}
	n.lease.recordReply(message.GetFrom(), message.GetRound(), promise, n.membership.GetVoters(), n.config.ID, n.quorum())
	state.paused = false
	if state.state == snapshotting && n.now-state.snapshotSentAt > snapshotResendTimeouts*n.config.ElectionTimeout {
		state.state = probing
		state.next = state.match + 1
	}
	if state.match < n.log.lastIndex() {
		// A peer detects the gap left by a lost message only by another message.
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
		n.handleAppendReject(message, state)
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

func (n *Node) handleAppendReject(message *wirepb.RaftMessage, state *progress) {
	if message.GetIndex() <= state.match || state.state == snapshotting {
		return // A late rejection; the entry has matched since.
	}
	state.state = probing
	state.inflight = 0
	state.next = max(min(message.GetIndex(), message.GetRejectHint()+1), state.match+1)
	n.sendAppend(message.GetFrom(), true)
}

// maybeCommit advances the commit index to the latest entry on a quorum, if it is of the current
// term, and notifies the followers. It reports whether the index advanced.
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
	quorumIndex := matches[len(matches)-n.quorum()]
	if quorumIndex <= n.log.committed || n.log.term(quorumIndex) != n.term {
		return false
	}
	n.log.commitTo(quorumIndex)
	for _, peer := range n.peers() {
		n.sendAppend(peer, true)
	}
	return true
}
