package faultsim

import (
	"encoding/json"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/controller"
	"github.com/weldline/weldline/internal/drains"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/keepalive"
	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/member"
	"github.com/weldline/weldline/internal/permits"
	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/raft"
	"github.com/weldline/weldline/internal/ratelimit"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	controlTick       = 10 * time.Millisecond
	reconcileInterval = 100 * time.Millisecond
	commitTimeout     = 3 * time.Second
	restartDelay      = 500 * time.Millisecond
	forwardTimeout    = 2 * time.Second
	idleTimeout       = 2 * time.Second
)

// controlNode runs a member and, while it leads, a controller.
type controlNode struct {
	process
	id          uint64
	disk        *disk
	member      *member.Member
	reports     *controller.ReportTable
	digest      *wirepb.ClusterDigest
	pending     *member.Proposals
	controller  *controller.Controller
	reconciling bool
	// bootstrap is the membership with which the data directory was initialized.
	bootstrap *wirepb.Membership
	// lost marks a node whose machine and disk are permanently gone.
	lost          bool
	stallDetector drains.StallDetector
	// limits are the engines' rate limits known to the node; permits are issued only while it leads.
	limits  *ratelimit.Limits
	permits *permits.Buckets
	// muted drops messages to other control nodes.
	muted bool
}

func (s *simulation) newControlNode(id uint64, zone string) *controlNode {
	return &controlNode{process: s.newProcess(numbered("control", int(id)), zone), id: id, disk: &disk{sim: s}}
}

func (c *controlNode) start(membership *wirepb.Membership) {
	c.markUp()
	c.bootstrap = membership
	margin := leaseMargin
	if c.sim.mutation == MutationLongLease {
		margin = -2 * electionTimeout
	}
	config := raft.Config{
		ID: c.id, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval, LeaseMargin: margin,
		MaxEntriesPerMessage: 16, MaxInflightMessages: 4, Random: c.sim.electionJitter,
	}
	opened, err := member.Open(config, membership, c.disk.recover(), c.disk, c.clock(), compactEvery)
	if err != nil {
		c.sim.checks.violate(CheckStart, "%s can't start: %s", c.name, fault.Message(err))
		c.up = false
		return
	}
	c.member = opened
	c.reports = controller.NewReportTable()
	c.digest = nil
	c.pending = member.NewProposals()
	c.controller = nil
	c.limits, c.permits = ratelimit.New(), nil
	c.reconciling = false
	if c.sim.hasDrains {
		c.stallDetector = drains.StallDetector{}
		c.every(drains.StallCheckInterval, func() { c.stallDetector.Tick(c.clock()) })
	}
	c.every(controlTick, func() {
		c.member.Raft.Tick(c.clock())
		c.processOutput()
	})
	c.every(reconcileInterval, c.reconcile)
	c.processOutput()
}

// restart starts the process after a delay, unless its machine is lost.
func (c *controlNode) restart(after time.Duration) {
	c.startIfDown(after, func() {
		if !c.lost {
			c.start(c.bootstrap)
		}
	})
}

func (c *controlNode) crashNow() {
	if c.up {
		c.crash()
		c.disk.crash()
	}
}

func (c *controlNode) term() uint64 { return c.member.Raft.Status().Term }

// holdsLease reports whether the node itself believes that it holds the leader lease.
func (c *controlNode) holdsLease() bool {
	if !c.up {
		return false
	}
	return c.member.Raft.Status().LeaseHeld(c.clock())
}

// processOutput persists, applies and sends what Raft has made ready.
func (c *controlNode) processOutput() {
	output, err := c.member.Process()
	if err != nil {
		c.crashNow()
		c.restart(restartDelay)
		return
	}
	c.sim.checks.checkHardState(c)
	c.sim.checks.checkApplied(c, output)
	for _, message := range output.Messages {
		c.sendRaft(message)
		if c.sim.crashOnVote && message.GetType() == wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_REPLY && !message.GetReject() {
			c.crashNow()
			c.restart(200 * time.Microsecond)
			return
		}
	}
	c.pending.Complete(output)
}

func (c *controlNode) sendTo(peer *controlNode, deliver func()) {
	if !c.muted {
		c.sim.send(&c.process, &peer.process, deliver)
	}
}

func (c *controlNode) sendRaft(message *wirepb.RaftMessage) {
	peer := c.sim.control(message.GetTo())
	if peer == nil {
		return
	}
	c.sendTo(peer, func() {
		peer.member.Raft.Step(peer.clock(), message)
		peer.processOutput()
	})
}

// propose proposes a command on this node. If the node crashes, done may never be called.
func (c *controlNode) propose(command *wirepb.Command, done member.Done) {
	command.ProposedUnixMs = c.wall().UnixMilli()
	index, term, err := c.member.Propose(c.clock(), command)
	if err != nil {
		done(nil, err)
		return
	}
	c.pending.Add(index, term, done)
	c.processOutput()
}

// commandReply is the response of a control node to a command.
type commandReply struct {
	result *wirepb.CommandResult
	err    error
}

// submit proposes a command on the leader, forwarding it if necessary.
func (c *controlNode) submit(command *wirepb.Command, done func(commandReply)) {
	status := c.member.Raft.Status()
	if status.Leader == c.id {
		c.propose(command, func(result *wirepb.CommandResult, err error) { done(commandReply{result, err}) })
		return
	}
	leader := c.sim.control(status.Leader)
	if leader == nil {
		done(commandReply{err: fault.Unavailable.New("no known leader")})
		return
	}
	if c.muted {
		c.after(forwardTimeout, func() { done(commandReply{err: fault.Deadline.New("no answer from the leader")}) })
		return
	}
	call(&c.process, &leader.process, forwardTimeout, func(reply func(commandReply)) {
		leader.propose(command, func(result *wirepb.CommandResult, err error) { reply(commandReply{result, err}) })
	}, func(answer commandReply, answered bool) {
		if !answered {
			answer = commandReply{err: fault.Deadline.New("no answer from the leader")}
		}
		done(answer)
	})
}

// pollReply is the response to a router's poll.
type pollReply struct {
	changes feed.Changes
	digest  *wirepb.ClusterDigest
	// refused tells the router to switch to another control node.
	refused bool
}

// handlePoll accepts a node's report and returns the changes since its revision.
func (c *controlNode) handlePoll(revision uint64, report *wirepb.NodeReport) pollReply {
	status := c.member.Raft.Status()
	if status.IsolatedFromLeader(c.clock()) && c.sim.mutation != MutationTrustDigest {
		return pollReply{refused: true}
	}
	urgent := c.acceptReport(report)
	if leader := c.sim.control(status.Leader); leader != nil && leader != c {
		c.sendTo(leader, func() { leader.acceptReport(report) })
	} else if urgent {
		c.reconcile()
	}
	return pollReply{changes: feed.ChangesSince(c.member.State, revision), digest: c.digest}
}

// acceptReport stores a router's report and returns whether the leader should reconcile at once.
func (c *controlNode) acceptReport(report *wirepb.NodeReport) (urgent bool) {
	c.mergeLimits(report.GetLimits())
	return c.reports.Add(c.clock(), report)
}

// reconcile runs the controllers. The next run starts only after the writes of this one.
func (c *controlNode) reconcile() {
	if c.reconciling {
		return
	}
	if c.controller != nil && !c.member.Raft.Status().LeadsIn(c.controller.Term()) {
		c.controller, c.permits = nil, nil
	}
	if !c.holdsLease() {
		return
	}
	if c.controller == nil {
		c.controller = c.newController()
		c.permits = permits.New(c.clock())
		c.clearQuarantines()
		c.raiseLevel()
	}
	c.reconciling = true
	current := c.controller
	current.SetLimits(c.limits.Snapshot(c.clock()))
	current.Observe(c.member.State)
	c.write(current.MachineWrites(c.clock(), c.sim.list.read(&c.process)), func() {
		current.Observe(c.member.State)
		decision := current.DecideReplicas(c.clock(), c.wall())
		for _, command := range decision.Commands {
			c.propose(command, func(*wirepb.CommandResult, error) {})
		}
		c.write(c.mutateWrites(decision.Writes), func() { c.finishReconcile(current) })
	})
}

// raiseLevel raises the level of the cluster if the schedule needs a later one than the first.
func (c *controlNode) raiseLevel() {
	if c.sim.hasPoisonPart && c.member.State.Level() < level.Supported {
		command := &wirepb.RaiseLevelCommand{Level: uint32(level.Supported)}
		c.propose(&wirepb.Command{Body: &wirepb.Command_RaiseLevel{RaiseLevel: command}}, func(*wirepb.CommandResult, error) {})
	}
}

// mutateWrites turns unloads of replicas into deletions under MutationEarlyFree.
func (c *controlNode) mutateWrites(writes []*wirepb.ObjectWrite) []*wirepb.ObjectWrite {
	if c.sim.mutation != MutationEarlyFree {
		return writes
	}
	for _, write := range writes {
		if isUnload(write) {
			write.Operation = wirepb.ObjectWrite_OPERATION_DELETE
		}
	}
	return writes
}

func (c *controlNode) finishReconcile(current *controller.Controller) {
	c.reconciling = false
	if !c.holdsLease() {
		return
	}
	if current.SweepDue(c.clock(), c.member.State) {
		c.propose(&wirepb.Command{Body: &wirepb.Command_ClaimSweep{ClaimSweep: &wirepb.ClaimSweep{}}}, func(*wirepb.CommandResult, error) {})
	}
	c.repairMembership()
	if digest := current.Digest(c.clock(), c.member.State.Revision()); digest != nil {
		c.applyDigest(digest)
		for _, peer := range c.sim.controls {
			if peer != c {
				c.sendTo(peer, func() { peer.applyDigest(digest) })
			}
		}
	}
}

func (c *controlNode) repairMembership() {
	next := controller.NextMembership(c.member.Raft.Status(), c.member.Raft.Peers(), voterCount, replaceAfter)
	if next == nil {
		return
	}
	if c.member.Raft.ProposeMembership(c.clock(), next) == nil {
		c.processOutput()
	}
}

func (c *controlNode) applyDigest(digest *wirepb.ClusterDigest) {
	if feed.IsNewerDigest(digest, c.digest) {
		c.digest = digest
		c.mergeLimits(digest.GetLimits())
	}
}

func (c *controlNode) newController() *controller.Controller {
	return controller.New(c.clock(), controller.Config{
		Node: c.name, Term: c.term(), MachineTimeout: machineTimeout, Routers: int(c.digest.GetRouters()),
		Planner: placement.Config{
			Speeds: placement.DefaultTierSpeeds, StoreLoadsPerSecond: storeLoadsPerSecond,
			StoreConcurrentLoads: storeConcurrentLoads, KeepAlive: keepalive.NewFixed(idleTimeout),
		},
	}, c.reports)
}

// write proposes writes as one command, and one by one if that is refused. It calls next when done, or
// after commitTimeout.
func (c *controlNode) write(writes []*wirepb.ObjectWrite, next func()) {
	if len(writes) == 0 {
		next()
		return
	}
	settled := false
	settle := func(result *wirepb.CommandResult, err error) {
		if settled {
			return
		}
		settled = true
		if err == nil && result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK && len(writes) > 1 {
			c.writeEach(writes, next)
			return
		}
		next()
	}
	c.after(commitTimeout, func() { settle(nil, fault.Deadline.New("write not committed within the timeout")) })
	c.propose(&wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: writes}}}, settle)
}

func (c *controlNode) writeEach(writes []*wirepb.ObjectWrite, next func()) {
	if len(writes) == 0 {
		next()
		return
	}
	c.write(writes[:1], func() { c.writeEach(writes[1:], next) })
}

func isUnload(write *wirepb.ObjectWrite) bool {
	spec := v1.ReplicaSpec{}
	put := write.GetOperation() == wirepb.ObjectWrite_OPERATION_PUT
	return put && json.Unmarshal(write.GetObject().GetSpec(), &spec) == nil && spec.Phase == v1.ReplicaUnloading
}

// tiedElectionJitter is the minimum election delay under FaultCrashOnVote.
const tiedElectionJitter = 40 * time.Millisecond

// electionJitter draws a random election delay. Under FaultCrashOnVote all delays are nearly equal, to
// split votes.
func (s *simulation) electionJitter(longest int64) int64 {
	if s.crashOnVote {
		return int64(tiedElectionJitter) + s.random.Int64N(int64(controlTick))
	}
	return s.random.Int64N(longest)
}
