package dispatch

import "time"

const (
	// ejectAfter failures in a row take a target out for ejectFor, doubled
	// with each further failure up to ejectMax. The next request probes it.
	ejectAfter = 3
	ejectFor   = 500 * time.Millisecond
	ejectMax   = 10 * time.Second
	// unreachableFor is how long a failed connection counts as news.
	unreachableFor = 2 * time.Second
)

// health tracks the failures of a target.
type health struct {
	failures int
	until    time.Time
	// unreachableUntil is until when the target is reported as unreachable.
	unreachableUntil time.Time
}

func (h *health) observe(now time.Time, result Result) {
	switch result {
	case ResultError, ResultNotSent:
		return // The machine is there; what its errors say is for answers.go.
	case ResultOK, ResultNotRun:
		*h = health{}
		return
	}
	h.failures++
	if result == ResultUnreachable {
		// Nothing is gained by trying a machine that is down three times.
		h.failures = max(h.failures, ejectAfter)
		h.unreachableUntil = now.Add(unreachableFor)
	}
	if h.failures < ejectAfter {
		return
	}
	pause := min(ejectMax, ejectFor<<min(h.failures-ejectAfter, 10))
	h.until = now.Add(pause)
}

func (h *health) ejected(now time.Time) bool {
	return now.Before(h.until)
}
