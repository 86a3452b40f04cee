package policysim

import (
	"time"

	"github.com/weldline/weldline/internal/virtualtime"
)

// weightStore admits loads at a rate and shares its bandwidth among them.
type weightStore struct {
	clock      *virtualtime.Scheduler
	perSecond  float64
	concurrent int
	// speed of one load alone, in bytes a second; slowness divides it.
	speed    float64
	slowness float64

	nextAdmission time.Duration
	active        []*transfer
	updated       time.Duration
	// generation makes completions that were scheduled before a change void.
	generation int
}

// transfer is a load on its way.
type transfer struct {
	remaining float64
	done      func()
}

func newWeightStore(clock *virtualtime.Scheduler, scenario StoreScenario) *weightStore {
	return &weightStore{
		clock: clock, perSecond: scenario.LoadsPerSecond, concurrent: scenario.ConcurrentLoads,
		speed: scenario.GBps * gigabyte, slowness: 1,
	}
}

// load begins a transfer once it is admitted; cancelled ones are dropped.
func (s *weightStore) load(bytes int64, wanted func() bool, done func()) {
	at := max(s.clock.Now(), s.nextAdmission)
	s.nextAdmission = at + time.Duration(float64(time.Second)/s.perSecond)
	s.clock.After(at-s.clock.Now(), func() {
		if wanted() {
			s.advance()
			s.active = append(s.active, &transfer{remaining: float64(bytes), done: done})
			s.schedule()
		}
	})
}

func (s *weightStore) setSlowness(slowness float64) {
	s.advance()
	s.slowness = slowness
	s.schedule()
}

// rate is the speed of each transfer now.
func (s *weightStore) rate() float64 {
	share := 1.0
	if len(s.active) > s.concurrent {
		share = float64(s.concurrent) / float64(len(s.active))
	}
	return s.speed * share / s.slowness
}

// advance moves every transfer to the present.
func (s *weightStore) advance() {
	moved := s.rate() * (s.clock.Now() - s.updated).Seconds()
	s.updated = s.clock.Now()
	for _, entry := range s.active {
		entry.remaining -= moved
	}
}

// schedule wakes up when the next transfer will be complete.
func (s *weightStore) schedule() {
	s.generation++
	generation := s.generation
	least := -1.0
	for _, entry := range s.active {
		if least < 0 || entry.remaining < least {
			least = entry.remaining
		}
	}
	if least < 0 {
		return
	}
	const rounding = time.Microsecond
	delay := time.Duration(max(least, 0)/s.rate()*float64(time.Second)) + rounding
	s.clock.After(delay, func() {
		if s.generation == generation {
			s.complete()
		}
	})
}

func (s *weightStore) complete() {
	s.advance()
	var finished, running []*transfer
	for _, entry := range s.active {
		if entry.remaining <= 0 {
			finished = append(finished, entry)
		} else {
			running = append(running, entry)
		}
	}
	s.active = running
	s.schedule()
	for _, entry := range finished {
		entry.done()
	}
}
