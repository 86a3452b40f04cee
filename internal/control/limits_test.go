package control

import (
	"testing"
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// limitOf returns a limit that a router recently received from a machine.
func limitOf(machine string, perSecond float64) *wirepb.MachineLimit {
	return &wirepb.MachineLimit{Machine: machine, Limited: true, PerSecond: perSecond, SentAgeMs: 20, HeardAgeMs: 10}
}

func (c *testCluster) permit(node int, request *wirepb.PermitRequest) (isGranted, isAnswered bool) {
	reply, err := c.nodes[node].localPermit(request)
	return reply.GetGranted(), err == nil
}

// TestLimitsApplyUnderEveryLeader checks that a limit reported with a permit request paces the
// machine, reaches the followers, and applies under the next leader without a router repeating it.
func TestLimitsApplyUnderEveryLeader(t *testing.T) {
	cluster := startCluster(t)
	leader, follower := cluster.leaderAndFollower()
	cluster.declareWarming(leader, "m", 1000)
	first := &wirepb.PermitRequest{Machine: "m", LimitOnly: true, Limit: limitOf("m", 0.5)}
	cluster.eventually("a reply", func() bool {
		isGranted, isAnswered := cluster.permit(leader, first)
		if isGranted {
			t.Fatal("the first request under a new limit was granted")
		}
		return isAnswered
	})
	cluster.eventually("a follower knows the limit", func() bool {
		limit := cluster.nodes[follower].limits.of("m")
		return limit.IsSet && limit.PerSecond == 0.5
	})

	cluster.cuts[leader].Store(true)
	next := leader
	cluster.eventually("another leader", func() bool {
		for position, node := range cluster.nodes {
			if position != leader && node.leads() {
				next = position
			}
		}
		return next != leader
	})
	for _, request := range []*wirepb.PermitRequest{{Machine: "m", LimitOnly: true}, {Machine: "m"}} {
		granted := 0
		for range 50 {
			cluster.eventually("a reply of the next leader", func() bool {
				isGranted, isAnswered := cluster.permit(next, request)
				if isGranted {
					granted++
				}
				return isAnswered
			})
		}
		if granted == 50 {
			t.Errorf("the next leader granted every request %v", request)
		}
	}
}

// TestEndedLimitNeedsNoPermit checks that permits are granted to a router that still applies an
// ended limit.
func TestEndedLimitNeedsNoPermit(t *testing.T) {
	cluster := startCluster(t)
	leader, _ := cluster.leaderAndFollower()
	cluster.declareWarming(leader, "m", 1000)
	node := cluster.nodes[leader]
	node.mergeLimits([]*wirepb.MachineLimit{{Machine: "m", Limited: true, PerSecond: 0, SentAgeMs: 9000, HeardAgeMs: 8000}}, "test")
	node.mergeLimits([]*wirepb.MachineLimit{{Machine: "m", SentAgeMs: 3000, HeardAgeMs: 2000}}, "test")
	stale := &wirepb.PermitRequest{Machine: "m", LimitOnly: true, Limit: &wirepb.MachineLimit{Machine: "m", Limited: true, SentAgeMs: 9000, HeardAgeMs: 8000}}
	for range 50 {
		cluster.eventually("a permit", func() bool {
			isGranted, isAnswered := cluster.permit(leader, stale)
			return isAnswered && isGranted
		})
	}
	if limits := node.limitSnapshot(); len(limits) != 1 || limits[0].Limit.IsSet || limits[0].ReceivedAge < 2*time.Second {
		t.Errorf("the digest has limits %v", limits)
	}
}
