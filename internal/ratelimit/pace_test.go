package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/weldline/weldline/internal/permits"
)

// window is the span in which a machine's requests are counted.
const window = 4 * time.Second

// maxRequests is the number of requests that a machine may get in a window: 1.5 times its limit,
// and five.
func maxRequests(limit Limit) float64 { return 1.5*limit.PerSecond*window.Seconds() + 5 }

// maxInWindow returns the largest number of sends within one window.
func maxInWindow(sends []time.Duration) int {
	slices.Sort(sends)
	most, first := 0, 0
	for last := range sends {
		for sends[last]-sends[first] >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestPermitsKeepTheLimit checks that no window exceeds the allowed requests, over changes of the
// leader and delays in the use of permits.
func TestPermitsKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := NewLimit(rapid.SampledFrom([]float64{0, 0.05, 0.2, 0.5, 1, 1.7, 2, 10, 100}).Draw(t, "per second"))
		var sends []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 4).Draw(t, "leaders") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "leaderless gap")) * time.Millisecond
			buckets := permits.New(now)
			for range rapid.IntRange(0, 300).Draw(t, "requests") {
				now += time.Duration(rapid.SampledFrom([]int{0, 0, 1, 5, 60, 400, 12000}).Draw(t, "pause")) * time.Millisecond
				if buckets.Take(now, "m", limit.BucketConfig()).Granted {
					sends = append(sends, now+time.Duration(rapid.Int64Range(0, int64(permits.Lifetime)).Draw(t, "used")))
				}
			}
		}
		if got := maxInWindow(sends); float64(got) > maxRequests(limit) {
			t.Fatalf("got %d requests in %s at a limit of %g per second, want at most %.1f", got, window, limit.PerSecond, maxRequests(limit))
		}
	})
}

// strategy decides how routers keep a limit.
type strategy interface {
	maySend(now time.Duration, router int) bool
}

// localBuckets gives every router a token bucket of its own.
type localBuckets struct {
	config  permits.BucketConfig
	buckets *permits.Buckets
}

func (s *localBuckets) maySend(now time.Duration, router int) bool {
	return s.buckets.Take(now, fmt.Sprint(router), s.config).Granted
}

// leaderPermits makes routers request permits from the leader and wait for its retry time.
type leaderPermits struct {
	config  permits.BucketConfig
	buckets *permits.Buckets
	retryAt map[int]time.Duration
}

func (s *leaderPermits) maySend(now time.Duration, router int) bool {
	if now < s.retryAt[router] {
		return false
	}
	decision := s.buckets.Take(now, "m", s.config)
	s.retryAt[router] = now + decision.RetryAfter
	return decision.Granted
}

// result summarizes a simulation.
type result struct {
	maxInWindow int
	served      float64
}

// simulate runs a minute of Poisson arrivals at a total rate of perSecond, half of them at the
// first router and the rest at random ones. A request that may not be sent waits at its router for
// up to 2 s.
func simulate(strategy strategy, routers int, perSecond float64) result {
	const (
		duration = time.Minute
		step     = 5 * time.Millisecond
		maxWait  = 2 * time.Second
	)
	random := rand.New(rand.NewPCG(1, 2))
	waiting := make([][]time.Duration, routers)
	var sends []time.Duration
	for now := window; now < window+duration; now += step {
		if random.Float64() < perSecond*step.Seconds() {
			router := 0
			if random.Float64() < 0.5 {
				router = random.IntN(routers)
			}
			waiting[router] = append(waiting[router], now+maxWait)
		}
		for router := range waiting {
			for len(waiting[router]) > 0 && waiting[router][0] < now {
				waiting[router] = waiting[router][1:]
			}
			for len(waiting[router]) > 0 && strategy.maySend(now, router) {
				waiting[router] = waiting[router][1:]
				sends = append(sends, now)
			}
		}
	}
	return result{maxInWindow: maxInWindow(sends), served: float64(len(sends)) / duration.Seconds()}
}

// TestStrategies compares the strategies on the same arrivals. The limit and the rate of arrivals,
// asked, are per second.
//
//	play limit=N routers=R asked=D
func TestStrategies(t *testing.T) {
	datadriven.RunTest(t, "testdata/ways/ways", func(t *testing.T, d *datadriven.TestData) string {
		var routers int
		var offered, perSecond float64
		d.ScanArgs(t, "routers", &routers)
		for name, value := range map[string]*float64{"limit": &perSecond, "asked": &offered} {
			if _, err := fmt.Sscan(nameOf(t, d, name), value); err != nil {
				t.Fatal(err)
			}
		}
		limit := NewLimit(perSecond)
		share := permits.BucketConfig{Rate: perSecond / float64(routers), Burst: max(1, perSecond/float64(routers))}
		strategies := []struct {
			name     string
			strategy strategy
		}{
			{"each alone", &localBuckets{limit.BucketConfig(), permits.New(0)}},
			{"equal shares", &localBuckets{share, permits.New(0)}},
			{"permits", &leaderPermits{config: limit.BucketConfig(), buckets: permits.New(0), retryAt: map[int]time.Duration{}}},
		}
		var lines strings.Builder
		for _, each := range strategies {
			outcome := simulate(each.strategy, routers, offered)
			verdict := "kept"
			if float64(outcome.maxInWindow) > maxRequests(limit) {
				verdict = "BROKEN"
			}
			fmt.Fprintf(&lines, "%-12s %3d in 4 s (%g allowed: %s), %.2f a second served\n", each.name, outcome.maxInWindow, maxRequests(limit), verdict, outcome.served)
			if each.name == "permits" && (verdict != "kept" || outcome.served < 0.9*min(offered, perSecond)) {
				t.Errorf("permits: %+v at a limit of %g per second", outcome, perSecond)
			}
		}
		return lines.String()
	})
}
