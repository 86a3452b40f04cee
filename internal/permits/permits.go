package permits

import (
	"maps"
	"time"
)

// sweepInterval is how often buckets that are full are dropped.
const sweepInterval = 10 * time.Second

// Buckets are the token buckets of one term of leadership. They are not safe for concurrent use.
//
// A term's buckets are empty when it begins. What the leader before it permitted, it permitted
// earlier, as it held its lease then; so both together give out in any span no more than one
// bucket does.
type Buckets struct {
	began   time.Duration
	swept   time.Duration
	buckets map[string]*bucket
}

// bucket is one machine's.
type bucket struct {
	// pace is what the bucket was last used with.
	pace    BucketConfig
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

// New returns the buckets of a term that begins at now.
func New(now time.Duration) *Buckets {
	return &Buckets{began: now, swept: now, buckets: map[string]*bucket{}}
}

// Take requests a token for a machine. Refused routers get increasing retry times, each for a token of its own.
func (p *Buckets) Take(now time.Duration, machine string, pace BucketConfig) Decision {
	p.sweep(now)
	if pace.Rate <= 0 {
		return Decision{RetryAfter: MaxRetryAfter}
	}
	held := p.bucket(machine)
	held.pace = pace
	held.refill(now)
	if held.level >= 1 {
		held.level--
		return Decision{Granted: true}
	}
	oneToken := time.Duration(float64(time.Second) / pace.Rate)
	next := now + time.Duration((1-held.level)*float64(oneToken))
	held.promised = min(max(next, held.promised+oneToken), now+MaxRetryAfter)
	return Decision{RetryAfter: held.promised - now}
}

// Empty takes away a machine's tokens. One that took no permits until just now got requests without
// them, which count beside those that come next.
func (p *Buckets) Empty(now time.Duration, machine string) {
	held := p.bucket(machine)
	held.level = min(held.level, 0)
	held.updated = max(held.updated, now)
}

// bucket returns a machine's bucket. One that has not been asked for has filled up since the
// term began: dropping a full one, and making it anew, changes nothing.
func (p *Buckets) bucket(machine string) *bucket {
	held := p.buckets[machine]
	if held == nil {
		held = &bucket{updated: p.began}
		p.buckets[machine] = held
	}
	return held
}

func (b *bucket) refill(now time.Duration) {
	if now <= b.updated {
		return
	}
	b.level = min(b.pace.Burst, b.level+b.pace.Rate*(now-b.updated).Seconds())
	b.updated = now
}

// sweep drops buckets that are full: most machines are paced once. One that was emptied, and not asked
// for since, is kept for long after what emptied it.
func (p *Buckets) sweep(now time.Duration) {
	if now-p.swept < sweepInterval {
		return
	}
	p.swept = now
	maps.DeleteFunc(p.buckets, func(_ string, held *bucket) bool {
		if held.pace.Rate == 0 {
			return now-held.updated >= sweepInterval
		}
		held.refill(now)
		return held.level >= held.pace.Burst
	})
}
