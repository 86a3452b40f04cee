package controller

import (
	"maps"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/orders"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestBoundDemandIsPartOfItsVersions: what routers tell of constraints is added up by constraint,
// whatever the order of the regions, and counts once in the version's demand.
func TestBoundDemandIsPartOfItsVersions(t *testing.T) {
	table := NewReportTable()
	take := func(node string, received time.Duration, regions ...string) {
		taken := report(node, 1, 1, 7)
		taken.Demand[0].Waiting, taken.Demand[0].Running, taken.Demand[0].Work = 4, 2, 100
		taken.Demand = append(taken.Demand, &wirepb.ModelDemand{
			Version: "v", Regions: regions, Arrivals: 3, Waiting: 2, Running: 1, OldestWaitMs: 500, Priority: 9,
		})
		table.Add(received, taken)
	}
	take("one", 10*time.Second, "b", "a")
	take("two", 9*time.Second, "a", "b")
	take("three", 10*time.Second, "c")
	take("silent", 0, "d")
	nodes, reports := table.snapshot(10 * time.Second)
	view := &clusterView{now: 10 * time.Second, nodes: nodes, reports: reports, arrivals: table.arrivalCounts()}
	demand := view.demand()["v"]
	if demand.Waiting != 12 || demand.Running != 6 || demand.Arrivals != 28 {
		t.Errorf("%+v", demand)
	}
	found := map[string]int{}
	for _, bound := range demand.Constrained {
		found[bound.Allowed.Key()] = bound.Waiting
		if bound.Allowed.Key() == places.RestrictTo("a", "b").Key() {
			if bound.Waiting != 4 || bound.Running != 2 || bound.OldestWait != 1500*time.Millisecond || bound.Priority != 9 {
				t.Errorf("%+v", bound)
			}
		}
	}
	if len(found) != 2 || found[places.RestrictTo("c").Key()] != 2 {
		t.Errorf("%v", found)
	}
}

// TestBoundWaitIsNoNewsBesideItsVersions: a part that is told beside the whole must not make each
// report look as if more waited.
func TestBoundWaitIsNoNewsBesideItsVersions(t *testing.T) {
	waiting := report("one", 1, 1, 7)
	waiting.Demand[0].Waiting = 4
	waiting.Demand = append(waiting.Demand, &wirepb.ModelDemand{Version: "v", Regions: []string{"a"}, Waiting: 1})
	if demandGrew(waiting, waiting) {
		t.Error("the same report again is news")
	}
}

// TestAdapterGoesWhereItsRequestsMayBeServed: one that is held elsewhere does not help requests
// that are bound, and is not loaded elsewhere for them.
func TestAdapterGoesWhereItsRequestsMayBeServed(t *testing.T) {
	const now = time.Minute
	table := NewReportTable()
	table.Add(now, &wirepb.NodeReport{Node: "one", Incarnation: 1, Sequence: 1, Demand: []*wirepb.ModelDemand{
		{Version: "red@1", Adapter: "x", Waiting: 2, OldestWaitMs: 100},
		{Version: "red@1", Adapter: "x", Waiting: 1, OldestWaitMs: 100, Regions: []string{"b"}},
		{Version: "red@1", Adapter: "y", Waiting: 3, OldestWaitMs: 50},
		{Version: "red@1", Adapter: "y", Waiting: 3, OldestWaitMs: 50, Regions: []string{"b"}},
	}})
	red := func(region string, adapters ...string) *adapterPlace {
		return &adapterPlace{
			machine: "m-" + region, region: region, slots: 4, held: len(adapters),
			models: map[string]adapterHolder{"red@1": {model: "red", adapters: adapters}},
		}
	}
	chosen := map[string]string{}
	for _, demand := range table.AdapterDemand(now) {
		if demand.Waiting <= 0 {
			continue
		}
		place := chooseAdapterPlace([]*adapterPlace{red("a", "x"), red("b", "p", "q")}, demand, nil)
		name := demand.Adapter + " " + demand.Allowed.Key()
		chosen[name] = ""
		if place != nil {
			chosen[name] = place.machine
		}
	}
	wanted := map[string]string{"x ": "", "x only b": "m-b", "y only b": "m-b"}
	if !maps.Equal(chosen, wanted) {
		t.Errorf("%v, not %v", chosen, wanted)
	}
}

// TestAdapterPlacesStandInRegions: by the table that the cache was given.
func TestAdapterPlacesStandInRegions(t *testing.T) {
	cache := RegisteredFleetCache{Places: places.NewZoneMap(map[string]string{"z": "a"})}
	known := orders.State{Models: map[string][]string{"red": {}}}
	found := cache.Read(fleetState(t)).adapterPlaces(func(string) (orders.State, bool) { return known, true })
	if len(found) != 1 || found[0].region != "a" {
		t.Errorf("the places are %+v", found)
	}
}
