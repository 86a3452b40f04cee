package warming

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/weldline/weldline/internal/permits"
)

// simulation is a random run of successive leaders and of routers that request permits for one
// machine.
type simulation struct {
	bound     Bound
	perSecond float64
	// sends are the times of the machine's requests.
	sends []time.Duration
}

// run simulates successive leaders without overlapping leases. A permit is used at any moment
// between its grant and the end of its lifetime.
func (s *simulation) run(t *rapid.T) {
	var buckets *permits.Buckets
	now := time.Duration(0)
	for range rapid.IntRange(1, 4).Draw(t, "leaders") {
		now += time.Duration(rapid.IntRange(0, 300).Draw(t, "leaderless gap")) * time.Millisecond
		buckets = permits.New(now)
		for range rapid.IntRange(0, 200).Draw(t, "requests") {
			now += time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 5, 60, 400, 12000}).Draw(t, "pause")) * time.Millisecond
			requested := now - time.Duration(rapid.IntRange(0, 200).Draw(t, "delay"))*time.Millisecond
			if !buckets.Take(now, "m", s.bound.BucketConfig(s.perSecond)).Granted {
				continue
			}
			expires := requested + permits.Lifetime
			if now <= expires {
				s.sends = append(s.sends, now+time.Duration(rapid.Int64Range(0, int64(expires-now)).Draw(t, "used")))
			}
		}
	}
}

// maxPerSecond returns the largest number of requests sent within one second.
func (s *simulation) maxPerSecond() int {
	slices.Sort(s.sends)
	most, first := 0, 0
	for last := range s.sends {
		for s.sends[last]-s.sends[first] >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestPermitsKeepTheBound checks that no second exceeds the bound, over changes of the leader and
// delays in the use of permits.
func TestPermitsKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{
			bound: Bound{
				Factor: rapid.Float64Range(1, 3).Draw(t, "factor"),
				Slack:  rapid.Float64Range(0, 20).Draw(t, "slack"),
			},
			perSecond: rapid.Float64Range(0.1, 40).Draw(t, "per second"),
		}
		sim.run(t)
		if most, allowed := sim.maxPerSecond(), sim.bound.MaxRequests(sim.perSecond); float64(most) > allowed {
			t.Fatalf("got %d requests in one second, want at most %.2f", most, allowed)
		}
	})
}

// TestPermitsUseTheBound checks that a machine gets its declared rate if routers have enough
// requests.
func TestPermitsUseTheBound(t *testing.T) {
	const (
		perSecond = 5.5
		routers   = 74
		seconds   = 20
		step      = time.Millisecond
	)
	buckets, config := permits.New(0), Bound{Factor: 1.5, Slack: 5}.BucketConfig(perSecond)
	next := make([]time.Duration, routers)
	granted := 0
	for now := time.Second; now < (seconds+1)*time.Second; now += step {
		for router := range next {
			if now < next[router] {
				continue
			}
			decision := buckets.Take(now, "m", config)
			next[router] = now + decision.RetryAfter
			if decision.Granted {
				granted++
				next[router] = now + 300*time.Millisecond
			}
		}
	}
	if want := 0.95 * perSecond * seconds; float64(granted) < want {
		t.Errorf("got %d permits in %d s, want at least %.0f", granted, seconds, want)
	}
}

// TestPermitsOfTightBound: the rate is reduced if the bound leaves no room for a burst of one, and
// nothing is permitted if the bound, less its margin, does not exceed one request per second.
func TestPermitsOfTightBound(t *testing.T) {
	for _, test := range []struct {
		bound     Bound
		perSecond float64
		granted   int
	}{
		{Bound{Factor: 1}, 5.5, 34},
		{Bound{Factor: 1}, 1, 0},
		{Bound{Factor: 1.5, Slack: 5}, 5.5, 55},
	} {
		buckets := permits.New(0)
		granted := 0
		for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
			if buckets.Take(now, "m", test.bound.BucketConfig(test.perSecond)).Granted {
				granted++
			}
		}
		if granted < test.granted-1 || granted > test.granted+1 {
			t.Errorf("%+v at %.1f per second: got %d permits in 10 s, want %d", test.bound, test.perSecond, granted, test.granted)
		}
	}
}

// TestMachineThatStartsWarmingAgain guards against ignoring the requests that the machine got
// without permits just before.
func TestMachineThatStartsWarmingAgain(t *testing.T) {
	const full = time.Minute
	buckets, config := permits.New(0), Bound{Factor: 1.5, Slack: 5}.BucketConfig(5)
	buckets.Empty(full, "m")
	granted := 0
	for now := full; now < full+time.Second; now += time.Millisecond {
		if buckets.Take(now, "m", config).Granted {
			granted++
		}
	}
	if granted > 5 {
		t.Errorf("got %d permits in the first second, want at most 5", granted)
	}
}

// TestNewTermStartsEmpty guards against adding a full bucket to the unused permits of the previous
// term.
func TestNewTermStartsEmpty(t *testing.T) {
	buckets, config := permits.New(time.Minute), Bound{Factor: 1.5, Slack: 5}.BucketConfig(5)
	decision := buckets.Take(time.Minute, "m", config)
	if decision.Granted || decision.RetryAfter <= 0 {
		t.Errorf("the first decision of a new term is %+v", decision)
	}
	if !buckets.Take(time.Minute+decision.RetryAfter, "m", config).Granted {
		t.Error("no permit after RetryAfter")
	}
}

// TestLatePermitsKeepTheBound covers the worst case: the tokens of a full bucket are used at the
// end of their lifetime, and later ones immediately.
func TestLatePermitsKeepTheBound(t *testing.T) {
	const full = time.Minute
	for _, bound := range []Bound{{Factor: 2}, {Factor: 1.5, Slack: 5}, {Factor: 1, Slack: 4}} {
		for _, perSecond := range []float64{1, 5.5, 10, 40} {
			sim := &simulation{bound: bound, perSecond: perSecond}
			buckets, config := permits.New(0), bound.BucketConfig(perSecond)
			for now := full; now < full+3*time.Second; now += time.Millisecond {
				if buckets.Take(now, "m", config).Granted {
					sim.sends = append(sim.sends, max(now, full+permits.Lifetime))
				}
			}
			if most, allowed := sim.maxPerSecond(), bound.MaxRequests(perSecond); float64(most) > allowed {
				t.Errorf("%+v at %.1f per second: got %d requests in one second, want at most %.2f", bound, perSecond, most, allowed)
			}
		}
	}
}
