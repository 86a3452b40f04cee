//go:build !linux

package clock

import "time"

var begun = time.Now()

// sinceBoot counts no sleep where the system has no clock that does.
func sinceBoot() time.Duration {
	return time.Since(begun)
}
