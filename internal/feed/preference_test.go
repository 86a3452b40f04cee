package feed

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestClientsSpreadOverServers: clients that all follow the one control node that is up first
// would, when it is cut off, all be without digests and move on to the same next.
func TestClientsSpreadOverServers(t *testing.T) {
	const clients, servers = 300, 8
	known := make([]Upstream, 0, servers)
	for number := range servers {
		known = append(known, Upstream{Address: "10." + strconv.Itoa(number) + ".0.5:7400"})
	}
	first, next := map[string]int{}, map[string]map[string]int{}
	for number := range clients {
		order := byPreference("node-"+strconv.Itoa(number), places.Location{}, known)
		if len(order) != servers {
			t.Fatalf("%v", order)
		}
		lost := order[0].Address
		first[lost]++
		if next[lost] == nil {
			next[lost] = map[string]int{}
		}
		left := departures{lost: {at: time.Unix(100, 0)}}
		next[lost][left.inTurn(places.ZoneMap{}, order)[0].Address]++
	}
	for _, server := range known {
		if first[server.Address] < clients/servers/2 || first[server.Address] > 2*clients/servers {
			t.Errorf("%s is the first choice of %d clients of %d", server.Address, first[server.Address], clients)
		}
		if len(next[server.Address]) < servers/2 {
			t.Errorf("the clients of %s move on to %v", server.Address, next[server.Address])
		}
	}
}

// fourZones are two control nodes in each of four zones, two to a region, and their map.
func fourZones() (places.ZoneMap, []Upstream) {
	var servers []Upstream
	for number := range 8 {
		zone := "zone-" + strconv.Itoa(number%4)
		servers = append(servers, Upstream{Address: "10.0.0." + strconv.Itoa(number) + ":7400", Zone: zone})
	}
	return places.NewZoneMap(map[string]string{"zone-0": "east", "zone-1": "east", "zone-2": "west", "zone-3": "west"}), servers
}

// TestNearestServersComeFirst: each stream that leaves a zone is paid for. Clients of a zone still
// spread over its servers, and those of one that is lost over the next nearest.
func TestNearestServersComeFirst(t *testing.T) {
	regions, servers := fourZones()
	position := places.Location{Zone: "zone-1", Zones: regions}
	first, third := map[string]int{}, map[string]int{}
	for number := range 200 {
		order := byPreference("node-"+strconv.Itoa(number), position, servers)
		for step, server := range order {
			if wanted := []places.Proximity{0, 0, 1, 1, 2, 2, 2, 2}[step]; position.ProximityOf(server.Zone) != wanted {
				t.Fatalf("choice %d stands in %s", step, server.Zone)
			}
		}
		first[order[0].Address]++
		third[order[2].Address]++
	}
	for _, chosen := range []map[string]int{first, third} {
		if len(chosen) != 2 {
			t.Fatalf("the choice is %v", chosen)
		}
		for address, count := range chosen {
			if count < 70 {
				t.Errorf("%s is the choice of %d clients of 200", address, count)
			}
		}
	}
}

// TestNoServerIsTriedAgainBeforeTheOthers: a client whose near servers lag, or are cut off with
// it, reaches a further one instead of changing to and fro between the near ones.
func TestNoServerIsTriedAgainBeforeTheOthers(t *testing.T) {
	regions, servers := fourZones()
	order := byPreference("node", places.Location{Zone: "zone-3", Zones: regions}, servers)
	left, now := departures{}, time.Unix(100, 0)
	for step := range order {
		next := left.inTurn(places.ZoneMap{}, order)[0]
		if next != order[step] {
			t.Fatalf("after %d servers the client turns to %v, not to %v", step, next, order[step])
		}
		left.note(now, next.Address, departure{at: now.Add(settledAfter / 2)})
		now = now.Add(settledAfter)
	}
	if again := left.inTurn(places.ZoneMap{}, order)[0]; again != order[0] {
		t.Errorf("once all were left, the client turns to %v", again)
	}
	left.note(now, order[4].Address, departure{at: now.Add(settledAfter)})
	if next := left.inTurn(places.ZoneMap{}, order); next[0] != order[0] || next[len(next)-1] != order[4] {
		t.Errorf("a client that had settled with a further server turns to %v", next)
	}
}

// TestServersThatShareAFateComeLater: where the link from a zone to the leader's is cut, all servers
// of the zone are without news, and each takes a client most of a second to find out about.
func TestServersThatShareAFateComeLater(t *testing.T) {
	regions, servers := fourZones()
	position := places.Location{Zone: "zone-3", Zones: regions}
	order := byPreference("node", position, servers)
	now := time.Unix(100, 0)
	for _, test := range []struct {
		name   string
		left   departure
		zones  string
		second string
	}{
		{name: "a server that ended", left: departure{at: now, zone: "zone-3"}, zones: "zone-3", second: "zone-2"},
		{name: "one that was cut off", left: departure{at: now, zone: "zone-3", cutOff: true}, zones: "zone-0 zone-1", second: "zone-0 zone-1"},
	} {
		next := departures{order[0].Address: test.left}.inTurn(regions, order)
		if !strings.Contains(test.zones, next[0].Zone) || !strings.Contains(test.second, next[1].Zone) || next[len(next)-1] != order[0] {
			t.Errorf("after %s come %v", test.name, next)
		}
		if test.left.cutOff && next[len(next)-2].Zone != "zone-3" {
			t.Errorf("the other server of the zone is not the last choice but one: %v", next)
		}
	}
}

// TestAddressesGetTheirZones: the settings name some control nodes without their zones.
func TestAddressesGetTheirZones(t *testing.T) {
	roster := &wirepb.Roster{Control: []string{"a", "b", "c"}, ControlZones: []string{"east", ""}}
	merged := merge(append(UpstreamsFromAddresses([]string{"b", "a"}), UpstreamsFromRoster(roster)...))
	wanted := []Upstream{{Address: "b"}, {Address: "a", Zone: "east"}, {Address: "c"}}
	if !slices.Equal(merged, wanted) {
		t.Errorf("merged %v", merged)
	}
}

// TestCrowded tables the share of a server.
func TestCrowded(t *testing.T) {
	for _, test := range []struct {
		followers, nodes uint32
		servers          int
		crowded          bool
	}{
		{followers: 20, nodes: 80, servers: 8, crowded: true},
		{followers: 19, nodes: 80, servers: 8},
		{followers: 40, nodes: 81, servers: 4},
		{followers: 42, nodes: 81, servers: 4, crowded: true},
		{followers: 300, nodes: 0, servers: 4},
		{followers: 1, nodes: 1, servers: 3},
	} {
		if crowded(test.followers, test.nodes, test.servers) != test.crowded {
			t.Errorf("%+v", test)
		}
	}
}
