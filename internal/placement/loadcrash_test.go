package placement

import (
	"fmt"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// simulateCrashingLoads simulates a minute in which each machine that starts to load the wanted
// version crashes after 100 ms, is lost after 1 s and removed after 4 s. It returns the number of
// crashed machines.
func simulateCrashingLoads(planner *Planner, recordsCrashes bool) int {
	const (
		step     = 100 * time.Millisecond
		lostIn   = time.Second
		goneIn   = 4 * time.Second
		machines = 60
	)
	input := twoMachineInput(1)
	input.Versions["wanted"].MaxReplicas = machines
	input.Machines = map[string]*Machine{}
	for number := range machines {
		name := fmt.Sprintf("m-%02d", number)
		input.Machines[name] = &Machine{Name: name, Accelerators: 1, AcceleratorBytes: 80 * gibibyte, Incarnation: 1, Schedulable: true, Tiers: map[string]Tier{}}
	}
	input.LoadCrashes = map[string]LoadCrashes{}
	startedAt := map[string]time.Time{}
	for range 600 {
		input.Now = input.Now.Add(step)
		input.Demand["wanted"].OldestWait += step
		for name, at := range startedAt {
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
				startedAt[action.Spec.Machine] = input.Now
				input.Replicas = append(input.Replicas, &Replica{
					Name: "r-" + action.Spec.Machine, Spec: action.Spec, Observed: true, EnginePhase: EngineLoading,
				})
			case action.CrashedDuringLoad && recordsCrashes:
				crashes := input.LoadCrashes["wanted"]
				input.LoadCrashes["wanted"] = LoadCrashes{Count: crashes.Count + 1, Last: input.Now}
			}
			if action.Kind == ActionRemove {
				input.Replicas = withoutNamed(input.Replicas, action.Replica.Name)
			}
		}
	}
	return len(startedAt)
}

func withoutNamed(replicas []*Replica, name string) []*Replica {
	var remaining []*Replica
	for _, replica := range replicas {
		if replica.Name != name {
			remaining = append(remaining, replica)
		}
	}
	return remaining
}

func TestCrashingLoadBacksOff(t *testing.T) {
	const limit = 5
	if crashed := simulateCrashingLoads(newTestPlanner(), true); crashed > limit {
		t.Errorf("loads of one version crashed %d machines in a minute, more than %d", crashed, limit)
	}
}

func TestCrashBackoffIsExponential(t *testing.T) {
	last := time.Unix(1_000, 0)
	for count, backoff := range map[int]time.Duration{
		2: 10 * time.Second, 3: 20 * time.Second, 4: 40 * time.Second, 6: 160 * time.Second, 7: maxCrashBackoff, 1000: maxCrashBackoff,
	} {
		if resumes := (LoadCrashes{Count: count, Last: last}).retryAt(); !resumes.Equal(last.Add(backoff)) {
			t.Errorf("after %d crashes the backoff is %s, not %s", count, resumes.Sub(last), backoff)
		}
	}
	if !(LoadCrashes{Count: 1, Last: last}).retryAt().IsZero() {
		t.Error("a single crash delays loads")
	}
}

// TestOnlyCrashesDuringLoadCount checks that a crash counts only if the engine had reported the
// load: a load may be decided for a machine that has already crashed.
func TestOnlyCrashesDuringLoadCount(t *testing.T) {
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
			planner, input := newTestPlanner(), twoMachineInput(1)
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
