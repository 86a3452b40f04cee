package placement

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/places"
)

// regionInput is a pool of full machines, one in each region, by name.
func regionInput(regions ...string) *Input {
	input := poolInput(len(regions))
	for position, region := range regions {
		input.Machines["m"+strconv.Itoa(position)].Region = region
	}
	return input
}

// waitBound lets requests wait that are bound to regions.
func waitBound(input *Input, version string, requests int, regions ...string) {
	wait(input, version, requests)
	demand := input.Demand[version]
	demand.Constrained = append(demand.Constrained, ConstrainedDemand{Allowed: places.RestrictTo(regions...), Waiting: requests, OldestWait: time.Second})
}

// dropFrom takes all replicas off a machine.
func dropFrom(input *Input, machine string) {
	input.Replicas = slices.DeleteFunc(input.Replicas, func(replica *Replica) bool { return replica.Spec.Machine == machine })
}

// TestBoundDemandIsServedWhereItMayBe: a ready replica elsewhere does not count, nor does room.
func TestBoundDemandIsServedWhereItMayBe(t *testing.T) {
	input := regionInput("a", "b", "a", "")
	dropFrom(input, "m1")
	dropFrom(input, "m2")
	dropFrom(input, "m3")
	waitBound(input, "v0", 1, "b")
	decision := newPoolPlanner().Decide(input)
	expect(t, describe(decision), "load v0 on m1")
	if decision.Actions[0].Reason != "demand-in-region" || len(decision.Estimates) != 0 {
		t.Errorf("reason %s, estimates %+v", decision.Actions[0].Reason, decision.Estimates)
	}
	// One that is loading there is enough.
	poolReplica(input, "v0", "m1")
	loading := input.Replicas[len(input.Replicas)-1]
	loading.Spec.Phase, loading.Spec.Tier, loading.EnginePhase = v1.ReplicaLoading, string(TierRemote), EngineLoading
	input.Now = input.Now.Add(100 * time.Millisecond)
	expect(t, describe(newPoolPlanner().Decide(input)))
}

// TestNoMachineInTheAllowedRegion: nothing is loaded elsewhere instead.
func TestNoMachineInTheAllowedRegion(t *testing.T) {
	input := regionInput("a", "b", "")
	dropFrom(input, "m2")
	waitBound(input, "v0", 3, "c")
	waitBound(input, "v4", 3, "c")
	expect(t, describe(newPoolPlanner().Decide(input)))
}

// TestRoomIsMadeWhereRequestsMayBeServed: where no room is free, what is worth less gives way in
// the allowed region.
func TestRoomIsMadeWhereRequestsMayBeServed(t *testing.T) {
	input := regionInput("a", "b", "a")
	dropFrom(input, "m2")
	waitBound(input, "v0", 5, "b")
	decision := newPoolPlanner().Decide(input)
	if len(decision.Actions) != 1 || decision.Actions[0].Kind != ActionUnload || decision.Actions[0].Replica.Spec.Machine != "m1" {
		t.Errorf("%v", describe(decision))
	}
}

// TestOneReplicaServesNestedConstraints: one that the narrowest allows does for the wider, too.
func TestOneReplicaServesNestedConstraints(t *testing.T) {
	input := regionInput("a", "b", "c")
	dropFrom(input, "m1")
	dropFrom(input, "m2")
	input.Machines["m2"].Tiers["v0"] = TierMemory // A load there would be quicker.
	waitBound(input, "v0", 1, "b", "c")
	waitBound(input, "v0", 1, "b")
	expect(t, describe(newPoolPlanner().Decide(input)), "load v0 on m1")
}

// TestOnlyAllowedReplicaIsNoSurplus: v0 has two replicas and needs one for its load. The one that
// bound requests use is worth what they are, and without them next to nothing.
func TestOnlyAllowedReplicaIsNoSurplus(t *testing.T) {
	tests := []struct {
		name string
		// asked is set where v0 is asked for under a constraint at first, stillAsked where it is
		// to the end.
		asked, stillAsked bool
		span              time.Duration
		stays             bool
	}{
		{"asked for", true, true, 3 * time.Second, true},
		{"asked for long ago", true, false, boundLately + time.Second, false},
		{"never asked for", false, false, 3 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			input := regionInput("a", "b")
			dropFrom(input, "m1")
			poolReplica(input, "v0", "m1")
			input.Machines["m1"].AcceleratorBytes = 50
			planner := newPoolPlanner()
			if test.asked {
				input.Demand["v0"] = &Demand{Constrained: []ConstrainedDemand{{Allowed: places.RestrictTo("b"), Running: 1}}}
			}
			planner.Decide(input)
			if test.asked && !test.stillAsked {
				input.Demand["v0"].Constrained = nil
			}
			for range 20 {
				ask(input, test.span/20, map[string]uint64{"v1": 900})
				planner.Decide(input)
			}
			// The wanted version would be ready soonest where v0 is in region b.
			poolVersion(input, "wanted")
			input.Machines["m1"].Tiers["wanted"] = TierDisk
			wait(input, "wanted", 1)
			evicted := map[string]bool{}
			for _, action := range planner.Decide(input).Actions {
				if action.Kind == ActionUnload {
					evicted[action.Replica.Name] = true
				}
			}
			if evicted["v0.m1"] == test.stays {
				t.Errorf("evicted: %v", evicted)
			}
			if remembered := len(planner.bound) > 0; remembered != test.stillAsked {
				t.Errorf("remembered: %t", remembered)
			}
		})
	}
}

// TestFurtherReplicasDoNotTakeTheOnlyAllowedOne: another version that needs more replicas to share
// its load is no reason to leave bound requests without any.
func TestFurtherReplicasDoNotTakeTheOnlyAllowedOne(t *testing.T) {
	for _, bound := range []bool{true, false} {
		input := regionInput("a", "b")
		dropFrom(input, "m1")
		poolReplica(input, "v0", "m1")
		input.Machines["m1"].AcceleratorBytes = 50
		input.Replicas = slices.DeleteFunc(input.Replicas, func(replica *Replica) bool { return replica.Name == "v0.m0" })
		planner := newPoolPlanner()
		if bound {
			input.Demand["v0"] = &Demand{Constrained: []ConstrainedDemand{{Allowed: places.RestrictTo("b"), Running: 1}}}
		}
		planner.Decide(input)
		evicted := false
		for range 60 {
			delete(input.Demand, "v0")
			ask(input, 100*time.Millisecond, map[string]uint64{"v1": 90_000})
			input.Demand["v1"].Running = 200
			for _, action := range planner.Decide(input).Actions {
				evicted = evicted || action.Kind == ActionUnload && action.Replica.Name == "v0.m1"
			}
		}
		if evicted == bound {
			t.Errorf("bound %t, evicted %t", bound, evicted)
		}
	}
}

// TestBoundDemandIsServedWhereverThereIsRoom: in any fleet, what waits under a constraint and has
// no replica that may serve it gets one there, if a machine there has room and is free for orders;
// and no load for it goes elsewhere.
func TestBoundDemandIsServedWhereverThereIsRoom(t *testing.T) {
	regions := []string{"a", "b", "c", ""}
	rapid.Check(t, func(t *rapid.T) {
		input := poolInput(0)
		machines := rapid.IntRange(1, 8).Draw(t, "machines")
		for position := range machines {
			name := "m" + strconv.Itoa(position)
			input.Machines[name] = &Machine{
				Name: name, Accelerators: 1, AcceleratorBytes: 100, Incarnation: 1, Pool: "pool", Tiers: map[string]Tier{},
				Schedulable: rapid.IntRange(0, 4).Draw(t, "accepts") > 0, Region: rapid.SampledFrom(regions).Draw(t, "region"),
			}
		}
		for number := range 3 {
			name := "v" + strconv.Itoa(number)
			poolVersion(input, name)
			for position := range machines {
				if rapid.IntRange(0, 3).Draw(t, "holds") == 0 {
					poolReplica(input, name, "m"+strconv.Itoa(position))
				}
			}
		}
		allowed := places.RestrictTo(rapid.SliceOfNDistinct(rapid.SampledFrom(regions[:3]), 1, 2, rapid.ID[string]).Draw(t, "allowed")...)
		waitBound(input, "v0", rapid.IntRange(1, 5).Draw(t, "waiting"), allowed.Regions()...)
		served, room := false, false
		for name, machine := range input.Machines {
			held, holds := 0, false
			for _, replica := range input.Replicas {
				if replica.Spec.Machine == name {
					held++
					holds = holds || replica.Spec.Version == "v0"
				}
			}
			if machine.Schedulable && allowed.Allows(machine.Region) {
				served, room = served || holds, room || held < 2
			}
		}
		loads := 0
		for _, action := range newPoolPlanner().Decide(input).Actions {
			if action.Kind != ActionLoad {
				continue
			}
			loads++
			if region := input.Machines[action.Spec.Machine].Region; !allowed.Allows(region) {
				t.Fatalf("loaded in region %q for requests that are bound to %v", region, allowed.Regions())
			}
		}
		if wanted := !served && room; wanted && loads != 1 {
			t.Fatalf("%d loads", loads)
		}
	})
}
