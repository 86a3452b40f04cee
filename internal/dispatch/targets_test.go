package dispatch

import (
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"testing"
	"time"
)

// snapshot returns a scheduler's targets by replica, whether they are retired, and the replicas by
// version.
func snapshot(scheduler *Scheduler) (targets map[string]Target, retired map[string]bool, versions map[string][]string) {
	targets, retired, versions = map[string]Target{}, map[string]bool{}, map[string][]string{}
	for name, entry := range scheduler.targets {
		targets[name], retired[name] = entry.Target, entry.retired
	}
	for name, version := range scheduler.versions {
		for _, entry := range version.targets {
			versions[name] = append(versions[name], entry.Replica)
		}
		slices.Sort(versions[name])
	}
	return targets, retired, versions
}

// TestIncrementalTargetsMatchFullReplacement compares a scheduler that gets changes with one that
// gets all targets each time, with requests in flight.
func TestIncrementalTargetsMatchFullReplacement(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 4))
		full, incremental := New(Config{MaxWaiting: 100}), New(Config{MaxWaiting: 100})
		present := map[string]Target{}
		var inFlight [][2]Grant
		now := time.Unix(1000, 0)
		for step := range 300 {
			changes := TargetChanges{Full: step == 0}
			for range 1 + random.IntN(3) {
				number := random.IntN(8)
				name := "r" + strconv.Itoa(number)
				if _, known := present[name]; known && random.IntN(2) == 0 {
					delete(present, name)
					changes.Removed = append(changes.Removed, name)
					continue
				}
				present[name] = Target{
					Replica: name, Version: "v" + strconv.Itoa(number%3), Machine: "m" + strconv.Itoa(number%4), MaxConcurrent: 2 + random.IntN(2),
				}
				changes.Targets = append(changes.Targets, present[name])
				changes.Removed = slices.DeleteFunc(changes.Removed, func(removed string) bool { return removed == name })
			}
			changes.Targets = slices.DeleteFunc(changes.Targets, func(target Target) bool { _, known := present[target.Replica]; return !known })
			full.SetTargets(now, slices.Collect(maps.Values(present)))
			incremental.ChangeTargets(now, changes)
			version := "v" + strconv.Itoa(random.IntN(3))
			request := Request{ID: uint64(step), Version: version, Arrived: now, Deadline: now.Add(time.Hour)}
			left, right := request, request
			one, other := full.Submit(now, &left), incremental.Submit(now, &right)
			if len(one.Grants) != len(other.Grants) {
				t.Fatalf("seed %d, step %d: got %d and %d grants", seed, step, len(one.Grants), len(other.Grants))
			}
			full.Cancel(&left)
			incremental.Cancel(&right)
			if len(one.Grants) == 1 && one.Grants[0].Target.Replica == other.Grants[0].Target.Replica {
				inFlight = append(inFlight, [2]Grant{one.Grants[0], other.Grants[0]})
			} else if len(one.Grants) == 1 {
				full.Release(now, one.Grants[0], ResultOK)
				incremental.Release(now, other.Grants[0], ResultOK)
			}
			if len(inFlight) > 0 && random.IntN(2) == 0 {
				ended := inFlight[0]
				inFlight = inFlight[1:]
				full.Release(now, ended[0], ResultOK)
				incremental.Release(now, ended[1], ResultOK)
			}
			for _, compare := range []func(*Scheduler) any{
				func(scheduler *Scheduler) any { targets, _, _ := snapshot(scheduler); return targets },
				func(scheduler *Scheduler) any { _, retired, _ := snapshot(scheduler); return retired },
				func(scheduler *Scheduler) any { _, _, versions := snapshot(scheduler); return versions },
			} {
				if left, right := compare(full), compare(incremental); !reflect.DeepEqual(left, right) {
					t.Fatalf("seed %d, step %d: got %v and %v", seed, step, left, right)
				}
			}
		}
	}
}

// TestResponseCountsArePruned guards against keeping the counts of machines whose last target was
// removed or drained.
func TestResponseCountsArePruned(t *testing.T) {
	now := time.Unix(1000, 0)
	scheduler := New(Config{MaxWaiting: 100})
	var targets []Target
	for _, machine := range []string{"stays", "shrinks", "drained", "removed"} {
		targets = append(targets, Target{Replica: machine + "-1", Version: machine, Machine: machine, MaxConcurrent: 1})
	}
	targets = append(targets, Target{Replica: "shrinks-2", Version: "other", Machine: "shrinks", MaxConcurrent: 1})
	scheduler.SetTargets(now, targets)
	for number, target := range targets[:4] {
		request := Request{ID: uint64(number + 1), Version: target.Version, Arrived: now, Deadline: now.Add(time.Hour)}
		scheduler.Release(now, scheduler.Submit(now, &request).Grants[0], ResultOK)
	}
	scheduler.ChangeTargets(now, TargetChanges{Removed: []string{"removed-1", "shrinks-1"}, Drained: targets[2:3]})
	kept := slices.Sorted(maps.Keys(scheduler.ResponseCounts()))
	if !slices.Equal(kept, []string{"shrinks", "stays"}) {
		t.Errorf("response counts are kept for %v", kept)
	}
}
