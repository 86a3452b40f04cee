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
	dispatchInterval = 25 * time.Millisecond
	// orderTimeout bounds an order; an unacknowledged one is sent again with the same number.
	orderTimeout = 300 * time.Millisecond
	// grantLifetime is how long a grant permits orders to a machine, counted from before its
	// proposal.
	grantLifetime = 500 * time.Millisecond
	pollTimeout   = time.Second
	// lostAfterHeartbeats and goneAfterHeartbeats are the numbers of heartbeat intervals without a
	// heartbeat after which a machine counts as lost or gone.
	lostAfterHeartbeats = 4
	goneAfterHeartbeats = 25
	// suspectAfterHeartbeats replaces lostAfterHeartbeats if any router can't connect to the machine.
	suspectAfterHeartbeats = 1.25
	// deadAfterHeartbeats replaces lostAfterHeartbeats if at least two routers, and more than half of
	// all, can't connect to the machine.
	deadAfterHeartbeats = 0.25
	// addressFreeAfterHeartbeats is the silence after which another machine may take over an address.
	addressFreeAfterHeartbeats = 1.25
	// forgetAfterHeartbeats is how long the record of a gone machine is kept, so that a late
	// heartbeat does not register it again.
	forgetAfterHeartbeats = 100
)

// Engines sends orders to machines and queries their models, in the protocols of their engines.
type Engines interface {
	// Connect opens a connection for an imminent order.
	Connect(ctx context.Context, machine, endpoint string) error
	// Order sends an order. It calls permitted once it is connected, just before it writes: the
	// leader's lease may have expired in the meantime.
	Order(ctx context.Context, order orders.Order, holder string, fence uint64, permitted func() bool) orders.Outcome
	// Report queries the models that an engine has loaded.
	Report(ctx context.Context, machine, endpoint string) (orders.Report, error)
}

// orderDispatcher sends the orders of one leadership term.
type orderDispatcher struct {
	node       *Node
	term       uint64
	startedAt  time.Duration
	cancel     context.CancelFunc
	workers    sync.WaitGroup
	wakeup     chan struct{}
	registered controller.RegisteredFleetCache

	mutex   sync.Mutex
	planner *orders.Planner
	pacer   *orders.Pacer
	// lastReport identifies the last report of each machine that the planner received.
	lastReport map[string]reportKey
	// grantExpiry has, by machine, the time until which this node's grant permits orders.
	grantExpiry map[string]time.Duration
	// work is the rate of work by version, in tokens per second.
	work map[string]float64
}

// newOrderDispatcher starts sending orders; without Engines it does nothing.
func newOrderDispatcher(ctx context.Context, node *Node, term uint64) *orderDispatcher {
	pacer := orders.NewPacer()
	running, cancel := context.WithCancel(ctx)
	created := &orderDispatcher{
		node: node, term: term, startedAt: node.now(), cancel: cancel, wakeup: make(chan struct{}, 1),
		planner: orders.NewPlanner(pacer), pacer: pacer, lastReport: map[string]reportKey{}, grantExpiry: map[string]time.Duration{},
		registered: controller.RegisteredFleetCache{Places: node.settings.Location().Zones},
	}
	if node.engines != nil {
		created.workers.Go(func() { created.run(running) })
	}
	return created
}

func (d *orderDispatcher) stop() {
	d.cancel()
	d.workers.Wait()
}

// setWork replaces the rates of work by version, which the caller must not modify afterwards.
func (d *orderDispatcher) setWork(work map[string]float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.work = work
}

func (d *orderDispatcher) wake() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

// syncMachines updates the records of registered machines from their heartbeats, and the engine
// reports used for placement.
func (d *orderDispatcher) syncMachines(ctx context.Context, current *leader) {
	if d.node.engines == nil {
		return
	}
	commands := d.node.instances.Reconcile(d.instancesInput(d.read()))
	recorded := false
	current.timeCommit(func() { recorded = d.record(ctx, current, commands) })
	if !recorded {
		return
	}
	registered := d.read()
	d.observeHeartbeats(registered)
	current.write(ctx, d.adoptionWrites(registered))
	d.publishReports(d.read())
}

// read returns the registered machines. It holds the state lock only while reading.
func (d *orderDispatcher) read() *controller.RegisteredFleet {
	var registered *controller.RegisteredFleet
	d.node.Read(func(machine *state.Machine) { registered = d.registered.Read(machine) })
	return registered
}

// adoptionWrites returns writes that create records for models that engines hold without one.
func (d *orderDispatcher) adoptionWrites(registered *controller.RegisteredFleet) []*wirepb.ObjectWrite {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return registered.Adopt(d.engineStates())
}

// withAdapters adds the writes that update the adapters of records.
func (d *orderDispatcher) withAdapters(writes []*wirepb.ObjectWrite) []*wirepb.ObjectWrite {
	if d.node.engines == nil {
		return writes
	}
	registered := d.read()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return registered.WithAdapters(writes, d.engineStates())
}

// publishReports passes engine reports to placement, and the load rates of weight stores to the
// pacer.
func (d *orderDispatcher) publishReports(registered *controller.RegisteredFleet) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, report := range registered.Reports(d.engineStates()) {
		d.node.reports.AddMachine(d.node.now(), report)
	}
	d.pacer.Limit(registered.StoreLoadsPerSecond)
}

// record commits changes of machines and reports whether all were committed. The commands are
// proposed concurrently, so that they share disk syncs and round trips; each is for a different
// machine, so their order does not matter.
func (d *orderDispatcher) record(ctx context.Context, current *leader, commands []*wirepb.RegisterCommand) bool {
	var failed atomic.Bool
	var commits errgroup.Group
	commits.SetLimit(maxBatch)
	for _, command := range commands {
		commits.Go(func() error {
			if failed.Load() {
				return nil // The next pass retries.
			}
			d.node.logger.Info("machine_"+command.GetPhase(), "machine", command.GetMachine(), "reason", command.GetReason(), "forget", command.GetForget())
			result, err := current.commit(ctx, &wirepb.Command{Body: &wirepb.Command_Register{Register: command}})
			if err != nil {
				failed.Store(true)
				d.node.logger.Warn("machine_not_recorded", "machine", command.GetMachine(), "error", fault.Message(err))
				return err
			}
			if result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
				d.node.logger.Warn("machine_not_recorded", "machine", command.GetMachine(), "error", result.GetMessage())
			}
			return nil
		})
	}
	return commits.Wait() == nil
}

// engineStates returns the current engine states; the mutex must be held.
func (d *orderDispatcher) engineStates() controller.EngineStateFunc {
	now := d.node.now()
	return func(machine string) (orders.State, bool) { return d.planner.State(now, machine) }
}

func (d *orderDispatcher) instancesInput(registered *controller.RegisteredFleet) instances.Input {
	interval := d.node.settings.Machines.HeartbeatInterval
	return instances.Input{
		Unreachable: d.node.reports.Unreachable(d.node.now()), Routers: d.node.reports.Routers(d.node.now()),
		Leaving: d.node.reports.Leaving(d.node.now()),
		Now:     d.node.now(), Since: d.startedAt, Declared: registered.Machines, Pools: registered.Pools,
		Level: d.node.Level(),
		Policy: instances.Policy{
			LostAfter:        lostAfterHeartbeats * interval,
			SuspectAfter:     time.Duration(suspectAfterHeartbeats * float64(interval)),
			DeadAfter:        time.Duration(deadAfterHeartbeats * float64(interval)),
			GoneAfter:        goneAfterHeartbeats * interval,
			AddressFreeAfter: time.Duration(addressFreeAfterHeartbeats * float64(interval)),
			ForgetAfter:      forgetAfterHeartbeats * interval,
		},
	}
}

// reportKey identifies a report of a machine. Each start of a machine has its own sequence.
type reportKey struct {
	startedMs int64
	sequence  uint64
}

// observeHeartbeats passes new heartbeats to the planner, and removes machines that are no longer
// registered from it.
func (d *orderDispatcher) observeHeartbeats(registered *controller.RegisteredFleet) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	listed := map[string]bool{}
	for name := range registered.Machines {
		listed[name] = true
	}
	for name, entry := range d.node.instances.Entries() {
		if _, known := registered.Machines[name]; !known {
			continue
		}
		report := reportKey{startedMs: entry.Report.GetStartedMs(), sequence: entry.Report.GetSequence()}
		if report == d.lastReport[name] || entry.Received < d.startedAt {
			continue
		}
		d.lastReport[name] = report
		d.planner.AddReport(d.node.now(), name, reportOf(entry.Report))
	}
	d.planner.Forget(listed)
}

func reportOf(report *wirepb.InstanceReport) orders.Report {
	converted := orders.Report{Models: map[string][]string{}}
	for _, model := range report.GetModels() {
		converted.Models[model.GetModel()] = model.GetAdapters()
	}
	for _, checkpoint := range report.GetCheckpoints() {
		if checkpoint.GetTier() == controller.TierMemory {
			converted.Memory = append(converted.Memory, checkpoint.GetCheckpoint())
		} else {
			converted.Disk = append(converted.Disk, checkpoint.GetCheckpoint())
		}
	}
	return converted
}

func (d *orderDispatcher) run(ctx context.Context) {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.wakeup:
		}
		if !d.leads() {
			continue
		}
		started := time.Now()
		d.pass(ctx)
		sleepContext(ctx, pauseAfter(time.Since(started)))
	}
}

func (d *orderDispatcher) leads() bool {
	status := d.node.status.Load()
	return status.Term == d.term && status.LeaseHeld(d.node.now())
}

// recordGrants records the grants committed in the log.
func (n *Node) recordGrants(output member.Output) {
	if output.Restored {
		n.grants.Reset(n.now())
	}
	for _, applied := range output.Applied {
		if grant := applied.Result.GetGrant(); grant != nil {
			n.grants.Record(n.now(), grant.GetMachines())
		}
	}
}

func (d *orderDispatcher) pass(ctx context.Context) {
	registered := d.read()
	wanted := d.wanted(registered)
	names := make([]string, 0, len(wanted))
	for _, entry := range wanted {
		names = append(names, entry.Machine)
	}
	free := d.grantable(names)
	for position := range wanted {
		wanted[position].Blocked = !free[wanted[position].Machine]
	}
	d.mutex.Lock()
	plan := d.planner.Plan(d.node.now(), wanted)
	d.mutex.Unlock()
	endpoints := map[string]string{}
	for _, entry := range wanted {
		endpoints[entry.Machine] = entry.Endpoint
	}
	for _, machine := range plan.Polls {
		d.workers.Go(func() { d.poll(ctx, machine, endpoints[machine]) })
	}
	for _, order := range plan.Orders {
		d.workers.Go(func() { d.order(ctx, order) })
	}
}

// wanted returns the models that the engines should hold.
func (d *orderDispatcher) wanted(registered *controller.RegisteredFleet) []orders.DesiredState {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return registered.DesiredStates(d.engineStates(), d.node.reports.AdapterDemand(d.node.now()), d.work)
}

func (d *orderDispatcher) poll(ctx context.Context, machine, endpoint string) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := d.node.engines.Report(ctx, machine, endpoint)
	if err == nil {
		err = d.checkStart(machine, report)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err != nil {
		d.node.logger.Info("engine_not_polled", "machine", machine, "error", fault.Message(err))
		d.planner.PollFailed(d.node.now(), machine)
		return
	}
	d.planner.AddReport(d.node.now(), machine, report)
	d.node.wakeLeader()
}

// checkStart returns an error if the report comes from another start of the machine than the
// recorded one.
func (d *orderDispatcher) checkStart(machine string, report orders.Report) error {
	record, registered := d.read().Machines[machine]
	if !registered || record.Spec.StartedMs == 0 || report.StartedMs == 0 || record.Spec.StartedMs == report.StartedMs {
		return nil
	}
	return fault.Engine.New("machine %s has been restarted", machine)
}
