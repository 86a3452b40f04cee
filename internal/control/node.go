package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/weldline/weldline/internal/clock"
	"github.com/weldline/weldline/internal/controller"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/instances"
	"github.com/weldline/weldline/internal/member"
	members "github.com/weldline/weldline/internal/membership"
	"github.com/weldline/weldline/internal/orders"
	"github.com/weldline/weldline/internal/raft"
	"github.com/weldline/weldline/internal/settings"
	"github.com/weldline/weldline/internal/signal"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	tickInterval  = 10 * time.Millisecond
	inboxLength   = 4096
	maxBatch      = 256
	maxEntries    = 256
	maxInflight   = 64
	ticksPerElect = 10
	// slowProcessing is how long it may take to process what has come while the
	// disk is quick, calmTime for how long it must have been before a snapshot is
	// taken that need not be.
	slowProcessing = 20 * time.Millisecond
	calmTime       = time.Second
	minimumTickDur = time.Millisecond
)

// Options are what a Node needs besides its settings.
type Options struct {
	Settings *settings.Settings
	Logger   *slog.Logger
	// Storage and Recovered are the opened data folder.
	Storage   member.Storage
	Recovered member.Recovered
	// ID is the node's id in the replicated log.
	ID uint64
	// Join is set for a node that learns the members from the others.
	Join bool
	// FirstVoters are the addresses of the first voters, in a system that formed
	// from seeds with this node among them.
	FirstVoters []string
	Metrics     *Metrics
	// Self is how the node introduces itself, with its id in the log.
	Self wire.Identity
	// Seeds are where some control nodes listen, by the settings as last read.
	Seeds func() []string
	// Engines reaches the machines that register by themselves; nil where
	// agents give the orders.
	Engines Engines
	// Clock counts the time that the machine sleeps, like clock.Now, which it is by default.
	Clock func() time.Duration
}

// Node is a running control node.
type Node struct {
	settings *settings.Settings
	logger   *slog.Logger
	metrics  *Metrics
	self     wire.Identity
	id       uint64
	// clock is what claims of the node towards others are measured by, and started what it
	// showed when the node was made.
	clock   func() time.Duration
	started time.Duration

	// stateMutex guards member.State: the loop writes, everyone reads.
	stateMutex sync.RWMutex
	member     *member.Member
	inbox      chan *wirepb.RaftMessage
	proposals  chan *proposal
	actions    chan func()
	pending    *member.Proposals
	status     atomic.Pointer[raft.Status]
	changed    *signal.Broadcast

	digest        atomic.Pointer[wirepb.ClusterDigest]
	digestChanged *signal.Broadcast
	// history is what the newest leader handed on of demand.
	history atomic.Pointer[demandHistory]

	// permits are those of the term that this node led last.
	permits atomic.Pointer[termPermits]
	// limits are those that machines name, by what routers were told.
	limits *machineLimits

	peers *peerSet
	joins *joinTable
	// membership is the one in force, as applied here.
	membership atomic.Pointer[wirepb.Membership]
	reports    *controller.ReportTable
	// reportsOut are those that are passed on to the leader.
	reportsOut *feed.ReportQueue
	// instances is what machines said of themselves lately.
	instances *instances.Table
	engines   Engines
	seeds     func() []string
	// grants tells which machines others may have given orders to; holder names
	// this node there.
	grants *orders.Grants
	holder string
	nudge  chan struct{}
	// calmSince is since when processing has been quick; the loop's own.
	calmSince time.Duration
	// unheard is what logContact told last; the loop's own.
	unheard bool
	// taken counts what was taken, for leader_load.
	taken takenCounts
	// linksChecked is when renewSilentLinks last looked; the loop's own.
	linksChecked time.Duration
	// stalls tells whether the process was stopped until a moment ago.
	stalls stallGuard
}

// proposal is a command on its way through the log.
type proposal struct {
	command *wirepb.Command
	reply   chan proposalReply
}

type proposalReply struct {
	result *wirepb.CommandResult
	err    error
}

// New opens a member over its storage.
func New(options Options) (*Node, error) {
	if options.Clock == nil {
		options.Clock = clock.Now
	}
	node := &Node{
		settings: options.Settings, logger: options.Logger, metrics: options.Metrics,
		self: options.Self, id: options.ID, clock: options.Clock, started: options.Clock(), joins: newJoinTable(),
		instances: instances.NewTable(), engines: options.Engines, seeds: options.Seeds,
		inbox:     make(chan *wirepb.RaftMessage, inboxLength),
		proposals: make(chan *proposal, inboxLength),
		actions:   make(chan func(), 16),
		pending:   member.NewProposals(),
		changed:   signal.New(), digestChanged: signal.New(),
		nudge: make(chan struct{}, 1),
	}
	control := options.Settings.Control
	config := raft.Config{
		ID:                   options.ID,
		ElectionTimeout:      control.ElectionTimeout,
		ElectionSpread:       control.ElectionSpread,
		HeartbeatInterval:    control.HeartbeatInterval,
		LeaseMargin:          control.LeaseMargin,
		MaxEntriesPerMessage: maxEntries,
		MaxInflightMessages:  maxInflight,
		Random:               rand.Int64N,
	}
	opened, err := member.Open(config, bootstrapMembership(options), options.Recovered, options.Storage, 0, control.CompactEvery)
	if err != nil {
		return nil, err
	}
	opened.StateLock = &node.stateMutex
	node.member = opened
	node.holder = strconv.FormatUint(options.ID, 10)
	node.grants = orders.NewGrants(node.holder, grantLifetime+node.settings.Machines.OrderLease)
	node.reports = controller.NewReportTable()
	node.limits = newMachineLimits()
	node.reportsOut = feed.NewReportQueue(node.sendReports)
	node.peers = newPeerSet(node)
	node.publishStatus()
	return node, nil
}

// bootstrapMembership is what the members agree on before the first change.
func bootstrapMembership(options Options) *wirepb.Membership {
	membership := &wirepb.Membership{}
	if options.Join {
		return membership
	}
	if len(options.FirstVoters) > 0 {
		return members.InitialMembership(options.FirstVoters)
	}
	for _, entry := range options.Settings.Control.Members {
		if entry.Learner {
			membership.Learners = append(membership.Learners, entry.ID)
			continue
		}
		membership.Voters = append(membership.Voters, entry.ID)
	}
	return membership
}

// now is the time since the node started, sleeps of its machine included: whatever holds for
// a time towards others (leases, grants, contact) is over after a sleep.
func (n *Node) now() time.Duration {
	return n.clock() - n.started
}

// Run drives the member until ctx ends or storage fails.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	n.peers.start(ctx, &workers)
	workers.Go(func() { n.watchStalls(ctx) })
	workers.Go(func() { n.runLeader(ctx) })
	if n.settings.Formation.Forms() {
		workers.Go(func() { n.runJoin(ctx, &workers) })
	}
	return n.loop(ctx)
}

func (n *Node) loop(ctx context.Context) error {
	interval := max(minimumTickDur, min(tickInterval, n.settings.Control.HeartbeatInterval/ticksPerElect))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return n.stop()
		case <-ticker.C:
			if err := n.compactInCalm(); err != nil {
				return err
			}
			n.member.Raft.Tick(n.now())
			n.renewSilentLinks()
		case message := <-n.inbox:
			n.member.Raft.Step(n.now(), message)
		case entry := <-n.proposals:
			n.propose(entry)
		case action := <-n.actions:
			action()
		}
		n.drainQueues()
		if err := n.process(); err != nil {
			n.logEnd(err)
			return err
		}
	}
}

// logEnd tells why the member can't go on.
func (n *Node) logEnd(err error) {
	if n.member.State.Unsupported() != nil {
		n.logger.Error("release_too_old", "error", fault.Message(err))
		return
	}
	n.logger.Error("storage_failed", "error", fault.Message(err))
}

// compactInCalm takes a snapshot while the disk is quick and all is well, so that
// a restart finds little to replay: until it is done, the node helps nobody.
func (n *Node) compactInCalm() error {
	now := n.now()
	if !n.HasLeader() || now-n.calmSince < calmTime || !n.member.ShouldCompact() {
		return nil
	}
	n.calmSince = now
	if err := n.member.CompactNow(); err != nil {
		n.logger.Error("storage_failed", "error", fault.Message(err))
		return err
	}
	n.logger.Info("snapshot_taken", "applied", n.member.Raft.Status().Applied, "took_ms", (n.now() - now).Milliseconds())
	return nil
}

// drainQueues takes what else has come, so that one sync serves it all.
func (n *Node) drainQueues() {
	for range maxBatch {
		select {
		case message := <-n.inbox:
			n.member.Raft.Step(n.now(), message)
		case entry := <-n.proposals:
			n.propose(entry)
		default:
			return
		}
	}
}

func (n *Node) propose(entry *proposal) {
	if entry.command.GetBody() == nil {
		// Of a later release: in the log it would stop every member that does not know it.
		entry.reply <- proposalReply{err: fault.InvalidField("body", "this release does not know the command")}
		return
	}
	entry.command.ProposedUnixMs = time.Now().UnixMilli()
	index, term, err := n.member.Propose(n.now(), entry.command)
	if err != nil {
		entry.reply <- proposalReply{err: err}
		return
	}
	n.pending.Add(index, term, func(result *wirepb.CommandResult, err error) {
		entry.reply <- proposalReply{result: result, err: err}
	})
}

func (n *Node) process() error {
	started := time.Now()
	output, err := n.member.Process()
	if err != nil {
		return err
	}
	if time.Since(started) > slowProcessing {
		n.calmSince = n.now()
	}
	// What the node says to others must be true of all of it by then: a message
	// may tell that it leads no more, and the status is what it acts by.
	n.taken.entries.Add(int64(len(output.Applied)))
	n.taken.processing.Add(int64(time.Since(started)))
	n.noteGrants(output)
	n.publishStatus()
	n.peers.sendRaft(output.Messages)
	n.pending.Complete(output)
	if len(output.Applied) > 0 || output.Restored {
		n.metrics.observeBatch(len(output.Applied), time.Since(started))
		n.changed.Notify()
	}
	return nil
}

func (n *Node) publishStatus() {
	status := n.member.Raft.Status()
	if current := n.member.Raft.Membership(); current != n.membership.Load() {
		n.membership.Store(current)
		n.peers.sync(current)
		n.logger.Info("membership_in_force", "voters", current.GetVoters(), "learners", current.GetLearners())
		n.logTolerance(current)
	}
	previous := n.status.Swap(&status)
	n.logContact(&status)
	if previous == nil || previous.Role != status.Role || previous.Term != status.Term || previous.Leader != status.Leader {
		n.logger.Info("raft_role", "role", status.Role.String(), "term", status.Term, "leader", status.Leader)
	}
	n.metrics.observeStatus(&status)
}

// logContact tells when the leader stops or begins to hear this node.
func (n *Node) logContact(status *raft.Status) {
	unheard := n.isUnheard()
	if unheard == n.unheard {
		return
	}
	n.unheard = unheard
	n.logger.Warn("leader_contact", "heard", !unheard, "leader", status.Leader, "term", status.Term,
		"overdue_ms", (n.now() - status.ReachableUntil).Milliseconds())
}

// stop hands leadership over, so that a planned stop costs no election.
func (n *Node) stop() error {
	if n.member.Raft.TransferLeadership() {
		_ = n.process()
		n.peers.flush()
	}
	n.pending.Fail("the control node is stopping")
	return nil
}

// leads reports whether this node may decide now.
func (n *Node) leads() bool {
	return n.status.Load().LeaseHeld(n.now())
}

// Revision returns the revision of the state that this node has applied.
func (n *Node) Revision() uint64 {
	n.stateMutex.RLock()
	defer n.stateMutex.RUnlock()
	return n.member.State.Revision()
}

// HasLeader reports whether this node knows of a leader.
func (n *Node) HasLeader() bool {
	return n.status.Load().Leader != raft.None
}
