package retrybudget

import "time"

const (
	// assumedRouters is the number of routers until a leader has published one, and at least as long as a router is new: a
	// leader that is new too may not have heard of the others.
	assumedRouters = 16
	// lowerCountDelay is how long only lower numbers must have been published until one applies.
	lowerCountDelay = 15 * time.Second
	// shareTimeout is how long a router uses its share of the slack without hearing a leader, which may have divided it among
	// the others after that.
	shareTimeout = 5 * time.Second
)

// Divisor is the number of routers that share the slack, as leaders publish it. It rises at once and falls late. It is not safe
// for concurrent use.
type Divisor struct {
	started, window time.Duration
	routers         int
	// observed is when a number was last received; it is valid if routers is not 0.
	observed time.Duration
	// lower is the highest number received since lowerSince, when the first one below routers was; 0 for none.
	lower      int
	lowerSince time.Duration
}

// NewDivisor returns the divisor of a router that starts at now. The window is that of the budget.
func NewDivisor(window, now time.Duration) *Divisor {
	return &Divisor{started: now, window: window}
}

// Observe records a number of routers that a leader has published.
func (d *Divisor) Observe(now time.Duration, routers int) {
	if routers <= 0 {
		return
	}
	d.observed = now
	if routers >= d.routers {
		d.routers, d.lower = routers, 0
		return
	}
	if d.lower == 0 {
		d.lowerSince = now
	}
	d.lower = max(d.lower, routers)
	if now-d.lowerSince >= lowerCountDelay {
		d.routers, d.lower = d.lower, 0
	}
}

// Routers returns the number of routers that share the slack, or 0 if this one must not use its share.
func (d *Divisor) Routers(now time.Duration) int {
	switch {
	case d.routers == 0:
		return assumedRouters
	case now-d.observed > shareTimeout:
		return 0
	case now-d.started < d.window:
		return max(d.routers, assumedRouters)
	}
	return d.routers
}
