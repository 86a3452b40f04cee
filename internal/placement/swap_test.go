package placement

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// setWaiting sets the waiting requests of a version.
func setWaiting(input *Input, version string, requests int) {
	demand := input.Demand[version]
	if demand == nil {
		demand = &Demand{}
		input.Demand[version] = demand
	}
	demand.Waiting, demand.OldestWait = requests, time.Second
	demand.Arrivals += uint64(requests)
}

func unloadedVersions(decision Decision) map[string]bool {
	versions := map[string]bool{}
	for _, action := range decision.Actions {
		if action.Kind == ActionUnload {
			versions[action.Replica.Spec.Version] = true
		}
	}
	return versions
}

// TestLoadingReplicaIsNoSubstitute checks that the only ready replica of a version is not evicted
// as surplus while another one is loading.
func TestLoadingReplicaIsNoSubstitute(t *testing.T) {
	input := poolInput(3)
	poolVersion(input, "rare")
	planner := newPoolPlanner()
	planner.Decide(input)
	for range 40 {
		addWork(input, 100*time.Millisecond, map[string]uint64{"v0": 900, "v1": 900, "v2": 900, "v3": 900, "v4": 900, "v5": 900})
		planner.Decide(input)
	}
	input.Replicas[2].Spec.Phase, input.Replicas[2].EnginePhase = v1.ReplicaLoading, EngineLoading
	input.Replicas[2].Spec.Version, input.Replicas[2].Spec.Checkpoint = "v0", "v0"
	setWaiting(input, "rare", 20)
	if decision := planner.Decide(input); unloadedVersions(decision)["v0"] {
		t.Errorf("evicted the only replica that is ready: %v", describe(decision))
	}
}

// TestNewReplicaIsNotEvicted checks that a replica is not evicted right after its load.
func TestNewReplicaIsNotEvicted(t *testing.T) {
	input := poolInput(1)
	poolVersion(input, "rare")
	planner := newPoolPlanner()
	planner.Decide(input)
	for _, replica := range input.Replicas {
		replica.Spec.Phase, replica.Spec.Tier = v1.ReplicaLoading, string(TierRemote)
	}
	planner.Decide(input)
	for _, replica := range input.Replicas {
		replica.Spec.Phase = v1.ReplicaReady
	}
	setWaiting(input, "rare", 5)
	input.Now = input.Now.Add(time.Second)
	if decision := planner.Decide(input); len(decision.Actions) != 0 {
		t.Errorf("evicted a second after a load of two: %v", describe(decision))
	}
	input.Now = input.Now.Add(2 * time.Second)
	if decision := planner.Decide(input); len(unloadedVersions(decision)) != 1 {
		t.Errorf("not evicted after its load time: %v", describe(decision))
	}
}

// TestNoDecisionForBusyMachine checks that no replica is evicted on a machine that is still
// loading, which would execute the eviction only afterwards.
func TestNoDecisionForBusyMachine(t *testing.T) {
	input := poolInput(1)
	poolVersion(input, "loading")
	poolVersion(input, "wanted")
	input.Machines["m0"].AcceleratorBytes = 150
	poolReplica(input, "loading", "m0")
	loading := input.Replicas[2]
	loading.Spec.Phase, loading.Spec.Tier, loading.EnginePhase = v1.ReplicaLoading, string(TierRemote), EngineLoading
	setWaiting(input, "wanted", 3)
	planner := newPoolPlanner()
	if actions := describe(planner.Decide(input)); len(actions) != 0 {
		t.Errorf("decided during a load: %v", actions)
	}
	loading.Spec.Phase, loading.EnginePhase = v1.ReplicaReady, EngineReady
	input.Now = input.Now.Add(3 * time.Second)
	if decision := planner.Decide(input); len(unloadedVersions(decision)) != 1 {
		t.Errorf("nothing was evicted once the load was done: %v", describe(decision))
	}
}

// TestPlacementWaitsForFasterMachine checks that a load waits for a briefly busy machine with the
// weights on disk, instead of loading from the store elsewhere.
func TestPlacementWaitsForFasterMachine(t *testing.T) {
	input := poolInput(2)
	input.Replicas = input.Replicas[:2]
	poolVersion(input, "wanted")
	input.Versions["wanted"].Spec.LoadTime = v1.Duration(6 * time.Second)
	input.Machines["m0"].Tiers["wanted"] = TierDisk
	input.Replicas[1].Spec.Phase = v1.ReplicaUnloading
	setWaiting(input, "wanted", 1)
	if actions := describe(newPoolPlanner().Decide(input)); len(actions) != 0 {
		t.Errorf("%v, although a load from disk could start right after the unload", actions)
	}
}

// TestMostRequestedVersionLoadsFirst checks that a version with many waiting requests is loaded
// before one with a single, older request.
func TestMostRequestedVersionLoadsFirst(t *testing.T) {
	input := poolInput(2)
	input.Replicas = []*Replica{input.Replicas[0], input.Replicas[2]}
	for _, version := range []string{"a-rare", "busy"} {
		poolVersion(input, version)
	}
	setWaiting(input, "a-rare", 1)
	input.Demand["a-rare"].OldestWait, input.Demand["a-rare"].Priority = 20*time.Second, 3
	setWaiting(input, "busy", 40)
	planner := newPoolPlanner()
	planner.config.StoreLoadsPerSecond = 1
	planner.store = newStoreLimiter(1, 1)
	expectActions(t, describe(planner.Decide(input)), "load busy on m0")
}

// TestCachedVersionIsNotPrewarmedFromStore checks that free memory is not filled from the store
// with a version that is cached on a disk, which would block the machine.
func TestCachedVersionIsNotPrewarmedFromStore(t *testing.T) {
	input := poolInput(2)
	input.Replicas = input.Replicas[:3]
	input.Machines["m0"].Tiers["v3"] = TierDisk
	planner := newPoolPlanner()
	for _, action := range planner.Decide(input).Actions {
		if action.Kind == ActionLoad && action.Spec.Version == "v3" && action.Spec.Tier == string(TierRemote) {
			t.Error("v3 is cached on disk, but was prewarmed from the store")
		}
	}
}

// TestReplicaOnLeavingMachineIsReplaced checks that the only replica of a busy version is replaced
// before its machine has left.
func TestReplicaOnLeavingMachineIsReplaced(t *testing.T) {
	input := poolInput(3)
	planner := newPoolPlanner()
	planner.Decide(input)
	for range 30 {
		addWork(input, 100*time.Millisecond, map[string]uint64{"v0": 400, "v2": 400, "v4": 400})
		applyDecision(input, planner.Decide(input))
	}
	input.Machines["m0"].Schedulable = false
	decision := planner.Decide(input)
	if len(unloadedVersions(decision)) != 1 {
		t.Errorf("nothing is evicted for v0, whose only machine is leaving: %v", describe(decision))
	}
}

// simulateStore loads versions from a store that runs the given number of loads at full speed, and
// returns the learned concurrency.
func simulateStore(fullSpeedLoads float64, span time.Duration) float64 {
	input := poolInput(12)
	for _, replica := range input.Replicas {
		replica.Spec.Phase, replica.EnginePhase, replica.Spec.Tier = v1.ReplicaLoading, "", string(TierRemote)
	}
	planner := newPoolPlanner()
	input.StoreLoadsPerSecond, input.StoreConcurrentLoads = 100, 8
	progress := map[string]float64{}
	running := []*Replica{}
	const step = 50 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < span; elapsed += step {
		input.Now = input.Now.Add(step)
		for _, replica := range input.Replicas {
			if len(running) < planner.store.concurrencyLimit() && replica.EnginePhase == "" {
				replica.EnginePhase = EngineLoading
				running = append(running, replica)
			}
		}
		planner.Decide(input)
		speed := min(1, fullSpeedLoads/float64(max(1, len(running))))
		var unfinished []*Replica
		for _, replica := range running {
			progress[replica.Name] += step.Seconds() / 2 * speed
			if progress[replica.Name] < 1 {
				unfinished = append(unfinished, replica)
				continue
			}
			replica.EnginePhase = EngineReady
			planner.Decide(input)
			replica.EnginePhase, progress[replica.Name] = "", 0
		}
		running = unfinished
	}
	return planner.store.learned
}

// TestStoreConcurrencyIsLearned covers stores that run fewer and more loads at full speed than
// declared.
func TestStoreConcurrencyIsLearned(t *testing.T) {
	if learned := simulateStore(2, 30*time.Second); learned > 3.5 {
		t.Errorf("learned concurrency %.1f, want about 2", learned)
	}
	if learned := simulateStore(20, 30*time.Second); learned < 7 {
		t.Errorf("learned concurrency %.1f, want the limit of 8", learned)
	}
}

// TestStoreConcurrencyStartsLow checks that few loads are started before any has finished, even if
// the declared limit is high.
func TestStoreConcurrencyStartsLow(t *testing.T) {
	input := poolInput(40)
	input.Replicas = nil
	input.StoreLoadsPerSecond, input.StoreConcurrentLoads = 50, 100
	for version := range input.Versions {
		setWaiting(input, version, 1)
	}
	planner := newPoolPlanner()
	loads := 0
	for range 20 {
		input.Now = input.Now.Add(200 * time.Millisecond)
		decision := planner.Decide(input)
		loads += len(decision.Actions)
		applyDecision(input, decision)
		for _, replica := range input.Replicas {
			replica.Spec.Phase, replica.Spec.Tier, replica.EnginePhase = v1.ReplicaLoading, string(TierRemote), EngineLoading
		}
	}
	if loads > 2*initialConcurrency {
		t.Errorf("%d loads from the store before one has finished", loads)
	}
}

// simulation simulates uniformly distributed requests for more versions than fit on the machines,
// in virtual time.
type simulation struct {
	input   *Input
	planner *Planner
	random  *rand.Rand
	// ends holds the end times of running requests, queued the arrival times of waiting ones, by
	// version.
	ends   map[string][]time.Time
	queued map[string][]time.Time
	// ready holds the end time of each load in progress.
	ready       map[*Replica]time.Time
	loads       int
	requests    int
	longestWait time.Duration
}

const simulationStep = 50 * time.Millisecond

func newSimulation(machines, versions int, seed uint64) *simulation {
	created := &simulation{
		input: poolInput(machines), planner: newPoolPlanner(), random: rand.New(rand.NewPCG(seed, seed)),
		ends: map[string][]time.Time{}, queued: map[string][]time.Time{}, ready: map[*Replica]time.Time{},
	}
	for number := len(created.input.Versions); number < versions; number++ {
		poolVersion(created.input, "v"+strconv.Itoa(number))
	}
	return created
}

func (s *simulation) run(span time.Duration, perSecond float64) {
	for elapsed := time.Duration(0); elapsed < span; elapsed += simulationStep {
		s.input.Now = s.input.Now.Add(simulationStep)
		if s.random.Float64() < perSecond*simulationStep.Seconds() {
			s.arrive("v" + strconv.Itoa(s.random.IntN(len(s.input.Versions))))
		}
		s.finish()
		s.apply(s.planner.Decide(s.input))
	}
}

func (s *simulation) arrive(version string) {
	s.requests++
	s.queued[version] = append(s.queued[version], s.input.Now)
	addWork(s.input, 0, map[string]uint64{version: 800})
	s.input.Demand[version].FirstTokenTarget = 2 * time.Second
}

// finish ends loads and requests that are due, and starts waiting requests of ready versions.
func (s *simulation) finish() {
	for replica, ready := range s.ready {
		if !s.input.Now.Before(ready) {
			replica.EnginePhase = EngineReady
			delete(s.ready, replica)
		}
	}
	for version, demand := range s.input.Demand {
		var running []time.Time
		for _, end := range s.ends[version] {
			if s.input.Now.Before(end) {
				running = append(running, end)
			}
		}
		if s.serves(version) {
			for _, since := range s.queued[version] {
				s.longestWait = max(s.longestWait, s.input.Now.Sub(since))
				running = append(running, s.input.Now.Add(time.Second))
			}
			s.queued[version] = nil
		}
		s.ends[version] = running
		demand.Running, demand.Waiting, demand.OldestWait = len(running), len(s.queued[version]), 0
		if demand.Waiting > 0 {
			demand.OldestWait = s.input.Now.Sub(s.queued[version][0])
		}
	}
}

func (s *simulation) serves(version string) bool {
	for _, replica := range s.input.Replicas {
		if replica.Spec.Version == version && replica.Spec.Phase == v1.ReplicaReady {
			return true
		}
	}
	return false
}

func (s *simulation) apply(decision Decision) {
	for _, action := range decision.Actions {
		switch action.Kind {
		case ActionLoad:
			s.loads++
			poolReplica(s.input, action.Spec.Version, action.Spec.Machine)
			loaded := s.input.Replicas[len(s.input.Replicas)-1]
			loaded.Name += "." + strconv.Itoa(s.loads)
			loaded.Spec.Phase, loaded.Spec.Tier, loaded.EnginePhase = v1.ReplicaLoading, action.Spec.Tier, EngineLoading
			s.ready[loaded] = s.input.Now.Add(s.planner.speeds.versionLoadTime(s.input.Versions[action.Spec.Version].Spec, Tier(action.Spec.Tier)))
			s.input.Machines[action.Spec.Machine].Tiers[action.Spec.Version] = TierDisk
		case ActionReady:
			action.Replica.Spec.Phase = v1.ReplicaReady
		case ActionUnload:
			action.Replica.Spec.Phase = v1.ReplicaUnloading
			action.Replica.EnginePhase = ""
		case ActionRemove:
			applyDecision(s.input, Decision{Actions: []Action{action}})
		}
	}
}

// TestLoadsStayBoundedWhenOvercommitted checks that evictions do not trigger each other when more
// versions are requested than fit, and that no request waits for long.
func TestLoadsStayBoundedWhenOvercommitted(t *testing.T) {
	const machines, capacity, perSecond = 10, 20, 4
	for _, versions := range []int{21, 22, 30} {
		t.Run(strconv.Itoa(versions), func(t *testing.T) {
			running := newSimulation(machines, versions, 7)
			running.run(2*time.Minute, perSecond)
			missing := 1 - float64(capacity)/float64(versions)
			if bound := float64(running.requests) * min(1, 2*missing+0.05); float64(running.loads) > bound {
				t.Errorf("%d loads for %d requests, %.0f allowed", running.loads, running.requests, bound)
			}
			if running.longestWait > 8*time.Second {
				t.Errorf("a request waited for %s", running.longestWait)
			}
		})
	}
}

// TestEstimateSeparatesExpectedFromEarliest checks that queued work does not raise the earliest
// time, by which requests are refused.
func TestEstimateSeparatesExpectedFromEarliest(t *testing.T) {
	input := poolInput(1)
	poolVersion(input, "wanted")
	input.Machines["m0"].Tiers["wanted"] = TierDisk
	loading := input.Replicas[0]
	loading.Spec.Phase, loading.Spec.Tier = v1.ReplicaLoading, string(TierRemote)
	input.Versions[loading.Spec.Version].Spec.LoadTime = v1.Duration(time.Minute)
	input.Replicas = input.Replicas[:1]
	setWaiting(input, "wanted", 1)
	for _, estimate := range newPoolPlanner().Decide(input).Estimates {
		if estimate.Version != "wanted" {
			continue
		}
		if estimate.ReadyIn < time.Minute || estimate.EarliestIn != time.Second {
			t.Errorf("expected in %s, earliest in %s", estimate.ReadyIn, estimate.EarliestIn)
		}
		return
	}
	t.Error("no estimate for a version with a waiting request")
}
