package soak

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/places"
)

// dialFrom connects to a proxy from a loopback address, for at most silenceTimeout.
func dialFrom(t *testing.T, proxy *Proxy, host string) (net.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), silenceTimeout)
	defer cancel()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	connection, err := dialer.DialContext(ctx, "tcp", proxy.Address())
	if err == nil {
		t.Cleanup(func() { _ = connection.Close() })
	}
	return connection, err
}

// TestPartitionOfOneHost checks that a partition affects the old and new connections of its host only.
func TestPartitionOfOneHost(t *testing.T) {
	const cut, other = "127.0.0.101", "127.0.0.102"
	proxy := newProxy(t)
	connections := map[string]net.Conn{}
	for _, host := range []string{cut, other} {
		connection, err := dialFrom(t, proxy, host)
		if err != nil {
			t.Fatal(err)
		}
		connections[host] = connection
		send(t, connection, "a")
		expect(t, connection, "a")
	}
	expectCut := func() {
		t.Helper()
		connection, err := dialFrom(t, proxy, cut)
		if err != nil {
			return
		}
		if _, err := connection.Read(make([]byte, 1)); err == nil {
			t.Error("a new connection of the partitioned host works")
		}
	}
	proxy.Partition(cut, PartitionHangs)
	send(t, connections[cut], "b")
	expectNothing(t, connections[cut])
	expectCut()
	send(t, connections[other], "b")
	expect(t, connections[other], "b")
	proxy.Heal(cut)
	if count, err := connections[cut].Read(make([]byte, 1)); err == nil {
		t.Errorf("%d bytes arrive that the partition held back", count)
	}
	reopened, err := dialFrom(t, proxy, cut)
	if err != nil {
		t.Fatal(err)
	}
	connections[cut] = reopened
	send(t, reopened, "b")
	expect(t, reopened, "b")
	proxy.Partition(cut, PartitionResets)
	if _, err := connections[cut].Read(make([]byte, 1)); err == nil {
		t.Error("the connection is not reset")
	}
	expectCut()
	send(t, connections[other], "c")
	expect(t, connections[other], "c")
	proxy.Heal(cut)
	connection, err := dialFrom(t, proxy, cut)
	if err != nil {
		t.Fatal(err)
	}
	send(t, connection, "d")
	expect(t, connection, "d")
}

// partitionHistory has requests at two routers, of which one is partitioned, and how many of the latter's
// were served.
func partitionHistory(servedWhileCut int) (*History, []Disturbance) {
	history := NewHistory()
	add := func(id, router string, served bool) {
		history.Requests[id] = Request{ID: id, Router: router, Sent: 6 * time.Second}
		answer := Answer{Request: id, Outcome: OutcomeNotRun, At: 6 * time.Second}
		if served {
			answer.Outcome, answer.Right = OutcomeAnswered, true
		}
		history.Answers = append(history.Answers, answer)
	}
	for number := range 100 {
		add("cut"+string(rune('A'+number)), "r1", number < servedWhileCut)
		add("other"+string(rune('A'+number)), "r2", number < 90)
	}
	return history, []Disturbance{{Start: 2 * time.Second, End: 10 * time.Second, Node: "r1", RequestsOnly: true, Partition: true}}
}

// TestPartitionedRoutersAreJudged checks the bounds on the requests served at partitioned routers.
func TestPartitionedRoutersAreJudged(t *testing.T) {
	bounds := testBounds
	bounds.RouterRegions = map[string]string{"r1": "north", "r2": "north"}
	for _, test := range []struct {
		served   int
		violated bool
	}{
		{0, true},
		{59, true},
		{60, false}, // two thirds of 90
		{90, false},
	} {
		history, disturbances := partitionHistory(test.served)
		if found := unservedPartitions(history, bounds, disturbances); (len(found) > 0) != test.violated {
			t.Errorf("%d served: %v", test.served, found)
		}
	}
	history, disturbances := partitionHistory(0)
	restart := Disturbance{Start: 5 * time.Second, End: 7 * time.Second, Node: "r1"}
	if found := unservedPartitions(history, bounds, append(disturbances, restart)); len(found) > 0 {
		t.Errorf("with a restart of the router: %v", found)
	}
	silence := Fault{Kind: FaultSilenceCallers, At: 5 * time.Second, Node: "r1"}.disturbances(Layout{})
	if found := unservedPartitions(history, bounds, append(disturbances, silence...)); len(found) > 0 {
		t.Errorf("with callers that get no responses: %v", found)
	}
	silence[0].Node = "r2"
	if found := unservedPartitions(history, bounds, append(disturbances, silence...)); len(found) > 0 {
		t.Errorf("with callers of the other router that get no responses, nothing is left to compare with: %v", found)
	}
	machines := Fault{Kind: FaultSilenceMachine, At: 5 * time.Second}.disturbances(Layout{})
	if found := unservedPartitions(history, bounds, append(disturbances, machines...)); len(found) == 0 {
		t.Error("a silent machine excuses the partitioned router")
	}
	for id, request := range history.Requests {
		request.Allowed = places.RestrictTo("south")
		history.Requests[id] = request
	}
	if found := unservedPartitions(history, bounds, disturbances); len(found) > 0 {
		t.Errorf("without a router in the allowed region: %v", found)
	}
}

// TestBrittleMachinesAreJudged checks the bound on failures while machines are brittle.
func TestBrittleMachinesAreJudged(t *testing.T) {
	spans := []Disturbance{{Start: 2 * time.Second, End: 10 * time.Second, RequestsOnly: true, Brittle: true}}
	history := NewHistory()
	bounds := testBounds
	bounds.BrittleMachines = 3
	for _, at := range []time.Duration{time.Second, 3 * time.Second, 4 * time.Second} {
		history.Falls = append(history.Falls, Fall{Machine: "m", At: at})
	}
	if found := brittleFalls(history, bounds, spans); len(found) > 0 {
		t.Errorf("two failures in the span: %v", found)
	}
	history.Falls = append(history.Falls, Fall{Machine: "m", At: 5 * time.Second})
	if found := brittleFalls(history, bounds, spans); len(found) != 1 {
		t.Errorf("three failures in the span: %v", found)
	}
}

// TestPartitionsThatAcceptOrRefuse checks that a partition may hold new connections without carrying anything, or refuse
// them while open ones go on.
func TestPartitionsThatAcceptOrRefuse(t *testing.T) {
	const host = "127.0.0.101"
	proxy := newProxy(t)
	open, err := dialFrom(t, proxy, host)
	if err != nil {
		t.Fatal(err)
	}
	send(t, open, "a")
	expect(t, open, "a")
	proxy.Partition(host, PartitionRefuses)
	send(t, open, "b")
	expect(t, open, "b")
	if refused, err := dialFrom(t, proxy, host); err == nil {
		if _, err := refused.Read(make([]byte, 1)); err == nil {
			t.Error("a new connection works")
		}
	}
	proxy.Partition(host, PartitionAccepts)
	send(t, open, "c")
	expectNothing(t, open)
	held, err := dialFrom(t, proxy, host)
	if err != nil {
		t.Fatal(err)
	}
	send(t, held, "c")
	expectNothing(t, held)
	proxy.Heal(host)
	if _, err := held.Read(make([]byte, 1)); err == nil {
		t.Error("a connection that was held works after the partition")
	}
}

// TestGroupPartitionPlan checks that the routers of a zone, or most of all, are cut off at the same time, and that no
// other routers are disturbed.
func TestGroupPartitionPlan(t *testing.T) {
	layout := Layout{
		Control: []string{"c1", "c2", "c3"}, Routers: []string{"r1", "r2", "r3", "r4"}, Zones: [][]string{{"c1", "c3"}, {"c2"}},
		RouterZones: [][]string{{"r1", "r3"}, {"r2", "r4"}}, Machines: 4,
	}
	const span = 40 * time.Second
	kinds := map[FaultKind]bool{}
	for seed := range uint64(20) {
		groups := map[time.Duration][]string{}
		for _, each := range NewGroupPartitionPlan(seed, layout, span) {
			switch {
			case slices.Contains(groupPartitionKinds, each.Kind):
				kinds[each.Kind] = true
				groups[each.At] = append(groups[each.At], each.Node)
			case !slices.Contains(layout.Control, each.Node):
				t.Errorf("seed %d: %s", seed, each)
			}
		}
		if len(groups) < 2 {
			t.Errorf("seed %d cuts %d groups off", seed, len(groups))
		}
		for at, routers := range groups {
			if count := len(routers); count != 2 && count != 3 {
				t.Errorf("seed %d: %v are cut off at %s", seed, routers, at)
			}
		}
	}
	if len(kinds) != len(groupPartitionKinds) {
		t.Errorf("only %v were drawn", kinds)
	}
}
