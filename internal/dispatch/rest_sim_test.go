package dispatch

import (
	"strconv"
	"testing"
	"time"
)

// overload is many routers before one worker in virtual time. The worker runs a few requests at once and
// rejects the others, with a rest for the router that sent them.
type overload struct {
	now     time.Time
	routers []*Scheduler
	nextID  uint64
	running int
	// due are the events to come, by time.
	due      map[time.Time][]func()
	served   int
	rejected int
}

const (
	overloadSlots   = 8
	overloadRouters = 20
	overloadRest    = time.Second
	// serviceTime is how long the worker takes for a request; firstByte until its answer begins.
	serviceTime = 200 * time.Millisecond
	firstByte   = 20 * time.Millisecond
	oneWay      = 2 * time.Millisecond
	step        = time.Millisecond
)

func newOverload() *overload {
	created := &overload{now: beginning, due: map[time.Time][]func(){}}
	for number := range overloadRouters {
		core := New(Config{MaxWaiting: 100, SharedSlots: true, LeastWork: true, Seed: uint64(number)})
		core.SetLoads(created.now, nil, overloadRouters)
		core.SetTargets(created.now, []Target{{Replica: "r", Version: "v", Machine: "m", MaxConcurrent: 2 * overloadSlots}})
		created.routers = append(created.routers, core)
	}
	return created
}

func (o *overload) after(span time.Duration, do func()) {
	at := o.now.Add(span)
	o.due[at] = append(o.due[at], do)
}

func (o *overload) submit(core *Scheduler) {
	o.nextID++
	request := &Request{ID: o.nextID, Version: "v", Work: 100, Arrived: o.now, Deadline: o.now.Add(5 * time.Second), QueueDeadline: o.now.Add(2 * time.Second)}
	o.take(core, core.Submit(o.now, request))
}

func (o *overload) take(core *Scheduler, outcome Outcome) {
	for _, grant := range outcome.Grants {
		o.after(oneWay, func() { o.arrive(core, grant) })
	}
}

func (o *overload) arrive(core *Scheduler, grant Grant) {
	if o.running >= overloadSlots {
		o.rejected++
		o.after(oneWay, func() {
			o.take(core, core.BackOff(o.now, "m", overloadRest))
			o.take(core, core.Release(o.now, grant, ResultNotRun))
		})
		return
	}
	o.running++
	o.after(firstByte, func() { core.MarkStarted(grant) })
	o.after(serviceTime, func() {
		o.running--
		o.served++
		o.take(core, core.Release(o.now, grant, ResultOK))
	})
}

// run plays a time, with so many requests a second at all routers together.
func (o *overload) run(span time.Duration, perSecond int) {
	every := time.Second / time.Duration(perSecond)
	for elapsed := time.Duration(0); elapsed < span; elapsed += step {
		for _, do := range o.due[o.now] {
			do()
		}
		delete(o.due, o.now)
		if elapsed%every < step {
			o.submit(o.routers[int(o.nextID)%len(o.routers)])
		}
		for _, core := range o.routers {
			o.take(core, core.Tick(o.now))
		}
		o.now = o.now.Add(step)
	}
}

// TestRoutersReturnFromRestsOneByOne: routers that had been asked for a rest at the same moment returned
// with all their waiting requests at once, were rejected again, and left the worker idle meanwhile.
func TestRoutersReturnFromRestsOneByOne(t *testing.T) {
	const (
		// capacity is how many requests a second the worker can serve.
		capacity = float64(overloadSlots) * float64(time.Second) / float64(serviceTime)
		seconds  = 10
		// leastUse is the part of its work that the worker gets to do; mostRejected bounds the
		// rejections for each request that is served.
		leastUse     = 0.5
		mostRejected = 2.0
	)
	for _, share := range []float64{0.5, 0.9, 1.5, 3} {
		t.Run(strconv.FormatFloat(share, 'f', -1, 64), func(t *testing.T) {
			world := newOverload()
			world.run(time.Second, int(4*capacity)) // All routers are asked for a rest.
			world.served, world.rejected = 0, 0
			world.run(seconds*time.Second, int(share*capacity))
			if least := leastUse * min(1, share) * capacity * seconds; float64(world.served) < least {
				t.Errorf("%d served, the worker could do %.0f", world.served, least/leastUse)
			}
			if most := mostRejected * float64(world.served); float64(world.rejected) > most {
				t.Errorf("%d served, %d rejected", world.served, world.rejected)
			}
			t.Logf("%d served, %d rejected", world.served, world.rejected)
		})
	}
}
