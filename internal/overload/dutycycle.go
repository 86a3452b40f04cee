package overload

import "time"

const (
	// cyclePeriod is the period in which an overloaded server accepts connections for a share of the time. Clients that
	// are just connecting when that ends are cut off, so it must be much longer than a handshake takes.
	cyclePeriod = 300 * time.Millisecond
	// targetDelay is the longest delay of the link that is normal.
	targetDelay = 80 * time.Millisecond
	// minShare is the least share of the time in which connections are accepted.
	minShare = 0.03
	// The share rises by a factor and a step, and falls as far as the target was exceeded, but at most by minFactor.
	increaseFactor = 1.2
	increase       = 0.02
	minFactor      = 0.3
)

// DutyCycle decides in which share of the time a server accepts connections, from the delay of its link. It is not safe
// for concurrent use.
type DutyCycle struct {
	// refused is one less the share, so that the zero value accepts all.
	refused float64
}

// AcceptsAll reports whether no connections are refused.
func (d *DutyCycle) AcceptsAll() bool { return d.refused == 0 }

// IsDelayed reports whether a delay is more than normal.
func (d *DutyCycle) IsDelayed(delay time.Duration) bool { return delay > targetDelay }

// Refused returns for how long connections are refused in a cycle.
func (d *DutyCycle) Refused() time.Duration { return time.Duration(d.refused * float64(cyclePeriod)) }

// Adapt sets the share by the delay of the link after connections have been refused: what was accepted in a cycle must have
// been carried by its end. It returns for how long connections are accepted next.
func (d *DutyCycle) Adapt(delay time.Duration) (accept time.Duration) {
	share := 1 - d.refused
	if delay > targetDelay {
		share *= max(minFactor, float64(targetDelay)/float64(delay))
	} else {
		share = share*increaseFactor + increase
	}
	share = min(1, max(minShare, share))
	d.refused = 1 - share
	return time.Duration(share * float64(cyclePeriod))
}
