package faultsim

import (
	"time"

	"github.com/weldline/weldline/api/engine"
	"github.com/weldline/weldline/internal/agent"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/ratelimit"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	pollInterval    = 50 * time.Millisecond
	upstreamTimeout = time.Second
	agentInterval   = 100 * time.Millisecond
	engineTimeout   = time.Second
	dispatchTick    = 20 * time.Millisecond
	maxWaiting      = 64
)

// routerNode is a node with a router and an agent.
type routerNode struct {
	process
	incarnation    uint64
	sequence       uint64
	requests       uint64
	view           *nodeview.View
	demandReporter *nodeview.DemandReporter
	core           *dispatch.Scheduler
	waiting        map[uint64]*inference
	watches        map[string]*machineWatch
	upstream       int
	// liveness decides when to switch to another control node.
	liveness feed.Liveness
	// lastDigest is when the latest new digest arrived.
	lastDigest time.Duration
	// startedFrom is the committed revision at the start of the process.
	startedFrom uint64
	wasCurrent  bool
	// maxRevision is the highest revision that this process has applied.
	maxRevision uint64
	draining    bool
	crashes     *quarantine.Tracker
	limits      *ratelimit.Limits
	// permitsUnavailableUntil suspends permit requests after one failed.
	permitsUnavailableUntil time.Duration
	paths                   pathState
	retries                 retryState
	// pathCut is what happens to the router's new connections to engines.
	pathCut pathCutKind
}

// machineWatch is the agent's state for one machine.
type machineWatch struct {
	machine  *machine
	busy     bool
	refused  agent.RefusedLoads
	report   *wirepb.MachineReport
	observed time.Duration
}

func (s *simulation) newRouterNode(position int, zone string) *routerNode {
	return &routerNode{process: s.newProcess(numbered("router", position), zone), upstream: position}
}

func (r *routerNode) start() {
	r.markUp()
	r.incarnation++
	r.sequence = 0
	r.view = nodeview.New()
	r.demandReporter = nodeview.NewDemandReporter()
	r.core = dispatch.New(dispatch.Config{MaxWaiting: maxWaiting})
	r.waiting = map[uint64]*inference{}
	r.watches = map[string]*machineWatch{}
	r.liveness = feed.Liveness{}
	r.liveness.Connected(r.wall())
	r.startedFrom = r.sim.checks.reference.Revision()
	r.wasCurrent = false
	r.maxRevision = 0
	r.draining = false
	r.crashes = quarantine.NewTracker()
	r.limits, r.permitsUnavailableUntil = ratelimit.New(), 0
	r.paths = r.newPathState()
	r.retries = r.newRetryState()
	r.every(pollInterval, r.poll)
	r.every(agentInterval, r.watchMachines)
	r.every(agentInterval, r.retryAll)
	r.every(dispatchTick, func() {
		if r.core.Waiting() > 0 {
			r.applyOutcome(r.core.Tick(r.wall()))
		}
	})
}

func (r *routerNode) crashNow() {
	if r.up {
		r.crash()
	}
}

func (r *routerNode) restart(after time.Duration) {
	r.startIfDown(after, r.start)
}

// poll reports to a control node and applies its changes.
func (r *routerNode) poll() {
	if _, lost := r.liveness.Lost(r.wall()); lost {
		r.switchUpstream()
	}
	upstream := r.sim.controls[r.upstream%controlCount]
	revision := r.view.Revision()
	report := r.report()
	call(&r.process, &upstream.process, upstreamTimeout, func(reply func(pollReply)) {
		reply(upstream.handlePoll(revision, report))
	}, func(answer pollReply, answered bool) {
		switch {
		case answered && answer.refused && upstream == r.sim.controls[r.upstream%controlCount]:
			r.switchUpstream()
		case answered:
			r.applyReply(answer)
		}
	})
}

func (r *routerNode) switchUpstream() {
	r.upstream++
	r.liveness.Connected(r.wall())
}

func (r *routerNode) report() *wirepb.NodeReport {
	r.sequence++
	report := &wirepb.NodeReport{
		Node: r.name, Zone: r.zone, Incarnation: r.incarnation, Sequence: r.sequence, Router: true, Draining: r.draining,
		AppliedRevision: r.view.Revision(), DigestSequence: r.view.Digest().GetSequence(),
		Demand:         r.demandReporter.Messages(r.core.Demand(r.wall())),
		Limits:         nodeview.LimitMessages(r.limits.Snapshot(r.clock())),
		ForwardAddress: r.name,
	}
	for _, watch := range r.watches {
		if watch.report == nil {
			continue
		}
		message := agent.CopyReport(watch.report)
		message.AgeMs = uint32((r.sim.Now() - watch.observed).Milliseconds())
		report.Machines = append(report.Machines, message)
	}
	return report
}

func (r *routerNode) applyReply(answer pollReply) {
	changes, fresh := feed.NewerChanges(r.view.Revision(), answer.changes)
	if r.sim.mutation == MutationRevert && answer.changes.Revision < r.view.Revision() {
		r.view = nodeview.New()
		changes, fresh = answer.changes, true
	}
	if fresh {
		r.view.Apply(changes)
		r.liveness.Applied(r.wall(), r.view.Revision())
		r.sim.checks.checkView(r)
		r.applyOutcome(r.core.ChangeTargets(r.wall(), r.view.AllReplicaTargets()))
		r.paths.tracker.SetMachines(r.core.Machines())
	}
	if answer.digest == nil {
		return
	}
	r.liveness.DigestReceived(r.wall(), answer.digest, r.livenessRevision(answer.digest))
	before := r.view.Digest()
	r.view.ApplyDigest(answer.digest)
	if r.view.Digest() == before {
		return
	}
	r.lastDigest = r.sim.Now()
	r.mergeLimits(answer.digest)
	r.setRouters(answer.digest)
	r.observeRouters(answer.digest)
	r.applyOutcome(r.core.SetLoads(r.wall(), nodeview.LoadsOf(answer.digest), int(answer.digest.GetRouters())))
	r.applyOutcome(r.core.SetEstimates(r.wall(), nodeview.EstimatesOf(answer.digest, r.wall())))
}

// livenessRevision returns the revision that counts as applied for liveness tracking.
func (r *routerNode) livenessRevision(digest *wirepb.ClusterDigest) uint64 {
	if r.sim.mutation == MutationTrustDigest {
		return digest.GetRevision()
	}
	return r.view.Revision()
}

func (r *routerNode) serving() bool {
	current := r.view.Current()
	if current && !r.wasCurrent {
		r.wasCurrent = true
		r.sim.checks.checkStartRevision(r)
	}
	return current && !r.draining
}

// watchMachines is the agent's loop over the engines assigned to this node.
func (r *routerNode) watchMachines() {
	assignment := agent.NewAssignment(r.view.Digest().GetRoster().GetNodes())
	for _, machine := range r.sim.machines {
		declared, known := r.view.Machine(machine.name)
		assigned := known && assignment.AgentOf(machine.name, declared.Spec.Zone) == r.name
		watch := r.watches[machine.name]
		switch {
		case !assigned:
			delete(r.watches, machine.name)
		case watch == nil:
			r.watches[machine.name] = &machineWatch{machine: machine, refused: agent.RefusedLoads{}}
		case !watch.busy:
			r.reconcileMachine(watch)
		}
	}
}

// reconcileMachine fetches a report, sends the orders that are due, and fetches the resulting report.
func (r *routerNode) reconcileMachine(watch *machineWatch) {
	watch.busy = true
	r.fetchReport(watch, func(report engine.Report) {
		replicas, revision := r.view.ReplicasOn(watch.machine.name)
		orders := agent.Orders(replicas, revision, &report)
		if len(orders) == 0 {
			watch.finish(r, report)
			return
		}
		r.sendOrders(watch, orders, func() { r.fetchReport(watch, func(again engine.Report) { watch.finish(r, again) }) })
	})
}

func (r *routerNode) fetchReport(watch *machineWatch, next func(engine.Report)) {
	requestedAt := r.sim.Now()
	call(&r.process, &watch.machine.process, engineTimeout, func(reply func(engine.Report)) {
		reply(watch.machine.engine.Report())
	}, func(report engine.Report, answered bool) {
		watch.observed = requestedAt
		if !answered {
			watch.busy = false
			watch.report = &wirepb.MachineReport{Machine: watch.machine.name}
			return
		}
		watch.machine.markReported(report)
		next(report)
	})
}

func (watch *machineWatch) finish(r *routerNode, report engine.Report) {
	watch.busy = false
	watch.report = agent.MachineReport(watch.machine.name, &report, watch.refused, r.wall())
}

// sendOrders sends orders one by one; it stops at an order without a response.
func (r *routerNode) sendOrders(watch *machineWatch, orders []engine.Order, next func()) {
	if len(orders) == 0 {
		next()
		return
	}
	order := orders[0]
	if watch.refused.Contains(order) {
		r.sendOrders(watch, orders[1:], next)
		return
	}
	r.sim.duplicateOrder(r, watch.machine, order)
	r.after(r.sim.orderDelay, func() {
		call(&r.process, &watch.machine.process, engineTimeout, func(reply func(engine.OrderResult)) {
			reply(watch.machine.applyOrder(order))
		}, func(result engine.OrderResult, answered bool) {
			if !answered {
				watch.busy = false
				return
			}
			if !result.Accepted {
				watch.refused.Record(order, r.wall())
			}
			r.sendOrders(watch, orders[1:], next)
		})
	})
}

// duplicateOrder may deliver another copy of an order much later, as if an agent had sent it before
// being isolated.
func (s *simulation) duplicateOrder(r *routerNode, machine *machine, order engine.Order) {
	if s.random.Float64() >= s.network.duplicate {
		return
	}
	s.After(s.randomDuration(0, 4*time.Second), func() {
		if s.canReach(&r.process, &machine.process) {
			machine.run(machine.epoch, func() { machine.applyOrder(order) })
		}
	})
}
