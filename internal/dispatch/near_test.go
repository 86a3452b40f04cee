package dispatch

import (
	"strconv"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/places"
)

// placedCore is a router's core with one target in each of the given places.
func placedCore(config Config, near ...places.Proximity) (*Scheduler, time.Time) {
	now := time.Unix(1000, 0)
	config.MaxWaiting, config.SharedSlots, config.LeastWork = 100, true, true
	core := New(config)
	var targets []Target
	for position, nearness := range near {
		name := "m" + strconv.Itoa(position)
		targets = append(targets, Target{Replica: "r" + name, Version: "v", Machine: name, MaxConcurrent: 64, Nearness: nearness})
	}
	core.SetTargets(now, targets)
	return core, now
}

// TestNearestThatIsNotBusyFirst tables which machine a request goes to, by the work before it: if
// every machine counted the same, most requests would cross regions.
func TestNearestThatIsNotBusyFirst(t *testing.T) {
	const detour = 1000
	tests := []struct {
		name string
		// zone, region and further are the work before the machine there.
		zone, region, further float64
		machine               string
	}{
		{"all idle", 0, 0, 0, "m2"},
		{"a little busy", 200, 0, 0, "m2"},
		{"busier than another zone is far", 300, 0, 0, "m1"},
		{"the region busier than another is far", 1800, 1200, 0, "m0"},
		{"all busy", 5000, 5000, 4500, "m2"},
	}
	for _, test := range tests {
		core, now := placedCore(Config{}, places.OtherRegion, places.SameRegion, places.SameZone)
		core.SetWork(now, map[string]float64{"m0": test.further, "m1": test.region, "m2": test.zone})
		asked := request(now, 1000, 0, 0)
		asked.CrossRegionPenalty = detour
		if granted := grantOf(t, core.Submit(now, asked)); granted.Target.Machine != test.machine {
			t.Errorf("%s: sent to %s, not to %s", test.name, granted.Target.Machine, test.machine)
		}
	}
}

// TestHomesAreInTheRegion: with two homes in all for a prompt's beginning, most routers would send
// its requests to another region.
func TestHomesAreInTheRegion(t *testing.T) {
	for prefix := uint64(1); prefix <= 20; prefix++ {
		core, now := placedCore(Config{}, places.OtherRegion, places.OtherRegion, places.OtherRegion, places.SameRegion, places.SameRegion)
		asked := request(now, 1000, 900, prefix)
		asked.CrossRegionPenalty = 1
		if granted := grantOf(t, core.Submit(now, asked)); granted.Target.Nearness == places.OtherRegion {
			t.Errorf("the beginning %d has its home in another region", prefix)
		}
	}
}

// TestUnknownPlacesAreAlike: a router that does not know its region takes all other zones to be
// far, and would send everything to the machines of its own.
func TestUnknownPlacesAreAlike(t *testing.T) {
	core, now := placedCore(Config{}, places.OtherRegion, places.SameZone)
	core.SetWork(now, map[string]float64{"m1": 100})
	homes := map[places.Proximity]bool{}
	for prefix := uint64(1); prefix <= 20; prefix++ {
		granted := grantOf(t, core.Submit(now, request(now, 1000, 900, prefix)))
		homes[granted.Target.Nearness] = true
		core.Release(now, granted, ResultOK)
	}
	if !homes[places.OtherRegion] || !homes[places.SameZone] {
		t.Errorf("all beginnings have their homes on one side: %v", homes)
	}
	if granted := grantOf(t, core.Submit(now, request(now, 1000, 0, 0))); granted.Target.Nearness != places.OtherRegion {
		t.Error("the busier machine is preferred for its place")
	}
}
