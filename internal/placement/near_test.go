package placement

import (
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// emptyRegionInput has one empty machine in each of three regions (m0 in north, m1 in south, m2 in
// east), and a version that is cached on every disk.
func emptyRegionInput(version string) *Input {
	input := poolInput(3)
	input.Replicas = nil
	poolVersion(input, version)
	for name, region := range map[string]string{"m0": "north", "m1": "south", "m2": "east"} {
		input.Machines[name].Region = region
		input.Machines[name].Tiers[version] = TierDisk
	}
	return input
}

// loadedMachines returns the machine on which each version is loaded.
func loadedMachines(decision Decision) map[string]string {
	machines := map[string]string{}
	for _, action := range decision.Actions {
		if action.Kind == ActionLoad {
			machines[action.Spec.Version] = action.Spec.Machine
		}
	}
	return machines
}

// TestReplicaIsPlacedInRequestingRegion covers the first replica of a version with two waiting
// requests.
func TestReplicaIsPlacedInRequestingRegion(t *testing.T) {
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
		input := emptyRegionInput("rare")
		setWaiting(input, "rare", 2)
		input.Demand["rare"].Regions = test.regions
		test.change(input)
		if machine := loadedMachines(newPoolPlanner().Decide(input))["rare"]; machine != test.machine {
			t.Errorf("%s: loaded on %q, not on %s", test.name, machine, test.machine)
		}
	}
}

// TestAdditionalReplicaIsPlacedInUncoveredRegion checks that a region without a replica gets the
// next one, even if more requests come from another region.
func TestAdditionalReplicaIsPlacedInUncoveredRegion(t *testing.T) {
	input := emptyRegionInput("busy")
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
		addWork(input, 100*time.Millisecond, map[string]uint64{"busy": 900})
		if loaded := loadedMachines(planner.Decide(input))["busy"]; loaded != "" {
			machine = loaded
			break
		}
	}
	if machine != "m1" {
		t.Errorf("the additional replica is loaded on %q, not in the south", machine)
	}
}

// TestLostRegionIsReplacedByDemand checks that after the loss of a region, the version with the
// most waiting requests is loaded first.
func TestLostRegionIsReplacedByDemand(t *testing.T) {
	input := emptyRegionInput("asked-much")
	poolVersion(input, "asked-little")
	input.Machines["m1"].Tiers["asked-little"] = TierDisk
	input.Machines["m2"].Tiers["asked-little"] = TierDisk
	poolReplica(input, "asked-little", "m0")
	poolReplica(input, "asked-much", "m0")
	input.Machines["m0"].Schedulable, input.Machines["m0"].Lost = false, true
	input.Machines["m1"].Schedulable = false
	input.Machines["m2"].AcceleratorBytes = 50
	setWaiting(input, "asked-little", 1)
	setWaiting(input, "asked-much", 5)
	decided := loadedMachines(newPoolPlanner().Decide(input))
	if decided["asked-much"] != "m2" || decided["asked-little"] != "" {
		t.Errorf("loaded %v with room for one", decided)
	}
	if phase := input.Replicas[0].Spec.Phase; phase != v1.ReplicaReady {
		t.Errorf("the replica on the unreachable machine is %s, although its memory may be in use", phase)
	}
}
