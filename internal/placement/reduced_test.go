package placement

import (
	"testing"
	"time"
)

// TestWarmingMachinesBearLess: a version whose machines warm up, and get more than they bear, gets
// further replicas, if these are there before the machines are warm.
func TestWarmingMachinesBearLess(t *testing.T) {
	for _, test := range []struct {
		name    string
		warming time.Duration
		borne   float64
		further bool
	}{
		{"warm", 0, 0, false},
		{"warms up for longer than a load takes", time.Minute, 2, true},
		{"bears what is asked of it", time.Minute, 1000, false},
		{"is warm before another is loaded", time.Second / 2, 2, false},
	} {
		input := poolInput(6)
		// Two replicas are enough for its work while they are warm.
		poolReplica(input, "v0", "m1")
		input.Replicas = append(input.Replicas[:3], input.Replicas[4:]...)
		for _, machine := range []string{"m0", "m1"} {
			input.Machines[machine].ReducedFor, input.Machines[machine].ReducedRate = test.warming, test.borne
		}
		planner := newPoolPlanner()
		planner.Decide(input)
		most := 0
		for range 20 {
			for range 10 {
				ask(input, 10*time.Millisecond, map[string]uint64{"v0": 30, "v5": 40, "v7": 40, "v9": 40, "v11": 40})
			}
			carryOut(input, planner.Decide(input))
			most = max(most, replicasOf(input, "v0"))
		}
		if further := most > 2; further != test.further {
			t.Errorf("%s: %d replicas at most", test.name, most)
		}
	}
}
