package placement

import (
	"testing"

	v1 "github.com/weldline/weldline/api/v1"
)

// TestRoomOfWhatIsGoneIsUsedAtOnce: a machine that had unloaded a model to make room waited for
// another pass, and its commit, before it was told what to load.
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
