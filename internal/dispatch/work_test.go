package dispatch

import (
	"strconv"
	"testing"
	"time"
)

func workCore(machines int) (*Scheduler, time.Time) {
	now := time.Unix(1000, 0)
	core := New(Config{MaxWaiting: 100, SharedSlots: true, PlacedAdapters: true, LeastWork: true})
	var targets []Target
	for position := range machines {
		name := "m" + strconv.Itoa(position)
		targets = append(targets, Target{Replica: "r" + name, Version: "v", Machine: name, MaxConcurrent: 64, Adapters: []string{"a1"}})
	}
	core.SetTargets(now, targets)
	return core, now
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

// TestWorkAndNotRequests: one long prompt counts for many short ones, until its
// answer begins.
func TestWorkAndNotRequests(t *testing.T) {
	core, now := workCore(2)
	long := grantOf(t, core.Submit(now, request(now, 9000, 0, 0)))
	for range 8 {
		if short := grantOf(t, core.Submit(now, request(now, 1000, 0, 0))); short.Target.Machine == long.Target.Machine {
			t.Error("a short request goes behind the long one")
		}
	}
	core.MarkStarted(long)
	if next := grantOf(t, core.Submit(now, request(now, 1000, 0, 0))); next.Target.Machine != long.Target.Machine {
		t.Error("a machine whose prompt has been read is still passed over")
	}
}

// TestWorkOfOthers: what other routers have sent counts, own work not twice.
func TestWorkOfOthers(t *testing.T) {
	core, now := workCore(2)
	own := grantOf(t, core.Submit(now, request(now, 2000, 0, 0)))
	other := "m0"
	if own.Target.Machine == "m0" {
		other = "m1"
	}
	core.SetWork(now, map[string]float64{own.Target.Machine: 2000, other: 5000})
	if next := grantOf(t, core.Submit(now, request(now, 1000, 0, 0))); next.Target.Machine != own.Target.Machine {
		t.Error("the other machine has 5000 tokens before it, this one 2000")
	}
}

// TestHomes: every router sends prompts of one beginning to the same machine, if
// that is not so busy that reading the beginning elsewhere is cheaper.
func TestHomes(t *testing.T) {
	homes := map[uint64]map[string]bool{}
	for range 5 {
		core, now := workCore(8)
		for prefix := uint64(1); prefix <= 20; prefix++ {
			grant := grantOf(t, core.Submit(now, request(now, 100, 6000, prefix)))
			if homes[prefix] == nil {
				homes[prefix] = map[string]bool{}
			}
			homes[prefix][grant.Target.Machine] = true
			core.Release(now, grant, ResultOK)
		}
	}
	all := map[string]bool{}
	for prefix, machines := range homes {
		if len(machines) != 1 {
			t.Errorf("routers don't agree on the home of %d: %v", prefix, machines)
		}
		for machine := range machines {
			all[machine] = true
		}
	}
	if len(all) < 5 {
		t.Errorf("20 beginnings have their homes on %d of 8 machines", len(all))
	}
	core, now := workCore(8)
	home := grantOf(t, core.Submit(now, request(now, 9000, 6000, 1)))
	if next := grantOf(t, core.Submit(now, request(now, 9000, 6000, 1))); next.Target.Machine == home.Target.Machine {
		t.Error("a request waits for 9000 tokens to spare 6000")
	}
}

// TestAdaptersInUseAreReported for as long as a request for one runs: one that
// ran for long was dropped meanwhile.
func TestAdaptersInUseAreReported(t *testing.T) {
	core, now := workCore(1)
	wanted := request(now, 100, 0, 0)
	wanted.Adapter = "a1"
	grant := grantOf(t, core.Submit(now, wanted))
	running := func() int {
		for _, demand := range core.Demand(now) {
			if demand.Adapter == "a1" {
				return demand.Running
			}
		}
		return 0
	}
	if running() != 1 {
		t.Error("a running request's adapter is not reported")
	}
	core.Release(now, grant, ResultOK)
	if running() != 0 {
		t.Error("an adapter is reported after its request")
	}
}

// TestUnreachable: a machine that no connection came about to is passed over and
// reported at once, and tried when there is no other.
func TestUnreachable(t *testing.T) {
	core, now := workCore(2)
	down := grantOf(t, core.Submit(now, request(now, 100, 0, 0)))
	core.Release(now, down, ResultUnreachable)
	if names := core.UnreachableMachines(now); len(names) != 1 || names[0] != down.Target.Machine {
		t.Errorf("unreachable: %v", names)
	}
	for range 5 {
		next := grantOf(t, core.Submit(now, request(now, 100, 0, 0)))
		if next.Target.Machine == down.Target.Machine {
			t.Error("a machine that is down is tried again")
		}
	}
	alone := request(now, 100, 0, 0)
	for _, machine := range []string{"m0", "m1"} {
		if machine != down.Target.Machine {
			alone.TriedMachines = append(alone.TriedMachines, machine)
		}
	}
	if last := grantOf(t, core.Submit(now, alone)); last.Target.Machine != down.Target.Machine {
		t.Error("a request waits although one machine could be tried")
	}
	if names := core.UnreachableMachines(now.Add(time.Minute)); len(names) != 0 {
		t.Errorf("still reported: %v", names)
	}
}
