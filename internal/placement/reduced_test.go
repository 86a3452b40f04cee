package placement

import (
	"testing"
	"time"
)

// TestReducedCapacityAddsReplicas checks that a version on overloaded machines with reduced
// capacity gets additional replicas if they are ready before the machines recover.
func TestReducedCapacityAddsReplicas(t *testing.T) {
	for _, test := range []struct {
		name       string
		reducedFor time.Duration
		rate       float64
		additional bool
	}{
		{"warm", 0, 0, false},
		{"warms up for longer than a load takes", time.Minute, 2, true},
		{"bears what is asked of it", time.Minute, 1000, false},
		{"is warm before another is loaded", time.Second / 2, 2, false},
	} {
		input := poolInput(6)
		// Two replicas are enough at full capacity.
		poolReplica(input, "v0", "m1")
		input.Replicas = append(input.Replicas[:3], input.Replicas[4:]...)
		for _, machine := range []string{"m0", "m1"} {
			input.Machines[machine].ReducedFor, input.Machines[machine].ReducedRate = test.reducedFor, test.rate
		}
		planner := newPoolPlanner()
		planner.Decide(input)
		peak := 0
		for range 20 {
			for range 10 {
				addWork(input, 10*time.Millisecond, map[string]uint64{"v0": 30, "v5": 40, "v7": 40, "v9": 40, "v11": 40})
			}
			applyDecision(input, planner.Decide(input))
			peak = max(peak, replicasOf(input, "v0"))
		}
		if additional := peak > 2; additional != test.additional {
			t.Errorf("%s: %d replicas at most", test.name, peak)
		}
	}
}
