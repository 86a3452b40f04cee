package raft_test

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/member"
	"github.com/weldline/weldline/internal/raft"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// electionTime returns the virtual time that three members are without a lease after the leader is
// lost. Message delivery takes no time.
func electionTime(tb testing.TB, seed uint64) time.Duration {
	random := rand.New(rand.NewPCG(seed, 0))
	c := &cluster{
		t: tb, disks: map[uint64]*memoryDisk{}, members: map[uint64]*member.Member{}, cut: map[uint64]bool{},
		applied: map[uint64][]string{}, compact: 1 << 30, bootstrap: &wirepb.Membership{Voters: []uint64{1, 2, 3}},
	}
	for id := uint64(1); id <= 3; id++ {
		c.startWith(id, raft.Config{
			ID: id, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond, LeaseMargin: 100 * time.Millisecond,
			MaxEntriesPerMessage: 16, MaxInflightMessages: 4, Random: random.Int64N,
		})
	}
	leader := c.awaitLeader()
	c.pass(time.Duration(random.Int64N(int64(time.Second))))
	lost := c.now
	delete(c.members, leader)
	c.awaitLeader()
	return c.now - lost
}

func (c *cluster) awaitLeader() uint64 {
	for {
		for _, id := range c.ids() {
			if c.members[id].Raft.LeaseValid(c.now) {
				return id
			}
		}
		c.pass(10 * time.Millisecond)
	}
}

// BenchmarkElection reports the time without a lease after the leader is lost, in virtual time,
// with an election timeout of one second.
func BenchmarkElection(b *testing.B) {
	var times []time.Duration
	for b.Loop() {
		times = append(times, electionTime(b, uint64(len(times))))
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(times[len(times)*99/100].Milliseconds()), "p99-ms")
}
