package placement

import (
	"math"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// storePacer keeps loads under the weight store's limits: so many begun a
// second, so many at once at full speed. More at once would slow all of them
// and so the tail; more a second would be refused.
type storePacer struct {
	perSecond  float64
	concurrent int
	// learned is how many loads at once were seen to run at full speed.
	learned float64
	tokens  float64
	updated time.Time
}

const (
	// firstConcurrent is how many loads run at once until some have been seen. What
	// is declared follows from a rate, and a store may slow down long before. Each
	// load at full speed allows one more, so that it doubles with each load time.
	firstConcurrent = 4
	// slowedLoad is by how much longer than declared a load takes at least that
	// the store has slowed down.
	slowedLoad = 1.25
	// concurrencyGain is the weight of the newest load in what is learned.
	concurrencyGain = 0.5
)

func newStorePacer(perSecond float64, concurrent int) *storePacer {
	return &storePacer{perSecond: perSecond, concurrent: concurrent, tokens: 1}
}

// limit takes over limits that were declared; 0 leaves one as it is.
func (s *storePacer) limit(perSecond float64, concurrent int) {
	if perSecond > 0 {
		s.perSecond = perSecond
	}
	if concurrent > 0 {
		s.concurrent = concurrent
		s.expect()
	}
}

// refill adds the tokens of the time that has passed; at most one second's.
func (s *storePacer) refill(now time.Time) {
	if !s.updated.IsZero() {
		s.tokens = min(max(1, s.perSecond), s.tokens+now.Sub(s.updated).Seconds()*s.perSecond)
	}
	s.updated = now
}

func (s *storePacer) take(running int) bool {
	if running >= s.allowed() || s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// delay estimates how long a load waits for the store behind others: by the
// admitted rate, and by the time that the store takes for the loads ahead.
func (s *storePacer) delay(ahead, running int, loadTime time.Duration) time.Duration {
	byRate := time.Duration(float64(ahead+1) / s.perSecond * float64(time.Second))
	excess := ahead + running - s.allowed() + 1
	if excess <= 0 {
		return byRate
	}
	byThroughput := time.Duration(float64(excess) / float64(s.allowed()) * float64(loadTime))
	return max(byRate, byThroughput)
}

// allowed is how many loads may run at once.
func (s *storePacer) allowed() int {
	if s.learned == 0 {
		return s.concurrent
	}
	return max(1, min(s.concurrent, int(math.Round(s.learned))))
}

// expect starts what is learned, where a limit follows from declared loads.
func (s *storePacer) expect() {
	if s.learned == 0 {
		s.learned = min(firstConcurrent, float64(s.concurrent))
	}
}

// observe learns from a load that took, or has taken by now, so much longer than
// declared while so many ran at once: a store that is shared evenly stretches each
// in proportion.
func (s *storePacer) observe(concurrent, stretch float64, ended bool) {
	if s.learned == 0 || concurrent <= 0 {
		return
	}
	switch fullSpeed := concurrent / stretch; {
	case stretch >= slowedLoad:
		s.learned += concurrencyGain * (min(s.learned, fullSpeed) - s.learned)
	case ended && concurrent+0.5 >= s.learned:
		s.learned++
	}
}

// stretched is how long a load takes with others beside it.
func (s *storePacer) stretched(loadTime time.Duration, running int) time.Duration {
	excess := float64(running) / float64(s.allowed())
	return time.Duration(float64(loadTime) * max(1, excess))
}

// loadsFromStore reports whether a replica is being loaded from the weight store.
func (r *Replica) loadsFromStore() bool {
	return r.Spec.Phase == v1.ReplicaLoading && r.Spec.Tier == string(TierRemote)
}

// remoteLoads counts the loads that occupy the weight store.
func (p *pass) remoteLoads() int {
	count := 0
	for _, replica := range p.input.Replicas {
		if replica.loadsFromStore() && !p.changed[replica] {
			count++
		}
	}
	return count
}
