// Package retrydelay computes the pauses between attempts that keep failing.
package retrydelay

import "time"

// maxDoublings prevents overflow.
const maxDoublings = 10

// Exponential doubles an initial pause a number of times, up to a limit.
func Exponential(initial, limit time.Duration, doublings int) time.Duration {
	return min(limit, initial<<min(doublings, maxDoublings))
}
