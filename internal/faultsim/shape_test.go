package faultsim

import (
	"math/rand/v2"
	"testing"
	"time"
)

// manyRouters is a cluster with several routers in each zone, each of which gets about two requests a second.
var manyRouters = Shape{Routers: 24, Machines: 12, Models: 12, RequestInterval: 20 * time.Millisecond}

// pathSchedule cuts the paths of many routers, while control nodes fail.
func pathSchedule(seed uint64, shape Shape) Schedule {
	random := rand.New(rand.NewPCG(seed, 0))
	schedule := Schedule{Seed: seed, Shape: shape}
	for range 2 {
		cut := randomFault(random, []Kind{FaultCutZonePaths, FaultCutMostPaths, FaultCutZonePaths})
		cut.For = min(10*time.Second, faultsEnd-cut.At)
		schedule.Faults = append(schedule.Faults, cut, randomFault(random, controlKinds))
	}
	return schedule
}

// TestRoutersCutOffTogether guards against routers that find no help because their zone, or most routers, are cut off
// with them, also while control nodes fail.
func TestRoutersCutOffTogether(t *testing.T) {
	const last = 12
	for seed := uint64(1); seed <= last; seed++ {
		schedule := pathSchedule(seed, manyRouters)
		for _, violation := range Run(schedule).Violations {
			t.Errorf("seed %d: %s: %s; replay %+v", seed, violation.Check, violation.Detail, schedule)
		}
	}
}

// TestRoutersThatLearnOfTheirZoneOnlyAreCaught checks that the schedules above show routers that look for help where
// the fault is.
func TestRoutersThatLearnOfTheirZoneOnlyAreCaught(t *testing.T) {
	const last = 12
	for seed := uint64(1); seed <= last; seed++ {
		schedule := pathSchedule(seed, manyRouters)
		schedule.Mutation = MutationOwnZoneOnly
		if violates(Run(schedule), CheckPaths) {
			return
		}
	}
	t.Errorf("%s reported no violation in %d schedules", CheckPaths, last)
}
