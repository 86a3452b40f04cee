package state

import (
	"encoding/json"
	"testing"

	"google.golang.org/protobuf/proto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

func apply(t *testing.T, machine *Machine, command *wirepb.Command) *wirepb.CommandResult {
	t.Helper()
	data, err := proto.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	return machine.Apply(data)
}

func declared(t *testing.T, kind v1.Kind, name string, spec any) *wirepb.Object {
	t.Helper()
	encoded, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	return &wirepb.Object{Kind: string(kind), Name: name, Spec: encoded}
}

func routeTo(t *testing.T, name, prefix, pool string) *wirepb.Object {
	t.Helper()
	return declared(t, v1.KindRoute, name, &v1.RouteSpec{
		Host: "h", PathPrefix: prefix, Kind: v1.RouteRepeatable, Timeout: v1.Duration(1e9), Targets: []v1.RouteTarget{{Pool: pool, Weight: 1}},
	})
}

func declare(t *testing.T, machine *Machine, version uint64, document string, objects ...*wirepb.Object) *wirepb.CommandResult {
	t.Helper()
	return apply(t, machine, &wirepb.Command{Body: &wirepb.Command_Declare{Declare: &wirepb.DeclareCommand{
		Version: version, Document: []byte(document), Objects: objects,
	}}})
}

// TestHighestVersionWins checks that a document whose version is not higher succeeds without
// effect, and that two documents of one version are not merged.
func TestHighestVersionWins(t *testing.T) {
	machine := New()
	pool := declared(t, v1.KindPool, "p", &v1.PoolSpec{})
	steps := []struct {
		version  uint64
		document string
		route    string
		held     string
	}{
		{7, "first of 7", "/a/", "first of 7"},
		{7, "second of 7", "/b/", "first of 7"},
		{5, "late 5", "/c/", "first of 7"},
		{12, "12", "/d/", "12"},
		{7, "first of 7", "/a/", "12"},
	}
	for _, step := range steps {
		result := declare(t, machine, step.version, step.document, pool, routeTo(t, "r", step.route, "p"))
		if result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
			t.Errorf("%s is rejected: %s", step.document, result.GetMessage())
		}
		if held := string(machine.Declaration().GetDocument()); held != step.held {
			t.Errorf("after %s, the document in effect is %s", step.document, held)
		}
	}
	spec, isRoute := machine.Spec(v1.KindRoute, "r").(*v1.RouteSpec)
	if !isRoute || spec.PathPrefix != "/d/" {
		t.Errorf("the route in effect is %+v", spec)
	}
	restored := New()
	snapshot, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if string(restored.Declaration().GetDocument()) != "12" {
		t.Error("the document is not in the snapshot")
	}
}

// TestDeclareIsAtomic also checks that watchers receive only the objects that differ.
func TestDeclareIsAtomic(t *testing.T) {
	machine := New()
	pool := declared(t, v1.KindPool, "p", &v1.PoolSpec{})
	declare(t, machine, 1, "1", pool, routeTo(t, "a", "/a/", "p"), routeTo(t, "b", "/b/", "p"))
	before := machine.Revision()
	for name, objects := range map[string][]*wirepb.Object{
		"unknown pool":   {pool, routeTo(t, "a", "/new/", "nobody")},
		"same place":     {pool, routeTo(t, "a", "/a/", "p"), routeTo(t, "c", "/a/", "p")},
		"no slash":       {pool, routeTo(t, "a", "/a", "p")},
		"pool left out":  {routeTo(t, "a", "/a/", "p")},
		"undecodable":    {{Kind: string(v1.KindPool), Name: "p", Spec: []byte("{")}},
		"two of a name":  {pool, routeTo(t, "a", "/a/", "p"), routeTo(t, "a", "/z/", "p")},
		"unknown object": {{Kind: "Castle", Name: "p", Spec: []byte("{}")}},
	} {
		if result := declare(t, machine, 2, name, objects...); result.GetCode() == wirepb.ResultCode_RESULT_CODE_OK {
			t.Errorf("%s is accepted", name)
		}
		if CheckDeclaration(objects) == nil {
			t.Errorf("%s passes CheckDeclaration", name)
		}
	}
	if machine.Revision() != before || machine.Declaration().GetVersion() != 1 {
		t.Error("a rejected document changed the state")
	}
	declare(t, machine, 3, "3", pool, routeTo(t, "a", "/a/", "p"))
	events, err := machine.EventsAfter(before)
	if err != nil || len(events) != 1 || !events[0].GetDeleted() || events[0].GetObject().GetName() != "b" {
		t.Errorf("watchers receive %v, %v", events, err)
	}
}

func register(t *testing.T, machine *Machine, name, phase string, spec []byte) *wirepb.CommandResult {
	t.Helper()
	return apply(t, machine, &wirepb.Command{Body: &wirepb.Command_Register{Register: &wirepb.RegisterCommand{
		Machine: name, Phase: phase, Spec: spec,
	}}})
}

// TestPhasesOnlyAdvance checks that a delayed registration does not revive a machine that is
// leaving or gone.
func TestPhasesOnlyAdvance(t *testing.T) {
	machine := New()
	spec := declared(t, v1.KindMachine, "m", &v1.MachineSpec{Endpoint: "http://10.0.0.9:80", Zone: "z", Pool: "p", Slots: 4}).GetSpec()
	steps := []struct {
		phase string
		spec  []byte
		held  v1.MachinePhase
	}{
		{"Leaving", nil, ""}, // Not registered yet.
		{"Live", spec, v1.MachineLive},
		{"Lost", nil, v1.MachineLost},
		{"Live", nil, v1.MachineLive},
		{"Leaving", nil, v1.MachineLeaving},
		{"Live", spec, v1.MachineLeaving},
		{"Lost", nil, v1.MachineLeaving},
		{"Gone", nil, v1.MachineGone},
		{"Leaving", spec, v1.MachineGone},
		{"Live", spec, v1.MachineGone},
	}
	for position, step := range steps {
		if result := register(t, machine, "m", step.phase, step.spec); result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
			t.Errorf("step %d is rejected: %s", position, result.GetMessage())
		}
		if held := machine.MachineStatus("m").Phase; held != step.held {
			t.Errorf("after step %d the phase is %q, want %q", position, held, step.held)
		}
	}
	register(t, machine, "n", "Leaving", spec)
	if held := machine.MachineStatus("n").Phase; held != v1.MachineLeaving {
		t.Errorf("a machine that registers as leaving has the phase %q", held)
	}
}

func TestOnlyGoneMachinesAreForgotten(t *testing.T) {
	machine := New()
	spec := declared(t, v1.KindMachine, "m", &v1.MachineSpec{Endpoint: "http://10.0.0.9:80", Zone: "z", Pool: "p"}).GetSpec()
	forget := &wirepb.Command{Body: &wirepb.Command_Register{Register: &wirepb.RegisterCommand{Machine: "m", Phase: "Gone", Forget: true}}}
	register(t, machine, "m", "Live", spec)
	apply(t, machine, forget)
	if machine.Get(v1.KindMachine, "m") == nil {
		t.Error("a live machine was forgotten")
	}
	register(t, machine, "m", "Gone", nil)
	apply(t, machine, forget)
	if machine.Get(v1.KindMachine, "m") != nil {
		t.Error("a machine that is gone was not forgotten")
	}
}
