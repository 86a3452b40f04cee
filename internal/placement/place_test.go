package placement

import (
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/keepalive"
)

// placeInput has two machines of one accelerator each; the wanted model has
// its checkpoint on the first in memory, on the second on disk.
func placeInput(waiting int) *Input {
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

// occupy puts a replica of the other model, which takes all the room, on a
// machine.
func occupy(input *Input, machine string, running int) {
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

// describe lists what a decision does and where.
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

func expect(t *testing.T, got []string, wanted ...string) {
	t.Helper()
	if len(got) != len(wanted) {
		t.Fatalf("%q, expected %q", got, wanted)
	}
	for position := range got {
		if got[position] != wanted[position] {
			t.Errorf("%q, expected %q", got, wanted)
		}
	}
}

func TestFastestTierIsPreferred(t *testing.T) {
	expect(t, describe(newTestPlanner().Decide(placeInput(1))), "load wanted on fast")
}

// TestIdleReplicaGivesWayToAFasterLoad: the machine with the checkpoint in
// memory has no room, the other would take four times as long.
func TestIdleReplicaGivesWayToAFasterLoad(t *testing.T) {
	planner := newTestPlanner()
	input := placeInput(1)
	occupy(input, "fast", 0)
	planner.Decide(placeInput(0)) // Learns nothing that matters.
	input.Now = input.Now.Add(10 * time.Minute)
	planner.lastUsed["other.1"] = input.Now.Add(-10 * time.Minute)
	expect(t, describe(planner.Decide(input)), "unload other.1 (evicted)")

	// Until the engine has freed it, nothing else is done.
	input.Replicas[0].Spec.Phase = v1.ReplicaUnloading
	input.Replicas[0].EnginePhase = EngineUnloading
	input.Now = input.Now.Add(20 * time.Millisecond)
	expect(t, describe(planner.Decide(input)))

	// Then the load goes there.
	input.Replicas = nil
	input.Now = input.Now.Add(20 * time.Millisecond)
	expect(t, describe(planner.Decide(input)), "load wanted on fast")
}

// TestReplicaInUseStays: nothing gives way that serves somebody.
func TestReplicaInUseStays(t *testing.T) {
	input := placeInput(1)
	occupy(input, "fast", 1)
	expect(t, describe(newTestPlanner().Decide(input)), "load wanted on slow")
}

// TestLoadsSpareFullMemories: of two machines that are equally fast, the one
// whose memory has room for the checkpoint is taken.
func TestLoadsSpareFullMemories(t *testing.T) {
	planner := newTestPlanner()
	input := placeInput(0)
	input.Machines["fast"].Tiers = map[string]Tier{"other": TierMemory, "wanted": TierMemory}
	input.Machines["slow"].Tiers = map[string]Tier{}
	planner.Decide(input)
	// The full machine drops one checkpoint, so its size is known now.
	input = placeInput(1)
	input.Machines["fast"].Tiers = map[string]Tier{"other": TierMemory, "third": TierMemory, "wanted": TierDisk}
	input.Machines["slow"].Tiers = map[string]Tier{"wanted": TierDisk}
	input.Versions["third"] = &Version{Name: "third", MaxReplicas: 1, Spec: input.Versions["other"].Spec}
	third := *input.Versions["other"].Spec
	third.Checkpoint = "third"
	input.Versions["third"].Spec = &third
	expect(t, describe(planner.Decide(input)), "load wanted on slow")
}
