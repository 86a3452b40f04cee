package drains

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestStallIsSeenBeforeAndAfterTheProcessNotesThatItRuns: a thawed process may read calls before
// its ticker has run, and while it empties its sockets.
func TestStallIsSeenBeforeAndAfterTheProcessNotesThatItRuns(t *testing.T) {
	watch := StallDetector{lastRun: time.Second}
	if watch.Stalled(time.Second + StallThreshold) {
		t.Error("a process that ran within the gap counts as stalled")
	}
	thawed := time.Second + StallThreshold + time.Millisecond
	if !watch.Stalled(thawed) {
		t.Error("a process that did not run for longer than the gap does not count as stalled")
	}
	watch.Tick(thawed)
	if !watch.Stalled(thawed + stallRest - 1) {
		t.Error("the stall is forgotten at once")
	}
	for now := thawed; now <= thawed+stallRest; now += StallCheckInterval {
		watch.Tick(now)
	}
	if watch.Stalled(thawed + stallRest) {
		t.Error("a process that has run since counts as stalled for ever")
	}
}

// TestStallWatch checks the invariant for any times at which the process runs.
func TestStallWatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var watch StallDetector
		now, longGapEnded := time.Duration(0), -stallRest
		for range rapid.IntRange(1, 50).Draw(t, "looks") {
			step := time.Duration(rapid.Int64Range(0, int64(2*StallThreshold)).Draw(t, "step"))
			now += step
			if step > StallThreshold {
				longGapEnded = now
			}
			if expected := now < longGapEnded+stallRest; watch.Stalled(now) != expected {
				t.Fatalf("at %s, with a gap that ended at %s: stalled is %t", now, longGapEnded, !expected)
			}
			watch.Tick(now)
		}
	})
}
