package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/weldline/weldline/internal/controller"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/instances"
	"github.com/weldline/weldline/internal/member"
	"github.com/weldline/weldline/internal/orders"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	fleetInterval = 25 * time.Millisecond
	// orderTimeout is how long an order may stay unanswered before it is given
	// again under the same number.
	orderTimeout = 300 * time.Millisecond
	// grantLifetime is for how long a machine may be given orders under one
	// grant, from before it was proposed.
	grantLifetime = 500 * time.Millisecond
	pollTimeout   = time.Second
	// lostAfterHeartbeats and goneAfterHeartbeats are how many heartbeats a
	// machine may miss before it is taken to be lost, and gone.
	lostAfterHeartbeats = 4
	goneAfterHeartbeats = 25
	// suspectAfterHeartbeats is the same for a machine that routers can't
	// connect to: one that it should have sent has not come.
	suspectAfterHeartbeats = 1.25
	// deadAfterHeartbeats is the same for one that most routers can't connect to.
	deadAfterHeartbeats = 0.25
	// forgetAfterHeartbeats is how long a record is kept of a machine that is
	// gone, so that a late heartbeat can't bring it back.
	forgetAfterHeartbeats = 100
)

// Engines gives orders to machines and asks them what they hold, in whatever
// protocol they speak.
type Engines interface {
	// Connect makes a connection for an order that is about to be given.
	Connect(ctx context.Context, machine, endpoint string) error
	// Order sends an order. Permitted is asked once a connection stands, just
	// before anything is written: a leader whose lease has run out meanwhile
	// must not order any more.
	Order(ctx context.Context, order orders.Order, holder string, fence uint64, permitted func() bool) orders.Outcome
	// Report asks an engine what it holds.
	Report(ctx context.Context, machine, endpoint string) (orders.Report, error)
}

// fleet gives the orders of one term of leadership.
type fleet struct {
	node    *Node
	term    uint64
	since   time.Duration
	cancel  context.CancelFunc
	workers sync.WaitGroup
	nudge   chan struct{}
	// registered is what the state holds of the machines.
	registered controller.RegisteredFleetCache

	mutex sync.Mutex
	core  *orders.Planner
	pacer *orders.Pacer
	// taken is the report that the core took last, by machine.
	taken map[string]takenReport
	// granted is until when orders may be given, by machine.
	granted map[string]time.Duration
	// work is the rate of work by version, in tokens per second.
	work map[string]float64
}

// newFleet starts giving orders; it does nothing on a node without Engines.
func newFleet(ctx context.Context, node *Node, term uint64) *fleet {
	pacer := orders.NewPacer()
	running, cancel := context.WithCancel(ctx)
	created := &fleet{
		node: node, term: term, since: node.now(), cancel: cancel, nudge: make(chan struct{}, 1),
		core: orders.NewPlanner(pacer), pacer: pacer, taken: map[string]takenReport{}, granted: map[string]time.Duration{},
		registered: controller.RegisteredFleetCache{Places: node.settings.Position().Zones},
	}
	if node.engines != nil {
		created.workers.Go(func() { created.run(running) })
	}
	return created
}

func (f *fleet) stop() {
	f.cancel()
	f.workers.Wait()
}

// setWork takes the rates of work by version, which must not be changed.
func (f *fleet) setWork(work map[string]float64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.work = work
}

func (f *fleet) wake() {
	select {
	case f.nudge <- struct{}{}:
	default:
	}
}

// follow brings the records of registered machines in step with what they
// say, and the reports that placement works on with what is known of them.
func (f *fleet) follow(ctx context.Context, current *leader) {
	if f.node.engines == nil {
		return
	}
	commands := f.node.instances.Reconcile(f.instancesInput(f.read()))
	recorded := false
	current.awaitLog(func() { recorded = f.record(ctx, current, commands) })
	if !recorded {
		return
	}
	registered := f.read()
	f.observe(registered)
	current.write(ctx, f.adopt(registered))
	f.passOn(f.read())
}

// read returns what the state holds of registered machines. The state is held for the reading
// only; see leader.pass.
func (f *fleet) read() *controller.RegisteredFleet {
	var registered *controller.RegisteredFleet
	f.node.Read(func(machine *state.Machine) { registered = f.registered.Read(machine) })
	return registered
}

// adopt returns the writes that make records of what engines hold without one.
func (f *fleet) adopt(registered *controller.RegisteredFleet) []*wirepb.ObjectWrite {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return registered.Adopt(f.stateOf())
}

// withAdapters adds the writes that bring the adapters of records up to date; see
// controller.RegisteredFleet.
func (f *fleet) withAdapters(writes []*wirepb.ObjectWrite) []*wirepb.ObjectWrite {
	if f.node.engines == nil {
		return writes
	}
	registered := f.read()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return registered.WithAdapters(writes, f.stateOf())
}

// passOn tells placement what engines hold, and the pacer what the weight stores admit.
func (f *fleet) passOn(registered *controller.RegisteredFleet) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, report := range registered.Reports(f.stateOf()) {
		f.node.reports.AddMachine(f.node.now(), report)
	}
	f.pacer.Limit(registered.StoreLoadsPerSecond)
}

// record commits what changed about machines, and reports whether all of it is. At a first start
// that is every machine: one commit after the other would take a sync and a round trip for each,
// and the leader does nothing else meanwhile. Proposed together they share both. There is one
// command for a machine at most, so their order means nothing.
func (f *fleet) record(ctx context.Context, current *leader, commands []*wirepb.RegisterCommand) bool {
	var failed atomic.Bool
	var commits errgroup.Group
	commits.SetLimit(maxBatch)
	for _, command := range commands {
		commits.Go(func() error {
			if failed.Load() {
				return nil // The next pass tries again.
			}
			f.node.logger.Info("machine_"+command.GetPhase(), "machine", command.GetMachine(), "reason", command.GetReason(), "forget", command.GetForget())
			result, err := current.commit(ctx, &wirepb.Command{Body: &wirepb.Command_Register{Register: command}})
			if err != nil {
				failed.Store(true)
				f.node.logger.Warn("machine_not_recorded", "machine", command.GetMachine(), "error", fault.Message(err))
				return err
			}
			if result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
				f.node.logger.Warn("machine_not_recorded", "machine", command.GetMachine(), "error", result.GetMessage())
			}
			return nil
		})
	}
	return commits.Wait() == nil
}

// stateOf returns what is known of engines now; the mutex must be held.
func (f *fleet) stateOf() controller.EngineStateFunc {
	now := f.node.now()
	return func(machine string) (orders.State, bool) { return f.core.State(now, machine) }
}

func (f *fleet) instancesInput(registered *controller.RegisteredFleet) instances.Input {
	interval := f.node.settings.Machines.HeartbeatInterval
	return instances.Input{
		Unreachable: f.node.reports.Unreachable(f.node.now()), Routers: f.node.reports.Routers(f.node.now()),
		Leaving: f.node.reports.Leaving(f.node.now()),
		Now:     f.node.now(), Since: f.since, Declared: registered.Machines, Pools: registered.Pools,
		RecordStarts: f.node.recordsStarts(),
		Policy: instances.Policy{
			LostAfter:    lostAfterHeartbeats * interval,
			SuspectAfter: time.Duration(suspectAfterHeartbeats * float64(interval)),
			DeadAfter:    time.Duration(deadAfterHeartbeats * float64(interval)),
			GoneAfter:    goneAfterHeartbeats * interval,
			ForgetAfter:  forgetAfterHeartbeats * interval,
		},
	}
}

// takenReport tells a machine's reports apart: each start counts its own.
type takenReport struct {
	startedMs int64
	sequence  uint64
}

// observe passes new heartbeats on to the core.
func (f *fleet) observe(registered *controller.RegisteredFleet) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	listed := map[string]bool{}
	for name := range registered.Machines {
		listed[name] = true
	}
	for name, entry := range f.node.instances.Entries() {
		if _, known := registered.Machines[name]; !known {
			continue
		}
		report := takenReport{startedMs: entry.Report.GetStartedMs(), sequence: entry.Report.GetSequence()}
		if report == f.taken[name] || entry.Received < f.since {
			continue
		}
		f.taken[name] = report
		f.core.AddReport(f.node.now(), name, reportOf(entry.Report))
	}
	f.core.Forget(listed)
}

func reportOf(report *wirepb.InstanceReport) orders.Report {
	taken := orders.Report{Models: map[string][]string{}}
	for _, model := range report.GetModels() {
		taken.Models[model.GetModel()] = model.GetAdapters()
	}
	for _, checkpoint := range report.GetCheckpoints() {
		if checkpoint.GetTier() == controller.TierMemory {
			taken.Memory = append(taken.Memory, checkpoint.GetCheckpoint())
		} else {
			taken.Disk = append(taken.Disk, checkpoint.GetCheckpoint())
		}
	}
	return taken
}

func (f *fleet) run(ctx context.Context) {
	ticker := time.NewTicker(fleetInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.nudge:
		}
		if !f.leads() {
			continue
		}
		started := time.Now()
		f.pass(ctx)
		pause(ctx, restAfter(time.Since(started)))
	}
}

// leads reports whether the lease of this term is held.
func (f *fleet) leads() bool {
	status := f.node.status.Load()
	return status.Term == f.term && status.LeaseHeld(f.node.now())
}

// noteGrants remembers what the log tells of grants.
func (n *Node) noteGrants(output member.Output) {
	if output.Restored {
		n.grants.Reset(n.now())
	}
	for _, applied := range output.Applied {
		if grant := applied.Result.GetGrant(); grant != nil {
			n.grants.Record(n.now(), grant.GetMachines())
		}
	}
}

func (f *fleet) pass(ctx context.Context) {
	registered := f.read()
	wanted := f.wanted(registered)
	names := make([]string, 0, len(wanted))
	for _, entry := range wanted {
		names = append(names, entry.Machine)
	}
	free := f.freeOf(names)
	for position := range wanted {
		wanted[position].Blocked = !free[wanted[position].Machine]
	}
	f.mutex.Lock()
	plan := f.core.Plan(f.node.now(), wanted)
	f.mutex.Unlock()
	endpoints := map[string]string{}
	for _, entry := range wanted {
		endpoints[entry.Machine] = entry.Endpoint
	}
	for _, machine := range plan.Polls {
		f.workers.Go(func() { f.poll(ctx, machine, endpoints[machine]) })
	}
	for _, order := range plan.Orders {
		f.workers.Go(func() { f.order(ctx, order) })
	}
}

// wanted returns what the engines should hold.
func (f *fleet) wanted(registered *controller.RegisteredFleet) []orders.DesiredState {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return registered.DesiredStates(f.stateOf(), f.node.reports.AdapterDemand(f.node.now()), f.work)
}

func (f *fleet) poll(ctx context.Context, machine, endpoint string) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := f.node.engines.Report(ctx, machine, endpoint)
	if err == nil {
		err = f.checkStart(machine, report)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err != nil {
		f.node.logger.Info("engine_not_polled", "machine", machine, "error", fault.Message(err))
		f.core.PollFailed(f.node.now(), machine)
		return
	}
	f.core.AddReport(f.node.now(), machine, report)
	f.node.wakeLeader()
}

// checkStart returns an error where another start than the recorded one has answered: it has the
// same id, and another record.
func (f *fleet) checkStart(machine string, report orders.Report) error {
	record, known := f.read().Machines[machine]
	if !known || record.Spec.StartedMs == 0 || report.StartedMs == 0 || record.Spec.StartedMs == report.StartedMs {
		return nil
	}
	return fault.Engine.New("machine %s has started again", machine)
}
