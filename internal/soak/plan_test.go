package soak

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPlan checks what every plan must hold: the same for the same seed, over in time, struck is
// who exists, and somewhere faults overlap.
func TestPlan(t *testing.T) {
	layout := Layout{Control: []string{"c1", "c2", "c3"}, Routers: []string{"r1", "r2"}, Zones: [][]string{{"c1", "c3"}, {"c2"}}, Machines: 4}
	everybody := append(slices.Clone(layout.Control), layout.Routers...)
	const span = time.Minute
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		plan := NewPlan(seed, layout, span)
		if !reflect.DeepEqual(plan, NewPlan(seed, layout, span)) {
			t.Fatal("two plans of one seed differ")
		}
		overlaps, disksLost := false, 0
		for position, each := range plan {
			if each.At < calmStart || each.At+each.For > span {
				t.Fatalf("%s is not within the span", each)
			}
			if each.Node != "" && !slices.Contains(everybody, each.Node) || each.Machine >= layout.Machines {
				t.Fatalf("%s strikes nobody", each)
			}
			if each.Kind == FaultLoseDisk {
				disksLost++
			}
			overlaps = overlaps || position > 0 && each.At < plan[position-1].At+plan[position-1].For
		}
		if disksLost > mostDisksLost {
			t.Fatalf("%d disks are lost", disksLost)
		}
		if !overlaps {
			t.Fatal("no faults overlap")
		}
	})
}

// TestDisturbances: each fault disturbs the nodes that it strikes, all of them where it strikes
// several, and what strikes a machine or callers' links keeps nobody from knowing.
func TestDisturbances(t *testing.T) {
	layout := Layout{Control: []string{"c1"}, Zones: [][]string{{"c1"}}, Routers: []string{"r1"}, Machines: 1}
	spans := Disturbances([]Fault{
		{Kind: FaultKill, At: time.Second, Node: "r1"},
		{Kind: FaultCutTo, At: 2 * time.Second, For: time.Second, Node: "c1"},
		{Kind: FaultCrashMachine, At: 3 * time.Second},
	}, layout)
	spans = append(spans, Disturbances([]Fault{
		{Kind: FaultRollRouters, At: time.Second, For: rollTime},
		{Kind: FaultCutZone, At: time.Second, For: time.Second},
		{Kind: FaultSilenceCallers, At: time.Second, Node: "r1"},
		{Kind: FaultBurst, At: time.Second, For: time.Second},
	}, layout)...)
	want := []Disturbance{
		{From: time.Second, Till: time.Second + restartTime, Node: "r1"},
		{From: 2 * time.Second, Till: 3 * time.Second, Node: "c1", Control: true},
		{From: 3 * time.Second, Till: 3*time.Second + restartTime, Requests: true},
		{From: time.Second, Till: time.Second + stopTime, Node: "r1"},
		{From: time.Second, Till: 2 * time.Second, Node: "c1", Control: true},
		{From: time.Second, Till: time.Second + silentTime, Node: "r1", Requests: true},
	}
	if !reflect.DeepEqual(spans, want) {
		t.Errorf("%+v", spans)
	}
}

// TestPlanWithLimits: the other faults of a seed are what they are without limits, and limits are over in
// time, one after the other.
func TestPlanWithLimits(t *testing.T) {
	layout := Layout{Control: []string{"c1", "c2", "c3"}, Routers: []string{"r1"}, Zones: [][]string{{"c1", "c3"}, {"c2"}}, Machines: 4}
	const span = 30 * time.Second
	for seed := range uint64(50) {
		var others, limits []Fault
		for _, each := range NewPlanWithLimits(seed, layout, span) {
			if each.Kind == FaultLimitMachine {
				limits = append(limits, each)
			} else {
				others = append(others, each)
			}
		}
		if !reflect.DeepEqual(others, NewPlan(seed, layout, span)) {
			t.Fatalf("seed %d has other faults", seed)
		}
		for position, each := range limits {
			if each.At+each.For > span || position > 0 && each.At < limits[position-1].At+limits[position-1].For {
				t.Errorf("seed %d: %s", seed, each)
			}
		}
		if len(limits) == 0 {
			t.Errorf("seed %d has no limit", seed)
		}
	}
}

// TestStatements: the machines of each kind of statement come one after the other, and are over in time.
func TestStatements(t *testing.T) {
	layout := Layout{Machines: 4}
	const span = 30 * time.Second
	for seed := range uint64(50) {
		last := map[FaultKind]time.Duration{}
		for _, each := range Statements(seed, layout, span) {
			if each.At < max(calmStart, last[each.Kind]) || each.At+each.For > span {
				t.Errorf("seed %d: %s", seed, each)
			}
			last[each.Kind] = each.At + each.For
		}
		if len(last) != 2 {
			t.Errorf("seed %d has only %v", seed, last)
		}
	}
}

// TestRollout: every node is replaced in the end, some go back before, and never while all are of the present
// build.
func TestRollout(t *testing.T) {
	layout := Layout{Control: []string{"c1", "c2", "c3", "c4"}, Routers: []string{"r1", "r2", "r3"}}
	const span = time.Minute
	for seed := range uint64(50) {
		present, downgraded := map[string]bool{}, 0
		for _, each := range Rollout(seed, layout, span) {
			switch {
			case each.At < calmStart || each.At+stopTime > span:
				t.Fatalf("seed %d: %s is not within the span", seed, each)
			case each.Kind == FaultUpgrade:
				present[each.Node] = true
			case len(present) == len(layout.Control)+len(layout.Routers):
				t.Fatalf("seed %d: %s, when none is left of the former build", seed, each)
			default:
				delete(present, each.Node)
				downgraded++
			}
		}
		if len(present) != 7 || downgraded != 3 {
			t.Errorf("seed %d: %d nodes are replaced, %d went back", seed, len(present), downgraded)
		}
	}
}
