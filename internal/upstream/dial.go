package upstream

import "time"

const (
	// leastDialLimit is the shortest time that a connection gets: more than the tenth
	// of a second for which a process stands still that has used up its share of a
	// processor, at either end.
	leastDialLimit = 150 * time.Millisecond
	// dialTimeGain and dialSpreadGain are the weights of the newest connection, and
	// dialSpreads is how many deviations above the mean are allowed for, as TCP
	// computes its retransmission time (RFC 6298).
	dialTimeGain   = 1.0 / 8
	dialSpreadGain = 1.0 / 4
	dialSpreads    = 4
)

// dialLimits learns how long connections take to come about, so that a machine without
// power, which says nothing, is found out soon. A machine that does not answer in time
// gets twice as long the next time, up to the most: it may only have become slow.
//
// It is pure, and not safe for concurrent use.
type dialLimits struct {
	most time.Duration
	// mean and spread are the averaged time and its averaged deviation; both are 0
	// before the first connection.
	mean, spread time.Duration
	// timeouts counts, by machine, the attempts that have run out of time since the
	// last connection.
	timeouts map[string]int
}

func newDialLimits(most time.Duration) dialLimits {
	return dialLimits{most: most, timeouts: map[string]int{}}
}

// limit is how long the next connection to a machine may take.
func (d *dialLimits) limit(machine string) time.Duration {
	if d.mean == 0 {
		return d.most
	}
	limit := max(leastDialLimit, d.mean+dialSpreads*d.spread)
	for range d.timeouts[machine] {
		if limit >= d.most {
			break
		}
		limit *= 2
	}
	return min(limit, d.most)
}

// connected notes how long a connection took.
func (d *dialLimits) connected(machine string, took time.Duration) {
	delete(d.timeouts, machine)
	if d.mean == 0 {
		d.mean, d.spread = took, took/2
		return
	}
	deviation := took - d.mean
	d.spread += time.Duration(dialSpreadGain * float64(deviation.Abs()-d.spread))
	d.mean += time.Duration(dialTimeGain * float64(deviation))
}

// timedOut notes that a machine did not answer within its limit.
func (d *dialLimits) timedOut(machine string) {
	d.timeouts[machine]++
}

// retain forgets machines that are not listed any more.
func (d *dialLimits) retain(listed func(machine string) bool) {
	for machine := range d.timeouts {
		if !listed(machine) {
			delete(d.timeouts, machine)
		}
	}
}
