package control

import (
	"testing"
	"time"
)

// TestLoopsLeaveTheProcessorToTheLog: passes that took 70 ms each followed each other after 5 ms.
// The log got what was left, its heartbeats came too late, and the leader lost its followers
// every 1.5 s.
func TestLoopsLeaveTheProcessorToTheLog(t *testing.T) {
	const longestShare = 0.25
	for _, worked := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 70 * time.Millisecond, 150 * time.Millisecond} {
		rested := restAfter(worked)
		if share := float64(worked) / float64(worked+rested); share > longestShare {
			t.Errorf("a loop that works for %s takes %.2f of the processor", worked, share)
		}
	}
	if rested := restAfter(time.Minute); rested > maxRest {
		t.Errorf("one long pass holds up the next for %s", rested)
	}
}
