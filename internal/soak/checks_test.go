package soak

import (
	"testing"
	"time"

	"github.com/weldline/weldline/internal/places"
)

var testBounds = Bounds{Apply: 2 * time.Second, Drain: 2 * time.Second, Contact: time.Second, Tolerated: 1, WarmingPerSecond: 3}

// kept returns a history that breaks nothing.
func kept() *History {
	history := NewHistory()
	history.Requests["once"] = Request{ID: "once", Router: "r1", Allowed: places.RestrictTo("north")}
	history.Requests["again"] = Request{ID: "again", Router: "r1", Repeatable: true}
	history.Requests["refused"] = Request{ID: "refused", Router: "r2"}
	history.Requests["plain"] = Request{ID: "plain", Router: "r2", Plain: true, Sent: 2 * time.Second}
	north, south := Place{Zone: "n1", Region: "north"}, Place{Zone: "s1", Region: "south"}
	history.Arrivals = []Arrival{
		{Request: "once", Machine: "m1", Place: north, At: time.Second, Warming: true},
		{Request: "again", Machine: "m1", Place: north, At: 1200 * time.Millisecond, Warming: true},
		{Request: "again", Machine: "m2", Place: south, At: 2 * time.Second},
	}
	history.Answers = []Answer{
		{Request: "once", Outcome: OutcomeAnswered, Right: true},
		{Request: "again", Outcome: OutcomeUnknown},
		{Request: "refused", Outcome: OutcomeNotRun},
		{Request: "plain", Outcome: OutcomeAnswered, Right: true, At: 3 * time.Second},
	}
	history.Orders = []Order{
		{Kind: OrderDeclare, Version: 3, Acknowledged: time.Second},
		{Kind: OrderDrain, Zone: "s1", Sent: 3 * time.Second, Acknowledged: 4 * time.Second},
		{Kind: OrderUndrain, Zone: "s1", Sent: 10 * time.Second, Acknowledged: 11 * time.Second},
	}
	history.Ignored = []Order{{Kind: OrderDrain, Zone: "n1", Sent: 12 * time.Second, Acknowledged: 17 * time.Second}}
	history.Reads = []Read{{Node: "c1", Version: 2, Sent: 2 * time.Second}, {Node: "c1", Version: 3, Sent: 4 * time.Second}}
	return history
}

func TestJudgeFindsNothing(t *testing.T) {
	if found := Judge(kept(), testBounds, explained); len(found) > 0 {
		t.Errorf("%v", found)
	}
}

// explained explains the order that nobody acknowledged, and nothing else.
var explained = []Disturbance{
	{From: 10 * time.Second, Till: 11500 * time.Millisecond, Node: "c1", Control: true},
	{From: 11 * time.Second, Till: 11500 * time.Millisecond, Node: "c2", Control: true},
}

// TestEachCheckCanFail breaks one promise at a time.
func TestEachCheckCanFail(t *testing.T) {
	late := Arrival{Request: "again", Machine: "m2", Place: Place{Zone: "s1", Region: "south"}, At: 7 * time.Second}
	breaks := map[string]func(history *History){
		"whole-answers":  func(h *History) { h.Answers[0].Right = false },
		"no-denials":     func(h *History) { h.Answers[1].Outcome = OutcomeDenied },
		"at-most-once":   func(h *History) { h.Arrivals[1].Request = "once" },
		"not-run":        func(h *History) { h.Arrivals[2].Request = "refused" },
		"plain-requests": func(h *History) { h.Answers[3].Outcome = OutcomeNotRun },
		"orders":         func(h *History) { h.Ignored[0].Sent += time.Second },
		"configuration":  func(h *History) { h.Reads[1].Version = 2 },
		"zone-drains":    func(h *History) { h.Arrivals = append(h.Arrivals, late) },
		"warming-machines": func(h *History) {
			for _, at := range []time.Duration{1500, 1999} {
				h.Arrivals = append(h.Arrivals, Arrival{Request: "again", Machine: "m1", At: at * time.Millisecond, Warming: true})
			}
		},
		"machine-limits": func(h *History) {
			for at := range 12 {
				h.Arrivals = append(h.Arrivals, Arrival{Request: "again", Machine: "m3", At: time.Duration(at) * 360 * time.Millisecond, Limit: 1})
			}
		},
		"machine-rests": func(h *History) {
			h.Answers[2].At = 1100 * time.Millisecond
			for _, at := range []time.Duration{1000, 1600, 2000, 2900} {
				h.Rejections = append(h.Rejections, Rejection{Request: "refused", Machine: "m1", At: at * time.Millisecond, Rest: 2 * time.Second})
			}
		},
		"leaving-machines": func(h *History) {
			h.Requests["late"] = Request{ID: "late", Router: "r1", Sent: 4 * time.Second}
			h.Answers[0].At = 1500 * time.Millisecond
			h.Leaving = append(h.Leaving, LeavingAnswer{Request: "once", Machine: "m1"})
			h.Arrivals = append(h.Arrivals, Arrival{Request: "late", Machine: "m1", At: 4 * time.Second})
		},
		"regions":  func(h *History) { h.Arrivals[0].Place.Region = "south" },
		"memory":   func(h *History) { h.Overcommits = append(h.Overcommits, "m1") },
		"recovery": func(h *History) { h.Unserved = append(h.Unserved, "r1") },
	}
	for _, each := range checks {
		history := kept()
		breaks[each.promise](history)
		found := Judge(history, testBounds, explained)
		if len(found) != 1 || found[0].Promise != each.promise {
			t.Errorf("%s: found %v", each.promise, found)
		}
	}
}

// TestDrainsOfThoseWhoCannotKnow: a router that was cut off lately may send what it should not
// have; one that was not may not.
func TestDrainsOfThoseWhoCannotKnow(t *testing.T) {
	history := kept()
	history.Arrivals = append(history.Arrivals, Arrival{Request: "again", Place: Place{Zone: "s1"}, At: 7 * time.Second})
	for _, test := range []struct {
		disturbance Disturbance
		found       int
	}{
		{Disturbance{From: 5 * time.Second, Till: 6500 * time.Millisecond, Node: "r1"}, 0},
		{Disturbance{From: 5 * time.Second, Till: 6500 * time.Millisecond, Node: "c1", Control: true}, 1},
		{Disturbance{From: 5 * time.Second, Till: 6500 * time.Millisecond, Node: "r2"}, 1},
		{Disturbance{From: 4 * time.Second, Till: 5 * time.Second, Node: "r1"}, 1},
		{Disturbance{From: 8 * time.Second, Till: 9 * time.Second, Node: "r1"}, 1},
		{Disturbance{From: 5 * time.Second, Till: 6500 * time.Millisecond, Node: "r1", Requests: true}, 1},
	} {
		if found := Judge(history, testBounds, append([]Disturbance{test.disturbance}, explained...)); len(found) != test.found {
			t.Errorf("%+v: found %v", test.disturbance, found)
		}
	}
}

// TestPlainRequestsThatFaultsExplain: a request may fail where its own router or a machine was
// disturbed while it was under way, or a router that started again could not learn what is in
// force. What strikes control nodes alone explains nothing.
func TestPlainRequestsThatFaultsExplain(t *testing.T) {
	history := kept()
	history.Answers[3].Outcome = OutcomeUnknown // Sent at 2 s, over at 3 s.
	span := func(from, till time.Duration) Disturbance {
		return Disturbance{From: from * time.Millisecond, Till: till * time.Millisecond}
	}
	of := func(node string, span Disturbance) Disturbance {
		span.Node = node
		return span
	}
	control := func(node string, span Disturbance) Disturbance {
		span.Node, span.Control = node, true
		return span
	}
	requests := func(span Disturbance) Disturbance {
		span.Requests = true
		return span
	}
	for _, test := range []struct {
		disturbances []Disturbance
		found        int
	}{
		{[]Disturbance{of("r2", span(2500, 2600))}, 0},
		{[]Disturbance{of("r2", span(500, 2000))}, 0},
		{[]Disturbance{of("r2", span(500, 1900))}, 1},
		{[]Disturbance{of("r2", span(500, 900)), control("c1", span(800, 1500)), control("c2", span(800, 1500))}, 0},
		{[]Disturbance{of("r2", span(500, 900)), control("c1", span(800, 1500))}, 1},
		{[]Disturbance{of("r2", span(500, 900)), control("c1", span(1000, 1500)), control("c2", span(1000, 1500))}, 1},
		{[]Disturbance{of("r2", span(3100, 3200))}, 1},
		{[]Disturbance{of("r1", span(2500, 2600))}, 1},
		{[]Disturbance{requests(span(2500, 2600))}, 0},
		{[]Disturbance{control("c1", span(1500, 2600)), control("c2", span(1500, 2600))}, 1},
	} {
		if found := Judge(history, testBounds, append(test.disturbances, explained...)); len(found) != test.found {
			t.Errorf("%+v: found %v", test.disturbances, found)
		}
	}
}

// TestIntolerableFaultsExplainArrivals: routers can't learn of a drain while more control nodes
// are disturbed than are tolerated.
func TestIntolerableFaultsExplainArrivals(t *testing.T) {
	history := kept()
	history.Arrivals = append(history.Arrivals, Arrival{Request: "again", Place: Place{Zone: "s1"}, At: 7 * time.Second})
	both := append([]Disturbance{
		{From: 5 * time.Second, Till: 6500 * time.Millisecond, Node: "c1", Control: true},
		{From: 5 * time.Second, Till: 6500 * time.Millisecond, Node: "c2", Control: true},
	}, explained...)
	if found := Judge(history, testBounds, both); len(found) > 0 {
		t.Errorf("found %v", found)
	}
}

// TestFaultsOneAfterTheOtherAreTolerated: two control nodes are too many only at the same time.
func TestFaultsOneAfterTheOtherAreTolerated(t *testing.T) {
	first := Disturbance{From: 5 * time.Second, Till: 6 * time.Second, Node: "c1", Control: true}
	second := Disturbance{Till: 9 * time.Second, Node: "c2", Control: true}
	for from, intolerable := range map[time.Duration]bool{
		5500 * time.Millisecond: true, 6500 * time.Millisecond: true, 7500 * time.Millisecond: false,
	} {
		second.From = from
		if testBounds.intolerable([]Disturbance{first, second}, 8*time.Second, 8*time.Second) != intolerable {
			t.Errorf("a second fault at %s: intolerable is not %t", from, intolerable)
		}
	}
}
