package wire

import (
	"math/rand/v2"
	"time"
)

const (
	// FastRetryDelay is the mean delay between attempts to connect until a peer has been
	// unreachable for FastRetryPeriod: processes that restart are mostly back by then, and everything
	// waits for them.
	FastRetryDelay = 30 * time.Millisecond
	// FastRetryPeriod is long enough for the restart of a process.
	FastRetryPeriod = 3 * time.Second
	// SlowRetryDelay is the mean delay after FastRetryPeriod.
	SlowRetryDelay = 200 * time.Millisecond
)

// RetryDelay returns the delay before the next attempt to connect to a peer that has been
// unreachable for some time. It has a jitter of 50%, so that nodes that lost a peer at the same
// time don't reconnect at the same time.
func RetryDelay(unreachable time.Duration) time.Duration {
	mean := FastRetryDelay
	if unreachable >= FastRetryPeriod {
		mean = SlowRetryDelay
	}
	return mean/2 + rand.N(mean)
}
