package dispatch

import (
	"strconv"
	"testing"
	"time"
)

// overloadSim simulates many routers and one machine in virtual time. The machine runs a few
// requests at once, rejects the others and asks the sending router to back off.
type overloadSim struct {
	now     time.Time
	routers []*Scheduler
	nextID  uint64
	running int
	// events are the pending events by time.
	events   map[time.Time][]func()
	served   int
	rejected int
}

const (
	overloadSlots   = 8
	overloadRouters = 20
	overloadBackoff = time.Second
	// firstByte is the time until the first byte of a response.
	serviceTime = 200 * time.Millisecond
	firstByte   = 20 * time.Millisecond
	latency     = 2 * time.Millisecond
	step        = time.Millisecond
)

func newOverloadSim() *overloadSim {
	created := &overloadSim{now: epoch, events: map[time.Time][]func(){}}
	for number := range overloadRouters {
		scheduler := New(Config{MaxWaiting: 100, SharedSlots: true, LeastWork: true, Seed: uint64(number)})
		scheduler.SetLoads(created.now, nil, overloadRouters)
		scheduler.SetTargets(created.now, []Target{{Replica: "r", Version: "v", Machine: "m", MaxConcurrent: 2 * overloadSlots}})
		created.routers = append(created.routers, scheduler)
	}
	return created
}

func (o *overloadSim) after(delay time.Duration, event func()) {
	at := o.now.Add(delay)
	o.events[at] = append(o.events[at], event)
}

func (o *overloadSim) submit(scheduler *Scheduler) {
	o.nextID++
	request := &Request{ID: o.nextID, Version: "v", Work: 100, Arrived: o.now, Deadline: o.now.Add(5 * time.Second), QueueDeadline: o.now.Add(2 * time.Second)}
	o.apply(scheduler, scheduler.Submit(o.now, request))
}

func (o *overloadSim) apply(scheduler *Scheduler, outcome Outcome) {
	for _, grant := range outcome.Grants {
		o.after(latency, func() { o.arrive(scheduler, grant) })
	}
}

func (o *overloadSim) arrive(scheduler *Scheduler, grant Grant) {
	if o.running >= overloadSlots {
		o.rejected++
		o.after(latency, func() {
			o.apply(scheduler, scheduler.BackOff(o.now, "m", overloadBackoff))
			o.apply(scheduler, scheduler.Release(o.now, grant, ResultNotRun))
		})
		return
	}
	o.running++
	o.after(firstByte, func() { scheduler.MarkStarted(grant) })
	o.after(serviceTime, func() {
		o.running--
		o.served++
		o.apply(scheduler, scheduler.Release(o.now, grant, ResultOK))
	})
}

// run simulates a time span with a total request rate.
func (o *overloadSim) run(duration time.Duration, perSecond int) {
	interval := time.Second / time.Duration(perSecond)
	for elapsed := time.Duration(0); elapsed < duration; elapsed += step {
		for _, event := range o.events[o.now] {
			event()
		}
		delete(o.events, o.now)
		if elapsed%interval < step {
			o.submit(o.routers[int(o.nextID)%len(o.routers)])
		}
		for _, scheduler := range o.routers {
			o.apply(scheduler, scheduler.Tick(o.now))
		}
		o.now = o.now.Add(step)
	}
}

// TestRoutersResumeOneByOne guards against routers that end their backoffs at the same moment,
// overload the machine again and leave it idle afterwards.
func TestRoutersResumeOneByOne(t *testing.T) {
	const (
		// capacity is the number of requests per second that the machine can serve.
		capacity = float64(overloadSlots) * float64(time.Second) / float64(serviceTime)
		seconds  = 10
		// minUtilization is relative to what the machine could serve; maxRejected is per request
		// served.
		minUtilization = 0.5
		maxRejected    = 2.0
	)
	for _, load := range []float64{0.5, 0.9, 1.5, 3} {
		t.Run(strconv.FormatFloat(load, 'f', -1, 64), func(t *testing.T) {
			sim := newOverloadSim()
			sim.run(time.Second, int(4*capacity)) // Makes all routers back off.
			sim.served, sim.rejected = 0, 0
			sim.run(seconds*time.Second, int(load*capacity))
			if want := minUtilization * min(1, load) * capacity * seconds; float64(sim.served) < want {
				t.Errorf("%d requests served, capacity for %.0f", sim.served, want/minUtilization)
			}
			if limit := maxRejected * float64(sim.served); float64(sim.rejected) > limit {
				t.Errorf("%d served, %d rejected", sim.served, sim.rejected)
			}
			t.Logf("%d served, %d rejected", sim.served, sim.rejected)
		})
	}
}
