package soak

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPlan checks that every plan is reproducible from its seed, stays within its span, affects existing
// targets only and has overlapping faults.
func TestPlan(t *testing.T) {
	layout := Layout{Control: []string{"c1", "c2", "c3"}, Routers: []string{"r1", "r2"}, Zones: [][]string{{"c1", "c3"}, {"c2"}}, Machines: 4}
	nodes := append(slices.Clone(layout.Control), layout.Routers...)
	const span = time.Minute
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		plan := NewPlan(seed, layout, span)
		if !reflect.DeepEqual(plan, NewPlan(seed, layout, span)) {
			t.Fatal("two plans of one seed differ")
		}
		overlaps, disksLost := false, 0
		for position, each := range plan {
			if each.At < faultFreeStart || each.At+each.Duration > span {
				t.Fatalf("%s is not within the span", each)
			}
			if each.Node != "" && !slices.Contains(nodes, each.Node) || each.Machine >= layout.Machines {
				t.Fatalf("%s has no existing target", each)
			}
			if each.Kind == FaultLoseDisk {
				disksLost++
			}
			overlaps = overlaps || position > 0 && each.At < plan[position-1].At+plan[position-1].Duration
		}
		if disksLost > maxDisksLost {
			t.Fatalf("%d disks are lost", disksLost)
		}
		if !overlaps {
			t.Fatal("no faults overlap")
		}
	})
}

// TestDisturbances checks that a fault disturbs every node that it affects. Faults of machines and of
// callers' connections disturb requests only.
func TestDisturbances(t *testing.T) {
	layout := Layout{Control: []string{"c1"}, Zones: [][]string{{"c1"}}, Routers: []string{"r1"}, Machines: 1}
	disturbances := Disturbances([]Fault{
		{Kind: FaultKill, At: time.Second, Node: "r1"},
		{Kind: FaultCutTo, At: 2 * time.Second, Duration: time.Second, Node: "c1"},
		{Kind: FaultCrashMachine, At: 3 * time.Second},
	}, layout)
	disturbances = append(disturbances, Disturbances([]Fault{
		{Kind: FaultRollRouters, At: time.Second, Duration: rollInterval},
		{Kind: FaultCutZone, At: time.Second, Duration: time.Second},
		{Kind: FaultSilenceCallers, At: time.Second, Node: "r1"},
		{Kind: FaultBurst, At: time.Second, Duration: time.Second},
	}, layout)...)
	want := []Disturbance{
		{Start: time.Second, End: time.Second + restartDuration, Node: "r1"},
		{Start: 2 * time.Second, End: 3 * time.Second, Node: "c1", IsControl: true},
		{Start: 3 * time.Second, End: 3*time.Second + restartDuration, RequestsOnly: true},
		{Start: time.Second, End: time.Second + stopDuration, Node: "r1", Planned: true},
		{Start: time.Second, End: 2 * time.Second, Node: "c1", IsControl: true},
		{Start: time.Second, End: time.Second + silentConnectionDuration, Node: "r1", RequestsOnly: true, Callers: true},
	}
	if !reflect.DeepEqual(disturbances, want) {
		t.Errorf("got %+v", disturbances)
	}
}

// TestPlanWithLimits checks that rate limits come one after the other, end within the span and leave the
// other faults of a seed unchanged.
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
			t.Fatalf("seed %d: limits changed the other faults", seed)
		}
		for position, each := range limits {
			if each.At+each.Duration > span || position > 0 && each.At < limits[position-1].At+limits[position-1].Duration {
				t.Errorf("seed %d: %s overlaps another limit or exceeds the span", seed, each)
			}
		}
		if len(limits) == 0 {
			t.Errorf("seed %d has no limit", seed)
		}
	}
}

// TestBackoffAndLeavePlan checks that faults of each kind come one after the other and end within the span.
func TestBackoffAndLeavePlan(t *testing.T) {
	layout := Layout{Machines: 4}
	const span = 30 * time.Second
	for seed := range uint64(50) {
		last := map[FaultKind]time.Duration{}
		for _, each := range NewBackoffAndLeavePlan(seed, layout, span) {
			if each.At < max(faultFreeStart, last[each.Kind]) || each.At+each.Duration > span {
				t.Errorf("seed %d: %s overlaps another fault of its kind or exceeds the span", seed, each)
			}
			last[each.Kind] = each.At + each.Duration
		}
		if len(last) != 2 {
			t.Errorf("seed %d has only %v", seed, last)
		}
	}
}

// TestRolloutPlan checks that a rollout upgrades every node, downgrades some on the way, and downgrades
// none once all run the current build.
func TestRolloutPlan(t *testing.T) {
	layout := Layout{Control: []string{"c1", "c2", "c3", "c4"}, Routers: []string{"r1", "r2", "r3"}}
	const span = time.Minute
	for seed := range uint64(50) {
		upgraded, downgrades := map[string]bool{}, 0
		for _, each := range NewRolloutPlan(seed, layout, span) {
			switch {
			case each.At < faultFreeStart || each.At+stopDuration > span:
				t.Fatalf("seed %d: %s is not within the span", seed, each)
			case each.Kind == FaultUpgrade:
				upgraded[each.Node] = true
			case len(upgraded) == len(layout.Control)+len(layout.Routers):
				t.Fatalf("seed %d: %s although all nodes run the current build", seed, each)
			default:
				delete(upgraded, each.Node)
				downgrades++
			}
		}
		if len(upgraded) != 7 || downgrades != 3 {
			t.Errorf("seed %d: %d nodes are upgraded after %d downgrades", seed, len(upgraded), downgrades)
		}
	}
}
