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
	// commitDelay and feedDelay are what a write and its spreading take.
	commitDelay = 5 * time.Millisecond
	feedDelay   = 5 * time.Millisecond
	// orderDelay is from a decision in the view to the engine.
	orderDelay = 3 * time.Millisecond
	// wakeDelay is from a report that matters to a pass.
	wakeDelay = 5 * time.Millisecond
	// passInterval is how often the leader looks without a reason.
	passInterval   = 5 * time.Second
	networkDelay   = time.Millisecond
	machineTimeout = 10 * time.Second
	zone           = "zone-a"
	electionPause  = 2 * time.Second
)

// epoch is the midnight at which every simulation begins.
var epoch = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

// simulation is one run of a scenario under a policy.
type simulation struct {
	virtualtime.Scheduler
	scenario *Scenario
	policy   Policy
	arrivals []arrival
	random   *rand.Rand
	meter    *meter

	state    *state.Machine
	view     *nodeview.View
	reports  *controller.ReportTable
	decider  *controller.Controller
	term     uint64
	pausedBy time.Duration
	waking   bool
	// passed is when the leader last looked.
	passed   time.Duration
	routers  []*router
	machines []*machine
	byName   map[string]*machine
	store    *weightStore
	services map[string]*ServiceScenario
	weights  map[string]int64
	// ready counts the replicas of each version that may get requests.
	ready map[string]int
}

func newSimulation(scenario *Scenario, seed uint64, policy Policy, arrivals []arrival) *simulation {
	s := &simulation{
		scenario: scenario, policy: policy, arrivals: arrivals, random: rand.New(rand.NewPCG(seed, 7)),
		state: state.New(), view: nodeview.New(), reports: controller.NewReportTable(),
		byName: map[string]*machine{}, services: map[string]*ServiceScenario{}, weights: map[string]int64{}, ready: map[string]int{},
	}
	s.meter = newMeter(s)
	s.store = newWeightStore(&s.Scheduler, scenario.Store)
	for number := range scenario.Machines.Count {
		created := s.newMachine(number)
		s.machines = append(s.machines, created)
		s.byName[created.name] = created
	}
	for number := range scenario.Routers {
		s.routers = append(s.routers, s.newRouter(number))
	}
	s.declare()
	s.lead()
	s.tick()
	s.scheduleFaults()
	return s
}

// now is the time of day as the simulation has it.
func (s *simulation) wall() time.Time {
	return epoch.Add(s.Now())
}

// lead begins a new term: whatever the leader before had learned is lost.
func (s *simulation) lead() {
	s.term++
	s.reports = controller.NewReportTable()
	s.decider = controller.New(s.Now(), controller.Config{
		Node: "control", Term: s.term, MachineTimeout: machineTimeout,
		Planner: placement.Config{
			Speeds: placement.DefaultTierSpeeds, StoreLoadsPerSecond: s.scenario.Store.LoadsPerSecond,
			StoreConcurrentLoads: s.scenario.Store.ConcurrentLoads, KeepAlive: s.policy.keepAlive(s.arrivals),
		},
	}, s.reports)
}

// declare writes the resources of the scenario.
func (s *simulation) declare() {
	var writes []*wirepb.ObjectWrite
	put := func(kind v1.Kind, name string, spec any) {
		encoded, _ := json.Marshal(spec) // Plain structs always encode.
		writes = append(writes, &wirepb.ObjectWrite{Object: &wirepb.Object{Kind: string(kind), Name: name, Spec: encoded}})
	}
	for position := range s.scenario.Services {
		service := &s.scenario.Services[position]
		var models []string
		for number := range service.Models {
			name := modelOf(*service, number)
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
	s.spread()
}

// write applies a command as the log would.
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

// commit applies writes after the delay of a commit and spreads them; where
// they are refused together, each is tried alone.
func (s *simulation) commit(writes []*wirepb.ObjectWrite) {
	if len(writes) == 0 {
		return
	}
	if !s.write(writes) && len(writes) > 1 {
		for _, write := range writes {
			s.write([]*wirepb.ObjectWrite{write})
		}
	}
	s.After(commitDelay+feedDelay, s.spread)
}

// spread brings the view up to date, and routers and agents with it.
func (s *simulation) spread() {
	changes, fresh := feed.NewerChanges(s.view.Revision(), feed.ChangesSince(s.state, s.view.Revision()))
	if !fresh {
		return
	}
	s.view.Apply(changes)
	targets := s.view.ReplicaTargets()
	s.ready = map[string]int{}
	for _, target := range targets {
		s.ready[target.Version]++
	}
	s.meter.versionsReady()
	for _, router := range s.routers {
		router.deliver(router.core.SetTargets(s.wall(), targets))
	}
	for _, machine := range s.machines {
		if revision := s.view.DecisionRevision(machine.name); revision != machine.decided {
			machine.decided = revision
			s.After(orderDelay, machine.followOrders)
		}
	}
}

// wake makes the leader look soon.
func (s *simulation) wake() {
	if s.waking {
		return
	}
	s.waking = true
	s.After(wakeDelay, s.pass)
}

func (s *simulation) tick() {
	s.After(passInterval, func() {
		s.pass()
		s.tick()
	})
}

// pass is one look of the leader: reports come in, decisions go out.
func (s *simulation) pass() {
	s.waking = false
	if s.Now() < s.pausedBy {
		return
	}
	s.passed = s.Now()
	for _, router := range s.routers {
		s.reports.Add(s.Now(), router.report())
	}
	s.decider.Observe(s.state)
	s.commit(s.decider.MachineWrites(s.Now(), nil))
	s.decider.Observe(s.state)
	decision := s.decider.DecideReplicas(s.Now(), s.wall())
	s.commit(decision.Writes)
	if digest := s.decider.Digest(s.Now(), s.state.Revision()); digest != nil {
		s.After(feedDelay, func() { s.takeDigest(digest) })
	}
}

func (s *simulation) takeDigest(digest *wirepb.ClusterDigest) {
	for _, router := range s.routers {
		router.deliver(router.core.SetLoads(s.wall(), nodeview.LoadsOf(digest), int(digest.GetRouters())))
		router.deliver(router.core.SetEstimates(s.wall(), nodeview.EstimatesOf(digest, s.wall())))
	}
}

// scheduleFaults draws what goes wrong over the days.
func (s *simulation) scheduleFaults() {
	faults := s.scenario.Faults
	span := time.Duration(s.scenario.Days) * day
	strike := func(perDay float64, action func()) {
		for range int(perDay*float64(s.scenario.Days) + s.random.Float64()) {
			s.After(time.Duration(s.random.Int64N(int64(span))), action)
		}
	}
	strike(faults.EngineRestarts, func() { s.machines[s.random.IntN(len(s.machines))].restart() })
	strike(faults.MachinesLeaving, func() { s.machines[s.random.IntN(len(s.machines))].leave() })
	strike(faults.LeaderChanges, func() {
		s.pausedBy = s.Now() + electionPause
		s.lead()
	})
	if faults.SlowStoreMinutes > 0 {
		strike(1, func() {
			const slowness = 4
			s.store.setSlowness(slowness)
			s.After(time.Duration(faults.SlowStoreMinutes*float64(time.Minute)), func() { s.store.setSlowness(1) })
		})
	}
}

func numbered(prefix string, number int) string {
	return prefix + "-" + strconv.Itoa(number)
}

func (s *simulation) dispatchConfig() dispatch.Config {
	return dispatch.Config{MaxWaiting: 4096, RoundRobin: s.policy.RoundRobin}
}
