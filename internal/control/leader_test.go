package control

import (
	"testing"
	"time"
)

// TestPassesLeaveProcessorTimeToTheLog checks that passes leave enough processor time to send
// heartbeats.
func TestPassesLeaveProcessorTimeToTheLog(t *testing.T) {
	const longestShare = 0.25
	for _, duration := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 70 * time.Millisecond, 150 * time.Millisecond} {
		paused := pauseAfter(duration)
		if share := float64(duration) / float64(duration+paused); share > longestShare {
			t.Errorf("passes of %s use a share of %.2f of a processor", duration, share)
		}
	}
	if paused := pauseAfter(time.Minute); paused > maxPause {
		t.Errorf("one long pass delays the next by %s", paused)
	}
}
