package dispatch

import (
	"time"

	"github.com/weldline/weldline/internal/retrydelay"
)

const (
	// A target is ejected after ejectionThreshold consecutive failures. The ejection time doubles
	// with each further failure. The next request after an ejection probes the target.
	ejectionThreshold = 3
	minEjection       = 500 * time.Millisecond
	maxEjection       = 10 * time.Second
	// A target that rejected a request is used only if its peers can't be. The pause doubles with
	// each further rejection. Rejections return immediately, so the target would look idle
	// otherwise.
	minRejectionPause = 50 * time.Millisecond
	maxRejectionPause = time.Second
	// unreachableWindow is how long a failed connection is reported.
	unreachableWindow = 2 * time.Second
)

// health tracks the failures of a target.
type health struct {
	failures int
	// rejections counts the rejections since the target last accepted a request.
	rejections       int
	ejectedUntil     time.Time
	unreachableUntil time.Time
}

func (h *health) observe(now time.Time, result Result) {
	switch result {
	case ResultError, ResultNotSent:
		return // The error rate is handled by excludeFailing.
	case ResultOK, ResultNotRun:
		*h = health{}
		return
	case ResultRejected:
		h.failures = 0 // The machine is reachable.
		h.rejections++
		h.ejectedUntil = now.Add(retrydelay.Exponential(minRejectionPause, maxRejectionPause, h.rejections-1))
		return
	}
	h.failures++
	if result == ResultUnreachable {
		// One failed connection is conclusive.
		h.failures = max(h.failures, ejectionThreshold)
		h.unreachableUntil = now.Add(unreachableWindow)
	}
	if h.failures < ejectionThreshold {
		return
	}
	h.ejectedUntil = now.Add(retrydelay.Exponential(minEjection, maxEjection, h.failures-ejectionThreshold))
}

// recordAccepted records that the target accepted a request.
func (h *health) recordAccepted() {
	if h.rejections > 0 {
		*h = health{failures: h.failures, unreachableUntil: h.unreachableUntil}
	}
}

func (h *health) ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}
