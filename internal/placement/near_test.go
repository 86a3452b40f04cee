package placement

import (
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// regionsInput has a machine in each of three regions: m0 in north, m1 in south, m2 in east, all
// of them empty, and a version with its weights on every disk.
func regionsInput(version string) *Input {
	input := poolInput(3)
	input.Replicas = nil
	poolVersion(input, version)
	for name, region := range map[string]string{"m0": "north", "m1": "south", "m2": "east"} {
		input.Machines[name].Region = region
		input.Machines[name].Tiers[version] = TierDisk
	}
	return input
}

// loads returns the machines that versions are loaded on.
func loads(decision Decision) map[string]string {
	machines := map[string]string{}
	for _, action := range decision.Actions {
		if action.Kind == ActionLoad {
			machines[action.Spec.Version] = action.Spec.Machine
		}
	}
	return machines
}

// TestReplicaGoesWhereItIsAskedFor tables the first replica of a version that two requests wait
// for.
func TestReplicaGoesWhereItIsAskedFor(t *testing.T) {
	tests := []struct {
		name    string
		regions map[string]float64
		change  func(input *Input)
		machine string
	}{
		{"asked for in the south", map[string]float64{"south": 2}, func(*Input) {}, "m1"},
		{"mostly in the east", map[string]float64{"south": 1, "east": 2}, func(*Input) {}, "m2"},
		{"regions are not known", nil, func(*Input) {}, "m0"},
		{"the weights are on a disk elsewhere", map[string]float64{"south": 2}, func(input *Input) {
			delete(input.Machines["m0"].Tiers, "rare")
			delete(input.Machines["m1"].Tiers, "rare")
		}, "m2"},
		{"the region is lost", map[string]float64{"south": 2}, func(input *Input) {
			input.Machines["m1"].Schedulable, input.Machines["m1"].Lost = false, true
		}, "m0"},
	}
	for _, test := range tests {
		input := regionsInput("rare")
		wait(input, "rare", 2)
		input.Demand["rare"].Regions = test.regions
		test.change(input)
		if machine := loads(newPoolPlanner().Decide(input))["rare"]; machine != test.machine {
			t.Errorf("%s: loaded on %q, not on %s", test.name, machine, test.machine)
		}
	}
}

// TestFurtherReplicaGoesToAnotherRegion: most requests come from the region that has a replica;
// those of the other one crossed the link for good.
func TestFurtherReplicaGoesToAnotherRegion(t *testing.T) {
	input := regionsInput("busy")
	input.Machines["m3"] = &Machine{
		Name: "m3", Region: "north", Accelerators: 1, AcceleratorBytes: 100, Incarnation: 1, Schedulable: true, Pool: "pool",
		Tiers: map[string]Tier{"busy": TierDisk},
	}
	poolReplica(input, "busy", "m0")
	planner := newPoolPlanner()
	planner.Decide(input)
	input.Versions["busy"].Spec.MaxConcurrent = 4
	input.Demand["busy"] = &Demand{Running: 6, Regions: map[string]float64{"north": 3.5, "south": 2.5}}
	machine := ""
	for range 40 {
		ask(input, 100*time.Millisecond, map[string]uint64{"busy": 900})
		if loaded := loads(planner.Decide(input))["busy"]; loaded != "" {
			machine = loaded
			break
		}
	}
	if machine != "m1" {
		t.Errorf("the further replica is loaded on %q, not in the south", machine)
	}
}

// TestLostRegionComesBackByWorth: with one place left, what most requests wait for is loaded
// first, of all that only the lost region held.
func TestLostRegionComesBackByWorth(t *testing.T) {
	input := regionsInput("asked-much")
	poolVersion(input, "asked-little")
	input.Machines["m1"].Tiers["asked-little"] = TierDisk
	input.Machines["m2"].Tiers["asked-little"] = TierDisk
	poolReplica(input, "asked-little", "m0")
	poolReplica(input, "asked-much", "m0")
	input.Machines["m0"].Schedulable, input.Machines["m0"].Lost = false, true
	input.Machines["m1"].Schedulable = false
	input.Machines["m2"].AcceleratorBytes = 50
	wait(input, "asked-little", 1)
	wait(input, "asked-much", 5)
	decided := loads(newPoolPlanner().Decide(input))
	if decided["asked-much"] != "m2" || decided["asked-little"] != "" {
		t.Errorf("loaded %v with room for one", decided)
	}
	if phase := input.Replicas[0].Spec.Phase; phase != v1.ReplicaReady {
		t.Errorf("the record of a replica behind a lost link is %s: its memory may be in use", phase)
	}
}
