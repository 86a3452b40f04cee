package dispatch

import "time"

const (
	// ejectAfter failures in a row take a target out for ejectFor, doubled
	// with each further failure up to ejectMax. The next request probes it.
	ejectAfter = 3
	ejectFor   = 500 * time.Millisecond
	ejectMax   = 10 * time.Second
	// rejectedFor is how long a target that rejected a request is used only if its peers can't be, doubled with
	// each further rejection up to rejectedMax. Rejections end at once, so the target would look idle otherwise.
	rejectedFor = 50 * time.Millisecond
	rejectedMax = time.Second
	// unreachableFor is how long a failed connection counts as news.
	unreachableFor = 2 * time.Second
)

// health tracks the failures of a target.
type health struct {
	failures int
	// rejections counts the rejections since the target last accepted a request.
	rejections int
	// until is when the target is used like its peers again.
	until time.Time
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
	case ResultRejected:
		h.failures = 0 // The machine is there.
		h.rejections++
		h.until = now.Add(backoff(rejectedFor, rejectedMax, h.rejections-1))
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
	h.until = now.Add(backoff(ejectFor, ejectMax, h.failures-ejectAfter))
}

// accept records that the target accepted a request.
func (h *health) accept() {
	if h.rejections > 0 {
		*h = health{failures: h.failures, unreachableUntil: h.unreachableUntil}
	}
}

// maxDoublings keeps a doubled pause from overflowing.
const maxDoublings = 10

// backoff is a first pause, doubled so many times, up to a longest one.
func backoff(first, longest time.Duration, doublings int) time.Duration {
	return min(longest, first<<min(doublings, maxDoublings))
}

func (h *health) ejected(now time.Time) bool {
	return now.Before(h.until)
}
