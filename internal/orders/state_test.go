package orders

import (
	"fmt"
	"testing"
	"time"
)

// The cost of reading all states in a pass must depend on the changes and not on the number of engines.
func TestStateIsBuiltOncePerChange(t *testing.T) {
	buildsAfterChange := func(engines int) int {
		planner := NewPlanner(NewPacer())
		name := func(number int) string { return fmt.Sprint("m", number) }
		for number := range engines {
			planner.AddReport(0, name(number), Report{Models: map[string][]string{"model": {"a"}}})
		}
		readStates := func(now time.Duration) {
			for range 4 {
				for number := range engines {
					if _, known := planner.State(now, name(number)); !known {
						t.Fatalf("no state of engine %d", number)
					}
				}
			}
		}
		readStates(10 * time.Millisecond)
		before := planner.stateBuilds
		planner.AddReport(20*time.Millisecond, name(1), Report{Models: map[string][]string{"model": {"a", "b"}}})
		readStates(30 * time.Millisecond)
		if state, _ := planner.State(30*time.Millisecond, name(1)); len(state.Models["model"]) != 1 {
			t.Fatalf("engine has models %v", state.Models) // Reports may be old, see adapterReportLag.
		}
		return planner.stateBuilds - before
	}
	if small, large := buildsAfterChange(10), buildsAfterChange(1000); small != 1 || large != 1 {
		t.Errorf("a change of one engine built %d states with 10 engines, %d with 1,000", small, large)
	}
}

// The cached state must be replaced after every change.
func TestStateReflectsEveryChange(t *testing.T) {
	planner := NewPlanner(NewPacer())
	state := func(now time.Duration) State {
		engine, _ := planner.State(now, "m")
		return engine
	}
	report := Report{Models: map[string][]string{"model": nil}, Polled: true}
	planner.AddReport(0, "m", report)
	if engine := state(0); engine.Settled || engine.Busy {
		t.Errorf("after the first report: %+v", engine)
	}
	desired := []DesiredState{{Machine: "m", Adapters: []AdapterTask{{Model: "model", Adapter: "a"}}}}
	plan := planner.Plan(time.Millisecond, desired)
	if engine := state(time.Millisecond); len(plan.Orders) != 1 || !engine.Busy || len(engine.LoadingAdapters["model"]) != 1 {
		t.Fatalf("while the order is being sent: %+v", engine)
	}
	planner.RecordOutcome(2*time.Millisecond, plan.Orders[0], Accepted)
	if engine := state(2 * time.Millisecond); engine.Busy || len(engine.LoadingAdapters["model"]) != 1 {
		t.Errorf("after the order was accepted: %+v", engine)
	}
	planner.Plan(2*AdapterLoadTime, desired)
	if engine := state(2 * AdapterLoadTime); len(engine.LoadingAdapters) != 0 || len(engine.Models["model"]) != 1 {
		t.Errorf("after the adapter was loaded: %+v", engine)
	}
	planner.AddReport(2*time.Second, "m", Report{Models: map[string][]string{"model": {"a"}}})
	if engine := state(2 * time.Second); !engine.Settled {
		t.Errorf("after two reports: %+v", engine)
	}
}
