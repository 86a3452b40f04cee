package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/datadir"
	"github.com/weldline/weldline/internal/member"
	"github.com/weldline/weldline/internal/raft"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const commandBytes = 512

// testCluster holds members with separate data directories that exchange messages in memory.
type testCluster struct {
	tb      testing.TB
	members map[uint64]*member.Member
	now     time.Duration
	applied uint64
}

func newTestCluster(tb testing.TB, ids ...uint64) *testCluster {
	tb.Helper()
	cluster := &testCluster{tb: tb, members: map[uint64]*member.Member{}}
	for _, id := range ids {
		cluster.start(id, filepath.Join(tb.TempDir(), "data"))
	}
	for !cluster.members[1].Raft.LeaseValid(cluster.now) {
		cluster.now += 10 * time.Millisecond
		for id, opened := range cluster.members {
			opened.Raft.Tick(cluster.now)
			cluster.settle(id)
		}
	}
	return cluster
}

func (c *testCluster) start(id uint64, path string) {
	c.tb.Helper()
	if err := datadir.Init(path, datadir.Identity{Cluster: "bench", ControlID: id}); err != nil {
		c.tb.Fatal(err)
	}
	dir, _, err := datadir.Open(path, "bench", id)
	if err != nil {
		c.tb.Fatal(err)
	}
	disk, recovered, err := Open(dir)
	if err != nil {
		c.tb.Fatal(err)
	}
	config := raft.Config{
		ID: id, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond, LeaseMargin: 100 * time.Millisecond,
		MaxEntriesPerMessage: 256, MaxInflightMessages: 64, Random: func(int64) int64 { return int64(id) * int64(200*time.Millisecond) },
	}
	opened, err := member.Open(config, &wirepb.Membership{Voters: []uint64{1, 2, 3}}, recovered, disk, c.now, 1<<40)
	if err != nil {
		c.tb.Fatal(err)
	}
	c.members[id] = opened
	c.tb.Cleanup(func() {
		_ = disk.Close()
		_ = dir.Close()
	})
}

// settle processes a member's output and delivers messages until none is left.
func (c *testCluster) settle(id uint64) {
	pending := []uint64{id}
	for len(pending) > 0 {
		opened := c.members[pending[0]]
		pending = pending[1:]
		output, err := opened.Process()
		if err != nil {
			c.tb.Fatal(err)
		}
		if opened == c.members[1] && len(output.Applied) > 0 {
			c.applied = output.Applied[len(output.Applied)-1].Index
		}
		for _, message := range output.Messages {
			if target := c.members[message.GetTo()]; target != nil {
				target.Raft.Step(c.now, message)
				pending = append(pending, message.GetTo())
			}
		}
	}
}

// commit proposes a batch of commands and returns after they are applied.
func (c *testCluster) commit(count int) {
	commands := make([][]byte, count)
	for position := range commands {
		commands[position] = make([]byte, commandBytes)
	}
	first, _, err := c.members[1].Raft.Propose(c.now, commands...)
	if err != nil {
		c.tb.Fatal(err)
	}
	c.settle(1)
	if c.applied < first+uint64(count)-1 {
		c.tb.Fatalf("applied %d, proposed up to %d", c.applied, first+uint64(count)-1)
	}
}

// BenchmarkCommit commits batches on three members that sync every write.
func BenchmarkCommit(b *testing.B) {
	for _, batch := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			cluster := newTestCluster(b, 1, 2, 3)
			for b.Loop() {
				cluster.commit(batch)
			}
			b.ReportMetric(float64(b.N*batch)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}

// BenchmarkPlainSync is the baseline: one write and sync of a single command's bytes.
func BenchmarkPlainSync(b *testing.B) {
	file, err := os.Create(filepath.Join(b.TempDir(), "file"))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	content := make([]byte, commandBytes)
	for b.Loop() {
		if _, err := file.Write(content); err != nil {
			b.Fatal(err)
		}
		if err := file.Sync(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCatchUp replicates missed entries to a member that starts with an empty log.
func BenchmarkCatchUp(b *testing.B) {
	for _, missed := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("missed=%d", missed), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				cluster := newTestCluster(b, 1, 2)
				cluster.commit(missed)
				cluster.start(3, filepath.Join(b.TempDir(), "data"))
				b.StartTimer()
				for cluster.members[3].Raft.Status().Applied < cluster.members[1].Raft.Status().Applied {
					cluster.now += 50 * time.Millisecond
					cluster.members[1].Raft.Tick(cluster.now)
					cluster.settle(1)
				}
			}
		})
	}
}
