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

// delay estimates how long the position-th waiting load waits for the store.
func (s *storePacer) delay(position, running int, loadTime time.Duration) time.Duration {
	byRate := time.Duration(float64(position) / s.perSecond * float64(time.Second))
	ahead := position + running - s.concurrent
	if ahead < 0 {
		return byRate
	}
	rounds := ahead/s.concurrent + 1
	return max(byRate, time.Duration(rounds)*loadTime)
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
