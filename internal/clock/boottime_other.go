//go:build !linux

package clock

import "time"

var startTime = time.Now()

// sinceBoot returns the time since the process started. Suspends are not included,
// as there is no portable clock that includes them.
func sinceBoot() time.Duration {
	return time.Since(startTime)
}
