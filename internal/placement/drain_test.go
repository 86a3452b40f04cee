package placement

import (
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// drainMachines puts machines into a drained zone.
func drainMachines(input *Input, names ...string) {
	for _, name := range names {
		input.Machines[name].Schedulable, input.Machines[name].Drained = false, true
	}
}

// estimateFor returns the estimate of a decision for a version.
func estimateFor(decision Decision, version string) (Estimate, bool) {
	for _, estimate := range decision.Estimates {
		if estimate.Version == version {
			return estimate, true
		}
	}
	return Estimate{}, false
}

// TestDrainedReplicasAreKeptAndReplaced checks that a requested version held only in a drained zone
// is loaded elsewhere, and that the drained machine keeps its replicas.
func TestDrainedReplicasAreKeptAndReplaced(t *testing.T) {
	input := poolInput(3)
	planner := newPoolPlanner()
	expectActions(t, describe(planner.Decide(input)))
	drainMachines(input, "m0")
	addWork(input, time.Second, map[string]uint64{"v0": 9000})
	input.Demand["v0"].Waiting = 3
	// Another machine evicts a replica; the replicas on m0 stay.
	decision := planner.Decide(input)
	if len(decision.Actions) != 1 || decision.Actions[0].Kind != ActionUnload || decision.Actions[0].Replica.Spec.Machine == "m0" {
		t.Fatalf("with m0 drained: %q", describe(decision))
	}
	if estimate, found := estimateFor(decision, "v0"); !found || estimate.Refused {
		t.Errorf("estimate for v0: %+v", estimate)
	}
	victim := decision.Actions[0].Replica
	input.Replicas = withoutReplica(input.Replicas, victim)
	input.Now = input.Now.Add(100 * time.Millisecond)
	expectActions(t, describe(planner.Decide(input)), "load v0 on "+victim.Spec.Machine)
}

func TestDrainedReplicaIsNotReplacedWithoutDemand(t *testing.T) {
	input := poolInput(3)
	planner := newPoolPlanner()
	planner.Decide(input)
	drainMachines(input, "m0")
	for range 20 {
		input.Now = input.Now.Add(time.Second)
		expectActions(t, describe(planner.Decide(input)))
	}
}

// TestDrainDoesNotCountAsIdleTime checks that replicas are not unloaded as idle after a drain.
func TestDrainDoesNotCountAsIdleTime(t *testing.T) {
	input := twoMachineInput(0)
	fillMachine(input, "fast", 0)
	planner := newTestPlanner()
	expectActions(t, describe(planner.Decide(input)))
	input.Now = input.Now.Add(30 * time.Minute)
	expectActions(t, describe(planner.Decide(input)))
	drainMachines(input, "fast")
	for range 5 {
		input.Now = input.Now.Add(time.Hour)
		expectActions(t, describe(planner.Decide(input)))
	}
	input.Machines["fast"].Schedulable, input.Machines["fast"].Drained = true, false
	input.Now = input.Now.Add(29 * time.Minute)
	expectActions(t, describe(planner.Decide(input)))
	input.Now = input.Now.Add(2 * time.Minute)
	expectActions(t, describe(planner.Decide(input)), "unload other.1 (idle)")
}

// TestAllZonesDrained checks that waiting requests are refused when every machine is drained.
func TestAllZonesDrained(t *testing.T) {
	for _, machines := range [][]string{{"m0", "m1"}, {"m1"}} {
		input := poolInput(2)
		planner := newPoolPlanner()
		planner.Decide(input)
		drainMachines(input, machines...)
		addWork(input, time.Second, map[string]uint64{"v2": 9000})
		input.Demand["v2"].Waiting = 1
		poolVersion(input, "nowhere")
		input.Demand["nowhere"] = &Demand{Waiting: 1}
		decision := planner.Decide(input)
		for _, version := range []string{"v2", "nowhere"} {
			estimate, found := estimateFor(decision, version)
			refused := found && estimate.Refused && estimate.Reason == v1.ReasonZoneDrained
			if refused != (len(machines) == 2) {
				t.Errorf("%v drained: estimate for %s: %+v", machines, version, estimate)
			}
		}
		if len(machines) == 2 {
			expectActions(t, describe(decision))
		}
	}
}

// TestDrainedReplicaIsUnloadedAtMaximum checks that a drained replica does not block a load
// elsewhere by counting against the maximum.
func TestDrainedReplicaIsUnloadedAtMaximum(t *testing.T) {
	input := twoMachineInput(0)
	fillMachine(input, "fast", 0)
	planner := newTestPlanner()
	planner.Decide(input)
	drainMachines(input, "fast")
	expectActions(t, describe(planner.Decide(input)))
	input.Demand["other"] = &Demand{Waiting: 1, Arrivals: 1, OldestWait: time.Second}
	expectActions(t, describe(planner.Decide(input)), "unload other.1 (drained-at-maximum)", "load other on slow")
	// Without another machine the replica stays.
	drainMachines(input, "slow")
	expectActions(t, describe(planner.Decide(input)))
}

// TestServingDrainedReplicaIsReplaced checks that a drained replica with running requests is
// replaced within the maximum, without being unloaded.
func TestServingDrainedReplicaIsReplaced(t *testing.T) {
	for maximum, expected := range map[int][]string{1: nil, 2: {"load other on slow"}} {
		input := twoMachineInput(0)
		input.Versions["other"].MaxReplicas = maximum
		fillMachine(input, "fast", 1)
		planner := newTestPlanner()
		planner.Decide(input)
		drainMachines(input, "fast")
		expectActions(t, describe(planner.Decide(input)), expected...)
	}
}

// TestDrainedReplicaIsUnloadedForConstrainedRequests checks that a drained replica at the maximum
// is unloaded if another machine may serve the waiting constrained requests.
func TestDrainedReplicaIsUnloadedForConstrainedRequests(t *testing.T) {
	for _, test := range []struct {
		regions  []string
		expected []string
	}{
		{[]string{"a", "b", "b"}, []string{"unload v0.m1 (drained-at-maximum)", "load v0 on m2"}},
		// No other machine may serve the requests.
		{[]string{"a", "b", "a"}, nil},
	} {
		input := fullRegionInput(test.regions...)
		clearMachine(input, "m1")
		clearMachine(input, "m2")
		poolReplica(input, "v0", "m1")
		input.Versions["v0"].MaxReplicas = 2
		planner := newPoolPlanner()
		planner.Decide(input)
		drainMachines(input, "m1")
		setConstrainedWaiting(input, "v0", 1, "b")
		input.Now = input.Now.Add(100 * time.Millisecond)
		expectActions(t, describe(planner.Decide(input)), test.expected...)
	}
}
