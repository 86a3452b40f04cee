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
	pollInterval   = 50 * time.Millisecond
	upstreamSilent = time.Second
	agentInterval  = 100 * time.Millisecond
	engineTimeout  = time.Second
	dispatchTick   = 20 * time.Millisecond
	maxWaiting     = 64
)

// routerNode is a node with a router and an agent.
type routerNode struct {
	process
	incarnation uint64
	sequence    uint64
	requests    uint64
	view        *nodeview.View
	news        *nodeview.DemandReporter
	core        *dispatch.Scheduler
	waiting     map[uint64]*inference
	watches     map[string]*machineWatch
	upstream    int
	// liveness tells whether the upstream may be followed on.
	liveness feed.Liveness
	// lastDigest is when a digest that was news came.
	lastDigest time.Duration
	// startedFrom is what was committed when the process started.
	startedFrom uint64
	wasCurrent  bool
	// seenRevision is the highest that this process has applied.
	seenRevision uint64
	draining     bool
	crashes      *quarantine.Tracker
	limits       *ratelimit.Limits
	// silentUntil is until when the leader is not asked for permits, after it could not be.
	silentUntil time.Duration
}

// machineWatch is the agent's watch over one machine.
type machineWatch struct {
	machine  *machine
	busy     bool
	refused  agent.RefusedLoads
	report   *wirepb.MachineReport
	observed time.Duration
}

func (w *world) newRouterNode(position int, zone string) *routerNode {
	return &routerNode{process: w.newProcess(numbered("router", position), zone), upstream: position}
}

func (r *routerNode) start() {
	r.begin()
	r.incarnation++
	r.sequence = 0
	r.view = nodeview.New()
	r.news = nodeview.NewDemandReporter()
	r.core = dispatch.New(dispatch.Config{MaxWaiting: maxWaiting})
	r.waiting = map[uint64]*inference{}
	r.watches = map[string]*machineWatch{}
	r.liveness = feed.Liveness{}
	r.liveness.Connected(r.wall())
	r.startedFrom = r.world.checks.truth.Revision()
	r.wasCurrent = false
	r.seenRevision = 0
	r.draining = false
	r.crashes = quarantine.NewTracker()
	r.limits, r.silentUntil = ratelimit.New(), 0
	r.every(pollInterval, r.poll)
	r.every(agentInterval, r.watchMachines)
	r.every(dispatchTick, func() {
		if r.core.Waiting() > 0 {
			r.deliver(r.core.Tick(r.wall()))
		}
	})
}

func (r *routerNode) crashNow() {
	if r.up {
		r.crash()
	}
}

func (r *routerNode) restart(after time.Duration) {
	r.ifStillDown(after, r.start)
}

// poll reports to the upstream and takes what is new.
func (r *routerNode) poll() {
	if _, lost := r.liveness.Lost(r.wall()); lost {
		r.leaveUpstream()
	}
	upstream := r.world.controls[r.upstream%controlCount]
	revision := r.view.Revision()
	report := r.report()
	call(&r.process, &upstream.process, upstreamSilent, func(reply func(watchReply)) {
		reply(upstream.watch(revision, report))
	}, func(answer watchReply, answered bool) {
		switch {
		case answered && answer.refused && upstream == r.world.controls[r.upstream%controlCount]:
			r.leaveUpstream()
		case answered:
			r.take(answer)
		}
	})
}

// leaveUpstream goes on to the next control node.
func (r *routerNode) leaveUpstream() {
	r.upstream++
	r.liveness.Connected(r.wall())
}

func (r *routerNode) report() *wirepb.NodeReport {
	r.sequence++
	report := &wirepb.NodeReport{
		Node: r.name, Zone: r.zone, Incarnation: r.incarnation, Sequence: r.sequence, Router: true, Draining: r.draining,
		AppliedRevision: r.view.Revision(), DigestSequence: r.view.Digest().GetSequence(),
		Demand: r.news.Messages(r.core.Demand(r.wall())),
		Limits: nodeview.LimitMessages(r.limits.Snapshot(r.clock())),
	}
	for _, watch := range r.watches {
		if watch.report == nil {
			continue
		}
		message := agent.CopyReport(watch.report)
		message.AgeMs = uint32((r.world.Now() - watch.observed).Milliseconds())
		report.Machines = append(report.Machines, message)
	}
	return report
}

func (r *routerNode) take(answer watchReply) {
	changes, fresh := feed.NewerChanges(r.view.Revision(), answer.changes)
	if r.world.mutation == MutationRevert && answer.changes.Revision < r.view.Revision() {
		r.view = nodeview.New()
		changes, fresh = answer.changes, true
	}
	if fresh {
		r.view.Apply(changes)
		r.liveness.Applied(r.wall(), r.view.Revision())
		r.world.checks.viewChanged(r)
		r.deliver(r.core.ChangeTargets(r.wall(), r.view.AllReplicaTargets()))
	}
	if answer.digest == nil {
		return
	}
	r.liveness.DigestReceived(r.wall(), answer.digest, r.heldForLiveness(answer.digest))
	before := r.view.Digest()
	r.view.ApplyDigest(answer.digest)
	if r.view.Digest() == before {
		return
	}
	r.lastDigest = r.world.Now()
	r.mergeLimits(answer.digest)
	r.deliver(r.core.SetLoads(r.wall(), nodeview.LoadsOf(answer.digest), int(answer.digest.GetRouters())))
	r.deliver(r.core.SetEstimates(r.wall(), nodeview.EstimatesOf(answer.digest, r.wall())))
}

// heldForLiveness is the revision that the router takes itself to hold.
func (r *routerNode) heldForLiveness(digest *wirepb.ClusterDigest) uint64 {
	if r.world.mutation == MutationTrustDigest {
		return digest.GetRevision()
	}
	return r.view.Revision()
}

func (r *routerNode) serving() bool {
	current := r.view.Current()
	if current && !r.wasCurrent {
		r.wasCurrent = true
		r.world.checks.becameCurrent(r)
	}
	return current && !r.draining
}

// watchMachines is the agent: it asks the engines assigned to this node.
func (r *routerNode) watchMachines() {
	assignment := agent.NewAssignment(r.view.Digest().GetRoster().GetNodes())
	for _, machine := range r.world.machines {
		declared, known := r.view.Machine(machine.name)
		assigned := known && assignment.AgentOf(machine.name, declared.Spec.Zone) == r.name
		watch := r.watches[machine.name]
		switch {
		case !assigned:
			delete(r.watches, machine.name)
		case watch == nil:
			r.watches[machine.name] = &machineWatch{machine: machine, refused: agent.RefusedLoads{}}
		case !watch.busy:
			r.cycle(watch)
		}
	}
}

// cycle asks for a report, gives the orders that are due, and asks again.
func (r *routerNode) cycle(watch *machineWatch) {
	watch.busy = true
	r.ask(watch, func(report engine.Report) {
		replicas, revision := r.view.ReplicasOn(watch.machine.name)
		orders := agent.Orders(replicas, revision, &report)
		if len(orders) == 0 {
			watch.finish(r, report)
			return
		}
		r.give(watch, orders, func() { r.ask(watch, func(again engine.Report) { watch.finish(r, again) }) })
	})
}

func (r *routerNode) ask(watch *machineWatch, next func(engine.Report)) {
	asked := r.world.Now()
	call(&r.process, &watch.machine.process, engineTimeout, func(reply func(engine.Report)) {
		reply(watch.machine.engine.Report())
	}, func(report engine.Report, answered bool) {
		watch.observed = asked
		if !answered {
			watch.busy = false
			watch.report = &wirepb.MachineReport{Machine: watch.machine.name}
			return
		}
		watch.machine.seen(report)
		next(report)
	})
}

func (watch *machineWatch) finish(r *routerNode, report engine.Report) {
	watch.busy = false
	watch.report = agent.MachineReport(watch.machine.name, &report, watch.refused, r.wall())
}

// give sends orders one by one; one without an answer ends the round.
func (r *routerNode) give(watch *machineWatch, orders []engine.Order, next func()) {
	if len(orders) == 0 {
		next()
		return
	}
	order := orders[0]
	if watch.refused.Contains(order) {
		r.give(watch, orders[1:], next)
		return
	}
	r.world.copyLate(r, watch.machine, order)
	r.after(r.world.orderDelay, func() {
		call(&r.process, &watch.machine.process, engineTimeout, func(reply func(engine.OrderResult)) {
			reply(watch.machine.order(order))
		}, func(result engine.OrderResult, answered bool) {
			if !answered {
				watch.busy = false
				return
			}
			if !result.Accepted {
				watch.refused.Record(order, r.wall())
			}
			r.give(watch, orders[1:], next)
		})
	})
}

// copyLate lets another copy of an order arrive much later, as one does that
// an earlier agent had sent before it was cut off.
func (w *world) copyLate(r *routerNode, machine *machine, order engine.Order) {
	if w.random.Float64() >= w.network.duplicate {
		return
	}
	w.After(w.span(0, 4*time.Second), func() {
		if w.reaches(&r.process, &machine.process) {
			machine.run(machine.epoch, func() { machine.order(order) })
		}
	})
}
