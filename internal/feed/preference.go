package feed

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// Upstream is a control node or relay that serves nodes.
type Upstream struct {
	Address string
	// Zone is empty if it is unknown.
	Zone string
}

// UpstreamsFromAddresses returns servers with unknown zones.
func UpstreamsFromAddresses(addresses []string) []Upstream {
	servers := make([]Upstream, 0, len(addresses))
	for _, address := range addresses {
		servers = append(servers, Upstream{Address: address})
	}
	return servers
}

// UpstreamsFromRoster returns the control nodes of a roster.
func UpstreamsFromRoster(roster *wirepb.Roster) []Upstream {
	servers := UpstreamsFromAddresses(roster.GetControl())
	for index, zone := range roster.GetControlZones() {
		if index < len(servers) {
			servers[index].Zone = zone
		}
	}
	return servers
}

// byPreference orders servers by proximity to a client, to avoid traffic between zones and regions.
// Equally near servers are ordered by rendezvous hashing, so that clients spread evenly, and those of
// a failed server spread over the remaining ones.
func byPreference(client string, location places.Location, servers []Upstream) []Upstream {
	ordered := slices.Clone(servers)
	weight := func(server Upstream) uint64 { return xxhash.Sum64String(client + "\x00" + server.Address) }
	slices.SortStableFunc(ordered, func(left, right Upstream) int {
		return cmp.Or(
			cmp.Compare(location.ProximityOf(left.Zone), location.ProximityOf(right.Zone)),
			cmp.Compare(weight(right), weight(left)),
		)
	})
	return ordered
}

// mergeUpstreams removes duplicate addresses and keeps a known zone.
func mergeUpstreams(servers []Upstream) []Upstream {
	var merged []Upstream
	for _, server := range servers {
		index := slices.IndexFunc(merged, func(other Upstream) bool { return other.Address == server.Address })
		switch {
		case index < 0:
			merged = append(merged, server)
		case server.Zone != "":
			merged[index].Zone = server.Zone
		}
	}
	return merged
}

// stableAfter is the time after which a connection counts as stable and earlier failures are
// forgotten. It is several times longer than the detection of a stale server takes.
const stableAfter = 5 * time.Second

type serverFailure struct {
	at time.Time
	// isStale is set if the server was up but isolated from the leader or behind. Servers near it are
	// probably affected as well.
	isStale bool
	zone    string
}

// failureHistory holds the last failure of each server since the last stable connection, by address.
type failureHistory map[string]serverFailure

// record adds a failure, and forgets the earlier ones if the connection was stable.
func (h failureHistory) record(followedSince time.Time, address string, failure serverFailure) {
	if failure.at.Sub(followedSince) >= stableAfter {
		clear(h)
	}
	h[address] = failure
}

// attemptOrder returns the servers in the order in which to try them: first those without failures,
// then by time of the failure, oldest first. Among those without failures, servers near a stale one
// come last, so that a client whose nearby servers are all isolated soon reaches one that is not.
func (h failureHistory) attemptOrder(zones places.ZoneMap, servers []Upstream) []Upstream {
	ordered := slices.Clone(servers)
	slices.SortStableFunc(ordered, func(left, right Upstream) int {
		return cmp.Or(
			h[left.Address].at.Compare(h[right.Address].at),
			cmp.Compare(h.correlatedProximity(zones, left.Zone), h.correlatedProximity(zones, right.Zone)),
		)
	})
	return ordered
}

// correlatedProximity returns how near a zone is to the nearest stale server, or 0 if none is in its
// region.
func (h failureHistory) correlatedProximity(zones places.ZoneMap, zone string) int {
	highest := 0
	for _, failure := range h {
		if failure.isStale {
			highest = max(highest, int(places.OtherRegion-zones.Proximity(zone, failure.zone)))
		}
	}
	return highest
}

// maxFairShareFactor is the multiple of the average number of nodes per server from which on clients
// no longer move to a server because it is near. It keeps the only server of a large zone from
// becoming a bottleneck.
const maxFairShareFactor = 2

// exceedsFairShare reports whether a server has too many followers to take on more for proximity
// alone.
func exceedsFairShare(followers, nodes uint32, servers int) bool {
	if nodes == 0 || servers == 0 {
		return false
	}
	fairShare := (nodes + uint32(servers) - 1) / uint32(servers)
	return followers >= maxFairShareFactor*fairShare
}
