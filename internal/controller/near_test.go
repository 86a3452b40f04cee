package controller

import (
	"testing"
	"time"

	"github.com/weldline/weldline/internal/orders"
	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

func viewOf(t *testing.T, reports *ReportTable) *clusterView {
	t.Helper()
	leader := New(0, Config{Places: places.NewZoneMap(map[string]string{"z": "north", "y": "south"})}, reports)
	leader.Observe(fleetState(t))
	return leader.view(time.Second)
}

// TestNewLeaderLearnsDisksBeforeItLoads: a leader that does not know yet what is on a machine's
// disk would load from the store what is there.
func TestNewLeaderLearnsDisksBeforeItLoads(t *testing.T) {
	reports := NewReportTable()
	if machine := viewOf(t, reports).placementMachines()["m"]; machine.Schedulable {
		t.Error("a machine that was not heard of in this term gets loads")
	}
	known := knows(orders.State{Disk: []string{"blue"}, Memory: []string{"red"}})
	for _, report := range ReadRegisteredFleet(fleetState(t)).Reports(known) {
		reports.AddMachine(time.Second, report)
	}
	machine := viewOf(t, reports).placementMachines()["m"]
	if !machine.Schedulable || machine.Tiers["blue"] != placement.TierDisk || machine.Tiers["red"] != placement.TierMemory {
		t.Errorf("accepts: %v, tiers: %v", machine.Schedulable, machine.Tiers)
	}
	if machine.Region != "north" {
		t.Errorf("in region %q", machine.Region)
	}
}

// TestDemandByRegion: requests count for the region of their router; where that is not known, for
// none.
func TestDemandByRegion(t *testing.T) {
	reports := NewReportTable()
	asked := []*wirepb.ModelDemand{{Version: "red@1", Waiting: 1, Running: 2}}
	for node, zone := range map[string]string{"a": "z", "b": "y", "c": "nowhere"} {
		reports.Add(time.Second, &wirepb.NodeReport{Node: node, Zone: zone, Incarnation: 1, Sequence: 1, Router: true, Demand: asked})
	}
	demand := viewOf(t, reports).demand()["red@1"]
	if demand.Waiting != 3 || len(demand.Regions) != 2 || demand.Regions["north"] != 3 || demand.Regions["south"] != 3 {
		t.Errorf("%d wait, by region %v", demand.Waiting, demand.Regions)
	}
}
