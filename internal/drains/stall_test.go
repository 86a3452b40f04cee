package drains

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestStallIsDetectedBeforeAndAfterTick: a resumed process may read requests before its ticker has
// run, and while it empties its sockets.
func TestStallIsDetectedBeforeAndAfterTick(t *testing.T) {
	detector := StallDetector{lastTick: time.Second}
	if detector.Stalled(time.Second + StallThreshold) {
		t.Error("stalled within the threshold")
	}
	resumed := time.Second + StallThreshold + time.Millisecond
	if !detector.Stalled(resumed) {
		t.Error("not stalled beyond the threshold")
	}
	detector.Tick(resumed)
	if !detector.Stalled(resumed + stallRecovery - 1) {
		t.Error("the stall ends before the recovery time")
	}
	for now := resumed; now <= resumed+stallRecovery; now += StallCheckInterval {
		detector.Tick(now)
	}
	if detector.Stalled(resumed + stallRecovery) {
		t.Error("still stalled after the recovery time")
	}
}

// TestStallDetector checks the invariant for random run times.
func TestStallDetector(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var detector StallDetector
		now, longGapEnded := time.Duration(0), -stallRecovery
		for range rapid.IntRange(1, 50).Draw(t, "ticks") {
			step := time.Duration(rapid.Int64Range(0, int64(2*StallThreshold)).Draw(t, "step"))
			now += step
			if step > StallThreshold {
				longGapEnded = now
			}
			if expected := now < longGapEnded+stallRecovery; detector.Stalled(now) != expected {
				t.Fatalf("at %s, after a gap that ended at %s: stalled is %t", now, longGapEnded, !expected)
			}
			detector.Tick(now)
		}
	})
}
