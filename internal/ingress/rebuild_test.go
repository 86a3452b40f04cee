package ingress

import (
	"testing"
	"time"
)

// TestRebuildPause checks that the pause grows with the duration of the rebuild
// and is bounded.
func TestRebuildPause(t *testing.T) {
	for _, test := range []struct{ took, pause time.Duration }{
		{0, 0},
		{500 * time.Microsecond, 2 * time.Millisecond},
		{20 * time.Millisecond, 80 * time.Millisecond},
		{time.Second, 250 * time.Millisecond},
	} {
		if got := rebuildPause(test.took); got != test.pause {
			t.Errorf("after %s: %s, wanted %s", test.took, got, test.pause)
		}
	}
}
