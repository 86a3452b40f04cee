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
	// digestInterval is how often loads are spread while somebody waits.
	digestInterval = 500 * time.Millisecond
	maxRetries     = 2
)

// router is a node's router with its share of the agents.
type router struct {
	simulation *simulation
	name       string
	number     int
	core       *dispatch.Scheduler
	news       *nodeview.DemandReporter
	sequence   uint64
	requests   map[uint64]*request
	ticking    bool
}

// request is one request on its way.
type request struct {
	arrival
	router *router
	asked  *dispatch.Request
	// cold is set where no replica was ready at its arrival.
	cold    bool
	started time.Duration
	floor   time.Duration
	retries int
	grant   dispatch.Grant
	held    *enginemodel.Replica
	machine *machine
	life    int
	// finished counts the engines that ran it to its end.
	finished int
	ended    bool
}

func (s *simulation) newRouter(number int) *router {
	return &router{
		simulation: s, name: numbered("router", number), number: number, core: dispatch.New(s.dispatchConfig()),
		news: nodeview.NewDemandReporter(), requests: map[uint64]*request{},
	}
}

func (r *router) report() *wirepb.NodeReport {
	r.sequence++
	report := &wirepb.NodeReport{
		Node: r.name, Zone: zone, Incarnation: 1, Sequence: r.sequence, Router: true,
		AppliedRevision: r.simulation.view.Revision(), Demand: r.news.Messages(r.core.Demand(r.simulation.wall())),
	}
	for position, machine := range r.simulation.machines {
		if position%len(r.simulation.routers) == r.number {
			report.Machines = append(report.Machines, machine.report())
		}
	}
	return report
}

// arrive takes a request of the traffic.
func (r *router) arrive(number uint64, entry arrival) {
	s := r.simulation
	service := s.scenario.Services[entry.service]
	version := entry.model + ".v1"
	accepted := &request{arrival: entry, router: r, started: s.Now(), cold: s.ready[version] == 0}
	accepted.asked = &dispatch.Request{
		ID: number, Version: version, Priority: service.Priority, Arrived: s.wall(), Deadline: s.wall().Add(service.Deadline),
	}
	s.meter.arrived(accepted)
	if accepted.cold {
		accepted.floor = s.bareLoad(version)
		s.wake()
	}
	r.requests[number] = accepted
	r.deliver(r.core.Submit(s.wall(), accepted.asked))
	r.watchDeadlines()
}

// bareLoad is the time of a load from the best tier present, with an idle
// store.
func (s *simulation) bareLoad(version string) time.Duration {
	speed := s.scenario.Store.GBps * gigabyte
	for _, machine := range s.machines {
		if !machine.up || machine.leaving {
			continue
		}
		speed = max(speed, machine.caches.BytesPerSecond(machine.caches.Tier(version)))
	}
	return time.Duration(float64(s.weights[version]) / speed * float64(time.Second))
}

// watchDeadlines looks at deadlines for as long as requests wait.
func (r *router) watchDeadlines() {
	if r.ticking || r.core.Waiting() == 0 {
		return
	}
	r.ticking = true
	r.simulation.After(deadlineTick, func() {
		r.ticking = false
		if r.simulation.Now()-r.simulation.passed >= digestInterval {
			r.simulation.wake()
		}
		r.deliver(r.core.Tick(r.simulation.wall()))
		r.watchDeadlines()
	})
}

func (r *router) deliver(outcome dispatch.Outcome) {
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

// run begins on the engine, if the replica takes requests.
func (e *request) run() {
	s := e.router.simulation
	e.machine = s.byName[e.grant.Target.Machine]
	if e.machine.up {
		e.held = e.machine.engine.BeginRequest(e.grant.Target.Replica)
	}
	if !e.machine.up || e.held == nil {
		e.again(dispatch.ResultNotRun)
		return
	}
	e.life = e.machine.life
	s.meter.ran(e)
	e.machine.account()
	e.machine.admit(e)
}

// start begins to generate: the replica has a slot for the request.
func (e *request) start() {
	s := e.router.simulation
	service := s.scenario.Services[e.service]
	prefill := time.Duration(service.PromptTokens) * s.scenario.Machines.PrefillPerToken
	s.meter.firstToken(e, s.Now()+prefill)
	took := prefill + time.Duration(e.answerTokens)*s.scenario.Machines.TokenInterval
	s.After(took, e.finish)
}

func (e *request) finish() {
	if e.ended || e.held == nil || e.machine.life != e.life {
		return // The engine died meanwhile.
	}
	e.finished++
	e.machine.engine.EndRequest(e.held)
	e.machine.free(e)
	e.machine.account()
	e.router.release(e.grant, dispatch.ResultOK)
	e.end(outcomeAnswered)
}

func (r *router) release(grant dispatch.Grant, result dispatch.Result) {
	r.deliver(r.core.Release(r.simulation.wall(), grant, result))
	r.watchDeadlines()
}

// expire gives up a request that still waits at its engine when its deadline
// comes: it was sent, so its router can't say that it did not run.
func (e *request) expire() {
	e.machine.engine.EndRequest(e.held)
	e.machine.account()
	e.router.release(e.grant, dispatch.ResultOK)
	e.end(outcomeUnknown)
}

// again looks for another replica.
func (e *request) again(result dispatch.Result) {
	e.held = nil
	e.router.release(e.grant, result)
	e.asked.Avoid = e.grant.Target.Replica
	e.router.simulation.After(retryDelay, func() {
		if e.ended {
			return
		}
		e.router.deliver(e.router.core.Resubmit(e.router.simulation.wall(), e.asked))
		e.router.watchDeadlines()
	})
}

// dropRequestsOn deals with what ran on an engine that died: inference may be
// repeated, a few times.
func (s *simulation) dropRequestsOn(m *machine) {
	for _, router := range s.routers {
		for _, entry := range router.sorted() {
			if entry.machine != m || entry.held == nil {
				continue
			}
			entry.retries++
			if entry.retries > maxRetries {
				router.release(entry.grant, dispatch.ResultFailed)
				entry.end(outcomeUnknown)
				continue
			}
			entry.again(dispatch.ResultFailed)
		}
	}
}

// sorted lists a router's requests by number.
func (r *router) sorted() []*request {
	listed := make([]*request, 0, len(r.requests))
	for _, entry := range r.requests {
		listed = append(listed, entry)
	}
	slices.SortFunc(listed, func(left, right *request) int { return cmp.Compare(left.asked.ID, right.asked.ID) })
	return listed
}

func (e *request) end(result requestOutcome) {
	e.ended = true
	delete(e.router.requests, e.asked.ID)
	e.router.simulation.meter.ended(e, result)
}

// setDrain marks a machine as leaving in the resources.
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
