package control

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/clock"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// suspendClock is a clock that a test can advance, as a suspend of the machine does.
type suspendClock struct {
	suspended atomic.Int64
}

func (c *suspendClock) now() time.Duration {
	return clock.Now() + time.Duration(c.suspended.Load())
}

func (c *suspendClock) suspend(span time.Duration) {
	c.suspended.Add(int64(span))
}

// TestLeaseExpiresDuringSuspend checks that a leader does not act after a suspend, during which
// monotonic clocks and timers may stop while another leader is elected.
func TestLeaseExpiresDuringSuspend(t *testing.T) {
	for _, span := range []time.Duration{time.Second, 4 * time.Second, 12 * time.Second} {
		cluster := startCluster(t)
		leader, _ := cluster.leaderAndFollower()
		node := cluster.nodes[leader]
		cluster.eventually("the leader holds the lease", func() bool {
			return node.leads()
		})
		// From here on nothing renews the lease.
		cluster.cuts[leader].Store(true)
		cluster.clocks[leader].suspend(span)
		if node.leads() {
			t.Errorf("the lease is held after a suspend of %s", span)
		}
		if _, err := node.localStatus(&wirepb.StatusRequest{RevisionOnly: true}); err == nil {
			t.Errorf("the leader confirms a revision after a suspend of %s", span)
		}
		cluster.cuts[leader].Store(false)
		cluster.eventually("a leader", func() bool {
			for _, other := range cluster.nodes {
				if other.leads() {
					return true
				}
			}
			return false
		})
	}
}
