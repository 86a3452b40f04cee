package placement

import (
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// drainMachines puts the zone of machines under a drain.
func drainMachines(input *Input, names ...string) {
	for _, name := range names {
		input.Machines[name].Schedulable, input.Machines[name].Drained = false, true
	}
}

// estimateFor returns what a decision says of a version.
func estimateFor(decision Decision, version string) (Estimate, bool) {
	for _, estimate := range decision.Estimates {
		if estimate.Version == version {
			return estimate, true
		}
	}
	return Estimate{}, false
}

// TestDrainedReplicasAreReplacedAndKept: what only a drained zone held, and is asked for, is
// loaded elsewhere; nothing is loaded or unloaded in the zone.
func TestDrainedReplicasAreReplacedAndKept(t *testing.T) {
	input := poolInput(3)
	planner := newPoolPlanner()
	expect(t, describe(planner.Decide(input)))
	drainMachines(input, "m0")
	ask(input, time.Second, map[string]uint64{"v0": 9000})
	input.Demand["v0"].Waiting = 3
	// One of the others makes room; neither v0 nor v1 on m0 is touched.
	decision := planner.Decide(input)
	if len(decision.Actions) != 1 || decision.Actions[0].Kind != ActionUnload || decision.Actions[0].Replica.Spec.Machine == "m0" {
		t.Fatalf("with m0 drained: %q", describe(decision))
	}
	if estimate, told := estimateFor(decision, "v0"); !told || estimate.Refused {
		t.Errorf("who waits for v0 is told %+v", estimate)
	}
	victim := decision.Actions[0].Replica
	input.Replicas = withoutReplica(input.Replicas, victim)
	input.Now = input.Now.Add(100 * time.Millisecond)
	expect(t, describe(planner.Decide(input)), "load v0 on "+victim.Spec.Machine)
}

// TestDrainedReplicaIsNotReplacedWithoutDemand: a load is worth what it serves.
func TestDrainedReplicaIsNotReplacedWithoutDemand(t *testing.T) {
	input := poolInput(3)
	planner := newPoolPlanner()
	planner.Decide(input)
	drainMachines(input, "m0")
	for range 20 {
		input.Now = input.Now.Add(time.Second)
		expect(t, describe(planner.Decide(input)))
	}
}

// TestReturnedReplicasAreAsFreshAsBefore: a drain takes minutes, in which nobody could use them.
func TestReturnedReplicasAreAsFreshAsBefore(t *testing.T) {
	input := placeInput(0)
	occupy(input, "fast", 0)
	planner := newTestPlanner()
	expect(t, describe(planner.Decide(input)))
	input.Now = input.Now.Add(30 * time.Minute)
	expect(t, describe(planner.Decide(input)))
	drainMachines(input, "fast")
	for range 5 {
		input.Now = input.Now.Add(time.Hour)
		expect(t, describe(planner.Decide(input)))
	}
	input.Machines["fast"].Schedulable, input.Machines["fast"].Drained = true, false
	input.Now = input.Now.Add(29 * time.Minute)
	expect(t, describe(planner.Decide(input)))
	input.Now = input.Now.Add(2 * time.Minute)
	expect(t, describe(planner.Decide(input)), "unload other.1 (idle)")
}

// TestAllZonesDrained: who waits is told so, and nothing changes.
func TestAllZonesDrained(t *testing.T) {
	for _, machines := range [][]string{{"m0", "m1"}, {"m1"}} {
		input := poolInput(2)
		planner := newPoolPlanner()
		planner.Decide(input)
		drainMachines(input, machines...)
		ask(input, time.Second, map[string]uint64{"v2": 9000})
		input.Demand["v2"].Waiting = 1
		poolVersion(input, "nowhere")
		input.Demand["nowhere"] = &Demand{Waiting: 1}
		decision := planner.Decide(input)
		for _, version := range []string{"v2", "nowhere"} {
			estimate, told := estimateFor(decision, version)
			refused := told && estimate.Refused && estimate.Reason == v1.ReasonZoneDrained
			if refused != (len(machines) == 2) {
				t.Errorf("%v drained: who waits for %s is told %+v", machines, version, estimate)
			}
		}
		if len(machines) == 2 {
			expect(t, describe(decision))
		}
	}
}

// TestDrainedReplicaAtTheMaximumGivesWay: the state counts it, and would refuse another.
func TestDrainedReplicaAtTheMaximumGivesWay(t *testing.T) {
	input := placeInput(0)
	occupy(input, "fast", 0)
	planner := newTestPlanner()
	planner.Decide(input)
	drainMachines(input, "fast")
	expect(t, describe(planner.Decide(input)))
	input.Demand["other"] = &Demand{Waiting: 1, Arrivals: 1, OldestWait: time.Second}
	expect(t, describe(planner.Decide(input)), "unload other.1 (drained-at-maximum)", "load other on slow")
	// Nothing is gained by it where there is no other machine.
	drainMachines(input, "slow")
	expect(t, describe(planner.Decide(input)))
}

// TestDrainedReplicaThatStillRunsIsReplaced: what runs there goes on, and more will come; but the state
// counts it toward the maximum.
func TestDrainedReplicaThatStillRunsIsReplaced(t *testing.T) {
	for maximum, wanted := range map[int][]string{1: nil, 2: {"load other on slow"}} {
		input := placeInput(0)
		input.Versions["other"].MaxReplicas = maximum
		occupy(input, "fast", 1)
		planner := newTestPlanner()
		planner.Decide(input)
		drainMachines(input, "fast")
		expect(t, describe(planner.Decide(input)), wanted...)
	}
}

// TestDrainedReplicaGivesWayToBoundRequests: a replica that is ready elsewhere may not serve them, and
// the one that might stands in a drained zone and counts toward the maximum.
func TestDrainedReplicaGivesWayToBoundRequests(t *testing.T) {
	for _, test := range []struct {
		regions []string
		wanted  []string
	}{
		{[]string{"a", "b", "b"}, []string{"unload v0.m1 (drained-at-maximum)", "load v0 on m2"}},
		// Nothing is gained by it where no other machine may serve them.
		{[]string{"a", "b", "a"}, nil},
	} {
		input := regionInput(test.regions...)
		dropFrom(input, "m1")
		dropFrom(input, "m2")
		poolReplica(input, "v0", "m1")
		input.Versions["v0"].MaxReplicas = 2
		planner := newPoolPlanner()
		planner.Decide(input)
		drainMachines(input, "m1")
		waitBound(input, "v0", 1, "b")
		input.Now = input.Now.Add(100 * time.Millisecond)
		expect(t, describe(planner.Decide(input)), test.wanted...)
	}
}
