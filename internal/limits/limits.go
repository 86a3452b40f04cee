// Package limits holds callers to the declared limits.
//
// A limit holds in the whole fleet, yet asking for each request would cost a
// message. So each router enforces an equal share of every limit, by the
// number of live routers that the leader's digest names. While routers come
// or go the shares are off for the time of one digest.
package limits

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	v1 "github.com/weldline/weldline/api/v1"
)

// Refusal says which limit a request met.
type Refusal struct {
	Limit      string
	RetryAfter time.Duration
}

// Enforcer enforces one router's shares.
type Enforcer struct {
	mutex   sync.Mutex
	entries map[string]*entry
}

// entry is the state of one limit.
type entry struct {
	spec    v1.LimitSpec
	routers int
	bucket  *rate.Limiter
	running int
}

// New returns an enforcer.
func New() *Enforcer {
	return &Enforcer{entries: map[string]*entry{}}
}

// Acquire takes a request through every limit that applies to the caller. On
// success the returned function must be called when the request has ended.
func (e *Enforcer) Acquire(now time.Time, specs map[string]*v1.LimitSpec, caller string, routers int) (func(), *Refusal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var taken []*entry
	release := func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		giveBack(taken)
	}
	for name, spec := range specs {
		if spec.Caller != "" && spec.Caller != caller {
			continue
		}
		held := e.entry(name, spec, max(1, routers))
		if wait, refused := held.take(now); refused {
			giveBack(taken)
			return nil, &Refusal{Limit: name, RetryAfter: wait}
		}
		taken = append(taken, held)
	}
	return release, nil
}

func giveBack(taken []*entry) {
	for _, held := range taken {
		held.running--
	}
}

func (e *Enforcer) entry(name string, spec *v1.LimitSpec, routers int) *entry {
	held := e.entries[name]
	if held == nil {
		held = &entry{}
		e.entries[name] = held
	}
	if held.spec != *spec || held.routers != routers {
		held.update(spec, routers)
	}
	return held
}

func (h *entry) update(spec *v1.LimitSpec, routers int) {
	h.spec = *spec
	h.routers = routers
	if spec.RequestsPerSecond == 0 {
		h.bucket = nil
		return
	}
	share := rate.Limit(spec.RequestsPerSecond / float64(routers))
	burst := max(1, spec.Burst/routers)
	if h.bucket == nil {
		h.bucket = rate.NewLimiter(share, burst)
		return
	}
	h.bucket.SetLimit(share)
	h.bucket.SetBurst(burst)
}

const concurrencyRetryAfter = time.Second

func (h *entry) take(now time.Time) (time.Duration, bool) {
	if h.spec.Concurrent > 0 && h.running >= max(1, h.spec.Concurrent/h.routers) {
		return concurrencyRetryAfter, true
	}
	if h.bucket != nil && !h.bucket.AllowN(now, 1) {
		return time.Duration(float64(time.Second) / float64(h.bucket.Limit())), true
	}
	h.running++
	return 0, false
}
