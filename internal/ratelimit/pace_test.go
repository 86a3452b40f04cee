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

// allowance is what a machine may get in a window: half as much again as it takes, and five requests.
func allowance(limit Limit) float64 { return 1.5*limit.PerSecond*window.Seconds() + 5 }

// mostInWindow is the largest number of sends within one window.
func mostInWindow(sends []time.Duration) int {
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

// TestPaceKeepsTheLimit: whatever leaders follow each other, and however late permits are used, no
// window holds more than is allowed.
func TestPaceKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := NewLimit(rapid.SampledFrom([]float64{0, 0.05, 0.2, 0.5, 1, 1.7, 2, 10, 100}).Draw(t, "per second"))
		var sends []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 4).Draw(t, "leaders") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "leaderless")) * time.Millisecond
			given := permits.New(now)
			for range rapid.IntRange(0, 300).Draw(t, "asked") {
				now += time.Duration(rapid.SampledFrom([]int{0, 0, 1, 5, 60, 400, 12000}).Draw(t, "pause")) * time.Millisecond
				if given.Take(now, "m", limit.BucketConfig()).Granted {
					sends = append(sends, now+time.Duration(rapid.Int64Range(0, int64(permits.Lifetime)).Draw(t, "used")))
				}
			}
		}
		if most := mostInWindow(sends); float64(most) > allowance(limit) {
			t.Fatalf("%d requests in %s at %g a second, %.1f are allowed", most, window, limit.PerSecond, allowance(limit))
		}
	})
}

// way is a way to keep a limit over all routers.
type way interface {
	// maySend reports whether a router may send a request now.
	maySend(now time.Duration, router int) bool
}

// ownBuckets is the way where every router keeps a limit for itself, or its part of one.
type ownBuckets struct {
	pace    permits.BucketConfig
	buckets *permits.Buckets
}

func (w *ownBuckets) maySend(now time.Duration, router int) bool {
	return w.buckets.Take(now, fmt.Sprint(router), w.pace).Granted
}

// byPermits is the way where routers ask the leader, and leave the machine alone for as long as it says.
type byPermits struct {
	pace    permits.BucketConfig
	buckets *permits.Buckets
	held    map[int]time.Duration
}

func (w *byPermits) maySend(now time.Duration, router int) bool {
	if now < w.held[router] {
		return false
	}
	decision := w.buckets.Take(now, "m", w.pace)
	w.held[router] = now + decision.RetryAfter
	return decision.Granted
}

// played is what came of a way.
type played struct {
	most   int
	served float64
}

// play lets callers ask for a minute, perSecond of them, half at the first router and the rest at any.
// A request that may not be sent waits at its router for up to 2 s.
func play(kept way, routers int, perSecond float64) played {
	const (
		length   = time.Minute
		step     = 5 * time.Millisecond
		patience = 2 * time.Second
	)
	random := rand.New(rand.NewPCG(1, 2))
	waiting := make([][]time.Duration, routers)
	var sends []time.Duration
	for now := window; now < window+length; now += step {
		if random.Float64() < perSecond*step.Seconds() {
			router := 0
			if random.Float64() < 0.5 {
				router = random.IntN(routers)
			}
			waiting[router] = append(waiting[router], now+patience)
		}
		for router := range waiting {
			for len(waiting[router]) > 0 && waiting[router][0] < now {
				waiting[router] = waiting[router][1:]
			}
			for len(waiting[router]) > 0 && kept.maySend(now, router) {
				waiting[router] = waiting[router][1:]
				sends = append(sends, now)
			}
		}
	}
	return played{most: mostInWindow(sends), served: float64(len(sends)) / length.Seconds()}
}

// TestWaysToKeepALimit compares the ways on the same callers; see the tables.
//
//	play limit=N routers=R asked=D
func TestWaysToKeepALimit(t *testing.T) {
	datadriven.RunTest(t, "testdata/ways/ways", func(t *testing.T, d *datadriven.TestData) string {
		var routers int
		var asked, perSecond float64
		d.ScanArgs(t, "routers", &routers)
		for name, value := range map[string]*float64{"limit": &perSecond, "asked": &asked} {
			if _, err := fmt.Sscan(nameOf(t, d, name), value); err != nil {
				t.Fatal(err)
			}
		}
		limit := NewLimit(perSecond)
		share := permits.BucketConfig{Rate: perSecond / float64(routers), Burst: max(1, perSecond/float64(routers))}
		ways := []struct {
			name string
			kept way
		}{
			{"each alone", &ownBuckets{limit.BucketConfig(), permits.New(0)}},
			{"equal shares", &ownBuckets{share, permits.New(0)}},
			{"permits", &byPermits{pace: limit.BucketConfig(), buckets: permits.New(0), held: map[int]time.Duration{}}},
		}
		var lines strings.Builder
		for _, each := range ways {
			came := play(each.kept, routers, asked)
			kept := "kept"
			if float64(came.most) > allowance(limit) {
				kept = "BROKEN"
			}
			fmt.Fprintf(&lines, "%-12s %3d in 4 s (%g allowed: %s), %.2f a second served\n", each.name, came.most, allowance(limit), kept, came.served)
			if each.name == "permits" && (kept != "kept" || came.served < 0.9*min(asked, perSecond)) {
				t.Errorf("permits: %+v of %g a second", came, perSecond)
			}
		}
		return lines.String()
	})
}
