package forwarding

import (
	"cmp"
	"slices"
	"time"

	"github.com/weldline/weldline/internal/retrydelay"
)

// Status is what is known of the paths of another router.
type Status int

const (
	// StatusUnknown: nothing is known, or it is out of date.
	StatusUnknown Status = iota
	// StatusConnected: machines have responded to the router recently.
	StatusConnected
	// StatusIsolated: the router has no path to any machine.
	StatusIsolated
	// StatusFailed: the router could not be connected to, the connection broke, or the router serves nothing.
	StatusFailed
)

// String returns the status's name in logs and metrics. It panics for undefined statuses.
func (s Status) String() string {
	return [...]string{"unknown", "connected", "isolated", "failed"}[s]
}

const (
	// checkInterval is the interval of checks of a router that works, and the longest one of a router that responds.
	checkInterval = 500 * time.Millisecond
	// The checks of a router that does not work are spaced by intervals that double. The first one comes soon, since it may
	// work again.
	minRecheckInterval = 100 * time.Millisecond
	maxRecheckInterval = 2 * time.Second
	// statusGrace is how long a status holds after its next check is due, so that it does not expire during the
	// check.
	statusGrace = 500 * time.Millisecond
	// maxConcurrentChecks bounds the checks that run at once.
	maxConcurrentChecks = 8
	// maxReferrals bounds the routers that one router names to another.
	maxReferrals = 4
	// maxKnown bounds the routers that are known by their listing and by referrals.
	maxKnown = 64
)

// isAvoided reports whether nothing is sent to the router for now.
func (r *routerState) isAvoided(now time.Time) bool {
	status := r.statusAt(now)
	return status == StatusIsolated || status == StatusFailed
}

func (r *routerState) statusAt(now time.Time) Status {
	if now.After(r.expiresAt) {
		return StatusUnknown
	}
	return r.status
}

// observe records a status that was seen now. Several exchanges at once that find the same count once.
func (r *routerState) observe(now time.Time, status Status) {
	if r.isAvoided(now) && r.status == status && now.Before(r.checkAt) {
		return
	}
	r.status, r.checkAt = status, now.Add(r.nextInterval(status))
	r.expiresAt = r.checkAt.Add(statusGrace)
}

// nextInterval returns the time until the check after one that found a status, and counts failures.
func (r *routerState) nextInterval(status Status) time.Duration {
	longest := checkInterval
	switch status {
	case StatusIsolated: // It may be connected again at any time, when it may be the only one that is.
	case StatusFailed:
		longest = maxRecheckInterval
	default:
		r.failures = 0
		return checkInterval
	}
	interval := retrydelay.Exponential(minRecheckInterval, longest, r.failures)
	r.failures++
	return interval
}

// StartChecks returns the routers whose status to check now. Each must be followed by EndCheck.
func (s *Selector) StartChecks(now time.Time) []Router {
	running := 0
	var due []*routerState
	for _, router := range s.routers {
		switch {
		case router.checking:
			running++
		case !now.Before(router.checkAt):
			due = append(due, router)
		}
	}
	slices.SortFunc(due, func(left, right *routerState) int {
		return cmp.Or(left.checkAt.Compare(right.checkAt), cmp.Compare(left.Node, right.Node))
	})
	var routers []Router
	for _, router := range due[:min(len(due), max(0, maxConcurrentChecks-running))] {
		router.checking = true
		routers = append(routers, router.Router)
	}
	return routers
}

// EndCheck ends a check. isKnown is false if it found nothing.
func (s *Selector) EndCheck(now time.Time, node string, status Status, isKnown bool) {
	router := s.routers[node]
	if router == nil {
		return
	}
	router.checking = false
	if !isKnown {
		router.checkAt = now.Add(checkInterval)
		return
	}
	router.listedAt = now
	router.observe(now, status)
}

// Refer records routers that another one named as connected. What is known of them at first hand takes
// precedence.
func (s *Selector) Refer(now time.Time, routers []Router) {
	for _, router := range routers {
		state := s.routers[router.Node]
		switch {
		case state == nil && len(s.routers) >= maxKnown:
			continue
		case state == nil:
			state = &routerState{Router: router}
			s.routers[router.Node] = state
		case state.statusAt(now) != StatusUnknown:
			continue
		}
		state.listedAt = now
		state.observe(now, StatusConnected)
		state.checkAt = now
	}
}

// Referrals returns some routers that are known to be connected.
func (s *Selector) Referrals(now time.Time) []Router {
	var connected []Router
	for _, router := range s.routers {
		if router.statusAt(now) == StatusConnected {
			connected = append(connected, router.Router)
		}
	}
	slices.SortFunc(connected, func(left, right Router) int { return cmp.Compare(left.Node, right.Node) })
	for position := range min(maxReferrals, len(connected)) {
		other := position + s.random(len(connected)-position)
		connected[position], connected[other] = connected[other], connected[position]
	}
	return connected[:min(maxReferrals, len(connected))]
}

// Statuses counts the known routers by status.
func (s *Selector) Statuses(now time.Time) map[Status]int {
	counts := map[Status]int{}
	for _, router := range s.routers {
		counts[router.statusAt(now)]++
	}
	return counts
}
