package permits

import (
	"maps"
	"time"
)

const sweepInterval = 10 * time.Second

// Buckets are the token buckets of one leadership term. They are not safe for concurrent use.
//
// The buckets are empty at the start of a term. The previous leader's permits were all granted
// before, while it held its lease, so both terms together never exceed one bucket.
type Buckets struct {
	termStart time.Duration
	sweptAt   time.Duration
	buckets   map[string]*bucket
}

type bucket struct {
	// config is the one last used.
	config    BucketConfig
	tokens    float64
	updatedAt time.Duration
	// nextRetry is the retry time given to the last refused router.
	nextRetry time.Duration
}

// Decision is the response to a permit request.
type Decision struct {
	Granted bool
	// RetryAfter is when to request again, if no permit was granted.
	RetryAfter time.Duration
}

// New returns the buckets of a term that starts now.
func New(now time.Duration) *Buckets {
	return &Buckets{termStart: now, sweptAt: now, buckets: map[string]*bucket{}}
}

// Take requests a token for a machine. Refused routers get increasing retry times, each for a
// token of its own.
func (p *Buckets) Take(now time.Duration, machine string, config BucketConfig) Decision {
	p.sweep(now)
	if config.Rate <= 0 {
		return Decision{RetryAfter: MaxRetryAfter}
	}
	entry := p.bucket(machine)
	entry.config = config
	entry.refill(now)
	if entry.tokens >= 1 {
		entry.tokens--
		return Decision{Granted: true}
	}
	tokenInterval := time.Duration(float64(time.Second) / config.Rate)
	nextToken := now + time.Duration((1-entry.tokens)*float64(tokenInterval))
	entry.nextRetry = min(max(nextToken, entry.nextRetry+tokenInterval), now+MaxRetryAfter)
	return Decision{RetryAfter: entry.nextRetry - now}
}

// Empty removes a machine's tokens, for a machine that got requests without permits until now.
func (p *Buckets) Empty(now time.Duration, machine string) {
	entry := p.bucket(machine)
	entry.tokens = min(entry.tokens, 0)
	entry.updatedAt = max(entry.updatedAt, now)
}

// bucket returns a machine's bucket. A new one has filled since the start of the term, so dropping
// full buckets has no effect on decisions.
func (p *Buckets) bucket(machine string) *bucket {
	entry := p.buckets[machine]
	if entry == nil {
		entry = &bucket{updatedAt: p.termStart}
		p.buckets[machine] = entry
	}
	return entry
}

func (b *bucket) refill(now time.Duration) {
	if now <= b.updatedAt {
		return
	}
	b.tokens = min(b.config.Burst, b.tokens+b.config.Rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
}

// sweep drops full buckets, since most machines need permits only once. An emptied bucket that has
// not been used since is kept for sweepInterval.
func (p *Buckets) sweep(now time.Duration) {
	if now-p.sweptAt < sweepInterval {
		return
	}
	p.sweptAt = now
	maps.DeleteFunc(p.buckets, func(_ string, entry *bucket) bool {
		if entry.config.Rate == 0 {
			return now-entry.updatedAt >= sweepInterval
		}
		entry.refill(now)
		return entry.tokens >= entry.config.Burst
	})
}
