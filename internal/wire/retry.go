package wire

import (
	"math/rand/v2"
	"time"
)

const (
	// SoonRetry is the mean pause between attempts to connect while a peer has been
	// lost for less than SoonRetries: processes that restart are mostly back by then,
	// and everything waits for them.
	SoonRetry   = 30 * time.Millisecond
	SoonRetries = 3 * time.Second
	// LateRetry is the mean pause after that: five attempts a second to each of a few
	// peers cost little.
	LateRetry = 200 * time.Millisecond
)

// RetryPause is how long to wait before the next attempt to connect to a peer that has
// been lost for a while. Pauses differ by half to either side, so that hundreds of nodes
// that lost a peer at the same moment don't come back at the same moment.
func RetryPause(lost time.Duration) time.Duration {
	mean := SoonRetry
	if lost >= SoonRetries {
		mean = LateRetry
	}
	return mean/2 + rand.N(mean)
}
