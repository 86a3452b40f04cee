package faultsim

import "time"

const (
	baseDelay = 500 * time.Microsecond
	// jitter is the usual spread of delays; usuallyLate of the messages come
	// up to lateDelay late.
	jitter      = 2 * time.Millisecond
	usuallyLate = 0.01
	lateDelay   = 300 * time.Millisecond
)

// network is what stands between processes.
type network struct {
	// loss, duplicate and late are shares of the messages.
	loss      float64
	late      float64
	duplicate float64
	// cutZones holds pairs of zones, in both orders, that can't talk; a pair
	// in one order only is cut one way.
	cutZones map[[2]string]bool
}

func (w *world) reaches(from, to *process) bool {
	if from.cut || to.cut {
		return from == to
	}
	return !w.network.cutZones[[2]string{from.zone, to.zone}]
}

// send delivers a message, perhaps late, twice, or never.
func (w *world) send(from, to *process, deliver func()) {
	if !w.reaches(from, to) || w.random.Float64() < w.network.loss {
		return
	}
	w.transmit(from, to, deliver)
	if w.random.Float64() < w.network.duplicate {
		w.transmit(from, to, deliver)
	}
}

func (w *world) transmit(from, to *process, deliver func()) {
	delay := baseDelay + time.Duration(w.random.Int64N(int64(jitter)))
	if w.random.Float64() < w.network.late {
		delay += time.Duration(w.random.Int64N(int64(lateDelay)))
	}
	w.After(delay, func() {
		if w.reaches(from, to) {
			to.run(to.epoch, deliver)
		}
	})
}

// call sends a request and hands its answer to done, once. Without an answer
// in time done gets false.
func call[T any](from, to *process, timeout time.Duration, ask func(reply func(T)), done func(T, bool)) {
	w := from.world
	finished := false
	asked := false
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
	w.send(from, to, func() {
		if asked {
			return // A connection delivers a request once.
		}
		asked = true
		ask(func(answer T) {
			w.send(to, from, func() { finish(answer, true) })
		})
	})
}
