package dispatch

import (
	"strconv"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/places"
)

// localityScheduler has one target at each of the given proximities.
func localityScheduler(config Config, proximities ...places.Proximity) (*Scheduler, time.Time) {
	now := time.Unix(1000, 0)
	config.MaxWaiting, config.SharedSlots, config.LeastWork = 100, true, true
	scheduler := New(config)
	var targets []Target
	for position, proximity := range proximities {
		name := "m" + strconv.Itoa(position)
		targets = append(targets, Target{Replica: "r" + name, Version: "v", Machine: name, MaxConcurrent: 64, Proximity: proximity})
	}
	scheduler.SetTargets(now, targets)
	return scheduler, now
}

// TestNearestTargetIsPreferredUnlessBusier guards against cross-region traffic while local
// machines have capacity.
func TestNearestTargetIsPreferredUnlessBusier(t *testing.T) {
	const penalty = 1000
	tests := []struct {
		name string
		// zone, region and otherRegion are the outstanding work of the machine there.
		zone, region, otherRegion float64
		machine                   string
	}{
		{"all idle", 0, 0, 0, "m2"},
		{"a little busy", 200, 0, 0, "m2"},
		{"busier than another zone is far", 300, 0, 0, "m1"},
		{"the region busier than another is far", 1800, 1200, 0, "m0"},
		{"all busy", 5000, 5000, 4500, "m2"},
	}
	for _, test := range tests {
		scheduler, now := localityScheduler(Config{}, places.OtherRegion, places.SameRegion, places.SameZone)
		scheduler.SetWork(now, map[string]float64{"m0": test.otherRegion, "m1": test.region, "m2": test.zone})
		submitted := request(now, 1000, 0, 0)
		submitted.CrossRegionPenalty = penalty
		if granted := grantOf(t, scheduler.Submit(now, submitted)); granted.Target.Machine != test.machine {
			t.Errorf("%s: got %s, want %s", test.name, granted.Target.Machine, test.machine)
		}
	}
}

// TestPreferredTargetsAreInTheRegion guards against prefix affinity moving requests to another
// region.
func TestPreferredTargetsAreInTheRegion(t *testing.T) {
	for prefix := uint64(1); prefix <= 20; prefix++ {
		scheduler, now := localityScheduler(Config{}, places.OtherRegion, places.OtherRegion, places.OtherRegion, places.SameRegion, places.SameRegion)
		submitted := request(now, 1000, 900, prefix)
		submitted.CrossRegionPenalty = 1
		if granted := grantOf(t, scheduler.Submit(now, submitted)); granted.Target.Proximity == places.OtherRegion {
			t.Errorf("prefix %d is sent to another region", prefix)
		}
	}
}

// TestDistanceIsIgnoredWithoutPenalty: without a cross-region penalty, as in a router that does
// not know its region, all targets count as equally near.
func TestDistanceIsIgnoredWithoutPenalty(t *testing.T) {
	scheduler, now := localityScheduler(Config{}, places.OtherRegion, places.SameZone)
	scheduler.SetWork(now, map[string]float64{"m1": 100})
	proximities := map[places.Proximity]bool{}
	for prefix := uint64(1); prefix <= 20; prefix++ {
		granted := grantOf(t, scheduler.Submit(now, request(now, 1000, 900, prefix)))
		proximities[granted.Target.Proximity] = true
		scheduler.Release(now, granted, ResultOK)
	}
	if !proximities[places.OtherRegion] || !proximities[places.SameZone] {
		t.Errorf("all prefixes are sent to one proximity: %v", proximities)
	}
	if granted := grantOf(t, scheduler.Submit(now, request(now, 1000, 0, 0))); granted.Target.Proximity != places.OtherRegion {
		t.Error("the busier machine is preferred for its distance")
	}
}
