package placement

import (
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// TestFreedMemoryIsReusedInSamePass checks that a load does not wait for the pass after the removal
// that frees its memory.
func TestFreedMemoryIsReusedInSamePass(t *testing.T) {
	input := poolInput(1)
	poolVersion(input, "wanted")
	setWaiting(input, "wanted", 1)
	unloaded := input.Replicas[0]
	unloaded.Spec.Phase, unloaded.EnginePhase = v1.ReplicaUnloading, ""
	actions := newPoolPlanner().Decide(input).Actions
	if len(actions) != 2 || actions[0].Kind != ActionRemove || actions[1].Kind != ActionLoad {
		t.Fatalf("decided %v, want the removal and, behind it, the load", actions)
	}
	if spec := actions[1].Spec; spec.Version != "wanted" || spec.Machine != unloaded.Spec.Machine {
		t.Errorf("loads %s on %s", spec.Version, spec.Machine)
	}
}

// TestMemoryIsNotReusedBeforeUnload checks that nothing is loaded into the memory of a replica that
// is still unloading, which would crash the machine.
func TestMemoryIsNotReusedBeforeUnload(t *testing.T) {
	input := poolInput(1)
	poolVersion(input, "wanted")
	setWaiting(input, "wanted", 1)
	input.Replicas[0].Spec.Phase = v1.ReplicaUnloading
	for _, action := range newPoolPlanner().Decide(input).Actions {
		if action.Kind == ActionLoad {
			t.Errorf("loads %s into memory that is not free", action.Spec.Version)
		}
	}
}

// TestIdleVictimIsPreferred checks that an idle replica is evicted rather than a surplus one with
// running requests, whose unload would block the machine until they finish.
func TestIdleVictimIsPreferred(t *testing.T) {
	input := poolInput(2)
	input.Replicas = nil
	poolVersion(input, "wanted")
	poolReplica(input, "v0", "m0")
	poolReplica(input, "v0", "m1")
	poolReplica(input, "v1", "m0")
	poolReplica(input, "v2", "m1")
	input.Machines["m0"].Tiers["wanted"] = TierDisk
	input.Machines["m1"].Tiers["wanted"] = TierDisk
	input.Demand["v0"] = &Demand{Running: 8}
	input.Demand["v1"] = &Demand{Running: 1}
	planner := newPoolPlanner()
	planner.work.converged = true
	planner.lastUsed["v2.m1"] = input.Now.Add(-20 * time.Second)
	setWaiting(input, "wanted", 1)
	decided := planner.Decide(input)
	for _, action := range decided.Actions {
		if action.Kind == ActionUnload && action.Replica.Spec.Version != "v2" {
			t.Errorf("evicts %s, which is in use: %v", action.Replica.Name, describe(decided))
		}
	}
	if !unloadedVersions(decided)["v2"] {
		t.Errorf("the idle replica does not make room: %v", describe(decided))
	}
}
