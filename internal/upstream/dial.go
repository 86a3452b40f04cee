package upstream

import "time"

const (
	// minDialTimeout exceeds the 100 ms for which a process that has used up its CPU quota may be
	// throttled, on either side.
	minDialTimeout = 150 * time.Millisecond
	// Weights of the newest connection in the averages, and the number of mean deviations allowed
	// above the mean, as in TCP's retransmission timer (RFC 6298).
	dialMeanGain      = 1.0 / 8
	dialDeviationGain = 1.0 / 4
	dialDeviations    = 4
)

// dialTimeouts adapts the dial timeout to the time that connections take, so that a machine that
// is down is detected early. The timeout doubles with each timeout of the same machine, which may
// only be slow, up to a maximum.
//
// It is not safe for concurrent use.
type dialTimeouts struct {
	maximum time.Duration
	// mean and deviation are moving averages; both are 0 before the first connection.
	mean, deviation time.Duration
	// consecutive counts, by machine, the timeouts since the last connection.
	consecutive map[string]int
}

func newDialTimeouts(maxTimeout time.Duration) dialTimeouts {
	return dialTimeouts{maximum: maxTimeout, consecutive: map[string]int{}}
}

// timeout returns the timeout for the next connection to a machine.
func (d *dialTimeouts) timeout(machine string) time.Duration {
	if d.mean == 0 {
		return d.maximum
	}
	limit := max(minDialTimeout, d.mean+dialDeviations*d.deviation)
	for range d.consecutive[machine] {
		if limit >= d.maximum {
			break
		}
		limit *= 2
	}
	return min(limit, d.maximum)
}

// recordConnected records how long a connection took.
func (d *dialTimeouts) recordConnected(machine string, elapsed time.Duration) {
	delete(d.consecutive, machine)
	if d.mean == 0 {
		d.mean, d.deviation = elapsed, elapsed/2
		return
	}
	difference := elapsed - d.mean
	d.deviation += time.Duration(dialDeviationGain * float64(difference.Abs()-d.deviation))
	d.mean += time.Duration(dialMeanGain * float64(difference))
}

func (d *dialTimeouts) recordTimeout(machine string) {
	d.consecutive[machine]++
}

// retain forgets unlisted machines.
func (d *dialTimeouts) retain(isListed func(machine string) bool) {
	for machine := range d.consecutive {
		if !isListed(machine) {
			delete(d.consecutive, machine)
		}
	}
}
