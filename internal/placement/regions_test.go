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

// fullRegionInput is a pool of full machines, one for each of the given regions.
func fullRegionInput(regions ...string) *Input {
	input := poolInput(len(regions))
	for position, region := range regions {
		input.Machines["m"+strconv.Itoa(position)].Region = region
	}
	return input
}

// setConstrainedWaiting sets waiting requests that are constrained to regions.
func setConstrainedWaiting(input *Input, version string, requests int, regions ...string) {
	setWaiting(input, version, requests)
	demand := input.Demand[version]
	demand.Constrained = append(demand.Constrained, ConstrainedDemand{Hosts: places.HostConstraint{Regions: places.RestrictTo(regions...)}, Waiting: requests, OldestWait: time.Second})
}

// clearMachine removes all replicas from a machine.
func clearMachine(input *Input, machine string) {
	input.Replicas = slices.DeleteFunc(input.Replicas, func(replica *Replica) bool { return replica.Spec.Machine == machine })
}

// TestConstrainedDemandLoadsInAllowedRegion checks that neither a ready replica nor free memory in
// another region prevents a load in the allowed region.
func TestConstrainedDemandLoadsInAllowedRegion(t *testing.T) {
	input := fullRegionInput("a", "b", "a", "")
	clearMachine(input, "m1")
	clearMachine(input, "m2")
	clearMachine(input, "m3")
	setConstrainedWaiting(input, "v0", 1, "b")
	decision := newPoolPlanner().Decide(input)
	expectActions(t, describe(decision), "load v0 on m1")
	if decision.Actions[0].Reason != "demand-in-region" || len(decision.Estimates) != 0 {
		t.Errorf("reason %s, estimates %+v", decision.Actions[0].Reason, decision.Estimates)
	}
	// A loading replica in the allowed region is enough.
	poolReplica(input, "v0", "m1")
	loading := input.Replicas[len(input.Replicas)-1]
	loading.Spec.Phase, loading.Spec.Tier, loading.EnginePhase = v1.ReplicaLoading, string(TierRemote), EngineLoading
	input.Now = input.Now.Add(100 * time.Millisecond)
	expectActions(t, describe(newPoolPlanner().Decide(input)))
}

// TestResumedStreamsLoadAtTheirSoftware guards against streams that can't go on although machines with the version
// of the software that began them are there.
func TestResumedStreamsLoadAtTheirSoftware(t *testing.T) {
	input := fullRegionInput("a", "a", "a")
	input.Machines["m0"].Software, input.Machines["m1"].Software, input.Machines["m2"].Software = "v1", "v1.1", ""
	clearMachine(input, "m1")
	clearMachine(input, "m2")
	setWaiting(input, "v0", 1)
	input.Demand["v0"].Constrained = []ConstrainedDemand{{Hosts: places.HostConstraint{Software: "v1.1"}, Waiting: 1, OldestWait: time.Second}}
	decision := newPoolPlanner().Decide(input)
	expectActions(t, describe(decision), "load v0 on m1")
	if decision.Actions[0].Reason != "demand-at-software" {
		t.Errorf("reason %s", decision.Actions[0].Reason)
	}
	input.Demand["v0"].Constrained[0].Hosts.Software = "v2"
	expectActions(t, describe(newPoolPlanner().Decide(input)))
}

// TestNoLoadOutsideAllowedRegion checks that nothing is loaded if no machine is in the allowed
// region.
func TestNoLoadOutsideAllowedRegion(t *testing.T) {
	input := fullRegionInput("a", "b", "")
	clearMachine(input, "m2")
	setConstrainedWaiting(input, "v0", 3, "c")
	setConstrainedWaiting(input, "v4", 3, "c")
	expectActions(t, describe(newPoolPlanner().Decide(input)))
}

// TestEvictionHappensInAllowedRegion checks that memory is freed in the allowed region, although
// another region has free memory.
func TestEvictionHappensInAllowedRegion(t *testing.T) {
	input := fullRegionInput("a", "b", "a")
	clearMachine(input, "m2")
	setConstrainedWaiting(input, "v0", 5, "b")
	decision := newPoolPlanner().Decide(input)
	if len(decision.Actions) != 1 || decision.Actions[0].Kind != ActionUnload || decision.Actions[0].Replica.Spec.Machine != "m1" {
		t.Errorf("%v", describe(decision))
	}
}

// TestOneReplicaServesNestedConstraints checks that a replica for the narrowest constraint also
// counts for wider ones.
func TestOneReplicaServesNestedConstraints(t *testing.T) {
	input := fullRegionInput("a", "b", "c")
	clearMachine(input, "m1")
	clearMachine(input, "m2")
	input.Machines["m2"].Tiers["v0"] = TierMemory // A load on m2 would be faster.
	setConstrainedWaiting(input, "v0", 1, "b", "c")
	setConstrainedWaiting(input, "v0", 1, "b")
	expectActions(t, describe(newPoolPlanner().Decide(input)), "load v0 on m1")
}

// TestOnlyAllowedReplicaIsNotSurplus checks that the only replica that may serve recent constrained
// requests is kept, although the load of the version requires one replica less.
func TestOnlyAllowedReplicaIsNotSurplus(t *testing.T) {
	tests := []struct {
		name string
		// requested is set if v0 is requested under a constraint at first, stillRequested if it
		// is until the end.
		requested, stillRequested bool
		span                      time.Duration
		stays                     bool
	}{
		{"asked for", true, true, 3 * time.Second, true},
		{"asked for long ago", true, false, constraintRetention + time.Second, false},
		{"never asked for", false, false, 3 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			input := fullRegionInput("a", "b")
			clearMachine(input, "m1")
			poolReplica(input, "v0", "m1")
			input.Machines["m1"].AcceleratorBytes = 50
			planner := newPoolPlanner()
			if test.requested {
				input.Demand["v0"] = &Demand{Constrained: []ConstrainedDemand{{Hosts: places.HostConstraint{Regions: places.RestrictTo("b")}, Running: 1}}}
			}
			planner.Decide(input)
			if test.requested && !test.stillRequested {
				input.Demand["v0"].Constrained = nil
			}
			for range 20 {
				addWork(input, test.span/20, map[string]uint64{"v1": 900})
				planner.Decide(input)
			}
			// The wanted version is cached in region b, where v0 is loaded.
			poolVersion(input, "wanted")
			input.Machines["m1"].Tiers["wanted"] = TierDisk
			setWaiting(input, "wanted", 1)
			evicted := map[string]bool{}
			for _, action := range planner.Decide(input).Actions {
				if action.Kind == ActionUnload {
					evicted[action.Replica.Name] = true
				}
			}
			if evicted["v0.m1"] == test.stays {
				t.Errorf("evicted: %v", evicted)
			}
			if remembered := len(planner.constraints) > 0; remembered != test.stillRequested {
				t.Errorf("remembered: %t", remembered)
			}
		})
	}
}

// TestAdditionalReplicaDoesNotEvictOnlyAllowedOne checks that an additional replica of another
// version does not evict the only replica for constrained requests.
func TestAdditionalReplicaDoesNotEvictOnlyAllowedOne(t *testing.T) {
	for _, constrained := range []bool{true, false} {
		input := fullRegionInput("a", "b")
		clearMachine(input, "m1")
		poolReplica(input, "v0", "m1")
		input.Machines["m1"].AcceleratorBytes = 50
		input.Replicas = slices.DeleteFunc(input.Replicas, func(replica *Replica) bool { return replica.Name == "v0.m0" })
		planner := newPoolPlanner()
		if constrained {
			input.Demand["v0"] = &Demand{Constrained: []ConstrainedDemand{{Hosts: places.HostConstraint{Regions: places.RestrictTo("b")}, Running: 1}}}
		}
		planner.Decide(input)
		evicted := false
		for range 60 {
			delete(input.Demand, "v0")
			addWork(input, 100*time.Millisecond, map[string]uint64{"v1": 90_000})
			input.Demand["v1"].Running = 200
			for _, action := range planner.Decide(input).Actions {
				evicted = evicted || action.Kind == ActionUnload && action.Replica.Name == "v0.m1"
			}
		}
		if evicted == constrained {
			t.Errorf("constrained %t, evicted %t", constrained, evicted)
		}
	}
}

// TestConstrainedDemandIsLoadedWhereMemoryIsFree checks, in random fleets, that constrained
// requests without an allowed replica get one on an allowed machine with free memory, and that no
// load goes elsewhere.
func TestConstrainedDemandIsLoadedWhereMemoryIsFree(t *testing.T) {
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
		setConstrainedWaiting(input, "v0", rapid.IntRange(1, 5).Draw(t, "waiting"), allowed.Regions()...)
		served, hasMemory := false, false
		for name, machine := range input.Machines {
			held, holds := 0, false
			for _, replica := range input.Replicas {
				if replica.Spec.Machine == name {
					held++
					holds = holds || replica.Spec.Version == "v0"
				}
			}
			if machine.Schedulable && allowed.Allows(machine.Region) {
				served, hasMemory = served || holds, hasMemory || held < 2
			}
		}
		loads := 0
		for _, action := range newPoolPlanner().Decide(input).Actions {
			if action.Kind != ActionLoad {
				continue
			}
			loads++
			if region := input.Machines[action.Spec.Machine].Region; !allowed.Allows(region) {
				t.Fatalf("loaded in region %q for requests constrained to %v", region, allowed.Regions())
			}
		}
		if wanted := !served && hasMemory; wanted && loads != 1 {
			t.Fatalf("%d loads", loads)
		}
	})
}
