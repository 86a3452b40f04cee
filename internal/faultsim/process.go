package faultsim

import "time"

const (
	// maxRateError bounds the drift of a clock. The lease margin has to cover twice as much.
	maxRateError = 0.02
	// maxWallError bounds the offset of the wall clock.
	maxWallError = 2 * time.Second
)

// simulationStart is the wall-clock time at which every simulation begins.
var simulationStart = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// process is a unit that may crash, freeze or be isolated from the network.
type process struct {
	sim  *simulation
	name string
	zone string

	up          bool
	epoch       int
	startedAt   time.Duration
	frozenUntil time.Duration
	// sleeps are the suspensions of the machine since the process started.
	sleeps    []sleepInterval
	clockRate float64
	wallError time.Duration
	// isolated drops all messages to and from the process.
	isolated bool
}

func (s *simulation) newProcess(name, zone string) process {
	return process{
		sim: s, name: name, zone: zone,
		clockRate: 1 + maxRateError*(2*s.random.Float64()-1),
		wallError: time.Duration(float64(maxWallError) * (2*s.random.Float64() - 1)),
	}
}

func (p *process) markUp() {
	p.up = true
	p.epoch++
	p.startedAt = p.sim.Now()
	p.frozenUntil = 0
	p.sleeps = nil
}

func (p *process) crash() {
	p.up = false
	p.epoch++
}

// startIfDown starts a crashed process after a delay, unless it has been started meanwhile.
func (p *process) startIfDown(after time.Duration, start func()) {
	epoch := p.epoch
	p.sim.After(after, func() {
		if !p.up && p.epoch == epoch {
			start()
		}
	})
}

func (p *process) freeze(span time.Duration) {
	p.frozenUntil = max(p.frozenUntil, p.sim.Now()+span)
}

type sleepInterval struct {
	from, to time.Duration
}

// sleep suspends the machine: the process is frozen and its monotonic clock stops.
func (p *process) sleep(span time.Duration) {
	p.freeze(span)
	p.sleeps = append(p.sleeps, sleepInterval{from: p.sim.Now(), to: p.sim.Now() + span})
}

// sleepDuration returns how long the machine was suspended since the process started.
func (p *process) sleepDuration() time.Duration {
	total := time.Duration(0)
	for _, span := range p.sleeps {
		total += min(p.sim.Now(), span.to) - span.from
	}
	return total
}

// clock returns the time since the process started. It includes suspensions, except under
// MutationMonotonicLease.
func (p *process) clock() time.Duration {
	elapsed := p.sim.Now() - p.startedAt
	if p.sim.mutation == MutationMonotonicLease {
		elapsed -= p.sleepDuration()
	}
	return time.Duration(float64(elapsed) * p.clockRate)
}

// wall returns the process's wall-clock time.
func (p *process) wall() time.Time {
	return simulationStart.Add(p.sim.Now() + p.wallError)
}

// after runs an action on the process unless it has crashed by then. A frozen process runs it after
// the freeze.
func (p *process) after(delay time.Duration, action func()) {
	epoch := p.epoch
	p.sim.After(delay, func() { p.run(epoch, action) })
}

// every runs an action periodically until the process crashes.
func (p *process) every(interval time.Duration, action func()) {
	p.after(interval, func() {
		action()
		p.every(interval, action)
	})
}

func (p *process) run(epoch int, action func()) {
	if !p.up || p.epoch != epoch {
		return
	}
	if p.sim.Now() < p.frozenUntil {
		p.sim.After(p.frozenUntil-p.sim.Now(), func() { p.run(epoch, action) })
		return
	}
	action()
}
