package faultsim

import "time"

const (
	// maxRateError bounds how much a clock runs fast or slow. The lease
	// margin has to cover twice as much.
	maxRateError = 0.02
	// maxWallError bounds the error of the time of day.
	maxWallError = 2 * time.Second
)

// epochStart is the time of day at which every simulation begins.
var epochStart = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// process is what may crash, freeze and be cut off.
type process struct {
	world *world
	name  string
	zone  string

	up          bool
	epoch       int
	startedAt   time.Duration
	frozenUntil time.Duration
	// sleeps are those of the machine since the process began.
	sleeps    []sleepSpan
	rate      float64
	wallError time.Duration
	// cut drops everything to and from the process.
	cut bool
}

func (w *world) newProcess(name, zone string) process {
	return process{
		world: w, name: name, zone: zone,
		rate:      1 + maxRateError*(2*w.random.Float64()-1),
		wallError: time.Duration(float64(maxWallError) * (2*w.random.Float64() - 1)),
	}
}

func (p *process) begin() {
	p.up = true
	p.epoch++
	p.startedAt = p.world.Now()
	p.frozenUntil = 0
	p.sleeps = nil
}

func (p *process) crash() {
	p.up = false
	p.epoch++
}

// ifStillDown starts a process that has crashed, unless something else has
// started it meanwhile.
func (p *process) ifStillDown(after time.Duration, start func()) {
	epoch := p.epoch
	p.world.After(after, func() {
		if !p.up && p.epoch == epoch {
			start()
		}
	})
}

func (p *process) freeze(span time.Duration) {
	p.frozenUntil = max(p.frozenUntil, p.world.Now()+span)
}

// sleepSpan is a time for which a machine slept.
type sleepSpan struct {
	from, to time.Duration
}

// sleep suspends the process's machine: it does nothing, and its steady clock stands still.
func (p *process) sleep(span time.Duration) {
	p.freeze(span)
	p.sleeps = append(p.sleeps, sleepSpan{from: p.world.Now(), to: p.world.Now() + span})
}

// slept is how long the machine has slept by now since the process started.
func (p *process) slept() time.Duration {
	total := time.Duration(0)
	for _, span := range p.sleeps {
		total += min(p.world.Now(), span.to) - span.from
	}
	return total
}

// clock is the time since the process started, sleeps included.
func (p *process) clock() time.Duration {
	elapsed := p.world.Now() - p.startedAt
	if p.world.mutation == MutationMonotonicLease {
		elapsed -= p.slept()
	}
	return time.Duration(float64(elapsed) * p.rate)
}

// wall is the process's time of day.
func (p *process) wall() time.Time {
	return epochStart.Add(p.world.Now() + p.wallError)
}

// after runs an action on the process, unless it has crashed by then. A
// frozen process runs it when it thaws.
func (p *process) after(delay time.Duration, action func()) {
	epoch := p.epoch
	p.world.After(delay, func() { p.run(epoch, action) })
}

// every runs an action again and again for the life of the process.
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
	if p.world.Now() < p.frozenUntil {
		p.world.After(p.frozenUntil-p.world.Now(), func() { p.run(epoch, action) })
		return
	}
	action()
}
