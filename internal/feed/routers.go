package feed

import (
	"cmp"
	"slices"

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

// SelectRouters returns the other routers that a router learns of: at most maxRouters, some in its zone and
// the rest elsewhere, spread over the zones, those of the nearest regions first. Rendezvous hashing by node gives each
// router others, so that the requests of a zone that lost its machines don't all go to the same few.
func SelectRouters(all []*wirepb.RouterEntry, node string, location places.Location) []*wirepb.RouterEntry {
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
	sortByHash(near, node)
	sortByHash(distant, node)
	distant = alternateZones(distant, node, location)
	count := min(len(near), max(maxZoneRouters, maxRouters-len(distant)))
	selected := append(near[:count:count], distant[:min(len(distant), maxRouters-count)]...)
	slices.SortFunc(selected, func(left, right *wirepb.RouterEntry) int { return cmp.Compare(left.GetNode(), right.GetNode()) })
	return selected
}

// rendezvousHash ranks names for a node. Each node ranks them in another order.
func rendezvousHash(node, name string) uint64 { return xxhash.Sum64String(node + "/" + name) }

func sortByHash(routers []*wirepb.RouterEntry, node string) {
	slices.SortFunc(routers, func(left, right *wirepb.RouterEntry) int {
		return cmp.Compare(rendezvousHash(node, right.GetNode()), rendezvousHash(node, left.GetNode()))
	})
}

// alternateZones orders routers so that each zone of a region comes once before any comes again, the nearest regions
// first. It keeps the order within a zone.
func alternateZones(routers []*wirepb.RouterEntry, node string, location places.Location) []*wirepb.RouterEntry {
	turns, turnOf := map[string]int{}, make(map[*wirepb.RouterEntry]int, len(routers))
	for _, router := range routers {
		turnOf[router] = turns[router.GetZone()]
		turns[router.GetZone()]++
	}
	slices.SortStableFunc(routers, func(left, right *wirepb.RouterEntry) int {
		return cmp.Or(
			cmp.Compare(location.ProximityOf(left.GetZone()), location.ProximityOf(right.GetZone())),
			cmp.Compare(turnOf[left], turnOf[right]),
			cmp.Compare(rendezvousHash(node, right.GetZone()), rendezvousHash(node, left.GetZone())),
		)
	})
	return routers
}
