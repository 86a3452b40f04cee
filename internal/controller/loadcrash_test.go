package controller

import (
	"testing"

	"google.golang.org/protobuf/proto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

func apply(t *testing.T, machine *state.Machine, commands []*wirepb.Command) {
	t.Helper()
	for _, command := range commands {
		encoded, err := proto.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		if result := machine.Apply(encoded); result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
			t.Fatal(result.GetMessage())
		}
	}
}

func loadingReplica(machine string) *placement.Replica {
	return &placement.Replica{Name: "r-" + machine, Spec: &v1.ReplicaSpec{
		Model: "blue", Version: "blue@1", Machine: machine, Incarnation: state.RegisteredIncarnation, Phase: v1.ReplicaLoading,
	}}
}

// Load crashes must be counted across changes of leader, until a load succeeds.
func TestLoadCrashesSurviveLeaderChange(t *testing.T) {
	machine := fleetState(t)
	declareDefault(t, machine, "blue")
	gone := func(name string) placement.Action {
		return placement.Action{Kind: placement.ActionRemove, Replica: loadingReplica(name), Reason: "machine-gone", CrashedDuringLoad: true}
	}
	view := readState(machine)
	commands := view.loadCommands([]placement.Action{gone("i-1"), gone("i-2"), {Kind: placement.ActionUnload, Replica: loadingReplica("i-3")}})
	if len(commands) != 2 {
		t.Fatalf("%d commands for two crashes, want 2", len(commands))
	}
	apply(t, machine, commands)
	apply(t, machine, commands) // Repeated, as after a lost response.
	next := readState(machine)
	if crashes := next.loadCrashes["blue@1"]; crashes.Count != 2 {
		t.Errorf("next leader has %d crashes, want 2", crashes.Count)
	}
	if crashes := next.loadCrashes["red@1"]; crashes.Count != 0 {
		t.Errorf("other version has %d crashes, want 0", crashes.Count)
	}
	apply(t, machine, next.loadCommands([]placement.Action{{Kind: placement.ActionReady, Replica: loadingReplica("i-4")}}))
	if crashes := readState(machine).loadCrashes["blue@1"]; crashes.Count != 0 {
		t.Errorf("%d crashes after a successful load, want 0", crashes.Count)
	}
	if commands := readState(machine).loadCommands([]placement.Action{{Kind: placement.ActionReady, Replica: loadingReplica("i-5")}}); len(commands) != 0 {
		t.Errorf("%d commands for a load without earlier crashes, want 0", len(commands))
	}
}

// declareDefault makes the version of a model its default, so that it may be placed.
func declareDefault(t *testing.T, machine *state.Machine, model string) {
	t.Helper()
	spec := []byte(`{"defaultVersion":"` + model + `@1"}`)
	apply(t, machine, []*wirepb.Command{{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{
		Writes: []*wirepb.ObjectWrite{{Object: &wirepb.Object{Kind: string(v1.KindModel), Name: model, Spec: spec}}},
	}}}})
}
