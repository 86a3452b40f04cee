package orders

import "time"

// Pacer limits the rate of loads from the weight store. A new leader starts without tokens, since it
// does not know how many its predecessor used.
type Pacer struct {
	perSecond float64
	tokens    float64
	updated   time.Duration
	started   bool
}

// burstSeconds bounds the tokens saved up, in seconds at the full rate.
const burstSeconds = 0.5

// NewPacer returns a pacer without a rate limit.
func NewPacer() *Pacer {
	return &Pacer{}
}

// Limit sets the rate in loads per second; 0 disables the limit.
func (p *Pacer) Limit(perSecond float64) {
	p.perSecond = perSecond
}

// Allow reports whether a load may start now, and takes a token for it.
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
