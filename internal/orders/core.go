// Package orders turns replica records into orders to engines, which execute one model order at a time.
//
// Only the leader sends orders, and only to machines to which no other node may still be sending any
// (see Grants). Each order carries the number of orders that the engine must have accepted before. Of
// two orders with the same number only one can be executed, so an order with an unknown outcome can be
// repeated safely. Memory is reserved by the replica record from before an order is sent until the
// engine reports that the model is unloaded.
package orders

import (
	"sort"
	"time"
)

const (
	// pollInterval is the interval of polls while an order is in progress. Engines also report
	// completed loads and unloads on their own.
	pollInterval = time.Second
	// pollRetry is the interval of polls after a failure, or while an order waits for the result.
	pollRetry = 200 * time.Millisecond
	// maxFirstPolls is the maximum number of concurrent polls of engines that have not reported yet. It
	// keeps a new leader responsive; most engines report on their own within a heartbeat interval.
	maxFirstPolls = 16
	// conflictPause delays the next order after a conflict.
	conflictPause = 150 * time.Millisecond
	// refusedPause delays the next order after a refused one.
	refusedPause = 2 * time.Second
	// AdapterLoadTime is the time after which an accepted adapter load counts as complete.
	AdapterLoadTime = 60 * time.Millisecond
	// maxAdapterOrders is the maximum number of concurrent adapter loads of an engine.
	maxAdapterOrders = 4
	// adapterReportLag is how long after an adapter order a heartbeat may still predate it.
	adapterReportLag = 1500 * time.Millisecond
	// A model counts as unloaded when at least minMissingReports consecutive reports over at least
	// minMissingTime lack it, since reports may be old and arrive late.
	minMissingReports = 2
	minMissingTime    = time.Second
	// orderTimeout is how long an accepted order may be in progress. After that, the engine's state
	// determines the outcome.
	orderTimeout = 30 * time.Second
)

// Planner decides which orders to send in one term of leadership. It is not safe for concurrent use.
type Planner struct {
	engines map[string]*engine
	pacer   *Pacer
	// stateBuilds counts the calls of buildState, for tests.
	stateBuilds int
}

// NewPlanner returns a planner without known engines.
func NewPlanner(pacer *Pacer) *Planner {
	return &Planner{engines: map[string]*engine{}, pacer: pacer}
}

// engineForUpdate returns an engine and invalidates its cached state.
func (p *Planner) engineForUpdate(machine string) *engine {
	e := p.engine(machine)
	e.state = nil
	return e
}

func (p *Planner) engine(machine string) *engine {
	e := p.engines[machine]
	if e == nil {
		e = &engine{
			models: map[string]map[string]bool{}, missing: map[string]absence{}, adapters: map[AdapterTask]time.Duration{},
		}
		p.engines[machine] = e
	}
	return e
}

// Forget removes all engines except the listed ones.
func (p *Planner) Forget(listed map[string]bool) {
	for name := range p.engines {
		if !listed[name] {
			delete(p.engines, name)
		}
	}
}

// AddReport updates the state of an engine from a report.
func (p *Planner) AddReport(now time.Duration, machine string, report Report) {
	e := p.engineForUpdate(machine)
	if report.Polled {
		e.polling = false
		e.pollDue = now + pollInterval
		if !e.sequenceKnown {
			e.pollDue = now + pollRetry
		}
		if e.sequenceKnown && report.Sequence < e.sequence {
			return // The report predates an order that the engine has accepted.
		}
		e.sequence, e.sequenceKnown = report.Sequence, true
	}
	if !e.reported {
		e.reported, e.firstReport = true, now
	}
	e.reports++
	e.memory, e.disk = report.Memory, report.Disk
	e.updateModels(now, report)
	e.completeOrder(now, report)
}

// PollFailed records that an engine did not answer a poll.
func (p *Planner) PollFailed(now time.Duration, machine string) {
	e := p.engine(machine)
	e.polling = false
	e.pollDue = now + pollRetry
	if !e.reported {
		e.pollDue = now + pollInterval
	}
}

// Plan holds the orders to send, at most one for each engine, and the engines to poll.
type Plan struct {
	Orders []Order
	// Polls has the machines to poll.
	Polls []string
}

// Plan returns the orders and polls that are due. The caller must report the outcome of each to
// RecordOutcome, AddReport or PollFailed.
func (p *Planner) Plan(now time.Duration, desired []DesiredState) Plan {
	var plan Plan
	sortByWork(desired)
	firstPolls := p.pendingFirstPolls()
	for _, entry := range desired {
		e := p.engine(entry.Machine)
		if !e.reported && !e.polling && now >= e.pollDue && firstPolls < maxFirstPolls {
			firstPolls++
			e.polling = true
			plan.Polls = append(plan.Polls, entry.Machine)
		}
		if !e.reported || entry.Blocked || now < e.pauseUntil {
			continue
		}
		e.completeAdapters(now)
		modelOrder, hasModelOrder := e.nextModelOrder(entry)
		adapterOrders := e.nextAdapterOrders(entry)
		if e.needsPoll(now, hasModelOrder || len(adapterOrders) > 0) {
			e.polling = true
			plan.Polls = append(plan.Polls, entry.Machine)
		}
		if !e.sequenceKnown {
			continue
		}
		if hasModelOrder && (!modelOrder.FromStore || p.pacer.Allow(now)) {
			modelOrder.Expected = e.sequence
			e.sending, e.state = true, nil
			plan.Orders = append(plan.Orders, modelOrder)
			continue
		}
		if len(adapterOrders) > 0 && !e.sending {
			next := adapterOrders[0]
			next.Expected = e.sequence
			e.sending, e.state = true, nil
			if next.Operation == Load {
				e.adapters[next.adapterTask()] = now + orderTimeout
			}
			plan.Orders = append(plan.Orders, next)
		}
	}
	return plan
}

// pendingFirstPolls counts the polls in progress of engines that have not reported yet.
func (p *Planner) pendingFirstPolls() int {
	count := 0
	for _, e := range p.engines {
		if e.polling && !e.reported {
			count++
		}
	}
	return count
}

// sortByWork sorts the loads of each machine and the machines by decreasing work, so that the rate
// limit of the weight store goes to the models in highest demand.
func sortByWork(desired []DesiredState) {
	for _, entry := range desired {
		sort.SliceStable(entry.Load, func(i, j int) bool { return entry.Load[i].Work > entry.Load[j].Work })
	}
	sort.Slice(desired, func(i, j int) bool {
		left, right := desired[i].maxWork(), desired[j].maxWork()
		if left != right {
			return left > right
		}
		return desired[i].Machine < desired[j].Machine
	})
}

func (d DesiredState) maxWork() float64 {
	if len(d.Load) == 0 {
		return 0
	}
	return d.Load[0].Work
}

// RecordOutcome updates the state of an engine after an order was sent.
func (p *Planner) RecordOutcome(now time.Duration, order Order, outcome Outcome) {
	e := p.engineForUpdate(order.Machine)
	e.sending = false
	if outcome != Accepted {
		delete(e.adapters, order.adapterTask())
	}
	switch outcome {
	case Accepted:
		e.sequence++
		e.accept(now, order)
	case AlreadyDone:
		// Engines differ in whether they count such an order, except for adapter unloads.
		e.sequenceKnown = order.Adapter != "" && order.Operation == Unload && e.sequenceKnown
		e.recordExisting(now, order)
	case Conflict, Unknown:
		e.sequenceKnown = false
		e.pollDue = now
		e.pauseUntil = now + conflictPause
	case WrongMachine, Refused:
		e.sequenceKnown = false
		e.pauseUntil = now + refusedPause
	case NotSent:
		e.pauseUntil = now + conflictPause
	}
}

// State is the known state of an engine.
type State struct {
	// Models has the sorted adapters of each loaded model.
	Models map[string][]string
	// LoadingAdapters has the adapters being loaded, by model.
	LoadingAdapters map[string][]string
	// Loading is the model being loaded, if any.
	Loading string
	// Settled is set once there were enough reports in this term to conclude that models missing from
	// them are not loaded.
	Settled bool
	// Busy is set while an order is being sent, or a model order is in progress.
	Busy   bool
	Memory []string
	Disk   []string
}

// State returns the known state of an engine, and false if it has not reported. The state is cached
// until the next change and must not be modified.
func (p *Planner) State(now time.Duration, machine string) (State, bool) {
	e := p.engines[machine]
	if e == nil || !e.reported {
		return State{}, false
	}
	settled := e.reports >= minMissingReports && now-e.firstReport >= minMissingTime
	if e.state == nil || e.state.Settled != settled {
		p.stateBuilds++
		e.state = e.buildState(settled)
	}
	return *e.state, true
}

func (e *engine) buildState(settled bool) *State {
	state := &State{
		Models: map[string][]string{}, LoadingAdapters: map[string][]string{}, Memory: e.memory, Disk: e.disk,
		Settled: settled,
		Busy:    e.sending || e.inProgress != nil,
	}
	for model, adapters := range e.models {
		names := make([]string, 0, len(adapters))
		for adapter := range adapters {
			names = append(names, adapter)
		}
		sort.Strings(names)
		state.Models[model] = names
	}
	for task := range e.adapters {
		state.LoadingAdapters[task.Model] = append(state.LoadingAdapters[task.Model], task.Adapter)
	}
	if e.inProgress != nil && e.inProgress.order.Operation == Load {
		state.Loading = e.inProgress.order.Model
	}
	return state
}
