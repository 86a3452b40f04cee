package raft

import (
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// None is the id of no node.
const None uint64 = 0

// Role is the part that a node plays in its term.
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

// Config is fixed for the life of a node.
type Config struct {
	// ID is the node's id, not None.
	ID uint64
	// ElectionTimeout is how long a follower waits for a leader, and promises not to help another,
	// where links are short; see patience.go for long ones.
	ElectionTimeout time.Duration
	// ElectionSpread is by how much more, at random, it waits, so that two
	// seldom stand at once; 0 stands for ElectionTimeout.
	ElectionSpread time.Duration
	// HeartbeatInterval is how often a leader sends heartbeats.
	HeartbeatInterval time.Duration
	// LeaseMargin is by how much the leader's lease ends before the
	// followers' promise does.
	LeaseMargin time.Duration
	// MaxEntriesPerMessage bounds an append message.
	MaxEntriesPerMessage int
	// MaxInflightMessages bounds unanswered append messages to one peer.
	MaxInflightMessages int
	// Random returns a number in [0, n).
	Random func(n int64) int64
}

// Stored is what a node finds in its storage when it starts.
type Stored struct {
	HardState *wirepb.HardState
	// Snapshot is the position that the stored snapshot covers; nil if none.
	Snapshot *wirepb.SnapshotMeta
	// Entries follow the snapshot without a gap.
	Entries []*wirepb.Entry
	// Membership is used where there is no snapshot.
	Membership *wirepb.Membership
}

// Ready is what the driver must do; see the package documentation for the
// order.
type Ready struct {
	// HardState is nil if unchanged.
	HardState *wirepb.HardState
	// TermChanged is set where the term, the vote, the term led or the longest promise
	// changed: these must be durable, while a lost commit index is learned again.
	TermChanged bool
	// Entries must be appended; they replace stored ones of the same index
	// and all that follow those.
	Entries []*wirepb.Entry
	// Snapshot replaces the state machine and the stored log.
	Snapshot *wirepb.Snapshot
	Messages []*wirepb.RaftMessage
	// Committed entries are to be applied in order.
	Committed []*wirepb.Entry
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.HardState == nil && len(r.Entries) == 0 && r.Snapshot == nil &&
		len(r.Messages) == 0 && len(r.Committed) == 0
}

// Node is one member of the replicated log. It is not safe for concurrent
// use.
type Node struct {
	config     Config
	role       Role
	term       uint64
	vote       uint64
	leader     uint64
	log        entryLog
	membership *wirepb.Membership

	now time.Duration
	// lastContact is when this node last heard from a leader, or started.
	lastContact time.Duration
	// promise is for how long this node promises its leader not to help another, from each
	// contact; promisedUntil is until when it is bound by any promise.
	promise, promisedUntil time.Duration
	// longestPromise is the longest ever made to a leader, 0 if none was; a restart has to
	// assume it.
	longestPromise time.Duration
	// asked is the length of the promise that this node, as leader, asks its followers for.
	asked            time.Duration
	electionDeadline time.Duration
	heartbeatDue     time.Duration
	// led is the newest term in which this node was leader.
	led uint64
	// released is the newest term up to which no leader holds a lease.
	released uint64
	// idle is the term up to which each other node leads nothing, as far as is
	// known.
	idle map[uint64]uint64
	// probeDue is when a node without a leader asks for votes again.
	probeDue time.Duration
	// idleSince is since when all voters are known to be idle up to the term.
	idleSince time.Duration

	// gaveWay is set while this node has put off its election for another's.
	gaveWay bool
	// contact is what this node knows of whether the leader hears it.
	contact  contact
	votes    map[uint64]bool
	progress map[uint64]*progress
	lease    lease
	// pendingMembership is the index of the newest membership entry that may
	// not be applied yet; a second change must wait for it.
	pendingMembership uint64
	transferTo        uint64

	messages  []*wirepb.RaftMessage
	persisted *wirepb.HardState
	snapshot  *wirepb.Snapshot
	// provider returns the newest snapshot for peers that are too far behind.
	provider func() *wirepb.Snapshot
}

// New returns a node in the follower role. The provider returns the newest
// durable snapshot.
func New(config Config, stored Stored, now time.Duration, provider func() *wirepb.Snapshot) (*Node, error) {
	if config.ID == None {
		return nil, fault.InvalidField("id", "a node's id must not be 0")
	}
	if config.LeaseMargin >= config.ElectionTimeout {
		return nil, fault.InvalidField("leaseMargin", "must be shorter than the election timeout")
	}
	if config.ElectionSpread <= 0 {
		config.ElectionSpread = config.ElectionTimeout
	}
	node := &Node{config: config, now: now, provider: provider, membership: stored.Membership, idle: map[uint64]uint64{}, idleSince: never}
	if stored.Snapshot != nil {
		node.membership = stored.Snapshot.GetMembership()
	}
	if node.membership == nil {
		node.membership = &wirepb.Membership{}
	}
	node.log = newEntryLog(stored.Snapshot, stored.Entries)
	node.term = stored.HardState.GetTerm()
	node.vote = stored.HardState.GetVote()
	node.led = stored.HardState.GetLed()
	if commit := stored.HardState.GetCommit(); commit > node.log.committed {
		if commit > node.log.lastIndex() {
			return nil, fault.Corrupt.New("commit index %d is past the last stored entry %d", commit, node.log.lastIndex())
		}
		node.log.committed = commit
	}
	node.longestPromise = milliseconds(stored.HardState.GetPromiseMs())
	node.persisted = node.hardState()
	node.lastContact = now
	node.asked, node.promise = config.ElectionTimeout, config.ElectionTimeout
	node.promisedUntil = now + max(config.ElectionTimeout, node.longestPromise)
	node.releaseOwnLease()
	node.becomeFollower(node.term, None)
	node.scheduleProbe()
	return node, nil
}

func (n *Node) hardState() *wirepb.HardState {
	return &wirepb.HardState{Term: n.term, Vote: n.vote, Commit: n.log.committed, Led: n.led, PromiseMs: n.storedPromise()}
}

// Tick advances time: it starts elections and sends heartbeats that are due.
func (n *Node) Tick(now time.Duration) {
	n.advanceClock(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if !n.isVoter(n.config.ID) {
		n.forgetSilentLeader()
		return
	}
	if n.now >= n.electionDeadline {
		n.campaign()
	} else if n.now >= n.probeDue {
		n.probe()
	}
}

// forgetSilentLeader is for a standby. A voter learns by standing for election that its leader is gone; a
// standby would go on taking calls and machines' reports for one that nobody hears, and lose them.
func (n *Node) forgetSilentLeader() {
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
	n.learnReleased(message.GetReleased())
	n.learnIdle(message)
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

// Ready returns the outstanding work. Until Advance is called, the same work
// is returned again, with what has come since.
func (n *Node) Ready() Ready {
	ready := Ready{
		Entries:  n.log.unstable(),
		Snapshot: n.snapshot,
		Messages: n.messages,
	}
	if current := n.hardState(); !sameHardState(current, n.persisted) {
		ready.HardState = current
		ready.TermChanged = !samePromises(current, n.persisted)
	}
	if n.snapshot == nil {
		ready.Committed = n.log.unapplied()
	}
	return ready
}

func sameHardState(left, right *wirepb.HardState) bool {
	return samePromises(left, right) && left.GetCommit() == right.GetCommit()
}

func samePromises(left, right *wirepb.HardState) bool {
	return left.GetTerm() == right.GetTerm() && left.GetVote() == right.GetVote() && left.GetLed() == right.GetLed() &&
		left.GetPromiseMs() == right.GetPromiseMs()
}

// Advance tells the node that a Ready has been carried out.
func (n *Node) Advance(ready Ready) {
	if ready.HardState != nil {
		n.persisted = ready.HardState
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
		n.applied(entry)
	}
	if n.role == Leader && len(ready.Entries) > 0 {
		n.acknowledgeOwnEntries()
	}
}

func (n *Node) applied(entry *wirepb.Entry) {
	n.log.applied = entry.GetIndex()
	if entry.GetKind() == wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		n.applyMembership(entry)
	}
}

// Compact forgets entries up to index, which a durable snapshot covers.
func (n *Node) Compact(index uint64) {
	n.log.compact(index)
}

// EntriesAfterSnapshot returns the entries still held, for a fresh log file.
func (n *Node) EntriesAfterSnapshot() []*wirepb.Entry {
	return n.log.entries
}

// HardState returns the term, vote and commit index to store.
func (n *Node) HardState() *wirepb.HardState {
	return n.hardState()
}

// SnapshotMetaAt describes a snapshot of everything up to index.
func (n *Node) SnapshotMetaAt(index uint64) *wirepb.SnapshotMeta {
	return &wirepb.SnapshotMeta{Index: index, Term: n.log.term(index), Membership: n.membership}
}

// Membership returns the members as applied; it must not be changed.
func (n *Node) Membership() *wirepb.Membership {
	return n.membership
}

// Status is a view of a node for its driver, tests and operators.
type Status struct {
	ID, Term, Leader         uint64
	Role                     Role
	Committed, Applied, Last uint64
	Voters, Learners         []uint64
	// LeaseUntil is when the leader's lease ends, 0 if it holds none.
	LeaseUntil time.Duration
	// CommittedOwnTerm is set once a leader has committed an entry of its
	// term, and so knows everything committed before.
	CommittedOwnTerm bool
	// FirstIndex is the index of the oldest entry still held.
	FirstIndex uint64
	// LastContact is when the node last heard from a leader, or started.
	LastContact time.Duration
	// ReachableUntil is until when a follower may take its leader to hear it; see contact.
	ReachableUntil time.Duration
	// ElectionTimeout is for how long a leader asks its followers to elect no other, or a
	// follower promises that.
	ElectionTimeout time.Duration
	// LeaderHasQuorum is whether a follower's leader heard a quorum lately, by its newest
	// heartbeat.
	LeaderHasQuorum bool
}

// ReachesLeader reports whether the leader, this node or another, hears this node at now: what the node
// says and acknowledges arrives. It is false where no leader is known.
func (s Status) ReachesLeader(now time.Duration) bool {
	switch s.Leader {
	case None:
		return false
	case s.ID:
		return true
	}
	return now < s.ReachableUntil
}

// IsolatedFromLeader reports whether a leader is known that hears others and not this node: the node gets
// heartbeats and soft state, and the log does not reach it. A leader that hears nobody is at
// fault itself, and no follower is better than another.
func (s Status) IsolatedFromLeader(now time.Duration) bool {
	return s.Leader != None && s.LeaderHasQuorum && !s.ReachesLeader(now)
}

// LeaseHeld reports whether the node may decide and answer reads at now: it
// leads, has committed an entry of its term, and no other node can have been
// elected yet.
func (s Status) LeaseHeld(now time.Duration) bool {
	return s.Role == Leader && s.CommittedOwnTerm && now < s.LeaseUntil
}

// LeadsIn reports whether the node leads in a term, with or without the lease. A leader that is
// frozen, or short of processor, may lose its lease for a moment and get it again. It decides
// nothing meanwhile, but no other can have led in its term: what it has learned in it, and the
// numbers that it has given out, go on.
func (s Status) LeadsIn(term uint64) bool {
	return s.Role == Leader && s.Term == term
}

// Status returns the node's present state.
func (n *Node) Status() Status {
	return Status{
		ID: n.config.ID, Term: n.term, Leader: n.leader, Role: n.role,
		Committed: n.log.committed, Applied: n.log.applied, Last: n.log.lastIndex(),
		Voters: n.membership.GetVoters(), Learners: n.membership.GetLearners(),
		LeaseUntil: n.leaseUntil(), CommittedOwnTerm: n.log.term(n.log.committed) == n.term, FirstIndex: n.log.offset + 1,
		LastContact: n.lastContact, ReachableUntil: n.heardUntil(), LeaderHasQuorum: n.contact.quorumHeard,
		ElectionTimeout: n.patience(),
	}
}

func (n *Node) send(message *wirepb.RaftMessage) {
	message.From = n.config.ID
	if message.Term == 0 {
		message.Term = n.term
	}
	n.messages = append(n.messages, message)
}
