package placement

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// wait lets requests for a version wait.
func wait(input *Input, version string, requests int) {
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

// TestLoadingReplicaIsNoSubstitute: a version's only ready replica counted as more
// than was needed while another was being loaded, and was evicted; the next one was as
// soon as it was ready.
func TestLoadingReplicaIsNoSubstitute(t *testing.T) {
	input := poolInput(3)
	poolVersion(input, "rare")
	planner := newPoolPlanner()
	planner.Decide(input)
	for range 40 {
		ask(input, 100*time.Millisecond, map[string]uint64{"v0": 900, "v1": 900, "v2": 900, "v3": 900, "v4": 900, "v5": 900})
		planner.Decide(input)
	}
	input.Replicas[2].Spec.Phase, input.Replicas[2].EnginePhase = v1.ReplicaLoading, EngineLoading
	input.Replicas[2].Spec.Version, input.Replicas[2].Spec.Checkpoint = "v0", "v0"
	wait(input, "rare", 20)
	if decision := planner.Decide(input); unloadedVersions(decision)["v0"] {
		t.Errorf("evicted the only replica that is ready: %v", describe(decision))
	}
}

// TestFreshReplicaStays: what has just been loaded must serve before it goes.
func TestFreshReplicaStays(t *testing.T) {
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
	wait(input, "rare", 5)
	input.Now = input.Now.Add(time.Second)
	if decision := planner.Decide(input); len(decision.Actions) != 0 {
		t.Errorf("evicted a second after a load of two: %v", describe(decision))
	}
	input.Now = input.Now.Add(2 * time.Second)
	if decision := planner.Decide(input); len(unloadedVersions(decision)) != 1 {
		t.Errorf("not evicted later on either: %v", describe(decision))
	}
}

// TestNothingIsDecidedBehindOrders: a replica was taken out of service for an
// eviction that the machine began only when a load from the store was done.
func TestNothingIsDecidedBehindOrders(t *testing.T) {
	input := poolInput(1)
	poolVersion(input, "loading")
	poolVersion(input, "wanted")
	input.Machines["m0"].AcceleratorBytes = 150
	poolReplica(input, "loading", "m0")
	loading := input.Replicas[2]
	loading.Spec.Phase, loading.Spec.Tier, loading.EnginePhase = v1.ReplicaLoading, string(TierRemote), EngineLoading
	wait(input, "wanted", 3)
	planner := newPoolPlanner()
	if actions := describe(planner.Decide(input)); len(actions) != 0 {
		t.Errorf("decided behind a load: %v", actions)
	}
	loading.Spec.Phase, loading.EnginePhase = v1.ReplicaReady, EngineReady
	input.Now = input.Now.Add(3 * time.Second)
	if decision := planner.Decide(input); len(unloadedVersions(decision)) != 1 {
		t.Errorf("nothing was evicted once the load was done: %v", describe(decision))
	}
}

// TestQuickMachineIsWaitedFor: while the machine with the weights on disk was at
// another order for a moment, the version was loaded from the store elsewhere.
func TestQuickMachineIsWaitedFor(t *testing.T) {
	input := poolInput(2)
	input.Replicas = input.Replicas[:2]
	poolVersion(input, "wanted")
	input.Versions["wanted"].Spec.LoadTime = v1.Duration(6 * time.Second)
	input.Machines["m0"].Tiers["wanted"] = TierDisk
	input.Replicas[1].Spec.Phase = v1.ReplicaUnloading
	wait(input, "wanted", 1)
	if actions := describe(newPoolPlanner().Decide(input)); len(actions) != 0 {
		t.Errorf("%v, while a load from disk could begin at once after an unload", actions)
	}
}

// TestWhatServesMostIsLoadedFirst: a rare version that had waited longer got the
// store before one that forty requests waited for.
func TestWhatServesMostIsLoadedFirst(t *testing.T) {
	input := poolInput(2)
	input.Replicas = []*Replica{input.Replicas[0], input.Replicas[2]}
	for _, version := range []string{"a-rare", "busy"} {
		poolVersion(input, version)
	}
	wait(input, "a-rare", 1)
	input.Demand["a-rare"].OldestWait, input.Demand["a-rare"].Priority = 20*time.Second, 3
	wait(input, "busy", 40)
	planner := newPoolPlanner()
	planner.config.StoreLoadsPerSecond = 1
	planner.store = newStorePacer(1, 1)
	expect(t, describe(planner.Decide(input)), "load busy on m0")
}

// TestEvictedVersionIsNotLoadedAheadFromTheStore: room that was not needed any more
// went to the version that had just been evicted elsewhere, by a load from the store
// that held the machine up for seconds.
func TestEvictedVersionIsNotLoadedAheadFromTheStore(t *testing.T) {
	input := poolInput(2)
	input.Replicas = input.Replicas[:3]
	input.Machines["m0"].Tiers["v3"] = TierDisk
	planner := newPoolPlanner()
	for _, action := range planner.Decide(input).Actions {
		if action.Kind == ActionLoad && action.Spec.Version == "v3" && action.Spec.Tier == string(TierRemote) {
			t.Error("v3 is on a disk and was loaded from the store in advance")
		}
	}
}

// TestReplicaOnALeavingMachineIsReplaced: the only replica of a busy version was
// replaced only after its machine had gone.
func TestReplicaOnALeavingMachineIsReplaced(t *testing.T) {
	input := poolInput(3)
	planner := newPoolPlanner()
	planner.Decide(input)
	for range 30 {
		ask(input, 100*time.Millisecond, map[string]uint64{"v0": 400, "v2": 400, "v4": 400})
		carryOut(input, planner.Decide(input))
	}
	input.Machines["m0"].Schedulable = false
	decision := planner.Decide(input)
	if len(unloadedVersions(decision)) != 1 {
		t.Errorf("no room is made for v0, whose only machine leaves: %v", describe(decision))
	}
}

// storeCourse lets versions be loaded from a store that runs so many loads at full
// speed, until the time is over, and returns what the planner has learned.
func storeCourse(fullSpeed float64, span time.Duration) float64 {
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
			if len(running) < planner.store.allowed() && replica.EnginePhase == "" {
				replica.EnginePhase = EngineLoading
				running = append(running, replica)
			}
		}
		planner.Decide(input)
		speed := min(1, fullSpeed/float64(max(1, len(running))))
		var still []*Replica
		for _, replica := range running {
			progress[replica.Name] += step.Seconds() / 2 * speed
			if progress[replica.Name] < 1 {
				still = append(still, replica)
				continue
			}
			replica.EnginePhase = EngineReady
			planner.Decide(input)
			replica.EnginePhase, progress[replica.Name] = "", 0
		}
		running = still
	}
	return planner.store.learned
}

// TestStoreConcurrencyIsLearned: a store that runs fewer loads at full speed than its
// rate suggests was given so many that each took several times as long.
func TestStoreConcurrencyIsLearned(t *testing.T) {
	if learned := storeCourse(2, 30*time.Second); learned > 3.5 {
		t.Errorf("learned that %.1f loads run at full speed, where two do", learned)
	}
	if learned := storeCourse(20, 30*time.Second); learned < 7 {
		t.Errorf("learned that only %.1f loads run at full speed, where all do", learned)
	}
}

// TestStoreIsTriedGently: a store whose rate suggests a hundred loads at once was given
// half of them before any had been seen to end, and each held up its machine for a
// minute.
func TestStoreIsTriedGently(t *testing.T) {
	input := poolInput(40)
	input.Replicas = nil
	input.StoreLoadsPerSecond, input.StoreConcurrentLoads = 50, 100
	for version := range input.Versions {
		wait(input, version, 1)
	}
	planner := newPoolPlanner()
	loads := 0
	for range 20 {
		input.Now = input.Now.Add(200 * time.Millisecond)
		decision := planner.Decide(input)
		loads += len(decision.Actions)
		carryOut(input, decision)
		for _, replica := range input.Replicas {
			replica.Spec.Phase, replica.Spec.Tier, replica.EnginePhase = v1.ReplicaLoading, string(TierRemote), EngineLoading
		}
	}
	if loads > 2*firstConcurrent {
		t.Errorf("%d loads from the store before one has ended", loads)
	}
}

// course is a course of requests in virtual time: versions that are asked for evenly,
// on fewer places than there are versions.
type course struct {
	input   *Input
	planner *Planner
	random  *rand.Rand
	// until is when each request that runs ends, by version; queued when each that
	// waits has come.
	until  map[string][]time.Time
	queued map[string][]time.Time
	// ready is when the load of a replica is done.
	ready    map[*Replica]time.Time
	loads    int
	requests int
	longest  time.Duration
}

const courseStep = 50 * time.Millisecond

func newCourse(machines, versions int, seed uint64) *course {
	created := &course{
		input: poolInput(machines), planner: newPoolPlanner(), random: rand.New(rand.NewPCG(seed, seed)),
		until: map[string][]time.Time{}, queued: map[string][]time.Time{}, ready: map[*Replica]time.Time{},
	}
	for number := len(created.input.Versions); number < versions; number++ {
		poolVersion(created.input, "v"+strconv.Itoa(number))
	}
	return created
}

func (c *course) run(span time.Duration, perSecond float64) {
	for elapsed := time.Duration(0); elapsed < span; elapsed += courseStep {
		c.input.Now = c.input.Now.Add(courseStep)
		if c.random.Float64() < perSecond*courseStep.Seconds() {
			c.arrive("v" + strconv.Itoa(c.random.IntN(len(c.input.Versions))))
		}
		c.finish()
		c.apply(c.planner.Decide(c.input))
	}
}

func (c *course) arrive(version string) {
	c.requests++
	c.queued[version] = append(c.queued[version], c.input.Now)
	ask(c.input, 0, map[string]uint64{version: 800})
	c.input.Demand[version].FirstTokenTarget = 2 * time.Second
}

// finish ends what has run for long enough, and serves what waits.
func (c *course) finish() {
	for replica, ready := range c.ready {
		if !c.input.Now.Before(ready) {
			replica.EnginePhase = EngineReady
			delete(c.ready, replica)
		}
	}
	for version, demand := range c.input.Demand {
		var running []time.Time
		for _, end := range c.until[version] {
			if c.input.Now.Before(end) {
				running = append(running, end)
			}
		}
		if c.serves(version) {
			for _, since := range c.queued[version] {
				c.longest = max(c.longest, c.input.Now.Sub(since))
				running = append(running, c.input.Now.Add(time.Second))
			}
			c.queued[version] = nil
		}
		c.until[version] = running
		demand.Running, demand.Waiting, demand.OldestWait = len(running), len(c.queued[version]), 0
		if demand.Waiting > 0 {
			demand.OldestWait = c.input.Now.Sub(c.queued[version][0])
		}
	}
}

func (c *course) serves(version string) bool {
	for _, replica := range c.input.Replicas {
		if replica.Spec.Version == version && replica.Spec.Phase == v1.ReplicaReady {
			return true
		}
	}
	return false
}

func (c *course) apply(decision Decision) {
	for _, action := range decision.Actions {
		switch action.Kind {
		case ActionLoad:
			c.loads++
			poolReplica(c.input, action.Spec.Version, action.Spec.Machine)
			loaded := c.input.Replicas[len(c.input.Replicas)-1]
			loaded.Name += "." + strconv.Itoa(c.loads)
			loaded.Spec.Phase, loaded.Spec.Tier, loaded.EnginePhase = v1.ReplicaLoading, action.Spec.Tier, EngineLoading
			c.ready[loaded] = c.input.Now.Add(c.planner.speeds.versionLoadTime(c.input.Versions[action.Spec.Version].Spec, Tier(action.Spec.Tier)))
			c.input.Machines[action.Spec.Machine].Tiers[action.Spec.Version] = TierDisk
		case ActionReady:
			action.Replica.Spec.Phase = v1.ReplicaReady
		case ActionUnload:
			action.Replica.Spec.Phase = v1.ReplicaUnloading
			action.Replica.EnginePhase = ""
		case ActionRemove:
			carryOut(c.input, Decision{Actions: []Action{action}})
		}
	}
}

// TestLoadsStayBoundedWhereVersionsOutnumberPlaces: evictions must not feed each
// other. However many versions share the places, each load serves a request, and no
// request waits for long.
func TestLoadsStayBoundedWhereVersionsOutnumberPlaces(t *testing.T) {
	const machines, places, perSecond = 10, 20, 4
	for _, versions := range []int{21, 22, 30} {
		t.Run(strconv.Itoa(versions), func(t *testing.T) {
			running := newCourse(machines, versions, 7)
			running.run(2*time.Minute, perSecond)
			missing := 1 - float64(places)/float64(versions)
			if bound := float64(running.requests) * min(1, 2*missing+0.05); float64(running.loads) > bound {
				t.Errorf("%d loads for %d requests, %.0f allowed", running.loads, running.requests, bound)
			}
			if running.longest > 8*time.Second {
				t.Errorf("a request waited for %s", running.longest)
			}
		})
	}
}

// TestExpectationsAreToldApartFromTheBestCase: callers with 17 s left were refused because
// much was ahead of a load that takes a second, and was done 3 s later.
func TestExpectationsAreToldApartFromTheBestCase(t *testing.T) {
	input := poolInput(1)
	poolVersion(input, "wanted")
	input.Machines["m0"].Tiers["wanted"] = TierDisk
	loading := input.Replicas[0]
	loading.Spec.Phase, loading.Spec.Tier = v1.ReplicaLoading, string(TierRemote)
	input.Versions[loading.Spec.Version].Spec.LoadTime = v1.Duration(time.Minute)
	input.Replicas = input.Replicas[:1]
	wait(input, "wanted", 1)
	for _, estimate := range newPoolPlanner().Decide(input).Estimates {
		if estimate.Version != "wanted" {
			continue
		}
		if estimate.ReadyIn < time.Minute || estimate.EarliestIn != time.Second {
			t.Errorf("expected in %s, at best in %s", estimate.ReadyIn, estimate.EarliestIn)
		}
		return
	}
	t.Error("nothing is told of a version that a request waits for")
}
