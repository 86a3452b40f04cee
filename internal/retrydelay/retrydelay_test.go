package retrydelay

import (
	"math"
	"testing"
	"time"
)

func TestExponential(t *testing.T) {
	for doublings, want := range []time.Duration{250, 500, 1000, 2000, 3000, 3000} {
		if got := Exponential(250*time.Millisecond, 3*time.Second, doublings); got != want*time.Millisecond {
			t.Errorf("%d doublings: %v, want %v", doublings, got, want*time.Millisecond)
		}
	}
	if got := Exponential(time.Second, time.Minute, math.MaxInt); got != time.Minute {
		t.Errorf("many doublings: %v, want the limit", got)
	}
}
