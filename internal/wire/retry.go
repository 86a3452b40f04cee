package wire

import (
	"math/rand/v2"
	"time"
)

const (
	// FastRetryDelay is the mean pause between attempts to connect while a peer has been
	// lost for less than FastRetryPeriod: processes that restart are mostly back by then,
	// and everything waits for them.
	FastRetryDelay  = 30 * time.Millisecond
	FastRetryPeriod = 3 * time.Second
	// SlowRetryDelay is the mean pause after that: five attempts a second to each of a few
	// peers cost little.
	SlowRetryDelay = 200 * time.Millisecond
)

// RetryDelay is how long to wait before the next attempt to connect to a peer that has
// been lost for a while. Pauses differ by half to either side, so that hundreds of nodes
// that lost a peer at the same moment don't come back at the same moment.
func RetryDelay(lost time.Duration) time.Duration {
	mean := FastRetryDelay
	if lost >= FastRetryPeriod {
		mean = SlowRetryDelay
	}
	return mean/2 + rand.N(mean)
}
