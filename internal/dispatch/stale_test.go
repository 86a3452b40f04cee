package dispatch

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// herd is a course of requests at routers that know of each other only by digests.
type herd struct {
	routers []*Scheduler
	random  *rand.Rand
	now     time.Time
	// backlog is the work before each machine, in tokens; sent are the grants that a
	// machine has not read yet, in order.
	backlog map[string]float64
	sent    map[string][]sentGrant
	// waited adds up the work that requests found before them, least what they would
	// have found at the least busy machine.
	waited, least float64
}

type sentGrant struct {
	router *Scheduler
	grant  Grant
	left   float64
}

const (
	herdMachines = 6
	// herdSpeed is how many tokens a machine reads in a second.
	herdSpeed = 40_000
	herdWork  = 3000
	herdLoad  = 0.6
	herdStep  = 5 * time.Millisecond
)

func newHerd(routers int) *herd {
	created := &herd{
		random: rand.New(rand.NewPCG(11, 13)), now: time.Unix(1000, 0), backlog: map[string]float64{}, sent: map[string][]sentGrant{},
	}
	for number := range routers {
		core := New(Config{MaxWaiting: 10000, SharedSlots: true, LeastWork: true, Seed: uint64(number)})
		var targets []Target
		for machine := range herdMachines {
			name := "m" + strconv.Itoa(machine)
			targets = append(targets, Target{Replica: "r" + name, Version: "v", Machine: name, MaxConcurrent: 1000})
		}
		core.SetTargets(created.now, targets)
		created.routers = append(created.routers, core)
	}
	return created
}

func (h *herd) run(span time.Duration) {
	perStep := herdLoad * herdMachines * herdSpeed / herdWork * herdStep.Seconds()
	var reported map[string]float64
	for elapsed := time.Duration(0); elapsed < span; elapsed += herdStep {
		h.now = h.now.Add(herdStep)
		if h.random.Float64() < perStep {
			h.arrive(h.routers[h.random.IntN(len(h.routers))])
		}
		h.read()
		if elapsed%(500*time.Millisecond) != 0 {
			continue
		}
		// A digest carries what was reported before it.
		for _, core := range h.routers {
			core.SetWork(h.now, reported)
			core.SetLoads(h.now, nil, len(h.routers))
		}
		reported = map[string]float64{}
		for _, core := range h.routers {
			for machine, work := range core.Work() {
				reported[machine] += work
			}
		}
	}
}

func (h *herd) arrive(router *Scheduler) {
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
	h.waited += h.backlog[machine]
	h.least += least
	h.backlog[machine] += herdWork
	h.sent[machine] = append(h.sent[machine], sentGrant{router: router, grant: grant, left: herdWork})
}

func (h *herd) read() {
	for machine, queue := range h.sent {
		budget := herdSpeed * herdStep.Seconds()
		for len(queue) > 0 && budget > 0 {
			done := min(budget, queue[0].left)
			queue[0].left -= done
			h.backlog[machine] -= done
			budget -= done
			if queue[0].left <= 0 {
				queue[0].router.Release(h.now, queue[0].grant, ResultOK)
				queue = queue[1:]
			}
		}
		h.sent[machine] = queue
	}
}

// TestRoutersDoNotHerd: by reports that are up to a second old, every router took the
// machine that had been least busy, until the next report. The bound is how much work
// requests find before them, in the work of one request, over what they would find at
// the machine that is least busy.
func TestRoutersDoNotHerd(t *testing.T) {
	for routers, bound := range map[int]float64{1: 0.3, 8: 1.5, 80: 1.8} {
		t.Run(strconv.Itoa(routers), func(t *testing.T) {
			course := newHerd(routers)
			course.run(time.Minute)
			requests := herdLoad * herdMachines * herdSpeed / herdWork * 60.0
			extra := (course.waited - course.least) / requests / herdWork
			t.Logf("%d routers: %.2f requests more before each than at the least busy machine", routers, extra)
			if extra > bound {
				t.Errorf("%.2f, allowed %.2f", extra, bound)
			}
		})
	}
}

func TestFillLevel(t *testing.T) {
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
		if level := fillLevel(test.loads, test.amount); level != test.level {
			t.Errorf("%v with %v: %v, expected %v", test.loads, test.amount, level, test.level)
		}
	}
}

// TestWeightedRank: each machine comes first as often as its weight says.
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
		t.Errorf("%v", first)
	}
}
