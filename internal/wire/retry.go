package wire

import (
	"math/rand/v2"
	"time"
)

const (
	// SoonRetry is the mean delay between attempts to connect until a peer has been
	// unreachable for SoonRetries, which covers the restart of a process.
	SoonRetry   = 30 * time.Millisecond
	SoonRetries = 3 * time.Second
	// LateRetry is the mean delay after SoonRetries.
	LateRetry = 200 * time.Millisecond
)

// RetryPause returns the delay before the next attempt to connect to a peer that has been
// unreachable for some time. It has a jitter of 50%, so that nodes that lost a peer at the same
// time don't reconnect at the same time.
func RetryPause(unreachable time.Duration) time.Duration {
	mean := SoonRetry
	if unreachable >= SoonRetries {
		mean = LateRetry
	}
	return mean/2 + rand.N(mean)
}
