package placement

import (
	"math"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// storeLimiter limits the rate and the concurrency of loads from the weight store. Excess
// concurrency slows down all loads, and an excess rate is refused by the store.
type storeLimiter struct {
	perSecond  float64
	concurrent int
	// learned is the estimated number of concurrent loads that run at full speed; 0 if not
	// estimated.
	learned float64
	tokens  float64
	updated time.Time
}

const (
	// initialConcurrency limits concurrent loads until some have been observed: a store may slow
	// down below its declared limit. Each load at full speed raises the limit by one, as in TCP
	// slow start.
	initialConcurrency = 4
	// slowLoadRatio is the ratio of actual to declared load time from which the store counts as
	// slowed down.
	slowLoadRatio = 1.25
	// concurrencySmoothing is the weight of the newest load in the learned concurrency.
	concurrencySmoothing = 0.5
)

func newStoreLimiter(perSecond float64, concurrent int) *storeLimiter {
	return &storeLimiter{perSecond: perSecond, concurrent: concurrent, tokens: 1}
}

// setLimits applies declared limits; 0 leaves a limit unchanged.
func (l *storeLimiter) setLimits(perSecond float64, concurrent int) {
	if perSecond > 0 {
		l.perSecond = perSecond
	}
	if concurrent > 0 {
		l.concurrent = concurrent
		l.startLearning()
	}
}

// refill adds the tokens for the elapsed time, up to those of one second.
func (l *storeLimiter) refill(now time.Time) {
	if !l.updated.IsZero() {
		l.tokens = min(max(1, l.perSecond), l.tokens+now.Sub(l.updated).Seconds()*l.perSecond)
	}
	l.updated = now
}

func (l *storeLimiter) tryAcquire(running int) bool {
	if running >= l.concurrencyLimit() || l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// queueDelay estimates how long a load waits behind others, given the admitted rate and the
// throughput of the store.
func (l *storeLimiter) queueDelay(ahead, running int, loadTime time.Duration) time.Duration {
	byRate := time.Duration(float64(ahead+1) / l.perSecond * float64(time.Second))
	excess := ahead + running - l.concurrencyLimit() + 1
	if excess <= 0 {
		return byRate
	}
	byThroughput := time.Duration(float64(excess) / float64(l.concurrencyLimit()) * float64(loadTime))
	return max(byRate, byThroughput)
}

// concurrencyLimit is the current limit of concurrent loads.
func (l *storeLimiter) concurrencyLimit() int {
	if l.learned == 0 {
		return l.concurrent
	}
	return max(1, min(l.concurrent, int(math.Round(l.learned))))
}

// startLearning initializes the learned concurrency once a limit is declared.
func (l *storeLimiter) startLearning() {
	if l.learned == 0 {
		l.learned = min(initialConcurrency, float64(l.concurrent))
	}
}

// observe updates the learned concurrency from the average concurrency and the slowdown of a load
// that has ended or is already late. An evenly shared store slows all loads down in proportion.
func (l *storeLimiter) observe(concurrent, slowdown float64, ended bool) {
	if l.learned == 0 || concurrent <= 0 {
		return
	}
	switch fullSpeed := concurrent / slowdown; {
	case slowdown >= slowLoadRatio:
		l.learned += concurrencySmoothing * (min(l.learned, fullSpeed) - l.learned)
	case ended && concurrent+0.5 >= l.learned:
		l.learned++
	}
}

// slowedLoadTime returns the load time with the given number of concurrent loads.
func (l *storeLimiter) slowedLoadTime(loadTime time.Duration, running int) time.Duration {
	excess := float64(running) / float64(l.concurrencyLimit())
	return time.Duration(float64(loadTime) * max(1, excess))
}

func (r *Replica) loadsFromStore() bool {
	return r.Spec.Phase == v1.ReplicaLoading && r.Spec.Tier == string(TierRemote)
}

// remoteLoads counts the loads that use the weight store.
func (p *pass) remoteLoads() int {
	count := 0
	for _, replica := range p.input.Replicas {
		if replica.loadsFromStore() && !p.changed[replica] {
			count++
		}
	}
	return count
}
