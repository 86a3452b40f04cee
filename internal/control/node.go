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
	tickInterval      = 10 * time.Millisecond
	inboxLength       = 4096
	maxBatch          = 256
	maxEntries        = 256
	maxInflight       = 64
	ticksPerHeartbeat = 10
	// slowProcessing is the processing time above which the disk counts as busy; idleDelay is how
	// long it must not have been busy before an optional snapshot is taken.
	slowProcessing  = 20 * time.Millisecond
	idleDelay       = time.Second
	minTickInterval = time.Millisecond
)

// Options holds the dependencies of a Node.
type Options struct {
	Settings *settings.Settings
	Logger   *slog.Logger
	// Storage and Recovered are the opened data directory.
	Storage   member.Storage
	Recovered member.Recovered
	// ID is the node's ID in the replicated log.
	ID uint64
	// Join is set for a node that learns the membership from other nodes.
	Join bool
	// FirstVoters are the addresses of the initial voters, including this node, in a cluster that
	// formed from seeds.
	FirstVoters []string
	Metrics     *Metrics
	// Self is the identity that the node sends when it connects, including its ID.
	Self wire.Config
	// Seeds returns the seed addresses from the current settings.
	Seeds func() []string
	// Engines reaches machines that register themselves; nil if agents execute the orders.
	Engines Engines
	// Clock must count the time that the machine is suspended; the default is clock.Now.
	Clock func() time.Duration
}

// Node is a control node: a member of the log, with the feed server and, as leader, the controllers.
type Node struct {
	settings *settings.Settings
	logger   *slog.Logger
	metrics  *Metrics
	self     wire.Config
	id       uint64
	// started is the clock's reading when the node was created.
	clock   func() time.Duration
	started time.Duration

	// stateMutex guards member.State, which only the loop modifies.
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
	history       atomic.Pointer[demandHistory]

	// permits belong to the last term in which this node was leader.
	permits atomic.Pointer[termPermits]
	limits  *machineLimits

	peers *peerSet
	joins *joinTable
	// membership is the applied membership.
	membership atomic.Pointer[wirepb.Membership]
	reports    *controller.ReportTable
	// reportsOut holds the reports to be forwarded to the leader.
	reportsOut *feed.ReportQueue
	// instances holds the latest reports of machines.
	instances *instances.Table
	engines   Engines
	seeds     func() []string
	// grants tracks which machines other nodes may still send orders to; holder is this node's name
	// in grants.
	grants       *orders.Grants
	holder       string
	leaderWakeup chan struct{}
	// idleSince is when processing was last slow or an optional snapshot was taken; used only by
	// the loop.
	idleSince time.Duration
	// wasIsolated is the last logged state of logReachability; used only by the loop.
	wasIsolated bool
	counters    loadCounters
	// linksCheckedAt is when replaceSilentLinks last ran; used only by the loop.
	linksCheckedAt time.Duration
	// stallDetector detects that the process was recently suspended.
	stallDetector stallDetector
}

// proposal is a command that waits to be committed.
type proposal struct {
	command *wirepb.Command
	reply   chan proposalReply
}

type proposalReply struct {
	result *wirepb.CommandResult
	err    error
}

// New opens a member on its storage.
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
		leaderWakeup: make(chan struct{}, 1),
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

// bootstrapMembership returns the membership before the first change.
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

// now returns the time since the node started, including time that the machine was suspended, so
// that leases, grants and leader contact expire during suspend.
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
	if n.settings.Formation.UsesSeeds() {
		workers.Go(func() { n.runJoin(ctx, &workers) })
	}
	return n.loop(ctx)
}

func (n *Node) loop(ctx context.Context) error {
	interval := max(minTickInterval, min(tickInterval, n.settings.Control.HeartbeatInterval/ticksPerHeartbeat))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return n.stop()
		case <-ticker.C:
			if err := n.compactWhenIdle(); err != nil {
				return err
			}
			n.member.Raft.Tick(n.now())
			n.replaceSilentLinks()
		case message := <-n.inbox:
			n.member.Raft.Step(n.now(), message)
		case entry := <-n.proposals:
			n.propose(entry)
		case action := <-n.actions:
			action()
		}
		n.drainQueues()
		if err := n.process(); err != nil {
			n.logFatal(err)
			return err
		}
	}
}

// logFatal logs why the member can't continue.
func (n *Node) logFatal(err error) {
	if n.member.State.Unsupported() != nil {
		n.logger.Error("release_too_old", "error", fault.Message(err))
		return
	}
	n.logger.Error("storage_failed", "error", fault.Message(err))
}

// compactWhenIdle takes a snapshot while the disk is idle and a leader is known, to keep the replay
// after a restart short.
func (n *Node) compactWhenIdle() error {
	now := n.now()
	if !n.HasLeader() || now-n.idleSince < idleDelay || !n.member.ShouldCompact() {
		return nil
	}
	n.idleSince = now
	if err := n.member.CompactNow(); err != nil {
		n.logger.Error("storage_failed", "error", fault.Message(err))
		return err
	}
	n.logger.Info("snapshot_taken", "applied", n.member.Raft.Status().Applied, "took_ms", (n.now() - now).Milliseconds())
	return nil
}

// drainQueues handles queued messages and proposals, so that they share one disk sync.
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
		// A command of a later release would stop every member that applies it.
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
		n.idleSince = n.now()
	}
	n.counters.entries.Add(int64(len(output.Applied)))
	n.counters.processing.Add(int64(time.Since(started)))
	n.recordGrants(output)
	// The status must be published before messages are sent: a message may reveal that this node
	// has stepped down, and the status controls what it does as leader.
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
	n.logReachability(&status)
	if previous == nil || previous.Role != status.Role || previous.Term != status.Term || previous.Leader != status.Leader {
		n.logger.Info("raft_role", "role", status.Role.String(), "term", status.Term, "leader", status.Leader)
	}
	n.metrics.observeStatus(&status)
}

// logReachability logs when this node's messages stop reaching the leader, and when they do again.
func (n *Node) logReachability(status *raft.Status) {
	isolated := n.isIsolated()
	if isolated == n.wasIsolated {
		return
	}
	n.wasIsolated = isolated
	n.logger.Warn("leader_contact", "heard", !isolated, "leader", status.Leader, "term", status.Term,
		"overdue_ms", (n.now() - status.ReachableUntil).Milliseconds())
}

// stop transfers leadership, so that a planned stop needs no election timeout.
func (n *Node) stop() error {
	if n.member.Raft.TransferLeadership() {
		_ = n.process()
		n.peers.flush()
	}
	n.pending.Fail("the control node is stopping")
	return nil
}

// leads reports whether this node holds the lease.
func (n *Node) leads() bool {
	return n.status.Load().LeaseHeld(n.now())
}

// Revision returns the revision of the applied state.
func (n *Node) Revision() uint64 {
	n.stateMutex.RLock()
	defer n.stateMutex.RUnlock()
	return n.member.State.Revision()
}

// HasLeader reports whether a leader is known.
func (n *Node) HasLeader() bool {
	return n.status.Load().Leader != raft.None
}
