package orders

import (
	"fmt"
	"testing"
	"time"
)

// TestStatesArePutTogetherOncePerChange: a leader asks for what each engine holds several times in
// each pass. What that costs follows what has changed, not how many engines there are.
func TestStatesArePutTogetherOncePerChange(t *testing.T) {
	assembledAfterChange := func(engines int) int {
		core := NewPlanner(NewPacer())
		name := func(number int) string { return fmt.Sprint("m", number) }
		for number := range engines {
			core.AddReport(0, name(number), Report{Models: map[string][]string{"model": {"a"}}})
		}
		ask := func(now time.Duration) {
			for range 4 {
				for number := range engines {
					if _, heard := core.State(now, name(number)); !heard {
						t.Fatalf("nothing is known of engine %d", number)
					}
				}
			}
		}
		ask(10 * time.Millisecond)
		before := core.assembled
		core.AddReport(20*time.Millisecond, name(1), Report{Models: map[string][]string{"model": {"a", "b"}}})
		ask(30 * time.Millisecond)
		if held, _ := core.State(30*time.Millisecond, name(1)); len(held.Models["model"]) != 1 {
			t.Fatalf("the engine is taken to hold %v", held.Models) // Reports lag, see trustAfter.
		}
		return core.assembled - before
	}
	if small, large := assembledAfterChange(10), assembledAfterChange(1000); small != 1 || large != 1 {
		t.Errorf("one change of 10 engines put %d states together, of 1,000 %d", small, large)
	}
}

// TestStatesFollowEveryChange: whatever the core learns or does shows in the state that it tells next.
func TestStatesFollowEveryChange(t *testing.T) {
	core := NewPlanner(NewPacer())
	state := func(now time.Duration) State {
		held, _ := core.State(now, "m")
		return held
	}
	report := Report{Models: map[string][]string{"model": nil}, Polled: true}
	core.AddReport(0, "m", report)
	if held := state(0); held.Settled || held.Busy {
		t.Errorf("after the first report: %+v", held)
	}
	wanted := []DesiredState{{Machine: "m", Adapters: []AdapterTask{{Model: "model", Adapter: "a"}}}}
	plan := core.Plan(time.Millisecond, wanted)
	if held := state(time.Millisecond); len(plan.Orders) != 1 || !held.Busy || len(held.LoadingAdapters["model"]) != 1 {
		t.Fatalf("while the order is sent: %+v", held)
	}
	core.RecordOutcome(2*time.Millisecond, plan.Orders[0], Accepted)
	if held := state(2 * time.Millisecond); held.Busy || len(held.LoadingAdapters["model"]) != 1 {
		t.Errorf("once it is accepted: %+v", held)
	}
	core.Plan(2*AdapterLoadTime, wanted)
	if held := state(2 * AdapterLoadTime); len(held.LoadingAdapters) != 0 || len(held.Models["model"]) != 1 {
		t.Errorf("once the adapter is there: %+v", held)
	}
	core.AddReport(2*time.Second, "m", Report{Models: map[string][]string{"model": {"a"}}})
	if held := state(2 * time.Second); !held.Settled {
		t.Errorf("after two reports: %+v", held)
	}
}
