package controller

import (
	"fmt"
	"testing"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

func routersInZones(counts ...int) []*wirepb.RouterEntry {
	var routers []*wirepb.RouterEntry
	for zone, count := range counts {
		for number := range count {
			routers = append(routers, &wirepb.RouterEntry{Node: fmt.Sprintf("z%d-r%d", zone, number), Zone: fmt.Sprint("z", zone)})
		}
	}
	return routers
}

// TestKeepers checks that keepers are bounded in number, spread over the zones and rarely changed.
func TestKeepers(t *testing.T) {
	if few := routersInZones(3, 4); len(keepersOf(few)) != len(few) {
		t.Errorf("%d of %d routers are keepers", len(keepersOf(few)), len(few))
	}
	for _, counts := range [][]int{{100, 100, 100, 100}, {300, 2, 1}, {40}, {1, 1, 1, 40}} {
		all := routersInZones(counts...)
		keepers := keepersOf(all)
		perZone := map[string]int{}
		for _, keeper := range keepers {
			perZone[keeper.GetZone()]++
		}
		if len(keepers) != maxKeepers || len(perZone) != len(counts) {
			t.Errorf("%v: %d keepers, by zone %v", counts, len(keepers), perZone)
		}
		left := keepersOf(all[1:])
		kept := map[string]bool{}
		for _, keeper := range left {
			kept[keeper.GetNode()] = true
		}
		changed := 0
		for _, keeper := range keepers {
			if !kept[keeper.GetNode()] {
				changed++
			}
		}
		if changed > 1 {
			t.Errorf("%v: %d keepers change as one router leaves", counts, changed)
		}
	}
}
