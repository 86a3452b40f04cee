package placement

import (
	"fmt"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// loadUntilCrash plays a minute in which each machine that begins to load the wanted version
// ends 100 ms later, is lost 900 ms after that, and known to be gone after 3 s more. It returns
// how many machines ended.
func loadUntilCrash(planner *Planner, remembers bool) int {
	const (
		step     = 100 * time.Millisecond
		lostIn   = time.Second
		goneIn   = 4 * time.Second
		machines = 60
	)
	input := placeInput(1)
	input.Versions["wanted"].MaxReplicas = machines
	input.Machines = map[string]*Machine{}
	for number := range machines {
		name := fmt.Sprintf("m-%02d", number)
		input.Machines[name] = &Machine{Name: name, Accelerators: 1, AcceleratorBytes: 80 * gibibyte, Incarnation: 1, Schedulable: true, Tiers: map[string]Tier{}}
	}
	input.LoadCrashes = map[string]LoadCrashes{}
	began := map[string]time.Time{}
	for range 600 {
		input.Now = input.Now.Add(step)
		input.Demand["wanted"].OldestWait += step
		for name, at := range began {
			machine := input.Machines[name]
			if machine != nil && input.Now.Sub(at) >= lostIn {
				machine.Lost, machine.Schedulable = true, false
			}
			if machine != nil && input.Now.Sub(at) >= goneIn {
				delete(input.Machines, name)
			}
		}
		for _, action := range planner.Decide(input).Actions {
			switch {
			case action.Kind == ActionLoad:
				began[action.Spec.Machine] = input.Now
				input.Replicas = append(input.Replicas, &Replica{
					Name: "r-" + action.Spec.Machine, Spec: action.Spec, Observed: true, EnginePhase: EngineLoading,
				})
			case action.CrashedDuringLoad && remembers:
				crashes := input.LoadCrashes["wanted"]
				input.LoadCrashes["wanted"] = LoadCrashes{Count: crashes.Count + 1, Last: input.Now}
			}
			if action.Kind == ActionRemove {
				input.Replicas = without(input.Replicas, action.Replica.Name)
			}
		}
	}
	return len(began)
}

func without(replicas []*Replica, name string) []*Replica {
	var left []*Replica
	for _, replica := range replicas {
		if replica.Name != name {
			left = append(left, replica)
		}
	}
	return left
}

func TestLoadThatEndsMachinesIsPaused(t *testing.T) {
	const most = 5
	if ended := loadUntilCrash(newTestPlanner(), true); ended > most {
		t.Errorf("loads of one version ended %d machines in a minute, more than %d", ended, most)
	}
}

func TestPauseGrowsWithCrashes(t *testing.T) {
	last := time.Unix(1_000, 0)
	for count, pause := range map[int]time.Duration{
		2: 10 * time.Second, 3: 20 * time.Second, 4: 40 * time.Second, 6: 160 * time.Second, 7: longestLoadPause, 1000: longestLoadPause,
	} {
		if resumes := (LoadCrashes{Count: count, Last: last}).resumesAt(); !resumes.Equal(last.Add(pause)) {
			t.Errorf("after %d crashes a load waits for %s, not %s", count, resumes.Sub(last), pause)
		}
	}
	if !(LoadCrashes{Count: 1, Last: last}).resumesAt().IsZero() {
		t.Error("one crash, which may be chance, pauses loads")
	}
}

// TestOnlyMachinesThatEndWhileTheyLoadCount: a load may be decided for a machine that has ended
// already, and nobody knows yet.
func TestOnlyMachinesThatEndWhileTheyLoadCount(t *testing.T) {
	for _, test := range []struct {
		phase  v1.ReplicaPhase
		engine string
		counts bool
	}{
		{v1.ReplicaLoading, EngineLoading, true},
		{v1.ReplicaLoading, "", false},
		{v1.ReplicaReady, EngineReady, false},
	} {
		for _, restarted := range []bool{false, true} {
			planner, input := newTestPlanner(), placeInput(1)
			replica := &Replica{Name: "r", Observed: true, EnginePhase: test.engine, Spec: &v1.ReplicaSpec{
				Model: "wanted", Version: "wanted", Machine: "fast", Incarnation: 1, Accelerators: []int{0}, Phase: test.phase,
			}}
			input.Replicas = []*Replica{replica}
			planner.Decide(input)
			replica.Restarted = restarted
			if !restarted {
				delete(input.Machines, "fast")
			}
			counted, removed := false, false
			for _, action := range planner.Decide(input).Actions {
				if action.Kind == ActionRemove && action.Replica == replica {
					counted, removed = action.CrashedDuringLoad, true
				}
			}
			if !removed || counted != test.counts {
				t.Errorf("%s, engine %q, restarted %t: removed %t, counts %t", test.phase, test.engine, restarted, removed, counted)
			}
		}
	}
}
