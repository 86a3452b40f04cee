package wire_test

import (
	"testing"
	"time"

	"github.com/weldline/weldline/internal/wire"
)

func TestRetryPause(t *testing.T) {
	const draws = 1000
	for _, test := range []struct{ lost, mean time.Duration }{
		{0, wire.FastRetryDelay}, {wire.FastRetryPeriod - 1, wire.FastRetryDelay}, {wire.FastRetryPeriod, wire.SlowRetryDelay}, {time.Hour, wire.SlowRetryDelay},
	} {
		different := map[time.Duration]bool{}
		for range draws {
			pause := wire.RetryDelay(test.lost)
			if pause < test.mean/2 || pause > test.mean*3/2 {
				t.Fatalf("lost for %s: a pause of %s", test.lost, pause)
			}
			different[pause] = true
		}
		if len(different) < draws/2 {
			t.Errorf("lost for %s: only %d different pauses", test.lost, len(different))
		}
	}
}
