package feed

import (
	"fmt"
	"testing"

	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

func allRouters(all []*wirepb.RouterEntry) []*wirepb.RouterEntry { return all }

// TestSelectRouters checks that a router learns of a bounded number of others, in its zone and elsewhere, and
// that the routers of a large zone learn of different ones.
func TestSelectRouters(t *testing.T) {
	zones := places.NewZoneMap(map[string]string{"a": "north", "b": "north", "c": "south"})
	location := places.Location{Zones: zones, Zone: "a"}
	routersIn := func(counts map[string]int) []*wirepb.RouterEntry {
		var all []*wirepb.RouterEntry
		for _, zone := range []string{"a", "b", "c"} {
			for number := range counts[zone] {
				all = append(all, &wirepb.RouterEntry{Node: fmt.Sprintf("%s-%d", zone, number), Zone: zone, Address: "10.0.0.1:1"})
			}
		}
		return all
	}
	for _, test := range []struct {
		name   string
		counts map[string]int
		want   map[string]int
	}{
		{"alone", map[string]int{"a": 1}, map[string]int{}},
		{"few: all of them", map[string]int{"a": 3, "b": 2, "c": 1}, map[string]int{"a": 2, "b": 2, "c": 1}},
		{"one zone", map[string]int{"a": 40}, map[string]int{"a": 8}},
		{"the nearest region first", map[string]int{"a": 40, "b": 40, "c": 40}, map[string]int{"a": 4, "b": 4}},
		{"few elsewhere", map[string]int{"a": 40, "b": 1, "c": 2}, map[string]int{"a": 5, "b": 1, "c": 2}},
	} {
		got := map[string]int{}
		for _, router := range SelectRouters(routersIn(test.counts), "a-0", location) {
			got[router.GetZone()]++
			if router.GetNode() == "a-0" {
				t.Errorf("%s: a router learns of itself", test.name)
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
	chosen := map[string]int{}
	for number := range 40 {
		for _, router := range SelectRouters(routersIn(map[string]int{"a": 40, "b": 40}), fmt.Sprintf("a-%d", number), location) {
			chosen[router.GetNode()]++
		}
	}
	for node, count := range chosen {
		if count > 12 {
			t.Errorf("%d of 40 routers learn of %s", count, node)
		}
	}
}

// TestRoutersOfEveryZoneAreLearned guards against a router that learns only of routers in zones that are cut off: with
// three zones of four cut off, one router in five did.
func TestRoutersOfEveryZoneAreLearned(t *testing.T) {
	zones := places.NewZoneMap(map[string]string{"a": "north", "b": "north", "c": "north", "d": "north"})
	var all []*wirepb.RouterEntry
	for _, zone := range []string{"a", "b", "c", "d"} {
		for number := range 15 {
			all = append(all, &wirepb.RouterEntry{Node: fmt.Sprintf("%s-%d", zone, number), Zone: zone})
		}
	}
	for _, router := range all {
		learned := map[string]bool{}
		for _, other := range SelectRouters(all, router.GetNode(), places.Location{Zones: zones, Zone: router.GetZone()}) {
			learned[other.GetZone()] = true
		}
		if len(learned) != 4 {
			t.Errorf("%s learns of routers in %v only", router.GetNode(), learned)
		}
	}
}
