package controller

import (
	"testing"
	"time"

	"github.com/weldline/weldline/internal/instances"
	"github.com/weldline/weldline/internal/ratelimit"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// A changed rate limit must be published in the next digest. Placement uses the lower rate if the
// machine is also warming up.
func TestLimitsReachDigestAndPlacement(t *testing.T) {
	stored := warmingFleet(t)
	leader := New(0, Config{}, NewReportTable())
	leader.Observe(stored)
	now := time.Minute
	for _, test := range []struct {
		limit ratelimit.Limit
		warms time.Duration
		rate  float64
	}{
		{ratelimit.NewLimit(2), 0, 2},
		{ratelimit.NewLimit(7), 0, 7},
		{ratelimit.NewLimit(7), time.Second, 5},
		{ratelimit.NewLimit(0), time.Second, 0},
		{ratelimit.Unlimited, 0, 0},
	} {
		now += urgentDigestInterval
		leader.SetLimits([]ratelimit.Observation{{Machine: "m", Limit: test.limit}})
		report := &wirepb.InstanceReport{Machine: "m", WarmingMs: uint32(test.warms.Milliseconds())}
		leader.ObserveWarming(now, func() map[string]instances.Entry {
			return map[string]instances.Entry{"m": {Received: now, Report: report}}
		})
		digest := leader.Digest(now, 1)
		if digest == nil {
			t.Fatalf("limit %+v is not published at once", test.limit)
		}
		limits := digest.GetLimits()
		if len(limits) != 1 || limits[0].GetLimited() != test.limit.IsSet || limits[0].GetPerSecond() != test.limit.PerSecond {
			t.Errorf("limit %+v: digest has %v", test.limit, limits)
		}
		machine := leader.placementInput(leader.view(now), time.Unix(60, 0)).Machines["m"]
		if machine.ReducedRate != test.rate || (machine.ReducedFor == unlimitedTime) != test.limit.IsSet {
			t.Errorf("limit %+v: placement has a reduction for %s to %g requests per second", test.limit, machine.ReducedFor, machine.ReducedRate)
		}
	}
}
