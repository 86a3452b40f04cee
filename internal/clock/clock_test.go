package clock

import (
	"testing"
	"time"
)

func TestNowNeverRunsBackwards(t *testing.T) {
	before := Now()
	for range 1000 {
		now := Now()
		if now < before {
			t.Fatalf("%s after %s", now, before)
		}
		before = now
	}
}

// TestDetector reads both clocks in turn; each reading follows the one before.
func TestDetector(t *testing.T) {
	tests := []struct {
		name         string
		boot, steady time.Duration
		asleep       time.Duration
	}{
		{"first reading", time.Hour, time.Minute, 0},
		{"awake", time.Hour + 50*time.Millisecond, time.Minute + 50*time.Millisecond, 0},
		{"put aside between the readings", time.Hour + 100*time.Millisecond, time.Minute + 140*time.Millisecond, 0},
		{"and made up for", time.Hour + 190*time.Millisecond, time.Minute + 190*time.Millisecond, 0},
		{"slept", time.Hour + 4240*time.Millisecond, time.Minute + 240*time.Millisecond, 4 * time.Second},
		{"told once", time.Hour + 4290*time.Millisecond, time.Minute + 290*time.Millisecond, 0},
		{"runs backwards", time.Hour, time.Minute + 340*time.Millisecond, 0},
		{"goes on from there", time.Hour + 50*time.Millisecond, time.Minute + 390*time.Millisecond, 0},
		{"slept again", time.Hour + 12100*time.Millisecond, time.Minute + 440*time.Millisecond, 12 * time.Second},
	}
	found := detector{}
	for _, test := range tests {
		if asleep := found.look(test.boot, test.steady); asleep != test.asleep {
			t.Errorf("%s: slept %s, not %s", test.name, asleep, test.asleep)
		}
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		_ = Now()
	}
}

func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		_ = time.Now()
	}
}
