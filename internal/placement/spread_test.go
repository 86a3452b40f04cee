package placement

import (
	"strconv"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/keepalive"
)

// poolInput has registered machines with two models each, and as many versions as the machines
// hold.
func poolInput(machines int) *Input {
	input := &Input{
		Now: time.Unix(1000, 0), Versions: map[string]*Version{}, Machines: map[string]*Machine{}, Demand: map[string]*Demand{},
	}
	for position := range machines {
		name := "m" + strconv.Itoa(position)
		input.Machines[name] = &Machine{
			Name: name, Accelerators: 1, AcceleratorBytes: 100, Incarnation: 1, Schedulable: true, Pool: "pool", Tiers: map[string]Tier{},
		}
		for slot := range 2 {
			version := "v" + strconv.Itoa(2*position+slot)
			poolVersion(input, version)
			poolReplica(input, version, name)
		}
	}
	return input
}

func poolVersion(input *Input, name string) {
	input.Versions[name] = &Version{
		Name: name, MaxReplicas: 100, ColdStartWeight: 30,
		Spec: &v1.ModelVersionSpec{
			Model: name, Checkpoint: name, Accelerators: 1, WeightBytes: 50, MaxConcurrent: 64, Pool: "pool",
			LoadTime: v1.Duration(2 * time.Second), DiskLoadTime: v1.Duration(time.Second), MemoryLoadTime: v1.Duration(500 * time.Millisecond),
		},
	}
}

func poolReplica(input *Input, version, machine string) {
	input.Replicas = append(input.Replicas, &Replica{
		Name: version + "." + machine, Observed: true, EnginePhase: EngineReady,
		Spec: &v1.ReplicaSpec{
			Model: version, Version: version, Checkpoint: version, Machine: machine, Incarnation: 1, Accelerators: []int{0},
			BytesPerAccelerator: 50, WeightBytes: 50, Phase: v1.ReplicaReady,
		},
	})
}

func newPoolPlanner() *Planner {
	return NewPlanner(Config{
		Speeds: DefaultTierSpeeds, StoreLoadsPerSecond: 100, StoreConcurrentLoads: 100, KeepAlive: keepalive.New("resident"),
	})
}

// addWork advances the time and adds requested work in tokens.
func addWork(input *Input, span time.Duration, work map[string]uint64) {
	input.Now = input.Now.Add(span)
	for version, tokens := range work {
		demand := input.Demand[version]
		if demand == nil {
			demand = &Demand{}
			input.Demand[version] = demand
		}
		demand.Arrivals++
		demand.Work += tokens
	}
}

// applyDecision applies the loads and unloads of a decision immediately.
func applyDecision(input *Input, decision Decision) {
	for _, action := range decision.Actions {
		switch action.Kind {
		case ActionLoad:
			poolReplica(input, action.Spec.Version, action.Spec.Machine)
		case ActionUnload, ActionRemove:
			for position, replica := range input.Replicas {
				if replica == action.Replica {
					input.Replicas = append(input.Replicas[:position], input.Replicas[position+1:]...)
					break
				}
			}
		}
	}
}

func replicasOf(input *Input, version string) int {
	count := 0
	for _, replica := range input.Replicas {
		if replica.Spec.Version == version {
			count++
		}
	}
	return count
}

// TestReplicasFollowWork checks that the number of replicas follows the share of the work, before
// any slots are full, and adapts when the work shifts to another version.
func TestReplicasFollowWork(t *testing.T) {
	input := poolInput(9)
	planner := newPoolPlanner()
	planner.Decide(input)
	run := func(busy string) {
		for range 100 {
			addWork(input, 100*time.Millisecond, map[string]uint64{busy: 3000, "v2": 100, "v3": 300})
			applyDecision(input, planner.Decide(input))
		}
	}
	run("v0")
	if count := replicasOf(input, "v0"); count < 3 || count > 9 {
		t.Errorf("v0, with nine tenths of the work, has %d replicas", count)
	}
	if replicasOf(input, "v2") != 1 || replicasOf(input, "v3") != 1 {
		t.Errorf("v2 and v3, with little work, have %d and %d replicas", replicasOf(input, "v2"), replicasOf(input, "v3"))
	}
	run("v17")
	if count := replicasOf(input, "v17"); count < 3 {
		t.Errorf("v17, with most of the work, has %d replicas", count)
	}
	for name := range input.Machines {
		held := map[string]bool{}
		for _, replica := range input.Replicas {
			if replica.Spec.Machine == name && held[replica.Spec.Version] {
				t.Errorf("%s is on machine %s twice", replica.Spec.Version, name)
			}
			held[replica.Spec.Version] = held[replica.Spec.Version] || replica.Spec.Machine == name
		}
	}
}

// TestFreedMemoryIsReservedForItsVersion checks that memory freed for one version is not taken by a
// more urgent one.
func TestFreedMemoryIsReservedForItsVersion(t *testing.T) {
	input := poolInput(1)
	poolVersion(input, "wanted")
	poolVersion(input, "other")
	planner := newPoolPlanner()
	input.Demand["wanted"] = &Demand{Waiting: 1, Arrivals: 1, OldestWait: time.Second}
	first := planner.Decide(input)
	if len(first.Actions) != 1 || first.Actions[0].Kind != ActionUnload {
		t.Fatalf("%v", describe(first))
	}
	applyDecision(input, first)
	// A more urgent version is requested in the meantime.
	input.Demand["other"] = &Demand{Waiting: 1, Arrivals: 1, OldestWait: time.Minute, Priority: 5}
	input.Now = input.Now.Add(100 * time.Millisecond)
	for _, action := range planner.Decide(input).Actions {
		if action.Kind == ActionLoad && action.Spec.Version != "wanted" {
			t.Errorf("%s took the memory freed for wanted", action.Spec.Version)
		}
	}
}

// TestNoUnloadOnUnavailableRegisteredMachines checks that nothing is unloaded on silent or leaving
// registered machines, which may still serve.
func TestNoUnloadOnUnavailableRegisteredMachines(t *testing.T) {
	input := poolInput(2)
	planner := newPoolPlanner()
	planner.Decide(input)
	input.Machines["m0"].Schedulable, input.Machines["m0"].Lost = false, true
	input.Machines["m1"].Schedulable = false
	input.Now = input.Now.Add(time.Minute)
	if decision := planner.Decide(input); len(decision.Actions) != 0 {
		t.Errorf("%v", describe(decision))
	}
}

// TestColdVersionDoesNotEvictBusyOnes checks that a single request for a cold version does not
// evict the only replica of a busy one.
func TestColdVersionDoesNotEvictBusyOnes(t *testing.T) {
	input := poolInput(3)
	poolVersion(input, "cold")
	planner := newPoolPlanner()
	work := map[string]uint64{}
	for version := range input.Versions {
		if version != "cold" {
			work[version] = 3000
		}
	}
	for range 30 {
		addWork(input, 100*time.Millisecond, work)
		planner.Decide(input)
	}
	evictionsFor := func(requests int) int {
		input.Demand["cold"] = &Demand{Arrivals: uint64(requests), Work: 500, Waiting: requests, OldestWait: time.Second}
		all, _ := countEvictions(planner.Decide(input), "")
		return all
	}
	if evictions := evictionsFor(1); evictions != 0 {
		t.Errorf("one request evicted %d busy replicas", evictions)
	}
	if evictions := evictionsFor(100); evictions == 0 {
		t.Error("a hundred requests evicted nothing")
	}
}

// TestQueuedLoadsDelayPlacement checks that queued loads count in the choice of a machine, even if
// it has the weights on disk.
func TestQueuedLoadsDelayPlacement(t *testing.T) {
	input := poolInput(2)
	// Each machine has memory for one more model; m0 still loads v1 from the store.
	input.Replicas = []*Replica{
		{Name: "a", Observed: true, EnginePhase: EngineReady, Spec: input.Replicas[0].Spec},
		{Name: "b", Observed: true, EnginePhase: EngineReady, Spec: input.Replicas[2].Spec},
	}
	loading := *input.Replicas[0].Spec
	loading.Model, loading.Version, loading.Checkpoint = "v1", "v1", "v1"
	loading.Phase, loading.Tier = v1.ReplicaLoading, string(TierRemote)
	input.Replicas = append(input.Replicas, &Replica{Name: "c", Spec: &loading})
	input.Machines["m0"].AcceleratorBytes = 150
	poolVersion(input, "busy")
	input.Machines["m0"].Tiers["busy"] = TierDisk
	input.Demand["busy"] = &Demand{Arrivals: 1, Work: 1000, Waiting: 1, OldestWait: time.Second}
	for _, action := range newPoolPlanner().Decide(input).Actions {
		if action.Kind == ActionLoad && action.Spec.Version == "busy" {
			if action.Spec.Machine != "m1" {
				t.Errorf("loaded on %s, behind another load", action.Spec.Machine)
			}
			return
		}
	}
	t.Error("not loaded at all")
}
