package orders

import "time"

// Pacer keeps loads from the weight store below the rate that the store
// counts over a window. A new leader starts with nothing to spend, since it
// does not know what the one before has spent.
type Pacer struct {
	perSecond float64
	tokens    float64
	updated   time.Duration
	started   bool
}

// burstSeconds is how many seconds of loads may begin at once.
const burstSeconds = 0.5

// NewPacer returns a pacer that allows nothing before Limit is called.
func NewPacer() *Pacer {
	return &Pacer{}
}

// Limit sets the rate, in loads per second; 0 allows every load.
func (p *Pacer) Limit(perSecond float64) {
	p.perSecond = perSecond
}

// Allow reports whether a load may begin now, and counts it.
func (p *Pacer) Allow(now time.Duration) bool {
	if p.perSecond <= 0 {
		return true
	}
	if p.started {
		earned := (now - p.updated).Seconds() * p.perSecond
		p.tokens = min(max(1, p.perSecond*burstSeconds), p.tokens+earned)
	}
	p.updated, p.started = now, true
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}
