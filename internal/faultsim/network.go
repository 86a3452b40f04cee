package faultsim

import "time"

const (
	baseDelay = 500 * time.Microsecond
	// Delays vary by jitter. A baseLateRate share of the messages is delayed by up to maxLateDelay
	// more.
	jitter       = 2 * time.Millisecond
	baseLateRate = 0.01
	maxLateDelay = 300 * time.Millisecond
)

type network struct {
	// loss, late and duplicate are probabilities per message.
	loss      float64
	late      float64
	duplicate float64
	// cutZones holds the partitioned (from, to) pairs of zones.
	cutZones map[[2]string]bool
}

func (s *simulation) canReach(from, to *process) bool {
	if from.isolated || to.isolated {
		return from == to
	}
	return !s.network.cutZones[[2]string{from.zone, to.zone}]
}

// send delivers a message; the network may delay, duplicate or drop it.
func (s *simulation) send(from, to *process, deliver func()) {
	if !s.canReach(from, to) || s.random.Float64() < s.network.loss {
		return
	}
	s.transmit(from, to, deliver)
	if s.random.Float64() < s.network.duplicate {
		s.transmit(from, to, deliver)
	}
}

func (s *simulation) transmit(from, to *process, deliver func()) {
	delay := baseDelay + time.Duration(s.random.Int64N(int64(jitter)))
	if s.random.Float64() < s.network.late {
		delay += time.Duration(s.random.Int64N(int64(maxLateDelay)))
	}
	s.After(delay, func() {
		if s.canReach(from, to) {
			to.run(to.epoch, deliver)
		}
	})
}

// call sends a request and calls done exactly once: with the response and true, or with false on a
// timeout.
func call[T any](from, to *process, timeout time.Duration, handle func(reply func(T)), done func(T, bool)) {
	s := from.sim
	finished := false
	delivered := false
	finish := func(answer T, answered bool) {
		if !finished {
			finished = true
			done(answer, answered)
		}
	}
	from.after(timeout, func() {
		var none T
		finish(none, false)
	})
	s.send(from, to, func() {
		if delivered {
			return // A connection delivers a request once.
		}
		delivered = true
		handle(func(answer T) {
			s.send(to, from, func() { finish(answer, true) })
		})
	})
}
