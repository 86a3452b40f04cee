package placement

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// storePacer keeps loads under the weight store's limits: so many begun a
// second, so many at once at full speed. More at once would slow all of them
// and so the tail; more a second would be refused.
type storePacer struct {
	perSecond  float64
	concurrent int
	tokens     float64
	updated    time.Time
}

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
	if running >= s.concurrent || s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// delay estimates how long a load waits for the store behind others: by the
// admitted rate, and by the time that the store takes for the loads ahead.
func (s *storePacer) delay(ahead, running int, loadTime time.Duration) time.Duration {
	byRate := time.Duration(float64(ahead+1) / s.perSecond * float64(time.Second))
	excess := ahead + running - s.concurrent + 1
	if excess <= 0 {
		return byRate
	}
	byThroughput := time.Duration(float64(excess) / float64(s.concurrent) * float64(loadTime))
	return max(byRate, byThroughput)
}

// remoteLoads counts the loads that occupy the weight store.
func (p *pass) remoteLoads() int {
	count := 0
	for _, replica := range p.input.Replicas {
		if replica.Spec.Phase == v1.ReplicaLoading && replica.Spec.Tier == string(TierRemote) && !p.changed[replica] {
			count++
		}
	}
	return count
}
