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

// shapeOf is what a core holds of targets: by replica, and by version.
func shapeOf(core *Scheduler) (targets map[string]Target, retired map[string]bool, versions map[string][]string) {
	targets, retired, versions = map[string]Target{}, map[string]bool{}, map[string][]string{}
	for name, held := range core.targets {
		targets[name], retired[name] = held.Target, held.retired
	}
	for name, version := range core.versions {
		for _, held := range version.targets {
			versions[name] = append(versions[name], held.Replica)
		}
		slices.Sort(versions[name])
	}
	return targets, retired, versions
}

// TestChangedTargetsComeToTheSame: a core that is told of changes holds what one holds that
// is told of all targets each time, with requests in flight.
func TestChangedTargetsComeToTheSame(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 4))
		whole, changed := New(Config{MaxWaiting: 100}), New(Config{MaxWaiting: 100})
		present := map[string]Target{}
		var inFlight [][2]Grant
		now := time.Unix(1000, 0)
		for step := range 300 {
			changes := TargetChanges{Full: step == 0}
			for range 1 + random.IntN(3) {
				number := random.IntN(8)
				name := "r" + strconv.Itoa(number)
				if _, held := present[name]; held && random.IntN(2) == 0 {
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
			changes.Targets = slices.DeleteFunc(changes.Targets, func(target Target) bool { _, held := present[target.Replica]; return !held })
			whole.SetTargets(now, slices.Collect(maps.Values(present)))
			changed.ChangeTargets(now, changes)
			version := "v" + strconv.Itoa(random.IntN(3))
			request := Request{ID: uint64(step), Version: version, Arrived: now, Deadline: now.Add(time.Hour)}
			left, right := request, request
			one, other := whole.Submit(now, &left), changed.Submit(now, &right)
			if len(one.Grants) != len(other.Grants) {
				t.Fatalf("seed %d, step %d: %d and %d grants", seed, step, len(one.Grants), len(other.Grants))
			}
			whole.Cancel(&left)
			changed.Cancel(&right)
			if len(one.Grants) == 1 && one.Grants[0].Target.Replica == other.Grants[0].Target.Replica {
				inFlight = append(inFlight, [2]Grant{one.Grants[0], other.Grants[0]})
			} else if len(one.Grants) == 1 {
				whole.Release(now, one.Grants[0], ResultOK)
				changed.Release(now, other.Grants[0], ResultOK)
			}
			if len(inFlight) > 0 && random.IntN(2) == 0 {
				ended := inFlight[0]
				inFlight = inFlight[1:]
				whole.Release(now, ended[0], ResultOK)
				changed.Release(now, ended[1], ResultOK)
			}
			for _, compare := range []func(*Scheduler) any{
				func(core *Scheduler) any { targets, _, _ := shapeOf(core); return targets },
				func(core *Scheduler) any { _, retired, _ := shapeOf(core); return retired },
				func(core *Scheduler) any { _, _, versions := shapeOf(core); return versions },
			} {
				if left, right := compare(whole), compare(changed); !reflect.DeepEqual(left, right) {
					t.Fatalf("seed %d, step %d: %v and %v", seed, step, left, right)
				}
			}
		}
	}
}

// TestAnswersOfMachinesWithoutTargetsAreForgotten: what a machine answered counts for as long as it
// has a target, whether the last one was taken away or stands in a drained zone.
func TestAnswersOfMachinesWithoutTargetsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	core := New(Config{MaxWaiting: 100})
	var targets []Target
	for _, machine := range []string{"stays", "shrinks", "drained", "removed"} {
		targets = append(targets, Target{Replica: machine + "-1", Version: machine, Machine: machine, MaxConcurrent: 1})
	}
	targets = append(targets, Target{Replica: "shrinks-2", Version: "other", Machine: "shrinks", MaxConcurrent: 1})
	core.SetTargets(now, targets)
	for number, target := range targets[:4] {
		request := Request{ID: uint64(number + 1), Version: target.Version, Arrived: now, Deadline: now.Add(time.Hour)}
		core.Release(now, core.Submit(now, &request).Grants[0], ResultOK)
	}
	core.ChangeTargets(now, TargetChanges{Removed: []string{"removed-1", "shrinks-1"}, Drained: targets[2:3]})
	held := slices.Sorted(maps.Keys(core.ResponseCounts()))
	if !slices.Equal(held, []string{"shrinks", "stays"}) {
		t.Errorf("the answers of %v are held", held)
	}
}
