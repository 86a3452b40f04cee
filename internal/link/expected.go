package link

import (
	"sync/atomic"
	"time"
)

const (
	// sizeGain is the weight of the newest request in the average size.
	sizeGain = 1.0 / 32
	// initialSize is the assumed size of requests in bytes before the first one.
	initialSize = 1024
)

// expectation is what the link will have to carry because of connections that were accepted: their clients send requests
// at once, which are then sent on to machines.
type expectation struct {
	// size is the average size of a request.
	size float64
	// outstanding is the number of bytes that are expected and have not been received.
	outstanding float64
}

func (e *expectation) wait(rate float64) time.Duration {
	if rate == 0 {
		return 0
	}
	return time.Duration(e.outstanding / rate * float64(time.Second))
}

// Expected is a request that is expected on a connection.
type Expected struct {
	meter *Meter
	// outstanding is the part of the expected size that has not been received.
	outstanding float64
	received    int
	done        atomic.Bool
}

// Expect records that a connection was accepted, on which a request of average size is expected.
func (m *Meter) Expect() *Expected {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.expected.size == 0 {
		m.expected.size = initialSize
	}
	m.expected.outstanding += m.expected.size
	return &Expected{meter: m, outstanding: m.expected.size}
}

// Received records bytes of the request.
func (e *Expected) Received(bytes int) {
	if e.done.Load() {
		return
	}
	e.meter.mutex.Lock()
	defer e.meter.mutex.Unlock()
	e.received += bytes
	arrived := min(e.outstanding, float64(bytes))
	e.outstanding -= arrived
	e.meter.expected.outstanding -= arrived
}

// Done records that the request has been received, or never will be. Further calls do nothing.
func (e *Expected) Done() {
	if e.done.Load() || !e.done.CompareAndSwap(false, true) {
		return
	}
	e.meter.mutex.Lock()
	defer e.meter.mutex.Unlock()
	e.meter.expected.outstanding -= e.outstanding
	e.outstanding = 0
	if e.received > 0 {
		e.meter.expected.size += sizeGain * (float64(e.received) - e.meter.expected.size)
	}
}
