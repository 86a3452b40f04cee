package policysim

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/enginemodel"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	deadlineTick = 100 * time.Millisecond
	retryDelay   = 50 * time.Millisecond
	// digestInterval is the interval of load digests while requests wait.
	digestInterval = 500 * time.Millisecond
	maxRetries     = 2
)

// router is a node's router; it also reports its share of the machines.
type router struct {
	simulation     *simulation
	name           string
	number         int
	core           *dispatch.Scheduler
	demandReporter *nodeview.DemandReporter
	sequence       uint64
	requests       map[uint64]*request
	ticking        bool
}

type request struct {
	arrival
	router          *router
	dispatchRequest *dispatch.Request
	// coldStart is set if no replica was ready at arrival.
	coldStart   bool
	started     time.Duration
	minimumLoad time.Duration
	retries     int
	grant       dispatch.Grant
	replica     *enginemodel.Replica
	machine     *machine
	instance    int
	// completions counts the engines that ran the request to completion.
	completions int
	ended       bool
}

func (s *simulation) newRouter(number int) *router {
	return &router{
		simulation: s, name: numbered("router", number), number: number, core: dispatch.New(s.dispatchConfig()),
		demandReporter: nodeview.NewDemandReporter(), requests: map[uint64]*request{},
	}
}

func (r *router) report() *wirepb.NodeReport {
	r.sequence++
	report := &wirepb.NodeReport{
		Node: r.name, Zone: zone, Incarnation: 1, Sequence: r.sequence, Router: true,
		AppliedRevision: r.simulation.view.Revision(), Demand: r.demandReporter.Messages(r.core.Demand(r.simulation.wall())),
	}
	for position, machine := range r.simulation.machines {
		if position%len(r.simulation.routers) == r.number {
			report.Machines = append(report.Machines, machine.report())
		}
	}
	return report
}

func (r *router) arrive(number uint64, entry arrival) {
	s := r.simulation
	service := s.scenario.Services[entry.service]
	version := entry.model + ".v1"
	accepted := &request{arrival: entry, router: r, started: s.Now(), coldStart: s.readyReplicas[version] == 0}
	accepted.dispatchRequest = &dispatch.Request{
		ID: number, Version: version, Priority: service.Priority, Arrived: s.wall(), Deadline: s.wall().Add(service.Deadline),
	}
	s.metrics.recordArrival(accepted)
	if accepted.coldStart {
		accepted.minimumLoad = s.minimumLoadTime(version)
		s.requestReconcile()
	}
	r.requests[number] = accepted
	r.applyOutcome(r.core.Submit(s.wall(), accepted.dispatchRequest))
	r.scheduleDeadlineCheck()
}

// minimumLoadTime is the duration of a load from the fastest available tier with an idle store.
func (s *simulation) minimumLoadTime(version string) time.Duration {
	speed := s.scenario.Store.GBps * gigabyte
	for _, machine := range s.machines {
		if !machine.up || machine.leaving {
			continue
		}
		speed = max(speed, machine.caches.BytesPerSecond(machine.caches.Tier(version)))
	}
	return time.Duration(float64(s.weights[version]) / speed * float64(time.Second))
}

// scheduleDeadlineCheck checks deadlines periodically while requests wait.
func (r *router) scheduleDeadlineCheck() {
	if r.ticking || r.core.Waiting() == 0 {
		return
	}
	r.ticking = true
	r.simulation.After(deadlineTick, func() {
		r.ticking = false
		if r.simulation.Now()-r.simulation.reconciledAt >= digestInterval {
			r.simulation.requestReconcile()
		}
		r.applyOutcome(r.core.Tick(r.simulation.wall()))
		r.scheduleDeadlineCheck()
	})
}

func (r *router) applyOutcome(outcome dispatch.Outcome) {
	s := r.simulation
	for _, grant := range outcome.Grants {
		entry := r.requests[grant.Request.ID]
		entry.grant = grant
		s.After(networkDelay, entry.run)
	}
	for _, refusal := range outcome.Refusals {
		if entry := r.requests[refusal.Request.ID]; entry != nil {
			entry.end(outcomeRefused)
		}
	}
}

// run sends the request to its engine, if the replica accepts requests.
func (e *request) run() {
	s := e.router.simulation
	e.machine = s.machinesByName[e.grant.Target.Machine]
	if e.machine.up {
		e.replica = e.machine.engine.BeginRequest(e.grant.Target.Replica)
	}
	if !e.machine.up || e.replica == nil {
		e.resubmit(dispatch.ResultNotRun)
		return
	}
	e.instance = e.machine.instance
	s.metrics.recordRun(e)
	e.machine.updateIdleTime()
	e.machine.enqueue(e)
}

// start starts generation once the request has a slot.
func (e *request) start() {
	s := e.router.simulation
	service := s.scenario.Services[e.service]
	prefill := time.Duration(service.PromptTokens) * s.scenario.Machines.PrefillPerToken
	s.metrics.recordFirstToken(e, s.Now()+prefill)
	took := prefill + time.Duration(e.answerTokens)*s.scenario.Machines.TokenInterval
	s.After(took, e.finish)
}

func (e *request) finish() {
	if e.ended || e.replica == nil || e.machine.instance != e.instance {
		return // The engine has been restarted.
	}
	e.completions++
	e.machine.engine.EndRequest(e.replica)
	e.machine.releaseSlot(e)
	e.machine.updateIdleTime()
	e.router.release(e.grant, dispatch.ResultOK)
	e.end(outcomeAnswered)
}

func (r *router) release(grant dispatch.Grant, result dispatch.Result) {
	r.applyOutcome(r.core.Release(r.simulation.wall(), grant, result))
	r.scheduleDeadlineCheck()
}

// expire ends a request whose deadline passes while it is queued at its engine. Its outcome is
// unknown, because it was sent.
func (e *request) expire() {
	e.machine.engine.EndRequest(e.replica)
	e.machine.updateIdleTime()
	e.router.release(e.grant, dispatch.ResultOK)
	e.end(outcomeUnknown)
}

// resubmit resubmits the request, avoiding the previous replica.
func (e *request) resubmit(result dispatch.Result) {
	e.replica = nil
	e.router.release(e.grant, result)
	e.dispatchRequest.Avoid = e.grant.Target.Replica
	e.router.simulation.After(retryDelay, func() {
		if e.ended {
			return
		}
		e.router.applyOutcome(e.router.core.Resubmit(e.router.simulation.wall(), e.dispatchRequest))
		e.router.scheduleDeadlineCheck()
	})
}

// retryRequestsOf resubmits the requests that ran on a stopped engine, up to maxRetries times each.
func (s *simulation) retryRequestsOf(m *machine) {
	for _, router := range s.routers {
		for _, entry := range router.requestsByID() {
			if entry.machine != m || entry.replica == nil {
				continue
			}
			entry.retries++
			if entry.retries > maxRetries {
				router.release(entry.grant, dispatch.ResultFailed)
				entry.end(outcomeUnknown)
				continue
			}
			entry.resubmit(dispatch.ResultFailed)
		}
	}
}

func (r *router) requestsByID() []*request {
	listed := make([]*request, 0, len(r.requests))
	for _, entry := range r.requests {
		listed = append(listed, entry)
	}
	slices.SortFunc(listed, func(left, right *request) int { return cmp.Compare(left.dispatchRequest.ID, right.dispatchRequest.ID) })
	return listed
}

func (e *request) end(result requestOutcome) {
	e.ended = true
	delete(e.router.requests, e.dispatchRequest.ID)
	e.router.simulation.metrics.recordOutcome(e, result)
}

// setDrain sets the drain flag of a machine resource.
func (s *simulation) setDrain(name string, drain bool) {
	spec, isMachine := s.state.Spec(v1.KindMachine, name).(*v1.MachineSpec)
	if !isMachine {
		return
	}
	changed := *spec
	changed.Drain = drain
	encoded, _ := json.Marshal(changed) // Plain structs always encode.
	s.commit([]*wirepb.ObjectWrite{{Object: &wirepb.Object{Kind: string(v1.KindMachine), Name: name, Spec: encoded}}})
}
