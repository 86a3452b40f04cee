package feed

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// maxRouters bounds the other routers that a router learns of.
	maxRouters = 8
	// maxZoneRouters bounds those in its own zone, which may fail together with it.
	maxZoneRouters = maxRouters / 2
)

// selectRouters returns the other routers that a router learns of: at most maxRouters, some in its zone and
// the rest elsewhere, the nearest regions first. Rendezvous hashing by node gives each router others, so
// that the requests of a zone that lost its machines don't all go to the same few.
func selectRouters(all []*wirepb.RouterEntry, node string, location places.Location) []*wirepb.RouterEntry {
	var near, distant []*wirepb.RouterEntry
	for _, router := range all {
		switch {
		case router.GetNode() == node:
		case location.ProximityOf(router.GetZone()) == places.SameZone:
			near = append(near, router)
		default:
			distant = append(distant, router)
		}
	}
	rank := func(router *wirepb.RouterEntry) uint64 { return xxhash.Sum64String(node + "/" + router.GetNode()) }
	sort.Slice(near, func(i, j int) bool { return rank(near[i]) > rank(near[j]) })
	sort.Slice(distant, func(i, j int) bool {
		left, right := location.ProximityOf(distant[i].GetZone()), location.ProximityOf(distant[j].GetZone())
		if left != right {
			return left < right
		}
		return rank(distant[i]) > rank(distant[j])
	})
	count := min(len(near), max(maxZoneRouters, maxRouters-len(distant)))
	selected := append(near[:count:count], distant[:min(len(distant), maxRouters-count)]...)
	sort.Slice(selected, func(i, j int) bool { return selected[i].GetNode() < selected[j].GetNode() })
	return selected
}
