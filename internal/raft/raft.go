package raft

import (
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// None is the ID of no node.
const None uint64 = 0

// Role is a node's role in its current term.
type Role int

// The roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Config holds the parameters of a node.
type Config struct {
	ID uint64
	// ElectionTimeout is the minimum time without leader contact after which a follower starts an
	// election. Over long links the leader requests a longer one.
	ElectionTimeout time.Duration
	// ElectionSpread is the maximum random addition to the election timeout; 0 means
	// ElectionTimeout.
	ElectionSpread    time.Duration
	HeartbeatInterval time.Duration
	// LeaseMargin is how much earlier the leader's lease ends than the followers' promises.
	LeaseMargin          time.Duration
	MaxEntriesPerMessage int
	// MaxInflightMessages bounds the unacknowledged append messages to a peer.
	MaxInflightMessages int
	// Random returns a number in [0, n).
	Random func(n int64) int64
}

// Stored is the durable state that a node starts from.
type Stored struct {
	HardState *wirepb.HardState
	// Snapshot describes the stored snapshot; nil if there is none.
	Snapshot *wirepb.SnapshotMeta
	// Entries follow the snapshot without gaps.
	Entries []*wirepb.Entry
	// Membership is used if there is no snapshot.
	Membership *wirepb.Membership
}

// Ready is the outstanding work for the driver; the package documentation states the order.
type Ready struct {
	// HardState is nil if unchanged.
	HardState *wirepb.HardState
	// TermChanged is set if any field of the hard state other than the commit index changed. Such a
	// change must be durable before messages are sent; a lost commit index is learned again.
	TermChanged bool
	// Entries must be appended to the log. They replace stored entries of the same index and all
	// that follow.
	Entries []*wirepb.Entry
	// Snapshot replaces the state machine and the stored log.
	Snapshot *wirepb.Snapshot
	Messages []*wirepb.RaftMessage
	// Committed entries must be applied in order.
	Committed []*wirepb.Entry
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.HardState == nil && len(r.Entries) == 0 && r.Snapshot == nil &&
		len(r.Messages) == 0 && len(r.Committed) == 0
}

// Node is a member of the replicated log. It is not safe for concurrent use.
type Node struct {
	config     Config
	role       Role
	term       uint64
	vote       uint64
	leader     uint64
	log        entryLog
	membership *wirepb.Membership

	now time.Duration
	// lastContact is the time of the last message from a leader, initially the start time.
	lastContact time.Duration
	// promise is the length of the promise renewed by each leader contact; promisedUntil is the
	// latest end of all promises made.
	promise, promisedUntil time.Duration
	// longestPromise is the longest promise ever made, 0 if none; it binds the node after a
	// restart.
	longestPromise time.Duration
	// requestedTimeout is the election timeout that this node, as leader, requests of its
	// followers.
	requestedTimeout  time.Duration
	electionDeadline  time.Duration
	heartbeatDeadline time.Duration
	lastLedTerm       uint64
	// releasedTerm is the latest term known to have no leader lease, nor any term before it.
	releasedTerm uint64
	// idleTerms holds, for each other node, the latest term that it is known not to lead, nor any
	// term before it.
	idleTerms map[uint64]uint64
	// probeDeadline is when a node without a leader requests pre-votes again.
	probeDeadline time.Duration
	// allIdleSince is when all voters became known to be idle up to the current term.
	allIdleSince time.Duration

	// campaignDeferred is set once this node has deferred its election in favor of another
	// candidate.
	campaignDeferred bool
	replyTracker     replyTracker
	votes            map[uint64]bool
	progress         map[uint64]*progress
	lease            lease
	// pendingMembership is the index of the latest membership entry, which must be applied before
	// the next change.
	pendingMembership uint64
	transferTo        uint64

	messages           []*wirepb.RaftMessage
	persistedHardState *wirepb.HardState
	snapshot           *wirepb.Snapshot
	// snapshotProvider returns the latest durable snapshot, for peers whose next entry is
	// compacted.
	snapshotProvider func() *wirepb.Snapshot
}

// New returns a node in the follower role. The provider returns the latest durable snapshot, or
// nil.
func New(config Config, stored Stored, now time.Duration, provider func() *wirepb.Snapshot) (*Node, error) {
	if config.ID == None {
		return nil, fault.InvalidField("id", "node ID must not be 0")
	}
	if config.LeaseMargin >= config.ElectionTimeout {
		return nil, fault.InvalidField("leaseMargin", "must be shorter than the election timeout")
	}
	if config.ElectionSpread <= 0 {
		config.ElectionSpread = config.ElectionTimeout
	}
	node := &Node{config: config, now: now, snapshotProvider: provider, membership: stored.Membership, idleTerms: map[uint64]uint64{}, allIdleSince: unset}
	if stored.Snapshot != nil {
		node.membership = stored.Snapshot.GetMembership()
	}
	if node.membership == nil {
		node.membership = &wirepb.Membership{}
	}
	node.log = newEntryLog(stored.Snapshot, stored.Entries)
	node.term = stored.HardState.GetTerm()
	node.vote = stored.HardState.GetVote()
	node.lastLedTerm = stored.HardState.GetLed()
	if commit := stored.HardState.GetCommit(); commit > node.log.committed {
		if commit > node.log.lastIndex() {
			return nil, fault.Corrupt.New("commit index %d is past the last stored entry %d", commit, node.log.lastIndex())
		}
		node.log.committed = commit
	}
	node.longestPromise = milliseconds(stored.HardState.GetPromiseMs())
	node.persistedHardState = node.hardState()
	node.lastContact = now
	node.requestedTimeout, node.promise = config.ElectionTimeout, config.ElectionTimeout
	node.promisedUntil = now + max(config.ElectionTimeout, node.longestPromise)
	node.releaseOwnLease()
	node.becomeFollower(node.term, None)
	node.scheduleProbe()
	return node, nil
}

func (n *Node) hardState() *wirepb.HardState {
	return &wirepb.HardState{Term: n.term, Vote: n.vote, Commit: n.log.committed, Led: n.lastLedTerm, PromiseMs: n.storedPromise()}
}

// Tick advances the clock, starts elections that are due and sends heartbeats that are due.
func (n *Node) Tick(now time.Duration) {
	n.advanceClock(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if !n.isVoter(n.config.ID) {
		n.clearSilentLeader()
		return
	}
	if n.now >= n.electionDeadline {
		n.campaign()
	} else if n.now >= n.probeDeadline {
		n.probeVoters()
	}
}

// clearSilentLeader clears the leader of a learner after the election timeout. A voter detects a
// lost leader by starting an election; a learner would keep forwarding calls to it.
func (n *Node) clearSilentLeader() {
	if n.now >= n.electionDeadline {
		n.leader = None
	}
}

func (n *Node) advanceClock(now time.Duration) {
	if now > n.now {
		n.now = now
	}
}

// Step handles a message from another node.
func (n *Node) Step(now time.Duration, message *wirepb.RaftMessage) {
	n.advanceClock(now)
	n.observeReleasedTerm(message.GetReleased())
	n.observeIdleTerm(message)
	if !n.checkTerm(message) {
		return
	}
	switch message.GetType() {
	case wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE, wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE:
		n.handleVoteRequest(message)
	case wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY, wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_REPLY:
		n.handleVoteReply(message)
	case wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND:
		n.handleAppend(message)
	case wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_REPLY:
		n.handleAppendReply(message)
	case wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT:
		n.handleHeartbeat(message)
	case wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT_REPLY:
		n.handleHeartbeatReply(message)
	case wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT:
		n.handleSnapshot(message)
	case wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_TIMEOUT_NOW:
		n.handleTimeoutNow()
	}
}

// Ready returns the outstanding work. Until Advance is called, it returns the same work together
// with any that has been added.
func (n *Node) Ready() Ready {
	ready := Ready{
		Entries:  n.log.unstable(),
		Snapshot: n.snapshot,
		Messages: n.messages,
	}
	if current := n.hardState(); !sameHardState(current, n.persistedHardState) {
		ready.HardState = current
		ready.TermChanged = !sameExceptCommit(current, n.persistedHardState)
	}
	if n.snapshot == nil {
		ready.Committed = n.log.unapplied()
	}
	return ready
}

func sameHardState(left, right *wirepb.HardState) bool {
	return sameExceptCommit(left, right) && left.GetCommit() == right.GetCommit()
}

func sameExceptCommit(left, right *wirepb.HardState) bool {
	return left.GetTerm() == right.GetTerm() && left.GetVote() == right.GetVote() && left.GetLed() == right.GetLed() &&
		left.GetPromiseMs() == right.GetPromiseMs()
}

// Advance confirms that the work in a Ready has been done.
func (n *Node) Advance(ready Ready) {
	if ready.HardState != nil {
		n.persistedHardState = ready.HardState
	}
	n.messages = n.messages[len(ready.Messages):]
	if ready.Snapshot != nil && ready.Snapshot == n.snapshot {
		n.snapshot = nil
	}
	if count := len(ready.Entries); count > 0 {
		last := ready.Entries[count-1]
		n.log.stableTo(last.GetIndex(), last.GetTerm())
	}
	for _, entry := range ready.Committed {
		n.markApplied(entry)
	}
	if n.role == Leader && len(ready.Entries) > 0 {
		n.acknowledgeOwnEntries()
	}
}

func (n *Node) markApplied(entry *wirepb.Entry) {
	n.log.applied = entry.GetIndex()
	if entry.GetKind() == wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		n.applyMembership(entry)
	}
}

// Compact discards the entries up to index, which must be covered by a durable snapshot.
func (n *Node) Compact(index uint64) {
	n.log.compact(index)
}

// EntriesAfterSnapshot returns the entries that have not been compacted.
func (n *Node) EntriesAfterSnapshot() []*wirepb.Entry {
	return n.log.entries
}

// HardState returns the state that must be durable.
func (n *Node) HardState() *wirepb.HardState {
	return n.hardState()
}

// SnapshotMetaAt returns the metadata of a snapshot up to index.
func (n *Node) SnapshotMetaAt(index uint64) *wirepb.SnapshotMeta {
	return &wirepb.SnapshotMeta{Index: index, Term: n.log.term(index), Membership: n.membership}
}

// Membership returns the applied membership, which the caller must not modify.
func (n *Node) Membership() *wirepb.Membership {
	return n.membership
}

// Status is a point-in-time view of a node.
type Status struct {
	ID, Term, Leader         uint64
	Role                     Role
	Committed, Applied, Last uint64
	Voters, Learners         []uint64
	// LeaseUntil is when the leader lease ends; 0 if the node holds none.
	LeaseUntil time.Duration
	// CommittedOwnTerm is set if the last committed entry is of the current term. A leader then
	// knows every entry committed before its term.
	CommittedOwnTerm bool
	// FirstIndex is the index of the first entry that is not compacted.
	FirstIndex uint64
	// LastContact is the time of the last message from a leader, initially the start time.
	LastContact time.Duration
	// ReachableUntil is until when a follower may assume that its replies reach the leader.
	ReachableUntil time.Duration
	// ElectionTimeout is the timeout in force: as leader the requested one, otherwise the promised
	// one.
	ElectionTimeout time.Duration
	// LeaderHasQuorum is whether the leader's latest heartbeat reported contact with a quorum.
	LeaderHasQuorum bool
}

// ReachesLeader reports whether messages from this node reach the leader. It is false if no leader
// is known and true on the leader itself.
func (s Status) ReachesLeader(now time.Duration) bool {
	switch s.Leader {
	case None:
		return false
	case s.ID:
		return true
	}
	return now < s.ReachableUntil
}

// IsolatedFromLeader reports whether the leader has a quorum but does not receive this node's
// replies. If the leader has no quorum, the fault is on its side, and switching to another follower
// does not help.
func (s Status) IsolatedFromLeader(now time.Duration) bool {
	return s.Leader != None && s.LeaderHasQuorum && !s.ReachesLeader(now)
}

// LeaseHeld reports whether the node may make decisions and serve reads at now: it is leader, has
// committed an entry of its term, and no other node can have been elected yet.
func (s Status) LeaseHeld(now time.Duration) bool {
	return s.Role == Leader && s.CommittedOwnTerm && now < s.LeaseUntil
}

// LeadsIn reports whether the node is leader in a term, with or without the lease. A leader that
// loses its lease briefly and regains it in the same term can keep its in-memory state, since no
// other node can have been leader in between.
func (s Status) LeadsIn(term uint64) bool {
	return s.Role == Leader && s.Term == term
}

// Status returns the node's current status.
func (n *Node) Status() Status {
	return Status{
		ID: n.config.ID, Term: n.term, Leader: n.leader, Role: n.role,
		Committed: n.log.committed, Applied: n.log.applied, Last: n.log.lastIndex(),
		Voters: n.membership.GetVoters(), Learners: n.membership.GetLearners(),
		LeaseUntil: n.leaseUntil(), CommittedOwnTerm: n.log.term(n.log.committed) == n.term, FirstIndex: n.log.offset + 1,
		LastContact: n.lastContact, ReachableUntil: n.reachableUntil(), LeaderHasQuorum: n.replyTracker.leaderHasQuorum,
		ElectionTimeout: n.activeElectionTimeout(),
	}
}

func (n *Node) send(message *wirepb.RaftMessage) {
	message.From = n.config.ID
	if message.Term == 0 {
		message.Term = n.term
	}
	n.messages = append(n.messages, message)
}
