package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestSharingModes checks SharingAdaptive against the bound in all scenarios. For each sharing mode it
// logs the worst window, relative to Bound.MaxAdmitted, and the refusals per 1,000 requests below the
// limit.
func TestSharingModes(t *testing.T) {
	const seeds = 6
	for _, scenario := range scenarios() {
		for _, sharing := range []Sharing{SharingEqual, SharingLeased, SharingAdaptive} {
			line := fmt.Sprintf("%-42s %-9s", scenario.name, sharing)
			for position, name := range []string{"large", "small"} {
				worst, withinLimit, refused := 0.0, 0, 0
				for seed := range uint64(seeds) {
					sim, tenants, limits := scenario.simulation(sharing, seed)
					sim.run()
					worst = max(worst, sim.worstWindow(tenants[position], limits[position]))
					withinLimit += sim.withinLimit[name]
					refused += sim.refusedWithinLimit[name]
				}
				refusedPer1000 := 1000 * float64(refused) / float64(max(1, withinLimit))
				line += fmt.Sprintf("  %s %.3f, %6.1f", name, worst, refusedPer1000)
				if sharing == SharingAdaptive && worst > scenario.maxUse() {
					t.Errorf("%s: %s used %.3f of what a window allows", scenario.name, name, worst)
				}
				if sharing == SharingAdaptive && scenario.name == "usual" && refusedPer1000 > maxRefusedWithinLimit[name] {
					t.Errorf("%s: %.1f in 1,000 requests of %s that are below the limit were refused", scenario.name, refusedPer1000, name)
				}
			}
			t.Log(line)
		}
	}
}

// maxRefusedWithinLimit is the allowed number of refusals per 1,000 requests below the limit under
// usual demand. The small tenant's largest request costs more than 1.5 s of its limit.
var maxRefusedWithinLimit = map[string]float64{"large": 0.5, "small": 5}

// TestMutationsAreCaught checks that the simulation detects an exceeded bound if routers don't
// report their recent use, or apply the last allowances without end.
func TestMutationsAreCaught(t *testing.T) {
	mutations := []struct {
		name, scenario string
		mutate         func(sim *simulation)
	}{
		{"routers don't tell of the window before", "hot, leaders change again and again", func(sim *simulation) { sim.omitRecent = true }},
		{"routers heed a leader that is gone", "hot while cut off, all routers", func(sim *simulation) { sim.ignoreStaleness = true }},
	}
	for _, mutation := range mutations {
		for _, scenario := range scenarios() {
			if scenario.name != mutation.scenario {
				continue
			}
			sim, tenants, limits := scenario.simulation(SharingAdaptive, 1)
			mutation.mutate(sim)
			sim.run()
			if worst := max(sim.worstWindow(tenants[0], limits[0]), sim.worstWindow(tenants[1], limits[1])); worst <= 1 {
				t.Errorf("%s: not detected, %.3f", mutation.name, worst)
			}
		}
	}
}

// TestRefund checks that refunded requests use up neither the bucket nor the
// reported use.
func TestRefund(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 1000}
	enforcer := NewEnforcer(0, Bound{Window: 8 * time.Second}, SharingEqual, rand.New(rand.NewPCG(1, 1)))
	for range 100 {
		if refusal := enforcer.Admit(0, "a", limit, 900); refusal != nil {
			t.Fatalf("refused: %+v", refusal)
		}
		enforcer.Refund(0, "a", 900)
	}
	if uses, _ := enforcer.Uses(0); len(uses) != 1 || uses[0].Admitted != 0 || uses[0].Recent[0] != 0 {
		t.Errorf("%+v", uses)
	}
	for range 3 {
		_ = enforcer.Admit(0, "a", limit, 900)
	}
	refusal := enforcer.Admit(0, "a", limit, 900)
	if refusal == nil || refusal.RetryAfter < 500*time.Millisecond || refusal.RetryAfter > 8*time.Second {
		t.Fatalf("%+v", refusal)
	}
	if again := enforcer.Admit(refusal.RetryAfter, "a", limit, 900); again != nil {
		t.Errorf("refused after Retry-After: %+v", again)
	}
}

// TestLoweredLimit checks that a lower limit is enforced within a window.
func TestLoweredLimit(t *testing.T) {
	sim, tenants, _ := scenarios()[0].simulation(SharingAdaptive, 3)
	low := Limit{Rate: largeLimit.Rate / 10, Burst: largeLimit.Burst / 10}
	const falls, rises = 10 * time.Second, 30 * time.Second
	sim.tenants[0].limit = func(at time.Duration) Limit {
		switch {
		case at < falls:
			return largeLimit
		case at < rises:
			return low
		}
		return Limit{}
	}
	sim.run()
	sum := 0.0
	for _, event := range sim.admitted[tenants[0].name] {
		if event.at >= falls+simBound.Window && event.at < falls+2*simBound.Window {
			sum += event.cost
		}
	}
	if sum > simBound.MaxAdmitted(low) || sum < low.Rate*simBound.Window.Seconds()/2 {
		t.Errorf("%.0f admitted in a window, the limit allows %.0f", sum, simBound.MaxAdmitted(low))
	}
}
