package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// brittleSim simulates routers and machines in virtual time. A machine runs a few requests at once, lets
// none wait, and fails for a while when it rejects more requests in a second than it bears.
type brittleSim struct {
	now      time.Time
	routers  []*Scheduler
	machines map[string]*brittleMachine
	nextID   uint64
	events   map[time.Time][]func()
	served   int
	failures int
	rejected int
}

type brittleMachine struct {
	running   int
	rejected  []time.Time
	downUntil time.Time
}

const (
	brittleRouters        = 7
	brittleMachines       = 6
	brittleSlots          = 6
	brittleRejections     = 5
	brittleDowntime       = 3 * time.Second
	brittleDigestInterval = 250 * time.Millisecond
)

// brittlePolicy is what routers know of the machines.
type brittlePolicy struct {
	name string
	// rejections is the limit that the routers know of; 0 if they ignore it.
	rejections float64
	// slots are the slots that the routers know of.
	slots int
}

func newBrittleSim(policy brittlePolicy) *brittleSim {
	created := &brittleSim{now: epoch, machines: map[string]*brittleMachine{}, events: map[time.Time][]func(){}}
	var targets []Target
	brittle := map[string]float64{}
	for number := range brittleMachines {
		name := fmt.Sprintf("m%d", number)
		created.machines[name] = &brittleMachine{}
		targets = append(targets, Target{Replica: "r" + name, Version: "v", Machine: name, MaxConcurrent: policy.slots})
		if policy.rejections > 0 {
			brittle[name] = policy.rejections
		}
	}
	for number := range brittleRouters {
		scheduler := New(Config{MaxWaiting: 100, SharedSlots: true, LeastWork: true, Seed: uint64(number)})
		scheduler.SetLoads(created.now, nil, brittleRouters)
		scheduler.SetTargets(created.now, targets)
		scheduler.SetBrittle(created.now, brittle)
		created.routers = append(created.routers, scheduler)
	}
	return created
}

func (b *brittleSim) after(delay time.Duration, event func()) {
	at := b.now.Add(delay)
	b.events[at] = append(b.events[at], event)
}

func (b *brittleSim) apply(scheduler *Scheduler, outcome Outcome) {
	for _, grant := range outcome.Grants {
		b.after(latency, func() { b.arrive(scheduler, grant) })
	}
}

func (b *brittleSim) arrive(scheduler *Scheduler, grant Grant) {
	machine := b.machines[grant.Target.Machine]
	release := func(result Result) {
		b.after(latency, func() { b.apply(scheduler, scheduler.Release(b.now, grant, result)) })
	}
	switch {
	case b.now.Before(machine.downUntil):
		release(ResultUnreachable)
	case machine.running >= brittleSlots:
		b.reject(machine)
		release(ResultRejected)
	default:
		machine.running++
		b.after(firstByte, func() { scheduler.MarkStarted(grant) })
		b.after(serviceTime, func() {
			machine.running--
			b.served++
			b.apply(scheduler, scheduler.Release(b.now, grant, ResultOK))
		})
	}
}

func (b *brittleSim) reject(machine *brittleMachine) {
	b.rejected++
	machine.rejected = append(machine.rejected, b.now)
	for b.now.Sub(machine.rejected[0]) >= rejectionWindow {
		machine.rejected = machine.rejected[1:]
	}
	if len(machine.rejected) > brittleRejections {
		b.failures++
		machine.downUntil, machine.rejected = b.now.Add(brittleDowntime), nil
	}
}

func (b *brittleSim) sendDigest() {
	loads := map[string]int{}
	for name, machine := range b.machines {
		loads[name] = machine.running
	}
	for _, scheduler := range b.routers {
		b.apply(scheduler, scheduler.SetLoads(b.now, loads, brittleRouters))
	}
}

// run simulates a time span with a total request rate, of which one router gets an uneven share.
func (b *brittleSim) run(duration time.Duration, perSecond int) {
	interval := time.Second / time.Duration(perSecond)
	for elapsed := time.Duration(0); elapsed < duration; elapsed += step {
		for _, event := range b.events[b.now] {
			event()
		}
		delete(b.events, b.now)
		if elapsed%brittleDigestInterval == 0 {
			b.sendDigest()
		}
		if elapsed%interval < step {
			b.nextID++
			scheduler := b.routers[int(b.nextID*b.nextID)%len(b.routers)]
			request := &Request{ID: b.nextID, Version: "v", Work: 100, Arrived: b.now, Deadline: b.now.Add(3 * time.Second), QueueDeadline: b.now.Add(time.Second)}
			b.apply(scheduler, scheduler.Submit(b.now, request))
		}
		for _, scheduler := range b.routers {
			b.apply(scheduler, scheduler.Tick(b.now))
		}
		b.now = b.now.Add(step)
	}
}

// TestBrittleMachinesStayUp guards against routers that together make machines reject more requests than
// these bear, so that the machines fail.
func TestBrittleMachinesStayUp(t *testing.T) {
	const (
		capacity = float64(brittleMachines) * brittleSlots * float64(time.Second) / float64(serviceTime)
		seconds  = 20
		// maxFailures is what the machines' operators accept.
		maxFailures = 2 + brittleMachines/10
	)
	// The last policy is the one in use; the others show what each part contributes.
	policies := []brittlePolicy{
		{"ignored", 0, brittleSlots},
		{"slots only", 1e9, brittleSlots},
		{"rejections only", brittleRejections, 1000},
		{"both", brittleRejections, brittleSlots},
	}
	for _, load := range []float64{0.5, 0.9, 1.5, 3} {
		mostServed := 0
		for _, policy := range policies {
			sim := newBrittleSim(policy)
			sim.run(seconds*time.Second, int(load*capacity))
			t.Logf("load %.1f, %s: %d served, %d rejected, %d failures", load, policy.name, sim.served, sim.rejected, sim.failures)
			if policy.name != "both" {
				mostServed = max(mostServed, sim.served)
				continue
			}
			if sim.failures > maxFailures {
				t.Errorf("load %.1f: %d failures, %d allowed", load, sim.failures, maxFailures)
			}
			if sim.served < mostServed {
				t.Errorf("load %.1f: %d requests served, another policy serves %d", load, sim.served, mostServed)
			}
		}
	}
}
