package wire_test

import (
	"testing"
	"time"

	"github.com/weldline/weldline/internal/wire"
)

func TestRetryDelay(t *testing.T) {
	const draws = 1000
	for _, test := range []struct{ unreachable, mean time.Duration }{
		{0, wire.FastRetryDelay}, {wire.FastRetryPeriod - 1, wire.FastRetryDelay}, {wire.FastRetryPeriod, wire.SlowRetryDelay}, {time.Hour, wire.SlowRetryDelay},
	} {
		distinct := map[time.Duration]bool{}
		for range draws {
			delay := wire.RetryDelay(test.unreachable)
			if delay < test.mean/2 || delay > test.mean*3/2 {
				t.Fatalf("unreachable for %s: a delay of %s", test.unreachable, delay)
			}
			distinct[delay] = true
		}
		if len(distinct) < draws/2 {
			t.Errorf("unreachable for %s: only %d distinct delays", test.unreachable, len(distinct))
		}
	}
}
