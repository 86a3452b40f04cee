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

// TestPreferenceSpreadsClients checks that clients spread over the servers, and spread again when
// their server fails.
func TestPreferenceSpreadsClients(t *testing.T) {
	const clients, servers = 300, 8
	known := make([]Upstream, 0, servers)
	for number := range servers {
		known = append(known, Upstream{Address: "10." + strconv.Itoa(number) + ".0.5:7400"})
	}
	firstChoices, nextChoices := map[string]int{}, map[string]map[string]int{}
	for number := range clients {
		order := byPreference("node-"+strconv.Itoa(number), places.Location{}, known)
		if len(order) != servers {
			t.Fatalf("%v", order)
		}
		failed := order[0].Address
		firstChoices[failed]++
		if nextChoices[failed] == nil {
			nextChoices[failed] = map[string]int{}
		}
		failures := failureHistory{failed: {at: time.Unix(100, 0)}}
		nextChoices[failed][failures.attemptOrder(places.ZoneMap{}, order)[0].Address]++
	}
	for _, server := range known {
		if firstChoices[server.Address] < clients/servers/2 || firstChoices[server.Address] > 2*clients/servers {
			t.Errorf("%s is the first choice of %d clients of %d", server.Address, firstChoices[server.Address], clients)
		}
		if len(nextChoices[server.Address]) < servers/2 {
			t.Errorf("next choices of the clients of %s: %v", server.Address, nextChoices[server.Address])
		}
	}
}

// fourZones returns two control nodes in each of four zones, and a map with two zones per region.
func fourZones() (places.ZoneMap, []Upstream) {
	var servers []Upstream
	for number := range 8 {
		zone := "zone-" + strconv.Itoa(number%4)
		servers = append(servers, Upstream{Address: "10.0.0." + strconv.Itoa(number) + ":7400", Zone: zone})
	}
	return places.NewZoneMap(map[string]string{"zone-0": "east", "zone-1": "east", "zone-2": "west", "zone-3": "west"}), servers
}

// TestPreferenceOrdersByProximity checks that nearer servers come first, and that clients of a zone
// spread over equally near servers.
func TestPreferenceOrdersByProximity(t *testing.T) {
	zones, servers := fourZones()
	location := places.Location{Zone: "zone-1", Zones: zones}
	firstChoices, thirdChoices := map[string]int{}, map[string]int{}
	for number := range 200 {
		order := byPreference("node-"+strconv.Itoa(number), location, servers)
		for rank, server := range order {
			if expected := []places.Proximity{0, 0, 1, 1, 2, 2, 2, 2}[rank]; location.ProximityOf(server.Zone) != expected {
				t.Fatalf("choice %d is in %s", rank, server.Zone)
			}
		}
		firstChoices[order[0].Address]++
		thirdChoices[order[2].Address]++
	}
	for _, choices := range []map[string]int{firstChoices, thirdChoices} {
		if len(choices) != 2 {
			t.Fatalf("choices: %v", choices)
		}
		for address, count := range choices {
			if count < 70 {
				t.Errorf("%s is the choice of %d clients of 200", address, count)
			}
		}
	}
}

// TestAttemptOrderTriesAllServers guards against alternating between nearby servers that are
// behind or isolated.
func TestAttemptOrderTriesAllServers(t *testing.T) {
	zones, servers := fourZones()
	order := byPreference("node", places.Location{Zone: "zone-3", Zones: zones}, servers)
	failures, now := failureHistory{}, time.Unix(100, 0)
	for attempt := range order {
		next := failures.attemptOrder(places.ZoneMap{}, order)[0]
		if next != order[attempt] {
			t.Fatalf("after %d failures: next server is %v, want %v", attempt, next, order[attempt])
		}
		failures.record(now, next.Address, serverFailure{at: now.Add(stableAfter / 2)})
		now = now.Add(stableAfter)
	}
	if again := failures.attemptOrder(places.ZoneMap{}, order)[0]; again != order[0] {
		t.Errorf("after failures of all servers: next server is %v", again)
	}
	failures.record(now, order[4].Address, serverFailure{at: now.Add(stableAfter)})
	if next := failures.attemptOrder(places.ZoneMap{}, order); next[0] != order[0] || next[len(next)-1] != order[4] {
		t.Errorf("after a stable connection to a distant server: order %v", next)
	}
}

// TestAttemptOrderDefersCorrelatedServers checks that after a stale server, the others of its zone are
// tried last. They are probably isolated as well, and detecting that takes initialDigestTimeout for
// each.
func TestAttemptOrderDefersCorrelatedServers(t *testing.T) {
	zones, servers := fourZones()
	location := places.Location{Zone: "zone-3", Zones: zones}
	order := byPreference("node", location, servers)
	now := time.Unix(100, 0)
	for _, test := range []struct {
		name    string
		failure serverFailure
		zones   string
		second  string
	}{
		{name: "a closed connection", failure: serverFailure{at: now, zone: "zone-3"}, zones: "zone-3", second: "zone-2"},
		{name: "a stale server", failure: serverFailure{at: now, zone: "zone-3", isStale: true}, zones: "zone-0 zone-1", second: "zone-0 zone-1"},
	} {
		next := failureHistory{order[0].Address: test.failure}.attemptOrder(zones, order)
		if !strings.Contains(test.zones, next[0].Zone) || !strings.Contains(test.second, next[1].Zone) || next[len(next)-1] != order[0] {
			t.Errorf("order after %s: %v", test.name, next)
		}
		if test.failure.isStale && next[len(next)-2].Zone != "zone-3" {
			t.Errorf("the other server of the zone is not second to last: %v", next)
		}
	}
}

// TestMergeUpstreamsAddsZones checks that zones of the roster are added to servers known only by
// address.
func TestMergeUpstreamsAddsZones(t *testing.T) {
	roster := &wirepb.Roster{Control: []string{"a", "b", "c"}, ControlZones: []string{"east", ""}}
	merged := mergeUpstreams(append(UpstreamsFromAddresses([]string{"b", "a"}), UpstreamsFromRoster(roster)...))
	expected := []Upstream{{Address: "b"}, {Address: "a", Zone: "east"}, {Address: "c"}}
	if !slices.Equal(merged, expected) {
		t.Errorf("merged %v", merged)
	}
}

func TestExceedsFairShare(t *testing.T) {
	for _, test := range []struct {
		followers, nodes uint32
		servers          int
		exceeds          bool
	}{
		{followers: 20, nodes: 80, servers: 8, exceeds: true},
		{followers: 19, nodes: 80, servers: 8},
		{followers: 40, nodes: 81, servers: 4},
		{followers: 42, nodes: 81, servers: 4, exceeds: true},
		{followers: 300, nodes: 0, servers: 4},
		{followers: 1, nodes: 1, servers: 3},
	} {
		if exceedsFairShare(test.followers, test.nodes, test.servers) != test.exceeds {
			t.Errorf("%+v", test)
		}
	}
}
