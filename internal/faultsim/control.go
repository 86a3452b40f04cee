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
	"github.com/weldline/weldline/internal/member"
	"github.com/weldline/weldline/internal/permits"
	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/raft"
	"github.com/weldline/weldline/internal/ratelimit"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	controlTick    = 10 * time.Millisecond
	passInterval   = 100 * time.Millisecond
	commitTimeout  = 3 * time.Second
	restartDelay   = 500 * time.Millisecond
	forwardTimeout = 2 * time.Second
	idleTimeout    = 2 * time.Second
)

// controlNode runs a real member and, while it leads, a real controller.
type controlNode struct {
	process
	id      uint64
	disk    *disk
	member  *member.Member
	reports *controller.ReportTable
	digest  *wirepb.ClusterDigest
	pending *member.Proposals
	decider *controller.Controller
	passing bool
	// bootstrap is the membership that the data folder was made with.
	bootstrap *wirepb.Membership
	// lost is set once the machine is gone for good, disk and all.
	lost bool
	// stalls tells whether the process stood still until a moment ago.
	stalls drains.StallDetector
	// limits are the stated limits that the node knows; permits are those of its term as leader.
	limits  *ratelimit.Limits
	permits *permits.Buckets
	// muted drops what the node says to other control nodes.
	muted bool
}

func (w *world) newControlNode(id uint64, zone string) *controlNode {
	return &controlNode{process: w.newProcess(numbered("control", int(id)), zone), id: id, disk: &disk{world: w}}
}

func (c *controlNode) start(membership *wirepb.Membership) {
	c.begin()
	c.bootstrap = membership
	margin := leaseMargin
	if c.world.mutation == MutationLongLease {
		margin = -2 * electionTimeout
	}
	config := raft.Config{
		ID: c.id, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval, LeaseMargin: margin,
		MaxEntriesPerMessage: 16, MaxInflightMessages: 4, Random: c.world.electionSpread,
	}
	opened, err := member.Open(config, membership, c.disk.recover(), c.disk, c.clock(), compactEvery)
	if err != nil {
		c.world.checks.violate(CheckStart, "%s can't start: %s", c.name, fault.Message(err))
		c.up = false
		return
	}
	c.member = opened
	c.reports = controller.NewReportTable()
	c.digest = nil
	c.pending = member.NewProposals()
	c.decider = nil
	c.limits, c.permits = ratelimit.New(), nil
	c.passing = false
	if c.world.drainsZones {
		c.stalls = drains.StallDetector{}
		c.every(drains.StallCheckInterval, func() { c.stalls.Tick(c.clock()) })
	}
	c.every(controlTick, func() {
		c.member.Raft.Tick(c.clock())
		c.carryOut()
	})
	c.every(passInterval, c.pass)
	c.carryOut()
}

// restart starts the process again after a while, unless its machine is lost.
func (c *controlNode) restart(after time.Duration) {
	c.ifStillDown(after, func() {
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

// leads is what the process itself believes.
func (c *controlNode) leads() bool {
	if !c.up {
		return false
	}
	return c.member.Raft.Status().LeaseHeld(c.clock())
}

// carryOut does what the core has made ready, as the process's loop does.
func (c *controlNode) carryOut() {
	output, err := c.member.Process()
	if err != nil {
		c.crashNow()
		c.restart(restartDelay)
		return
	}
	c.world.checks.promised(c)
	c.world.checks.applied(c, output)
	for _, message := range output.Messages {
		c.sendRaft(message)
		if c.world.crashOnVote && message.GetType() == wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_REPLY && !message.GetReject() {
			c.crashNow()
			c.restart(200 * time.Microsecond)
			return
		}
	}
	c.pending.Complete(output)
}

// sendTo sends to another control node.
func (c *controlNode) sendTo(peer *controlNode, deliver func()) {
	if !c.muted {
		c.world.send(&c.process, &peer.process, deliver)
	}
}

func (c *controlNode) sendRaft(message *wirepb.RaftMessage) {
	peer := c.world.control(message.GetTo())
	if peer == nil {
		return
	}
	c.sendTo(peer, func() {
		peer.member.Raft.Step(peer.clock(), message)
		peer.carryOut()
	})
}

// propose proposes a command on this node; done may never be called if it
// crashes.
func (c *controlNode) propose(command *wirepb.Command, done member.Done) {
	command.ProposedUnixMs = c.wall().UnixMilli()
	index, term, err := c.member.Propose(c.clock(), command)
	if err != nil {
		done(nil, err)
		return
	}
	c.pending.Add(index, term, done)
	c.carryOut()
}

// outcome is the answer to a command that was sent to a control node.
type outcome struct {
	result *wirepb.CommandResult
	err    error
}

// submit carries a command to the leader, as any control node does.
func (c *controlNode) submit(command *wirepb.Command, done func(outcome)) {
	status := c.member.Raft.Status()
	if status.Leader == c.id {
		c.propose(command, func(result *wirepb.CommandResult, err error) { done(outcome{result, err}) })
		return
	}
	leader := c.world.control(status.Leader)
	if leader == nil {
		done(outcome{err: fault.Unavailable.New("there is no leader")})
		return
	}
	if c.muted {
		c.after(forwardTimeout, func() { done(outcome{err: fault.Deadline.New("no answer from the leader")}) })
		return
	}
	call(&c.process, &leader.process, forwardTimeout, func(reply func(outcome)) {
		leader.propose(command, func(result *wirepb.CommandResult, err error) { reply(outcome{result, err}) })
	}, func(answer outcome, answered bool) {
		if !answered {
			answer = outcome{err: fault.Deadline.New("no answer from the leader")}
		}
		done(answer)
	})
}

// watchReply is what a node gets for its poll.
type watchReply struct {
	changes feed.Changes
	digest  *wirepb.ClusterDigest
	// refused is set by a node that must not be followed.
	refused bool
}

// watch takes a node's report and answers with what is new to it.
func (c *controlNode) watch(revision uint64, report *wirepb.NodeReport) watchReply {
	status := c.member.Raft.Status()
	if status.IsolatedFromLeader(c.clock()) && c.world.mutation != MutationTrustDigest {
		return watchReply{refused: true}
	}
	urgent := c.take(report)
	if leader := c.world.control(status.Leader); leader != nil && leader != c {
		c.sendTo(leader, func() { leader.take(report) })
	} else if urgent {
		c.pass()
	}
	return watchReply{changes: feed.ChangesSince(c.member.State, revision), digest: c.digest}
}

// take keeps a router's report. It reports whether the leader should act on it at once.
func (c *controlNode) take(report *wirepb.NodeReport) (urgent bool) {
	c.mergeLimits(report.GetLimits())
	return c.reports.Add(c.clock(), report)
}

// pass runs the controllers, as the leader's loop does. The next pass waits
// for the writes of this one.
func (c *controlNode) pass() {
	if c.passing {
		return
	}
	if c.decider != nil && !c.member.Raft.Status().LeadsIn(c.decider.Term()) {
		c.decider, c.permits = nil, nil
	}
	if !c.leads() {
		return
	}
	if c.decider == nil {
		c.decider = c.newController()
		c.permits = permits.New(c.clock())
		c.forgetConvictions()
	}
	c.passing = true
	decider := c.decider
	decider.SetLimits(c.limits.Snapshot(c.clock()))
	decider.Observe(c.member.State)
	c.write(decider.MachineWrites(c.clock(), c.world.list.read(&c.process)), func() {
		decider.Observe(c.member.State)
		decision := decider.DecideReplicas(c.clock(), c.wall())
		for _, command := range decision.Commands {
			c.propose(command, func(*wirepb.CommandResult, error) {})
		}
		c.write(c.mutated(decision.Writes), func() { c.finishPass(decider) })
	})
}

// mutated deletes replicas at once where their unload should be decided.
func (c *controlNode) mutated(writes []*wirepb.ObjectWrite) []*wirepb.ObjectWrite {
	if c.world.mutation != MutationEarlyFree {
		return writes
	}
	for _, write := range writes {
		if isUnload(write) {
			write.Operation = wirepb.ObjectWrite_OPERATION_DELETE
		}
	}
	return writes
}

func (c *controlNode) finishPass(decider *controller.Controller) {
	c.passing = false
	if !c.leads() {
		return
	}
	if decider.SweepDue(c.clock(), c.member.State) {
		c.propose(&wirepb.Command{Body: &wirepb.Command_ClaimSweep{ClaimSweep: &wirepb.ClaimSweep{}}}, func(*wirepb.CommandResult, error) {})
	}
	c.repairMembership()
	if digest := decider.Digest(c.clock(), c.member.State.Revision()); digest != nil {
		c.takeDigest(digest)
		for _, peer := range c.world.controls {
			if peer != c {
				c.sendTo(peer, func() { peer.takeDigest(digest) })
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
		c.carryOut()
	}
}

func (c *controlNode) takeDigest(digest *wirepb.ClusterDigest) {
	if feed.IsNewerDigest(digest, c.digest) {
		c.digest = digest
		c.mergeLimits(digest.GetLimits())
	}
}

func (c *controlNode) newController() *controller.Controller {
	return controller.New(c.clock(), controller.Config{
		Node: c.name, Term: c.term(), MachineTimeout: machineTimeout,
		Planner: placement.Config{
			Speeds: placement.DefaultTierSpeeds, StoreLoadsPerSecond: storeLoadsPerSecond,
			StoreConcurrentLoads: storeConcurrentLoads, KeepAlive: keepalive.NewFixed(idleTimeout),
		},
	}, c.reports)
}

// write proposes writes together, and one by one where that is refused, then
// goes on, at the latest after commitTimeout.
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
	c.after(commitTimeout, func() { settle(nil, fault.Deadline.New("not committed in time")) })
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

// tiedSpread is how long everyone waits while elections are tied.
const tiedSpread = 40 * time.Millisecond

// electionSpread draws a random wait; while voters crash, all wait about as
// long, so that votes are split.
func (w *world) electionSpread(longest int64) int64 {
	if w.crashOnVote {
		return int64(tiedSpread) + w.random.Int64N(int64(controlTick))
	}
	return w.random.Int64N(longest)
}
