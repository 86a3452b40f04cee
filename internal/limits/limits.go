// Package limits enforces the declared rate and concurrency limits of callers, which apply to the
// whole fleet. To avoid a message per request, each router enforces an equal share, by the number
// of live routers in the leader's digest. While routers join or leave, the sum of the shares may
// differ from the limit until the next digest.
package limits

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	v1 "github.com/weldline/weldline/api/v1"
)

// Refusal names the limit that refused a request.
type Refusal struct {
	Limit      string
	RetryAfter time.Duration
}

// Enforcer enforces one router's shares. It is safe for concurrent use.
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

// New returns an Enforcer for one router.
func New() *Enforcer {
	return &Enforcer{entries: map[string]*entry{}}
}

// Acquire checks a request against every limit that applies to the caller. On success the returned
// function must be called when the request has ended.
func (e *Enforcer) Acquire(now time.Time, specs map[string]*v1.LimitSpec, caller string, routers int) (func(), *Refusal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var acquired []*entry
	release := func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		releaseAll(acquired)
	}
	for name, spec := range specs {
		if spec.Caller != "" && spec.Caller != caller {
			continue
		}
		limit := e.entry(name, spec, max(1, routers))
		if retryAfter, refused := limit.acquire(now); refused {
			releaseAll(acquired)
			return nil, &Refusal{Limit: name, RetryAfter: retryAfter}
		}
		acquired = append(acquired, limit)
	}
	return release, nil
}

func releaseAll(acquired []*entry) {
	for _, limit := range acquired {
		limit.running--
	}
}

func (e *Enforcer) entry(name string, spec *v1.LimitSpec, routers int) *entry {
	limit := e.entries[name]
	if limit == nil {
		limit = &entry{}
		e.entries[name] = limit
	}
	if limit.spec != *spec || limit.routers != routers {
		limit.update(spec, routers)
	}
	return limit
}

func (e *entry) update(spec *v1.LimitSpec, routers int) {
	e.spec = *spec
	e.routers = routers
	if spec.RequestsPerSecond == 0 {
		e.bucket = nil
		return
	}
	share := rate.Limit(spec.RequestsPerSecond / float64(routers))
	burst := max(1, spec.Burst/routers)
	if e.bucket == nil {
		e.bucket = rate.NewLimiter(share, burst)
		return
	}
	e.bucket.SetLimit(share)
	e.bucket.SetBurst(burst)
}

const concurrencyRetryAfter = time.Second

func (e *entry) acquire(now time.Time) (time.Duration, bool) {
	if e.spec.Concurrent > 0 && e.running >= max(1, e.spec.Concurrent/e.routers) {
		return concurrencyRetryAfter, true
	}
	if e.bucket != nil && !e.bucket.AllowN(now, 1) {
		return time.Duration(float64(time.Second) / float64(e.bucket.Limit())), true
	}
	e.running++
	return 0, false
}
