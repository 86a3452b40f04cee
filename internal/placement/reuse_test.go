package placement

import (
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// TestRoomOfWhatIsGoneIsUsedAtOnce: a machine that has unloaded a model to make room is told in the
// same pass what to load, and waits for no further commit.
func TestRoomOfWhatIsGoneIsUsedAtOnce(t *testing.T) {
	input := poolInput(1)
	poolVersion(input, "wanted")
	wait(input, "wanted", 1)
	gone := input.Replicas[0]
	gone.Spec.Phase, gone.EnginePhase = v1.ReplicaUnloading, ""
	actions := newPoolPlanner().Decide(input).Actions
	if len(actions) != 2 || actions[0].Kind != ActionRemove || actions[1].Kind != ActionLoad {
		t.Fatalf("decided %v, want the removal and, behind it, the load", actions)
	}
	if spec := actions[1].Spec; spec.Version != "wanted" || spec.Machine != gone.Spec.Machine {
		t.Errorf("loads %s on %s", spec.Version, spec.Machine)
	}
}

// TestRoomIsNotUsedBeforeItIsFree: an unload that waits for its runs still holds its memory; a
// load ordered into it would end the machine.
func TestRoomIsNotUsedBeforeItIsFree(t *testing.T) {
	input := poolInput(1)
	poolVersion(input, "wanted")
	wait(input, "wanted", 1)
	input.Replicas[0].Spec.Phase = v1.ReplicaUnloading
	for _, action := range newPoolPlanner().Decide(input).Actions {
		if action.Kind == ActionLoad {
			t.Errorf("loads %s into memory that is not free", action.Spec.Version)
		}
	}
}

// TestIdleVictimIsPreferred: a replica that its version can do without stays while it runs requests
// and another machine has an idle one: its machine takes no other order until they are done.
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
	planner.work.settled = true
	planner.lastUsed["v2.m1"] = input.Now.Add(-20 * time.Second)
	wait(input, "wanted", 1)
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
