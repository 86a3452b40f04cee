package policysim

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/controller"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/virtualtime"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// commitDelay is the duration of a commit; propagationDelay the time until nodes have received it.
	commitDelay      = 5 * time.Millisecond
	propagationDelay = 5 * time.Millisecond
	// orderDelay is the time from a decision in the view to the order at the engine.
	orderDelay = 3 * time.Millisecond
	// reconcileDelay is the time from an event that requires a decision to the next pass of the
	// controller.
	reconcileDelay = 5 * time.Millisecond
	// reconcileInterval is the interval of passes without an event.
	reconcileInterval = 5 * time.Second
	networkDelay      = time.Millisecond
	machineTimeout    = 10 * time.Second
	zone              = "zone-a"
	electionDuration  = 2 * time.Second
)

// simulationStart is the midnight at which every simulation begins.
var simulationStart = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

// simulation is one run of a scenario under a policy.
type simulation struct {
	virtualtime.Scheduler
	scenario *Scenario
	policy   Policy
	arrivals []arrival
	random   *rand.Rand
	metrics  *metrics

	state            *state.Machine
	view             *nodeview.View
	reports          *controller.ReportTable
	controller       *controller.Controller
	term             uint64
	electionUntil    time.Duration
	reconcilePending bool
	reconciledAt     time.Duration
	routers          []*router
	machines         []*machine
	machinesByName   map[string]*machine
	store            *weightStore
	services         map[string]*ServiceScenario
	weights          map[string]int64
	// readyReplicas counts the replicas of each version that accept requests.
	readyReplicas map[string]int
}

func newSimulation(scenario *Scenario, seed uint64, policy Policy, arrivals []arrival) *simulation {
	s := &simulation{
		scenario: scenario, policy: policy, arrivals: arrivals, random: rand.New(rand.NewPCG(seed, 7)),
		state: state.New(), view: nodeview.New(), reports: controller.NewReportTable(),
		machinesByName: map[string]*machine{}, services: map[string]*ServiceScenario{}, weights: map[string]int64{}, readyReplicas: map[string]int{},
	}
	s.metrics = newMetrics(s)
	s.store = newWeightStore(&s.Scheduler, scenario.Store)
	for number := range scenario.Machines.Count {
		created := s.newMachine(number)
		s.machines = append(s.machines, created)
		s.machinesByName[created.name] = created
	}
	for number := range scenario.Routers {
		s.routers = append(s.routers, s.newRouter(number))
	}
	s.declareResources()
	s.startTerm()
	s.reconcilePeriodically()
	s.scheduleFaults()
	return s
}

// wall returns the simulated wall-clock time.
func (s *simulation) wall() time.Time {
	return simulationStart.Add(s.Now())
}

// startTerm replaces the controller. The new one starts without the observations of the previous one.
func (s *simulation) startTerm() {
	s.term++
	s.reports = controller.NewReportTable()
	s.controller = controller.New(s.Now(), controller.Config{
		Node: "control", Term: s.term, MachineTimeout: machineTimeout,
		Planner: placement.Config{
			Speeds: placement.DefaultTierSpeeds, StoreLoadsPerSecond: s.scenario.Store.LoadsPerSecond,
			StoreConcurrentLoads: s.scenario.Store.ConcurrentLoads, KeepAlive: s.policy.keepAlive(s.arrivals),
		},
	}, s.reports)
}

// declareResources writes the resources of the scenario.
func (s *simulation) declareResources() {
	var writes []*wirepb.ObjectWrite
	put := func(kind v1.Kind, name string, spec any) {
		encoded, _ := json.Marshal(spec) // Plain structs always encode.
		writes = append(writes, &wirepb.ObjectWrite{Object: &wirepb.Object{Kind: string(kind), Name: name, Spec: encoded}})
	}
	for position := range s.scenario.Services {
		service := &s.scenario.Services[position]
		var models []string
		for number := range service.Models {
			name := modelName(*service, number)
			models = append(models, name)
			weight := int64(service.WeightGiB[number%len(service.WeightGiB)] * gibibyte)
			s.services[name+".v1"] = service
			s.weights[name+".v1"] = weight
			put(v1.KindModel, name, v1.ModelSpec{DefaultVersion: name + ".v1", MaxReplicas: 2})
			put(v1.KindModelVersion, name+".v1", v1.ModelVersionSpec{
				Model: name, Checkpoint: name + ".v1", WeightBytes: weight, CacheBytes: int64(service.CacheGiB * gibibyte),
				Accelerators: service.Accelerators, MaxConcurrent: service.MaxConcurrent,
			})
		}
		put(v1.KindService, service.Name, v1.ServiceSpec{
			Models: models, Priority: service.Priority, Deadline: v1.Duration(service.Deadline),
			ColdStartWeight: service.ColdStartWeight,
		})
	}
	for _, machine := range s.machines {
		put(v1.KindMachine, machine.name, v1.MachineSpec{
			Endpoint: "http://127.0.0.1:1/" + machine.name, Zone: zone, Accelerators: s.scenario.Machines.Accelerators,
			AcceleratorBytes: int64(s.scenario.Machines.AcceleratorGiB * gibibyte),
		})
	}
	s.write(writes)
	s.propagate()
}

// write applies a command directly, in place of the log.
func (s *simulation) write(writes []*wirepb.ObjectWrite) bool {
	command := &wirepb.Command{
		ProposedUnixMs: s.wall().UnixMilli(),
		Body:           &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: writes}},
	}
	data, err := proto.Marshal(command)
	if err != nil {
		return false
	}
	return s.state.Apply(data).GetCode() == wirepb.ResultCode_RESULT_CODE_OK
}

// commit applies writes, each on its own if they are refused together, and propagates them after the
// delay of a commit.
func (s *simulation) commit(writes []*wirepb.ObjectWrite) {
	if len(writes) == 0 {
		return
	}
	if !s.write(writes) && len(writes) > 1 {
		for _, write := range writes {
			s.write([]*wirepb.ObjectWrite{write})
		}
	}
	s.After(commitDelay+propagationDelay, s.propagate)
}

// propagate updates the view and notifies routers and agents.
func (s *simulation) propagate() {
	changes, fresh := feed.NewerChanges(s.view.Revision(), feed.ChangesSince(s.state, s.view.Revision()))
	if !fresh {
		return
	}
	s.view.Apply(changes)
	targets := s.view.ReplicaTargets()
	s.readyReplicas = map[string]int{}
	for _, target := range targets {
		s.readyReplicas[target.Version]++
	}
	s.metrics.recordReadyVersions()
	for _, router := range s.routers {
		router.applyOutcome(router.core.SetTargets(s.wall(), targets))
	}
	for _, machine := range s.machines {
		if revision := s.view.DecisionRevision(machine.name); revision != machine.decisionRevision {
			machine.decisionRevision = revision
			s.After(orderDelay, machine.applyOrders)
		}
	}
}

// requestReconcile schedules a pass of the controller after reconcileDelay.
func (s *simulation) requestReconcile() {
	if s.reconcilePending {
		return
	}
	s.reconcilePending = true
	s.After(reconcileDelay, s.reconcile)
}

func (s *simulation) reconcilePeriodically() {
	s.After(reconcileInterval, func() {
		s.reconcile()
		s.reconcilePeriodically()
	})
}

// reconcile is one pass of the controller: it takes reports, writes decisions and sends a digest.
func (s *simulation) reconcile() {
	s.reconcilePending = false
	if s.Now() < s.electionUntil {
		return
	}
	s.reconciledAt = s.Now()
	for _, router := range s.routers {
		s.reports.Add(s.Now(), router.report())
	}
	s.controller.Observe(s.state)
	s.commit(s.controller.MachineWrites(s.Now(), nil))
	s.controller.Observe(s.state)
	decision := s.controller.DecideReplicas(s.Now(), s.wall())
	s.commit(decision.Writes)
	if digest := s.controller.Digest(s.Now(), s.state.Revision()); digest != nil {
		s.After(propagationDelay, func() { s.applyDigest(digest) })
	}
}

func (s *simulation) applyDigest(digest *wirepb.ClusterDigest) {
	for _, router := range s.routers {
		router.applyOutcome(router.core.SetLoads(s.wall(), nodeview.LoadsOf(digest), int(digest.GetRouters())))
		router.applyOutcome(router.core.SetEstimates(s.wall(), nodeview.EstimatesOf(digest, s.wall())))
	}
}

// scheduleFaults draws the faults of all days.
func (s *simulation) scheduleFaults() {
	faults := s.scenario.Faults
	span := time.Duration(s.scenario.Days) * day
	inject := func(perDay float64, action func()) {
		for range int(perDay*float64(s.scenario.Days) + s.random.Float64()) {
			s.After(time.Duration(s.random.Int64N(int64(span))), action)
		}
	}
	inject(faults.EngineRestarts, func() { s.machines[s.random.IntN(len(s.machines))].restart() })
	inject(faults.MachinesLeaving, func() { s.machines[s.random.IntN(len(s.machines))].leave() })
	inject(faults.LeaderChanges, func() {
		s.electionUntil = s.Now() + electionDuration
		s.startTerm()
	})
	if faults.SlowStoreMinutes > 0 {
		inject(1, func() {
			const slowness = 4
			s.store.setSlowdown(slowness)
			s.After(time.Duration(faults.SlowStoreMinutes*float64(time.Minute)), func() { s.store.setSlowdown(1) })
		})
	}
}

func numbered(prefix string, number int) string {
	return prefix + "-" + strconv.Itoa(number)
}

func (s *simulation) dispatchConfig() dispatch.Config {
	return dispatch.Config{MaxWaiting: 4096, RoundRobin: s.policy.RoundRobin}
}
