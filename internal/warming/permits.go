package warming

import (
	"maps"
	"time"
)

const (
	// longestRetry bounds for how long a router is told to leave a machine alone: it may have
	// become warm by then.
	longestRetry = 500 * time.Millisecond
	// sweepInterval is how often buckets that are full are dropped.
	sweepInterval = 10 * time.Second
)

// Permits are the token buckets of one term of leadership. They are not safe for concurrent use.
//
// A term's buckets are empty when it begins. What the leader before it permitted, it permitted
// earlier, as it held its lease then; so both together give out in any span no more than one
// bucket does.
type Permits struct {
	bound   Bound
	began   time.Duration
	swept   time.Duration
	buckets map[string]*bucket
}

// bucket is one machine's.
type bucket struct {
	// allowed is what the bucket was last used with.
	allowed allowance
	level   float64
	updated time.Duration
	// promised is the time for which a token was promised to the router refused last.
	promised time.Duration
}

// Decision is the answer to a router that asks for a permit.
type Decision struct {
	Granted bool
	// RetryAfter is when to ask again, where no permit was granted.
	RetryAfter time.Duration
}

// NewPermits returns the buckets of a term that begins at now.
func NewPermits(now time.Duration, bound Bound) *Permits {
	return &Permits{bound: bound, began: now, swept: now, buckets: map[string]*bucket{}}
}

// Take asks for a token for a machine that bears so many requests a second while it warms up.
// Those that are refused are told to come back one after the other, each for a token of its own.
func (p *Permits) Take(now time.Duration, machine string, perSecond float64) Decision {
	p.sweep(now)
	allowed := p.bound.allowance(perSecond)
	if allowed.rate <= 0 {
		return Decision{RetryAfter: longestRetry}
	}
	held := p.bucket(machine)
	held.allowed = allowed
	held.refill(now, allowed)
	if held.level >= 1 {
		held.level--
		return Decision{Granted: true}
	}
	oneToken := time.Duration(float64(time.Second) / allowed.rate)
	next := now + time.Duration((1-held.level)*float64(oneToken))
	held.promised = min(max(next, held.promised+oneToken), now+longestRetry)
	return Decision{RetryAfter: held.promised - now}
}

// Empty takes away a machine's tokens. A machine that was warm got requests without permits until
// just now, which count in the same second.
func (p *Permits) Empty(now time.Duration, machine string) {
	held := p.bucket(machine)
	held.level = min(held.level, 0)
	held.updated = max(held.updated, now)
}

// bucket returns a machine's bucket. One that has not been asked for has filled up since the
// term began: dropping a full one, and making it anew, changes nothing.
func (p *Permits) bucket(machine string) *bucket {
	held := p.buckets[machine]
	if held == nil {
		held = &bucket{updated: p.began}
		p.buckets[machine] = held
	}
	return held
}

func (b *bucket) refill(now time.Duration, allowed allowance) {
	if now <= b.updated {
		return
	}
	b.level = min(allowed.burst, b.level+allowed.rate*(now-b.updated).Seconds())
	b.updated = now
}

// sweep drops buckets that are full: most machines warm up once. One that was emptied, and not asked
// for since, is kept for long after what emptied it.
func (p *Permits) sweep(now time.Duration) {
	if now-p.swept < sweepInterval {
		return
	}
	p.swept = now
	maps.DeleteFunc(p.buckets, func(_ string, held *bucket) bool {
		if held.allowed.rate == 0 {
			return now-held.updated >= sweepInterval
		}
		held.refill(now, held.allowed)
		return held.level >= held.allowed.burst
	})
}
