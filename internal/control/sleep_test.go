package control

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/clock"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// sleepingClock is a clock that a test lets run on as during a sleep of the machine.
type sleepingClock struct {
	slept atomic.Int64
}

func (c *sleepingClock) now() time.Duration {
	return clock.Now() + time.Duration(c.slept.Load())
}

func (c *sleepingClock) sleep(span time.Duration) {
	c.slept.Add(int64(span))
}

// TestLeaderThatSleptLeadsNoMore: timers and the steady clock stand still during a sleep. The
// others have a new leader by then, which this one can't know before it hears of it.
func TestLeaderThatSleptLeadsNoMore(t *testing.T) {
	for _, span := range []time.Duration{time.Second, 4 * time.Second, 12 * time.Second} {
		cluster := startTrio(t)
		leader, _ := cluster.leaderAndFollower()
		node := cluster.nodes[leader]
		cluster.eventually("the leader may give orders", func() bool {
			return node.leads()
		})
		// Nothing that it asks from now on is answered, so that nothing renews its lease.
		cluster.cuts[leader].Store(true)
		cluster.clocks[leader].sleep(span)
		if node.leads() {
			t.Errorf("the leader holds its lease after a sleep of %s", span)
		}
		if _, err := node.localStatus(&wirepb.StatusRequest{RevisionOnly: true}); err == nil {
			t.Errorf("the leader confirms a revision after a sleep of %s", span)
		}
		cluster.cuts[leader].Store(false)
		cluster.eventually("somebody leads again", func() bool {
			for _, other := range cluster.nodes {
				if other.leads() {
					return true
				}
			}
			return false
		})
	}
}
