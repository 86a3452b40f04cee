package controller

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// maxKeepers bounds the routers that remember the origins of streams, since every router learns of all of
// them.
const maxKeepers = 16

// keepersOf returns the routers that remember the origins of streams, sorted by name. They are spread over
// the zones, and a router that joins or leaves changes at most one of them per zone.
func keepersOf(routers []*wirepb.RouterEntry) []*wirepb.RouterEntry {
	if len(routers) <= maxKeepers {
		return routers
	}
	byZone := map[string][]*wirepb.RouterEntry{}
	var zones []string
	for _, router := range routers {
		if byZone[router.GetZone()] == nil {
			zones = append(zones, router.GetZone())
		}
		byZone[router.GetZone()] = append(byZone[router.GetZone()], router)
	}
	slices.Sort(zones)
	for _, zone := range zones {
		slices.SortFunc(byZone[zone], byRank)
	}
	var keepers []*wirepb.RouterEntry
	for round := 0; len(keepers) < maxKeepers; round++ {
		for _, zone := range zones {
			if round < len(byZone[zone]) && len(keepers) < maxKeepers {
				keepers = append(keepers, byZone[zone][round])
			}
		}
	}
	slices.SortFunc(keepers, func(left, right *wirepb.RouterEntry) int { return cmp.Compare(left.GetNode(), right.GetNode()) })
	return keepers
}

func byRank(left, right *wirepb.RouterEntry) int {
	return cmp.Compare(xxhash.Sum64String(right.GetNode()), xxhash.Sum64String(left.GetNode()))
}
