package controller

import (
	"maps"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/orders"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// Constrained demand is summed by constraint, regardless of the order of regions, and counts only once
// in the demand of its version.
func TestConstrainedDemandIsCountedOnce(t *testing.T) {
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
	resumed := report("four", 1, 1, 0)
	resumed.Demand = append(resumed.Demand, &wirepb.ModelDemand{Version: "v", Software: "v1.1", Waiting: 3})
	table.Add(10*time.Second, resumed)
	nodes, reports := table.snapshot(10 * time.Second)
	view := &clusterView{now: 10 * time.Second, nodes: nodes, reports: reports, arrivals: table.arrivalCounts()}
	demand := view.demand()["v"]
	if demand.Waiting != 12 || demand.Running != 6 || demand.Arrivals != 28 {
		t.Errorf("demand %+v", demand)
	}
	found := map[string]int{}
	for _, bound := range demand.Constrained {
		found[bound.Hosts.Key()] = bound.Waiting
		if bound.Hosts.Key() == places.RestrictTo("a", "b").Key() {
			if bound.Waiting != 4 || bound.Running != 2 || bound.OldestWait != 1500*time.Millisecond || bound.Priority != 9 {
				t.Errorf("constrained demand %+v", bound)
			}
		}
	}
	if len(found) != 3 || found[places.HostConstraint{Software: "v1.1"}.Key()] != 3 || found[places.RestrictTo("c").Key()] != 2 {
		t.Errorf("waiting by constraint: %v", found)
	}
}

// The constrained part of a demand must not be taken for additional waiting requests.
func TestRepeatedConstrainedDemandIsNotGrowth(t *testing.T) {
	waiting := report("one", 1, 1, 7)
	waiting.Demand[0].Waiting = 4
	waiting.Demand = append(waiting.Demand, &wirepb.ModelDemand{Version: "v", Regions: []string{"a"}, Waiting: 1})
	if demandGrew(waiting, waiting) {
		t.Error("demand grew with a repeated report")
	}
}

// An adapter loaded outside the allowed regions must not satisfy constrained requests, and must be
// loaded within these regions.
func TestAdapterHostHonorsRegionConstraint(t *testing.T) {
	const now = time.Minute
	table := NewReportTable()
	table.Add(now, &wirepb.NodeReport{Node: "one", Incarnation: 1, Sequence: 1, Demand: []*wirepb.ModelDemand{
		{Version: "red@1", Adapter: "x", Waiting: 2, OldestWaitMs: 100},
		{Version: "red@1", Adapter: "x", Waiting: 1, OldestWaitMs: 100, Regions: []string{"b"}},
		{Version: "red@1", Adapter: "y", Waiting: 3, OldestWaitMs: 50},
		{Version: "red@1", Adapter: "y", Waiting: 3, OldestWaitMs: 50, Regions: []string{"b"}},
	}})
	red := func(region string, adapters ...string) *adapterHost {
		return &adapterHost{
			machine: "m-" + region, region: region, slots: 4, usedSlots: len(adapters),
			versions: map[string]hostedVersion{"red@1": {model: "red", adapters: adapters}},
		}
	}
	hosts := map[string]string{}
	for _, demand := range table.AdapterDemand(now) {
		if demand.Waiting <= 0 {
			continue
		}
		host := selectAdapterHost([]*adapterHost{red("a", "x"), red("b", "p", "q")}, demand, nil)
		name := demand.Adapter + " " + demand.Hosts.Key()
		hosts[name] = ""
		if host != nil {
			hosts[name] = host.machine
		}
	}
	want := map[string]string{"x ": "", "x only b": "m-b", "y only b": "m-b"}
	if !maps.Equal(hosts, want) {
		t.Errorf("hosts %v, want %v", hosts, want)
	}
}

func TestAdapterHostsHaveRegions(t *testing.T) {
	cache := RegisteredFleetCache{Places: places.NewZoneMap(map[string]string{"z": "a"})}
	known := orders.State{Models: map[string][]string{"red": {}}}
	found := cache.Read(fleetState(t)).adapterHosts(func(string) (orders.State, bool) { return known, true })
	if len(found) != 1 || found[0].region != "a" {
		t.Errorf("hosts %+v, want one in region a", found)
	}
}
