package warming

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/weldline/weldline/internal/permits"
)

// course is a random course of leaders and of routers that ask them for permits for one machine.
type course struct {
	bound     Bound
	perSecond float64
	// sends are when the machine's requests were sent.
	sends []time.Duration
}

// play lets leaders follow each other, each as soon as the lease of the one before is over or
// later, and routers ask whichever holds the lease when they are heard. A permit is used at any
// moment from when the answer may have come to the end of its lifetime: an answer may be late, and
// a router that got it may be cut off since.
func (c *course) play(t *rapid.T) {
	var given *permits.Buckets
	now := time.Duration(0)
	for range rapid.IntRange(1, 4).Draw(t, "leaders") {
		now += time.Duration(rapid.IntRange(0, 300).Draw(t, "leaderless")) * time.Millisecond
		given = permits.New(now)
		for range rapid.IntRange(0, 200).Draw(t, "asked") {
			now += time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 5, 60, 400, 12000}).Draw(t, "pause")) * time.Millisecond
			asked := now - time.Duration(rapid.IntRange(0, 200).Draw(t, "way"))*time.Millisecond
			if !given.Take(now, "m", c.bound.BucketConfig(c.perSecond)).Granted {
				continue
			}
			latest := asked + permits.Lifetime
			if now <= latest {
				c.sends = append(c.sends, now+time.Duration(rapid.Int64Range(0, int64(latest-now)).Draw(t, "used")))
			}
		}
	}
}

// most returns the largest number of requests that were sent within one second.
func (c *course) most() int {
	slices.Sort(c.sends)
	most, first := 0, 0
	for last := range c.sends {
		for c.sends[last]-c.sends[first] >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestPermitsKeepTheBound: whatever leaders follow each other and however late permits are used,
// no second holds more requests than the bound allows.
func TestPermitsKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		played := &course{
			bound: Bound{
				Factor: rapid.Float64Range(1, 3).Draw(t, "factor"),
				Slack:  rapid.Float64Range(0, 20).Draw(t, "slack"),
			},
			perSecond: rapid.Float64Range(0.1, 40).Draw(t, "per second"),
		}
		played.play(t)
		if most, allowed := played.most(), played.bound.MaxRequests(played.perSecond); float64(most) > allowed {
			t.Fatalf("%d requests in one second, %.2f are allowed", most, allowed)
		}
	})
}

// TestPermitsUseTheBound: where routers want more than a machine bears, it gets what it bears, from
// the second after the term began on.
func TestPermitsUseTheBound(t *testing.T) {
	const (
		perSecond = 5.5
		routers   = 74
		seconds   = 20
		step      = time.Millisecond
	)
	given, pace := permits.New(0), Bound{Factor: 1.5, Slack: 5}.BucketConfig(perSecond)
	next := make([]time.Duration, routers)
	granted := 0
	for now := time.Second; now < (seconds+1)*time.Second; now += step {
		for router := range next {
			if now < next[router] {
				continue
			}
			decision := given.Take(now, "m", pace)
			next[router] = now + decision.RetryAfter
			if decision.Granted {
				granted++
				next[router] = now + 300*time.Millisecond
			}
		}
	}
	if least := 0.95 * perSecond * seconds; float64(granted) < least {
		t.Errorf("%d permits in %d s, wanted at least %.0f", granted, seconds, least)
	}
}

// TestPermitsOfATightBound: where the bound leaves no room beside the rate, the rate gives way;
// where it allows less than one request a second, none is permitted.
func TestPermitsOfATightBound(t *testing.T) {
	for _, test := range []struct {
		bound     Bound
		perSecond float64
		granted   int
	}{
		{Bound{Factor: 1}, 5.5, 34},
		{Bound{Factor: 1}, 1, 0},
		{Bound{Factor: 1.5, Slack: 5}, 5.5, 55},
	} {
		given := permits.New(0)
		granted := 0
		for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
			if given.Take(now, "m", test.bound.BucketConfig(test.perSecond)).Granted {
				granted++
			}
		}
		if granted < test.granted-1 || granted > test.granted+1 {
			t.Errorf("%+v at %.1f a second: %d permits in 10 s, wanted %d", test.bound, test.perSecond, granted, test.granted)
		}
	}
}

// TestWarmMachineThatBeginsToWarmUp: what it got without permits just before counts too.
func TestWarmMachineThatBeginsToWarmUp(t *testing.T) {
	const full = time.Minute
	given, pace := permits.New(0), Bound{Factor: 1.5, Slack: 5}.BucketConfig(5)
	given.Empty(full, "m")
	granted := 0
	for now := full; now < full+time.Second; now += time.Millisecond {
		if given.Take(now, "m", pace).Granted {
			granted++
		}
	}
	if granted > 5 {
		t.Errorf("%d permits in the first second", granted)
	}
}

// TestNewTermBeginsEmpty: the permits of the leader before may still be used.
func TestNewTermBeginsEmpty(t *testing.T) {
	given, pace := permits.New(time.Minute), Bound{Factor: 1.5, Slack: 5}.BucketConfig(5)
	decision := given.Take(time.Minute, "m", pace)
	if decision.Granted || decision.RetryAfter <= 0 {
		t.Errorf("a new term's first answer is %+v", decision)
	}
	if !given.Take(time.Minute+decision.RetryAfter, "m", pace).Granted {
		t.Error("whoever comes back as told gets nothing")
	}
}

// TestLatePermitsKeepTheBound: the worst course for one second. A bucket is full; what it gives
// out from then on is used as late as it may be, and what it gives out after that at once.
func TestLatePermitsKeepTheBound(t *testing.T) {
	const full = time.Minute
	for _, bound := range []Bound{{Factor: 2}, {Factor: 1.5, Slack: 5}, {Factor: 1, Slack: 4}} {
		for _, perSecond := range []float64{1, 5.5, 10, 40} {
			played := &course{bound: bound, perSecond: perSecond}
			given, pace := permits.New(0), bound.BucketConfig(perSecond)
			for now := full; now < full+3*time.Second; now += time.Millisecond {
				if given.Take(now, "m", pace).Granted {
					played.sends = append(played.sends, max(now, full+permits.Lifetime))
				}
			}
			if most, allowed := played.most(), bound.MaxRequests(perSecond); float64(most) > allowed {
				t.Errorf("%+v at %.1f a second: %d requests in one second, %.2f are allowed", bound, perSecond, most, allowed)
			}
		}
	}
}
