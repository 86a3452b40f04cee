package feed

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// Upstream is where a control node or a relay listens for nodes.
type Upstream struct {
	Address string
	// Zone is where it stands; empty while that is not known.
	Zone string
}

// UpstreamsFromAddresses returns servers of which only the addresses are known.
func UpstreamsFromAddresses(addresses []string) []Upstream {
	servers := make([]Upstream, 0, len(addresses))
	for _, address := range addresses {
		servers = append(servers, Upstream{Address: address})
	}
	return servers
}

// UpstreamsFromRoster returns the control nodes that a roster lists.
func UpstreamsFromRoster(roster *wirepb.Roster) []Upstream {
	servers := UpstreamsFromAddresses(roster.GetControl())
	for position, zone := range roster.GetControlZones() {
		if position < len(servers) {
			servers[position].Zone = zone
		}
	}
	return servers
}

// byPreference orders servers for a client: the nearest first, because each stream that leaves a
// zone or a region is paid for; among those equally near each client has its own order
// (rendezvous hashing), so that clients spread evenly and those of a server that is lost spread
// over all that are next. With one order for all clients, a single server that is cut off would
// leave all of them without digests, and they would move on to the same next one.
func byPreference(client string, position places.Location, servers []Upstream) []Upstream {
	ordered := slices.Clone(servers)
	weight := func(server Upstream) uint64 { return xxhash.Sum64String(client + "\x00" + server.Address) }
	slices.SortStableFunc(ordered, func(left, right Upstream) int {
		return cmp.Or(
			cmp.Compare(position.ProximityOf(left.Zone), position.ProximityOf(right.Zone)),
			cmp.Compare(weight(right), weight(left)),
		)
	})
	return ordered
}

// merge returns the servers without repetition, each with its zone where any mention has one.
func merge(servers []Upstream) []Upstream {
	var merged []Upstream
	for _, server := range servers {
		position := slices.IndexFunc(merged, func(other Upstream) bool { return other.Address == server.Address })
		switch {
		case position < 0:
			merged = append(merged, server)
		case server.Zone != "":
			merged[position].Zone = server.Zone
		}
	}
	return merged
}

// settledAfter is how long a client must have followed a server before it forgets which others it
// left earlier: several times what it takes to find out that a server is of no use.
const settledAfter = 5 * time.Second

// departure is one loss of a server.
type departure struct {
	at time.Time
	// cutOff is set where the server was up and heard no leader, or not all of it: whoever
	// stands near it may share the reason.
	cutOff bool
	zone   string
}

// departures holds the servers that a client left since it last followed one for settledAfter, by
// address.
type departures map[string]departure

// note notes that a server is left that was followed since a time.
func (d departures) note(since time.Time, address string, left departure) {
	if left.at.Sub(since) >= settledAfter {
		clear(d)
	}
	d[address] = left
}

// inTurn returns the servers in the order in which to try them: those that were left come at the
// end, the one that was left last behind all others; before them those that stand near one that
// was cut off, the nearest last. So a client whose near servers are all cut off reaches one that
// is not as soon as it can: fresh state goes before nearness.
func (d departures) inTurn(regions places.ZoneMap, servers []Upstream) []Upstream {
	ordered := slices.Clone(servers)
	slices.SortStableFunc(ordered, func(left, right Upstream) int {
		return cmp.Or(
			d[left.Address].at.Compare(d[right.Address].at),
			cmp.Compare(d.sharedFate(regions, left.Zone), d.sharedFate(regions, right.Zone)),
		)
	})
	return ordered
}

// sharedFate is how near a zone is to a server that was cut off: 0 if it is far from all.
func (d departures) sharedFate(regions places.ZoneMap, zone string) int {
	shared := 0
	for _, left := range d {
		if left.cutOff {
			shared = max(shared, int(places.OtherRegion-regions.Proximity(zone, left.zone)))
		}
	}
	return shared
}

// crowdedShare is how many times its fair share of all nodes a server may have before a client
// passes it over for the sake of nearness alone. Twice lets a zone have half of the nodes and a
// quarter of the control nodes; beyond, the zone's server would be the bottleneck of all its
// nodes, and its loss theirs.
const crowdedShare = 2

// crowded reports whether a server has so many followers that nearness is no reason to become
// one more.
func crowded(followers, nodes uint32, servers int) bool {
	if nodes == 0 || servers == 0 {
		return false
	}
	fair := (nodes + uint32(servers) - 1) / uint32(servers)
	return followers >= crowdedShare*fair
}
