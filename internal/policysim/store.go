package policysim

import (
	"time"

	"github.com/weldline/weldline/internal/virtualtime"
)

// weightStore limits the rate of loads and shares its bandwidth among them.
type weightStore struct {
	clock           *virtualtime.Scheduler
	loadsPerSecond  float64
	concurrentLoads int
	// speed is that of a single load in bytes per second, before division by slowdown.
	speed    float64
	slowdown float64

	nextAdmission time.Duration
	active        []*transfer
	updated       time.Duration
	// generation invalidates completions that were scheduled before a change.
	generation int
}

// transfer is a load in progress.
type transfer struct {
	remaining float64
	done      func()
}

func newWeightStore(clock *virtualtime.Scheduler, scenario StoreScenario) *weightStore {
	return &weightStore{
		clock: clock, loadsPerSecond: scenario.LoadsPerSecond, concurrentLoads: scenario.ConcurrentLoads,
		speed: scenario.GBps * gigabyte, slowdown: 1,
	}
}

// load starts a transfer once it is admitted, unless it is no longer wanted.
func (s *weightStore) load(bytes int64, wanted func() bool, done func()) {
	at := max(s.clock.Now(), s.nextAdmission)
	s.nextAdmission = at + time.Duration(float64(time.Second)/s.loadsPerSecond)
	s.clock.After(at-s.clock.Now(), func() {
		if wanted() {
			s.updateProgress()
			s.active = append(s.active, &transfer{remaining: float64(bytes), done: done})
			s.scheduleCompletion()
		}
	})
}

func (s *weightStore) setSlowdown(slowness float64) {
	s.updateProgress()
	s.slowdown = slowness
	s.scheduleCompletion()
}

// rate is the current speed of each transfer.
func (s *weightStore) rate() float64 {
	share := 1.0
	if len(s.active) > s.concurrentLoads {
		share = float64(s.concurrentLoads) / float64(len(s.active))
	}
	return s.speed * share / s.slowdown
}

// updateProgress updates the remaining bytes of every transfer.
func (s *weightStore) updateProgress() {
	moved := s.rate() * (s.clock.Now() - s.updated).Seconds()
	s.updated = s.clock.Now()
	for _, entry := range s.active {
		entry.remaining -= moved
	}
}

// scheduleCompletion schedules the completion of the next transfer.
func (s *weightStore) scheduleCompletion() {
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
			s.completeTransfers()
		}
	})
}

func (s *weightStore) completeTransfers() {
	s.updateProgress()
	var finished, running []*transfer
	for _, entry := range s.active {
		if entry.remaining <= 0 {
			finished = append(finished, entry)
		} else {
			running = append(running, entry)
		}
	}
	s.active = running
	s.scheduleCompletion()
	for _, entry := range finished {
		entry.done()
	}
}
