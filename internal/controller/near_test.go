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

// A new leader must not load models on a machine before it knows which checkpoints the machine has
// cached.
func TestNoLoadsBeforeFirstEngineReport(t *testing.T) {
	reports := NewReportTable()
	if machine := viewOf(t, reports).placementMachines()["m"]; machine.Schedulable {
		t.Error("a machine without a report in this term accepts loads")
	}
	known := engineStateOf(orders.State{Disk: []string{"blue"}, Memory: []string{"red"}})
	for _, report := range ReadRegisteredFleet(fleetState(t)).Reports(known) {
		reports.AddMachine(time.Second, report)
	}
	machine := viewOf(t, reports).placementMachines()["m"]
	if !machine.Schedulable || machine.Tiers["blue"] != placement.TierDisk || machine.Tiers["red"] != placement.TierMemory {
		t.Errorf("accepts: %v, tiers: %v", machine.Schedulable, machine.Tiers)
	}
	if machine.Region != "north" {
		t.Errorf("region %q, want north", machine.Region)
	}
}

// Requests count for the region of their router, and for none if that is unknown.
func TestDemandByRegion(t *testing.T) {
	reports := NewReportTable()
	demands := []*wirepb.ModelDemand{{Version: "red@1", Waiting: 1, Running: 2}}
	for node, zone := range map[string]string{"a": "z", "b": "y", "c": "nowhere"} {
		reports.Add(time.Second, &wirepb.NodeReport{Node: node, Zone: zone, Incarnation: 1, Sequence: 1, Router: true, Demand: demands})
	}
	demand := viewOf(t, reports).demand()["red@1"]
	if demand.Waiting != 3 || len(demand.Regions) != 2 || demand.Regions["north"] != 3 || demand.Regions["south"] != 3 {
		t.Errorf("%d waiting, by region %v", demand.Waiting, demand.Regions)
	}
}
