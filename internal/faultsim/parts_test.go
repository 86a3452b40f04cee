package faultsim

import (
	"math/rand/v2"
	"testing"
)

// TestHarmfulPromptParts guards against requests that differ but share a harmful part of their prompts, and against
// refusing sound requests beside them, with and without failures of control nodes, routers and engines.
func TestHarmfulPromptParts(t *testing.T) {
	const last = 16
	others := []Kind{FaultCrashLeader, FaultCutLeader, FaultCrashRouter, FaultFreezeRouter, FaultCrashEngine, FaultLoss, FaultSuspend}
	for _, additional := range [][]Kind{nil, others} {
		for seed := uint64(1); seed <= last; seed++ {
			random := rand.New(rand.NewPCG(seed, 0))
			schedule := Schedule{Seed: seed, Faults: []Fault{randomFault(random, []Kind{FaultCrashingPart})}}
			if seed%3 == 0 {
				schedule.Faults = append(schedule.Faults, randomFault(random, []Kind{FaultCrashingPart}))
			}
			for range 3 * min(1, len(additional)) {
				schedule.Faults = append(schedule.Faults, randomFault(random, additional))
			}
			for _, violation := range Run(schedule).Violations {
				t.Errorf("seed %d: %s: %s; replay %+v", seed, violation.Check, violation.Detail, schedule)
			}
		}
	}
}
