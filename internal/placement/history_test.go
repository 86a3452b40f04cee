package placement

import (
	"testing"
	"time"
)

// busyVersionInput has a replica of v0 on every machine, and a waiting request for a version
// without replicas.
func busyVersionInput() *Input {
	input := poolInput(6)
	for position := 2; position < len(input.Replicas); position += 2 {
		spec := input.Replicas[position].Spec
		spec.Model, spec.Version, spec.Checkpoint = "v0", "v0", "v0"
	}
	poolVersion(input, "cold")
	input.Demand["v0"] = &Demand{Arrivals: 900, Work: 1_000_000}
	input.Demand["cold"] = &Demand{Arrivals: 1, Work: 1000, Waiting: 1, OldestWait: time.Second}
	return input
}

// countEvictions counts the evictions of a decision, and those of a version among them.
func countEvictions(decision Decision, version string) (all, ofVersion int) {
	for _, action := range decision.Actions {
		if action.Kind != ActionUnload {
			continue
		}
		all++
		if action.Replica.Spec.Version == version {
			ofVersion++
		}
	}
	return all, ofVersion
}

// TestNewLeaderKeepsBusyReplicas checks that a new leader, which has not observed any work yet,
// does not evict replicas of busy versions as surplus.
func TestNewLeaderKeepsBusyReplicas(t *testing.T) {
	previous := newPoolPlanner()
	input := busyVersionInput()
	delete(input.Demand, "cold")
	for range 50 {
		addWork(input, 100*time.Millisecond, map[string]uint64{"v0": 3000})
		previous.Decide(input)
	}
	history := previous.History(input.Now)
	if len(history) != 1 || history[0].Version != "v0" || history[0].Rate < minSpreadRate {
		t.Fatalf("history %+v", history)
	}

	for name, known := range map[string][]VersionHistory{"with the history": history, "without it": nil} {
		input := busyVersionInput()
		config := previous.config
		config.History = known
		decision := NewPlanner(config).Decide(input)
		if all, busy := countEvictions(decision, "v0"); all == 0 || busy > 0 {
			t.Errorf("%s: evicted %d, of these %d of the busy version", name, all, busy)
		}
	}
}

// TestSurplusIsEvictedOnceRatesConverge checks that replicas of a version without requests are
// evicted first once its rate is known to be low.
func TestSurplusIsEvictedOnceRatesConverge(t *testing.T) {
	input := busyVersionInput()
	planner := newPoolPlanner()
	delete(input.Demand, "cold")
	planner.Decide(input)
	for range 30 {
		input.Now = input.Now.Add(100 * time.Millisecond)
		for version := range input.Versions {
			if version != "v0" && version != "cold" {
				addWork(input, 0, map[string]uint64{version: 100})
			}
		}
		planner.Decide(input)
	}
	input.Demand["cold"] = &Demand{Arrivals: 1, Work: 1000, Waiting: 1, OldestWait: time.Second}
	decision := planner.Decide(input)
	if _, surplus := countEvictions(decision, "v0"); surplus == 0 {
		t.Errorf("no surplus replica of v0 was evicted: %+v", decision.Actions)
	}
}
