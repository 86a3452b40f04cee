package controller

import (
	"encoding/json"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/orders"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

func drainZone(t *testing.T, machine *state.Machine, zone string, drained bool) {
	t.Helper()
	spec, err := json.Marshal(v1.ZoneDrainSpec{Drained: drained})
	if err != nil {
		t.Fatal(err)
	}
	write := &wirepb.ObjectWrite{Object: &wirepb.Object{Kind: string(v1.KindZoneDrain), Name: zone, Spec: spec}}
	data, err := proto.Marshal(&wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: []*wirepb.ObjectWrite{write}}}})
	if err != nil {
		t.Fatal(err)
	}
	if result := machine.Apply(data); result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
		t.Fatal(result.GetMessage())
	}
}

// Machines in a drained zone must not receive loads, but are neither lost nor leaving.
func TestDrainedZoneAcceptsNoLoads(t *testing.T) {
	machine := fleetState(t)
	for _, drained := range []bool{false, true, false} {
		drainZone(t, machine, "z", drained)
		drainZone(t, machine, "elsewhere", true)
		view := &clusterView{storedView: readState(machine), reports: map[string]machineEntry{"m": {report: &wirepb.MachineReport{}}}}
		listed := view.placementMachines()["m"]
		if listed.Schedulable == drained || listed.Drained != drained || listed.Lost {
			t.Errorf("drained %t: machine %+v", drained, listed)
		}
	}
}

// An adapter that is only loaded in a drained zone is still missing, and must not be loaded in such a
// zone.
func TestAdaptersInDrainedZoneDontCount(t *testing.T) {
	machine := fleetState(t)
	drainZone(t, machine, "z", true)
	waiting := []AdapterDemand{{Version: "red@1", Adapter: "a9", Waiting: 1, LastUsed: time.Minute, Now: time.Minute}}
	known := orders.State{Models: map[string][]string{"red": {"a1"}}}
	if tasks := ReadRegisteredFleet(machine).adapterTasks(engineStateOf(known), waiting, nil); len(tasks) != 0 {
		t.Errorf("tasks in a drained zone: %v", tasks)
	}
	drainZone(t, machine, "z", false)
	if tasks := ReadRegisteredFleet(machine).adapterTasks(engineStateOf(known), waiting, nil); len(tasks["m"]) != 1 {
		t.Errorf("tasks after the drain: %v", tasks)
	}
}
