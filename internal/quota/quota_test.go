package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestWaysOfSharing prints, for each way and scenario, the worst window as a share of what
// is allowed and the requests below the limit that were refused, in 1,000.
func TestWaysOfSharing(t *testing.T) {
	const seeds = 6
	for _, course := range scenarios() {
		for _, sharing := range []Sharing{SharingEqual, SharingLeased, SharingAdaptive} {
			line := fmt.Sprintf("%-42s %-9s", course.name, sharing)
			for position, name := range []string{"large", "small"} {
				worst, fair, refused := 0.0, 0, 0
				for seed := range uint64(seeds) {
					played, tenants, limits := course.simulation(sharing, seed)
					played.run()
					worst = max(worst, played.worst(tenants[position], limits[position]))
					fair += played.fair[name]
					refused += played.refusedBelow[name]
				}
				below := 1000 * float64(refused) / float64(max(1, fair))
				line += fmt.Sprintf("  %s %.3f, %6.1f", name, worst, below)
				if sharing == SharingAdaptive && worst > course.most() {
					t.Errorf("%s: %s used %.3f of what a window allows", course.name, name, worst)
				}
				// What usual traffic never meets must cost it nothing.
				if sharing == SharingAdaptive && course.name == "usual" && below > mostRefusedBelow[name] {
					t.Errorf("%s: %.1f in 1,000 requests of %s that are below the limit were refused", course.name, below, name)
				}
			}
			t.Log(line)
		}
	}
}

// mostRefusedBelow are the requests below the limit, in 1,000, that may be refused on usual
// days. One request of the small tenant is up to one and a half seconds of its limit.
var mostRefusedBelow = map[string]float64{"large": 0.5, "small": 5}

// TestMutationsAreCaught: the bound is broken where new leaders aren't told of the window
// before, and where routers heed a leader that is gone.
func TestMutationsAreCaught(t *testing.T) {
	mutations := []struct {
		name, course string
		mutate       func(played *simulation)
	}{
		{"routers don't tell of the window before", "hot, leaders change again and again", func(played *simulation) { played.forgets = true }},
		{"routers heed a leader that is gone", "hot while cut off, all routers", func(played *simulation) { played.trusts = true }},
	}
	for _, mutation := range mutations {
		for _, course := range scenarios() {
			if course.name != mutation.course {
				continue
			}
			played, tenants, limits := course.simulation(SharingAdaptive, 1)
			mutation.mutate(played)
			played.run()
			if worst := max(played.worst(tenants[0], limits[0]), played.worst(tenants[1], limits[1])); worst <= 1 {
				t.Errorf("%s: not caught, %.3f", mutation.name, worst)
			}
		}
	}
}

// TestGivenBackCountsNowhere: a request that proved not to have run uses nothing up.
func TestGivenBackCountsNowhere(t *testing.T) {
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
		t.Errorf("refused when told to come back: %+v", again)
	}
}

// TestLimitThatFalls binds at once; one that rises or goes lets through.
func TestLimitThatFalls(t *testing.T) {
	played, tenants, _ := scenarios()[0].simulation(SharingAdaptive, 3)
	low := Limit{Rate: largeLimit.Rate / 10, Burst: largeLimit.Burst / 10}
	const falls, rises = 10 * time.Second, 30 * time.Second
	played.tenants[0].limit = func(at time.Duration) Limit {
		switch {
		case at < falls:
			return largeLimit
		case at < rises:
			return low
		}
		return Limit{}
	}
	played.run()
	sum := 0.0
	for _, event := range played.admitted[tenants[0].name] {
		if event.at >= falls+simBound.Window && event.at < falls+2*simBound.Window {
			sum += event.cost
		}
	}
	if sum > simBound.MaxAdmitted(low) || sum < low.Rate*simBound.Window.Seconds()/2 {
		t.Errorf("%.0f were let through in a window under a limit that allows %.0f", sum, simBound.MaxAdmitted(low))
	}
}
