package placement

import (
	"testing"
	"time"
)

// hotInput has version v0 on every machine, each time in place of another, and a
// request that waits for one that is nowhere.
func hotInput() *Input {
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

// evicted counts the evictions of a decision, and those of a version among them.
func evicted(decision Decision, version string) (all, ofVersion int) {
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

// TestNewLeaderKeepsBusyReplicas: a leader that had just been elected knew no
// rates of work, took the replicas of the busiest versions to be surplus, and
// evicted them all within a second.
func TestNewLeaderKeepsBusyReplicas(t *testing.T) {
	before := newPoolPlanner()
	input := hotInput()
	delete(input.Demand, "cold")
	for range 50 {
		ask(input, 100*time.Millisecond, map[string]uint64{"v0": 3000})
		before.Decide(input)
	}
	history := before.History(input.Now)
	if len(history) != 1 || history[0].Version != "v0" || history[0].Rate < minimumRate {
		t.Fatalf("history %+v", history)
	}

	for name, known := range map[string][]VersionHistory{"with the history": history, "without it": nil} {
		input := hotInput()
		config := before.config
		config.History = known
		decision := NewPlanner(config).Decide(input)
		if all, busy := evicted(decision, "v0"); all == 0 || busy > 0 {
			t.Errorf("%s: evicted %d, of these %d of the busy version", name, all, busy)
		}
	}
}

// TestSurplusOnceRatesAreKnown: replicas of a version that nobody asks for any
// more are the first to go, once that has been seen for a while.
func TestSurplusOnceRatesAreKnown(t *testing.T) {
	input := hotInput()
	planner := newPoolPlanner()
	delete(input.Demand, "cold")
	planner.Decide(input)
	for range 30 {
		input.Now = input.Now.Add(100 * time.Millisecond)
		for version := range input.Versions {
			if version != "v0" && version != "cold" {
				ask(input, 0, map[string]uint64{version: 100})
			}
		}
		planner.Decide(input)
	}
	input.Demand["cold"] = &Demand{Arrivals: 1, Work: 1000, Waiting: 1, OldestWait: time.Second}
	decision := planner.Decide(input)
	if _, surplus := evicted(decision, "v0"); surplus == 0 {
		t.Errorf("no surplus replica of v0 was evicted: %+v", decision.Actions)
	}
}
