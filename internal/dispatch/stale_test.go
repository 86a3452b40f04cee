package dispatch

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// herdSim simulates routers that know of each other's requests by digests only.
type herdSim struct {
	routers []*Scheduler
	random  *rand.Rand
	now     time.Time
	// backlog is the outstanding work of each machine, in tokens; sent are the grants that a
	// machine has not processed yet, in order.
	backlog map[string]float64
	sent    map[string][]sentGrant
	// queuedWork is the total work ahead of requests on arrival, leastQueued what it would have
	// been on the least busy machine.
	queuedWork, leastQueued float64
}

type sentGrant struct {
	router    *Scheduler
	grant     Grant
	remaining float64
}

const (
	herdMachines = 6
	// herdSpeed is the tokens per second that a machine processes.
	herdSpeed       = 40_000
	herdWork        = 3000
	herdUtilization = 0.6
	herdStep        = 5 * time.Millisecond
)

func newHerdSim(routers int) *herdSim {
	created := &herdSim{
		random: rand.New(rand.NewPCG(11, 13)), now: time.Unix(1000, 0), backlog: map[string]float64{}, sent: map[string][]sentGrant{},
	}
	for number := range routers {
		scheduler := New(Config{MaxWaiting: 10000, SharedSlots: true, LeastWork: true, Seed: uint64(number)})
		var targets []Target
		for machine := range herdMachines {
			name := "m" + strconv.Itoa(machine)
			targets = append(targets, Target{Replica: "r" + name, Version: "v", Machine: name, MaxConcurrent: 1000})
		}
		scheduler.SetTargets(created.now, targets)
		created.routers = append(created.routers, scheduler)
	}
	return created
}

func (h *herdSim) run(duration time.Duration) {
	perStep := herdUtilization * herdMachines * herdSpeed / herdWork * herdStep.Seconds()
	var reported map[string]float64
	for elapsed := time.Duration(0); elapsed < duration; elapsed += herdStep {
		h.now = h.now.Add(herdStep)
		if h.random.Float64() < perStep {
			h.arrive(h.routers[h.random.IntN(len(h.routers))])
		}
		h.process()
		if elapsed%(500*time.Millisecond) != 0 {
			continue
		}
		// A digest contains the previous reports.
		for _, scheduler := range h.routers {
			scheduler.SetWork(h.now, reported)
			scheduler.SetLoads(h.now, nil, len(h.routers))
		}
		reported = map[string]float64{}
		for _, scheduler := range h.routers {
			for machine, work := range scheduler.Work() {
				reported[machine] += work
			}
		}
	}
}

func (h *herdSim) arrive(router *Scheduler) {
	nextRequest++
	outcome := router.Submit(h.now, &Request{
		ID: nextRequest, Version: "v", Arrived: h.now, Deadline: h.now.Add(time.Minute), Work: herdWork,
	})
	grant := outcome.Grants[0]
	machine := grant.Target.Machine
	least := h.backlog[machine]
	for number := range herdMachines {
		least = min(least, h.backlog["m"+strconv.Itoa(number)])
	}
	h.queuedWork += h.backlog[machine]
	h.leastQueued += least
	h.backlog[machine] += herdWork
	h.sent[machine] = append(h.sent[machine], sentGrant{router: router, grant: grant, remaining: herdWork})
}

func (h *herdSim) process() {
	for machine, queue := range h.sent {
		budget := herdSpeed * herdStep.Seconds()
		for len(queue) > 0 && budget > 0 {
			done := min(budget, queue[0].remaining)
			queue[0].remaining -= done
			h.backlog[machine] -= done
			budget -= done
			if queue[0].remaining <= 0 {
				queue[0].router.Release(h.now, queue[0].grant, ResultOK)
				queue = queue[1:]
			}
		}
		h.sent[machine] = queue
	}
}

// TestRoutersDoNotHerd guards against all routers selecting the machine that was least busy in the
// last digest. The bound is the excess work ahead of a request compared with the least busy
// machine, in requests.
func TestRoutersDoNotHerd(t *testing.T) {
	for routers, bound := range map[int]float64{1: 0.3, 8: 1.5, 80: 1.8} {
		t.Run(strconv.Itoa(routers), func(t *testing.T) {
			sim := newHerdSim(routers)
			sim.run(time.Minute)
			requests := herdUtilization * herdMachines * herdSpeed / herdWork * 60.0
			extra := (sim.queuedWork - sim.leastQueued) / requests / herdWork
			t.Logf("%d routers: %.2f excess requests ahead", routers, extra)
			if extra > bound {
				t.Errorf("got %.2f excess requests ahead, want at most %.2f", extra, bound)
			}
		})
	}
}

func TestWaterFill(t *testing.T) {
	for _, test := range []struct {
		loads  []float64
		amount float64
		level  float64
	}{
		{[]float64{0, 10, 20}, 5, 5},
		{[]float64{20, 0, 10}, 10, 10},
		{[]float64{0, 10, 20}, 20, 15},
		{[]float64{0, 10, 20}, 60, 30},
		{[]float64{5}, 3, 8},
	} {
		if level := waterFill(test.loads, test.amount); level != test.level {
			t.Errorf("waterFill(%v, %v) = %v, want %v", test.loads, test.amount, level, test.level)
		}
	}
}

// TestWeightedRank checks that each machine ranks first in proportion to its weight.
func TestWeightedRank(t *testing.T) {
	const keys = 20000
	weights := map[string]float64{"a": 1, "b": 3, "c": 0}
	first := map[string]int{}
	for key := range uint64(keys) {
		best := "a"
		for _, machine := range []string{"b", "c"} {
			if weightedRank(key, machine, weights[machine]) > weightedRank(key, best, weights[best]) {
				best = machine
			}
		}
		first[best]++
	}
	if share := float64(first["b"]) / keys; share < 0.73 || share > 0.77 || first["c"] > 0 {
		t.Errorf("first ranks: %v", first)
	}
}
