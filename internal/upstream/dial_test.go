package upstream

import (
	"testing"
	"time"
)

const mostForDials = 500 * time.Millisecond

func limitsAfter(took ...time.Duration) dialLimits {
	limits := newDialLimits(mostForDials)
	for _, each := range took {
		limits.connected("m", each)
	}
	return limits
}

func repeated(took time.Duration, times int) []time.Duration {
	all := make([]time.Duration, times)
	for position := range all {
		all[position] = took
	}
	return all
}

func TestDialLimitFollowsWhatConnectionsTake(t *testing.T) {
	tests := []struct {
		name  string
		took  []time.Duration
		limit time.Duration
	}{
		{"nothing is known yet", nil, mostForDials},
		{"machines are near", repeated(3*time.Millisecond, 20), leastDialLimit},
		{"the first connection was slow", []time.Duration{400 * time.Millisecond}, mostForDials},
		{"machines are far", repeated(200*time.Millisecond, 50), 200 * time.Millisecond},
	}
	for _, test := range tests {
		limits := limitsAfter(test.took...)
		limit := limits.limit("m")
		if limit < test.limit || limit > test.limit+10*time.Millisecond {
			t.Errorf("%s: %s instead of %s", test.name, limit, test.limit)
		}
	}
}

// TestDialLimitGrowsForASlowMachine: whoever does not answer in time gets longer, until
// it answers; the others are not affected.
func TestDialLimitGrowsForASlowMachine(t *testing.T) {
	limits := limitsAfter(repeated(3*time.Millisecond, 20)...)
	for _, wanted := range []time.Duration{150, 300, 500, 500} {
		if limit := limits.limit("slow"); limit != wanted*time.Millisecond {
			t.Errorf("%s instead of %s", limit, wanted*time.Millisecond)
		}
		limits.timedOut("slow")
	}
	if limit := limits.limit("m"); limit != leastDialLimit {
		t.Errorf("another machine gets %s", limit)
	}
	limits.connected("slow", 5*time.Millisecond)
	if limit := limits.limit("slow"); limit > 2*leastDialLimit {
		t.Errorf("after a connection it still gets %s", limit)
	}
	limits.timedOut("gone")
	limits.retain(func(string) bool { return false })
	if len(limits.timeouts) != 0 {
		t.Error("a machine that is not listed is remembered")
	}
}
