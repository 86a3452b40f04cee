package control

import (
	"testing"
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// limitOf is what a router was told by a machine a moment ago.
func limitOf(machine string, perSecond float64) *wirepb.MachineLimit {
	return &wirepb.MachineLimit{Machine: machine, Limited: true, PerSecond: perSecond, SentAgeMs: 20, HeardAgeMs: 10}
}

func (c *trio) permit(node int, request *wirepb.PermitRequest) (isGranted, isAnswered bool) {
	reply, err := c.nodes[node].localPermit(request)
	return reply.GetGranted(), err == nil
}

// TestLimitsPaceAMachineUnderEveryLeader: a machine whose limit a router tells of with its question, or
// with its report, gets one token bucket; the digests tell all of it; and the next leader knows it without
// having heard of a router.
func TestLimitsPaceAMachineUnderEveryLeader(t *testing.T) {
	cluster := startTrio(t)
	leader, follower := cluster.leaderAndFollower()
	cluster.declareWarming(leader, "m", 1000)
	told := &wirepb.PermitRequest{Machine: "m", LimitOnly: true, Limit: limitOf("m", 0.5)}
	cluster.eventually("an answer", func() bool {
		isGranted, isAnswered := cluster.permit(leader, told)
		if isGranted {
			t.Fatal("a limit that is new begins with a permit")
		}
		return isAnswered
	})
	cluster.eventually("the next leader is told", func() bool {
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
			cluster.eventually("an answer of the next leader", func() bool {
				isGranted, isAnswered := cluster.permit(next, request)
				if isGranted {
					granted++
				}
				return isAnswered
			})
		}
		if granted == 50 {
			t.Errorf("asked for %v, the next leader lets all through", request)
		}
	}
}

// TestEndOfALimitNeedsNoPermit: a router that has not heard of it yet is let through, whatever it takes the
// limit to be.
func TestEndOfALimitNeedsNoPermit(t *testing.T) {
	cluster := startTrio(t)
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
	if told := node.limitSnapshot(); len(told) != 1 || told[0].Limit.IsSet || told[0].ReceivedAge < 2*time.Second {
		t.Errorf("the others are told %v", told)
	}
}
