package controller

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// listedState returns a state with one machine declared by an operator.
func listedState(t *testing.T) *state.Machine {
	t.Helper()
	object := &wirepb.Object{
		Kind: string(v1.KindMachine), Name: "m", Spec: []byte(`{"endpoint":"http://10.0.0.1:80","zone":"z","accelerators":1,"acceleratorBytes":100}`),
	}
	data, err := proto.Marshal(&wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: []*wirepb.ObjectWrite{{Object: object}}}}})
	if err != nil {
		t.Fatal(err)
	}
	machine := state.New()
	if result := machine.Apply(data); result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
		t.Fatal(result.GetMessage())
	}
	return machine
}

// The roster must not change with each router that joins, unless agents need the list of nodes.
func TestRosterListsNodesOnlyForAgents(t *testing.T) {
	for _, test := range []struct {
		name    string
		machine *state.Machine
		nodes   int
		rosters uint64
	}{
		{"self-registered machines", fleetState(t), 0, 1},
		{"machines polled by agents", listedState(t), 5, 5},
	} {
		reports := NewReportTable()
		controller := New(0, Config{}, reports)
		controller.Observe(test.machine)
		rosters := map[uint64]bool{}
		var digest *wirepb.ClusterDigest
		for number := range 5 {
			now := time.Duration(number+1) * digestInterval
			reports.Add(now, &wirepb.NodeReport{Node: "node-" + strconv.Itoa(number), Incarnation: 1, Sequence: 1, Router: true})
			digest = controller.Digest(now, 1)
			rosters[digest.GetRosterSequence()] = true
		}
		if len(digest.GetRoster().GetNodes()) != test.nodes || uint64(len(rosters)) != test.rosters {
			t.Errorf("%s: %d nodes in %d rosters, want %d in %d", test.name, len(digest.GetRoster().GetNodes()), len(rosters), test.nodes, test.rosters)
		}
		if digest.GetRouters() == 0 || !digest.GetTenantsKnown() && digest.GetTenants() != nil {
			t.Errorf("%s: digest %v", test.name, digest)
		}
	}
}

// Routers need the zones of control nodes to connect to the nearest one.
func TestRosterHasControlNodeZones(t *testing.T) {
	controller := New(0, Config{}, NewReportTable())
	controller.Observe(fleetState(t))
	controller.SetControl([]*wirepb.MemberAddress{{Address: "10.0.0.1:7400", Zone: "east"}, {Address: "10.0.0.2:7400"}})
	roster := controller.Digest(digestInterval, 1).GetRoster()
	if !slices.Equal(roster.GetControl(), []string{"10.0.0.1:7400", "10.0.0.2:7400"}) || !slices.Equal(roster.GetControlZones(), []string{"east", ""}) {
		t.Errorf("roster has control nodes %v in zones %v", roster.GetControl(), roster.GetControlZones())
	}
}

// Routers must not forward requests to routers that are silent, stopping or accept none.
func TestRosterListsForwardingRouters(t *testing.T) {
	reports := NewReportTable()
	controller := New(0, Config{}, reports)
	controller.Observe(fleetState(t))
	report := func(now time.Duration, node, address string, draining bool) {
		reports.Add(now, &wirepb.NodeReport{
			Node: node, Zone: "z", Incarnation: 1, Sequence: uint64(now), Router: true, ForwardAddress: address, Draining: draining,
		})
	}
	const later = NodeTimeout + digestInterval
	report(digestInterval, "silent", "10.0.0.1:1", false)
	report(later, "stopping", "10.0.0.2:1", true)
	report(later, "serving", "10.0.0.3:1", false)
	report(later, "earlier-release", "", false)
	listed := controller.Digest(later+1, 1).GetRoster().GetRouters()
	if len(listed) != 1 || listed[0].GetNode() != "serving" || listed[0].GetAddress() != "10.0.0.3:1" || listed[0].GetZone() != "z" {
		t.Errorf("listed %v", listed)
	}
}
