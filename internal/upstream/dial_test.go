package upstream

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/weldline/weldline/internal/fault"
)

const maxDialTimeout = 500 * time.Millisecond

func timeoutsAfter(elapsed ...time.Duration) dialTimeouts {
	timeouts := newDialTimeouts(maxDialTimeout)
	for _, each := range elapsed {
		timeouts.recordConnected("m", each)
	}
	return timeouts
}

func repeated(elapsed time.Duration, times int) []time.Duration {
	all := make([]time.Duration, times)
	for position := range all {
		all[position] = elapsed
	}
	return all
}

func TestDialTimeoutFollowsConnectionTimes(t *testing.T) {
	tests := []struct {
		name    string
		elapsed []time.Duration
		timeout time.Duration
	}{
		{"nothing is known yet", nil, maxDialTimeout},
		{"machines are near", repeated(3*time.Millisecond, 20), minDialTimeout},
		{"the first connection was slow", []time.Duration{400 * time.Millisecond}, maxDialTimeout},
		{"machines are far", repeated(200*time.Millisecond, 50), 200 * time.Millisecond},
	}
	for _, test := range tests {
		timeouts := timeoutsAfter(test.elapsed...)
		timeout := timeouts.timeout("m")
		if timeout < test.timeout || timeout > test.timeout+10*time.Millisecond {
			t.Errorf("%s: got %s, want %s", test.name, timeout, test.timeout)
		}
	}
}

// TestDialTimeoutGrowsForSlowMachine: the timeout doubles until the machine responds; other
// machines are not affected.
func TestDialTimeoutGrowsForSlowMachine(t *testing.T) {
	timeouts := timeoutsAfter(repeated(3*time.Millisecond, 20)...)
	for _, want := range []time.Duration{150, 300, 500, 500} {
		if timeout := timeouts.timeout("slow"); timeout != want*time.Millisecond {
			t.Errorf("got %s, want %s", timeout, want*time.Millisecond)
		}
		timeouts.recordTimeout("slow")
	}
	if timeout := timeouts.timeout("m"); timeout != minDialTimeout {
		t.Errorf("another machine has a timeout of %s", timeout)
	}
	timeouts.recordConnected("slow", 5*time.Millisecond)
	if timeout := timeouts.timeout("slow"); timeout > 2*minDialTimeout {
		t.Errorf("after a connection its timeout is still %s", timeout)
	}
	timeouts.recordTimeout("gone")
	timeouts.retain(func(string) bool { return false })
	if len(timeouts.consecutive) != 0 {
		t.Error("an unlisted machine is not forgotten")
	}
}

// TestTimeoutOnSlowLinkIsNoEvidence guards against taking a machine for unreachable because this node's link is full.
func TestTimeoutOnSlowLinkIsNoEvidence(t *testing.T) {
	for _, test := range []struct {
		delay time.Duration
		late  bool
	}{{0, false}, {2 * maxLinkDelay, true}} {
		synctest.Test(t, func(t *testing.T) {
			pool := NewPool(Config{
				DialTimeout: maxDialTimeout, MaxIdle: FixedMaxIdle(1), LinkDelay: func() time.Duration { return test.delay },
				Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				},
			})
			started := time.Now()
			_, err := pool.Dial(t.Context(), "m", "10.0.0.1:80")
			if fault.Is(err, fault.Late) != test.late {
				t.Errorf("a delay of %s: %v", test.delay, err)
			}
			if waited := time.Since(started); waited < maxDialTimeout+dialDelays*test.delay {
				t.Errorf("a delay of %s: gave up after %s", test.delay, waited)
			}
		})
	}
}
