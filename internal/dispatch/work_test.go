package dispatch

import (
	"strconv"
	"testing"
	"time"
)

func newWorkScheduler(machines int) (*Scheduler, time.Time) {
	now := time.Unix(1000, 0)
	scheduler := New(Config{MaxWaiting: 100, SharedSlots: true, PlacedAdapters: true, LeastWork: true})
	var targets []Target
	for position := range machines {
		name := "m" + strconv.Itoa(position)
		targets = append(targets, Target{Replica: "r" + name, Version: "v", Machine: name, MaxConcurrent: 64, Adapters: []string{"a1"}})
	}
	scheduler.SetTargets(now, targets)
	return scheduler, now
}

var nextRequest uint64

func request(now time.Time, work, shared float64, prefix uint64) *Request {
	nextRequest++
	return &Request{
		ID: nextRequest, Version: "v", Arrived: now, Deadline: now.Add(time.Minute), Work: work, PrefixWork: shared, PrefixHash: prefix,
	}
}

func grantOf(t *testing.T, outcome Outcome) Grant {
	t.Helper()
	if len(outcome.Grants) != 1 {
		t.Fatalf("%+v", outcome)
	}
	return outcome.Grants[0]
}

// TestLeastWorkCountsTokens: one long prompt outweighs many short ones until its response starts.
func TestLeastWorkCountsTokens(t *testing.T) {
	scheduler, now := newWorkScheduler(2)
	long := grantOf(t, scheduler.Submit(now, request(now, 9000, 0, 0)))
	for range 8 {
		if short := grantOf(t, scheduler.Submit(now, request(now, 1000, 0, 0))); short.Target.Machine == long.Target.Machine {
			t.Error("a short request is queued behind the long one")
		}
	}
	scheduler.MarkStarted(long)
	if next := grantOf(t, scheduler.Submit(now, request(now, 1000, 0, 0))); next.Target.Machine != long.Target.Machine {
		t.Error("a machine is avoided after its prompt was processed")
	}
}

// TestWorkOfOtherRouters guards against ignoring other routers' work and against counting own work
// twice.
func TestWorkOfOtherRouters(t *testing.T) {
	scheduler, now := newWorkScheduler(2)
	own := grantOf(t, scheduler.Submit(now, request(now, 2000, 0, 0)))
	other := "m0"
	if own.Target.Machine == "m0" {
		other = "m1"
	}
	scheduler.SetWork(now, map[string]float64{own.Target.Machine: 2000, other: 5000})
	if next := grantOf(t, scheduler.Submit(now, request(now, 1000, 0, 0))); next.Target.Machine != own.Target.Machine {
		t.Error("the machine with more outstanding work was selected")
	}
}

// TestPreferredTargets: all routers send a prefix to the same machine, unless waiting there costs
// more than processing the prefix again.
func TestPreferredTargets(t *testing.T) {
	preferred := map[uint64]map[string]bool{}
	for range 5 {
		scheduler, now := newWorkScheduler(8)
		for prefix := uint64(1); prefix <= 20; prefix++ {
			grant := grantOf(t, scheduler.Submit(now, request(now, 100, 6000, prefix)))
			if preferred[prefix] == nil {
				preferred[prefix] = map[string]bool{}
			}
			preferred[prefix][grant.Target.Machine] = true
			scheduler.Release(now, grant, ResultOK)
		}
	}
	all := map[string]bool{}
	for prefix, machines := range preferred {
		if len(machines) != 1 {
			t.Errorf("routers prefer different machines for prefix %d: %v", prefix, machines)
		}
		for machine := range machines {
			all[machine] = true
		}
	}
	if len(all) < 5 {
		t.Errorf("20 prefixes use only %d of 8 machines", len(all))
	}
	scheduler, now := newWorkScheduler(8)
	first := grantOf(t, scheduler.Submit(now, request(now, 9000, 6000, 1)))
	if next := grantOf(t, scheduler.Submit(now, request(now, 9000, 6000, 1))); next.Target.Machine == first.Target.Machine {
		t.Error("a request waits for 9000 tokens to save 6000")
	}
}

// TestRunningAdapterIsInDemand guards against unloading an adapter while a long request uses it.
func TestRunningAdapterIsInDemand(t *testing.T) {
	scheduler, now := newWorkScheduler(1)
	wanted := request(now, 100, 0, 0)
	wanted.Adapter = "a1"
	grant := grantOf(t, scheduler.Submit(now, wanted))
	running := func() int {
		for _, demand := range scheduler.Demand(now) {
			if demand.Adapter == "a1" {
				return demand.Running
			}
		}
		return 0
	}
	if running() != 1 {
		t.Error("the adapter of a running request is not in the demand")
	}
	scheduler.Release(now, grant, ResultOK)
	if running() != 0 {
		t.Error("an adapter is in the demand after its request ended")
	}
}

// TestUnreachableMachine: a machine that can't be connected to is avoided and reported at once,
// but tried if there is no other.
func TestUnreachableMachine(t *testing.T) {
	scheduler, now := newWorkScheduler(2)
	unreachable := grantOf(t, scheduler.Submit(now, request(now, 100, 0, 0)))
	scheduler.Release(now, unreachable, ResultUnreachable)
	if names := scheduler.UnreachableMachines(now); len(names) != 1 || names[0] != unreachable.Target.Machine {
		t.Errorf("unreachable machines: %v", names)
	}
	for range 5 {
		next := grantOf(t, scheduler.Submit(now, request(now, 100, 0, 0)))
		if next.Target.Machine == unreachable.Target.Machine {
			t.Error("an unreachable machine is tried again")
		}
	}
	last := request(now, 100, 0, 0)
	for _, machine := range []string{"m0", "m1"} {
		if machine != unreachable.Target.Machine {
			last.TriedMachines = append(last.TriedMachines, machine)
		}
	}
	if granted := grantOf(t, scheduler.Submit(now, last)); granted.Target.Machine != unreachable.Target.Machine {
		t.Error("a request is not sent to the only remaining machine")
	}
	if names := scheduler.UnreachableMachines(now.Add(time.Minute)); len(names) != 0 {
		t.Errorf("still reported as unreachable: %v", names)
	}
}
