package clock

import (
	"testing"
	"time"
)

func TestNowIsMonotonic(t *testing.T) {
	before := Now()
	for range 1000 {
		now := Now()
		if now < before {
			t.Fatalf("%s after %s", now, before)
		}
		before = now
	}
}

// TestDetector feeds a sequence of readings to one detector.
func TestDetector(t *testing.T) {
	tests := []struct {
		name            string
		boot, monotonic time.Duration
		suspended       time.Duration
	}{
		{"first reading", time.Hour, time.Minute, 0},
		{"awake", time.Hour + 50*time.Millisecond, time.Minute + 50*time.Millisecond, 0},
		{"preempted between the clocks", time.Hour + 100*time.Millisecond, time.Minute + 140*time.Millisecond, 0},
		{"next reading after that", time.Hour + 190*time.Millisecond, time.Minute + 190*time.Millisecond, 0},
		{"suspended", time.Hour + 4240*time.Millisecond, time.Minute + 240*time.Millisecond, 4 * time.Second},
		{"not reported twice", time.Hour + 4290*time.Millisecond, time.Minute + 290*time.Millisecond, 0},
		{"runs backwards", time.Hour, time.Minute + 340*time.Millisecond, 0},
		{"continues after that", time.Hour + 50*time.Millisecond, time.Minute + 390*time.Millisecond, 0},
		{"suspended again", time.Hour + 12100*time.Millisecond, time.Minute + 440*time.Millisecond, 12 * time.Second},
	}
	suspends := detector{}
	for _, test := range tests {
		if suspended := suspends.observe(test.boot, test.monotonic); suspended != test.suspended {
			t.Errorf("%s: suspended for %s, want %s", test.name, suspended, test.suspended)
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
