package placement

import (
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/keepalive"
)

// twoMachineInput has two machines with one accelerator each. The checkpoint of the wanted model is
// in memory on the first and on disk on the second.
func twoMachineInput(waiting int) *Input {
	input := &Input{
		Now:      time.Unix(1000, 0),
		Versions: map[string]*Version{}, Machines: map[string]*Machine{},
		Demand: map[string]*Demand{"wanted": {Waiting: waiting, Arrivals: 1, OldestWait: time.Second}},
	}
	for _, name := range []string{"wanted", "other"} {
		input.Versions[name] = &Version{
			Name: name, MaxReplicas: 1, ColdStartWeight: 60,
			Spec: &v1.ModelVersionSpec{
				Model: name, Checkpoint: name, Accelerators: 1, WeightBytes: 32 * gibibyte, CacheBytes: 10 * gibibyte, MaxConcurrent: 4,
			},
		}
	}
	for name, tier := range map[string]Tier{"fast": TierMemory, "slow": TierDisk} {
		input.Machines[name] = &Machine{
			Name: name, Accelerators: 1, AcceleratorBytes: 80 * gibibyte, Incarnation: 1, Schedulable: true,
			Tiers: map[string]Tier{"wanted": tier, "other": TierMemory},
		}
	}
	return input
}

// fillMachine places a replica of the other model on a machine, which leaves no room for a second
// one.
func fillMachine(input *Input, machine string, running int) {
	input.Replicas = append(input.Replicas, &Replica{
		Name: "other.1", Observed: true, EnginePhase: EngineReady, Running: running,
		Spec: &v1.ReplicaSpec{
			Model: "other", Version: "other", Machine: machine, Incarnation: 1, Accelerators: []int{0},
			BytesPerAccelerator: 70 * gibibyte, Phase: v1.ReplicaReady,
		},
	})
}

func newTestPlanner() *Planner {
	return NewPlanner(Config{
		Speeds: TierSpeeds{Memory: 16e9, Disk: 4e9, Remote: 1e9}, StoreLoadsPerSecond: 10, StoreConcurrentLoads: 10,
		KeepAlive: keepalive.NewFixed(time.Hour),
	})
}

// describe lists the actions of a decision.
func describe(decision Decision) []string {
	var listed []string
	for _, action := range decision.Actions {
		if action.Kind == ActionLoad {
			listed = append(listed, "load "+action.Spec.Version+" on "+action.Spec.Machine)
			continue
		}
		listed = append(listed, string(action.Kind)+" "+action.Replica.Name+" ("+action.Reason+")")
	}
	return listed
}

func expectActions(t *testing.T, got []string, expected ...string) {
	t.Helper()
	if len(got) != len(expected) {
		t.Fatalf("%q, expected %q", got, expected)
	}
	for position := range got {
		if got[position] != expected[position] {
			t.Errorf("%q, expected %q", got, expected)
		}
	}
}

func TestFastestTierIsPreferred(t *testing.T) {
	expectActions(t, describe(newTestPlanner().Decide(twoMachineInput(1))), "load wanted on fast")
}

// TestIdleReplicaIsEvictedForFasterTier checks that an idle replica is evicted from the machine
// with the checkpoint in memory, where the load takes a quarter of the time.
func TestIdleReplicaIsEvictedForFasterTier(t *testing.T) {
	planner := newTestPlanner()
	input := twoMachineInput(1)
	fillMachine(input, "fast", 0)
	planner.Decide(twoMachineInput(0))
	input.Now = input.Now.Add(10 * time.Minute)
	planner.lastUsed["other.1"] = input.Now.Add(-10 * time.Minute)
	expectActions(t, describe(planner.Decide(input)), "unload other.1 (evicted)")

	// No load is decided before the engine has freed the memory.
	input.Replicas[0].Spec.Phase = v1.ReplicaUnloading
	input.Replicas[0].EnginePhase = EngineUnloading
	input.Now = input.Now.Add(20 * time.Millisecond)
	expectActions(t, describe(planner.Decide(input)))

	input.Replicas = nil
	input.Now = input.Now.Add(20 * time.Millisecond)
	expectActions(t, describe(planner.Decide(input)), "load wanted on fast")
}

func TestReplicaInUseIsNotEvicted(t *testing.T) {
	input := twoMachineInput(1)
	fillMachine(input, "fast", 1)
	expectActions(t, describe(newTestPlanner().Decide(input)), "load wanted on slow")
}

// TestLoadAvoidsFullHostMemory checks that of two equally fast machines, the one whose host memory
// has room for the checkpoint is chosen.
func TestLoadAvoidsFullHostMemory(t *testing.T) {
	planner := newTestPlanner()
	input := twoMachineInput(0)
	input.Machines["fast"].Tiers = map[string]Tier{"other": TierMemory, "wanted": TierMemory}
	input.Machines["slow"].Tiers = map[string]Tier{}
	planner.Decide(input)
	// The first machine drops a checkpoint, which reveals its capacity.
	input = twoMachineInput(1)
	input.Machines["fast"].Tiers = map[string]Tier{"other": TierMemory, "third": TierMemory, "wanted": TierDisk}
	input.Machines["slow"].Tiers = map[string]Tier{"wanted": TierDisk}
	input.Versions["third"] = &Version{Name: "third", MaxReplicas: 1, Spec: input.Versions["other"].Spec}
	third := *input.Versions["other"].Spec
	third.Checkpoint = "third"
	input.Versions["third"].Spec = &third
	expectActions(t, describe(planner.Decide(input)), "load wanted on slow")
}
