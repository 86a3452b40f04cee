package control

import (
	"context"
	"errors"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/datadir"
	"github.com/weldline/weldline/internal/drains"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/storage"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// drainOf returns whether a node has a zone as drained, and the revision of that object.
func (n *Node) drainOf(zone string) (drained bool, revision uint64) {
	n.Read(func(machine *state.Machine) {
		spec, held := machine.Spec(v1.KindZoneDrain, zone).(*v1.ZoneDrainSpec)
		drained, revision = held && spec.Drained, machine.Get(v1.KindZoneDrain, zone).GetRevision()
	})
	return drained, revision
}

// confirmedDrain is drainOf after the node has applied everything committed.
func (c *testCluster) confirmedDrain(position int, zone string) (drained bool, revision uint64) {
	c.t.Helper()
	c.eventually("the node has caught up", func() bool { return c.nodes[position].Barrier(c.t.Context()) == nil })
	return c.nodes[position].drainOf(zone)
}

// drainUntilAcknowledged sends an order to one node after the other until it is acknowledged.
func (c *testCluster) drainUntilAcknowledged(zone string, drained bool, nodes ...*Node) {
	c.t.Helper()
	position := 0
	c.eventually("the order is acknowledged", func() bool {
		err := nodes[position%len(nodes)].DrainZone(c.t.Context(), zone, drained)
		position++
		if fault.Is(err, fault.Invalid) {
			c.t.Fatal(err)
		}
		return err == nil
	})
}

func TestDrainAtAnyNode(t *testing.T) {
	cluster := startCluster(t)
	leader, follower := cluster.leaderAndFollower()
	for _, drained := range []bool{true, true, false, false, true} {
		cluster.drainUntilAcknowledged("z", drained, cluster.nodes[follower])
		if got, _ := cluster.nodes[leader].drainOf("z"); got != drained {
			t.Errorf("drained is %t at the leader after an acknowledged order for %t", got, drained)
		}
		cluster.eventually("the order is applied on all nodes", func() bool {
			for _, node := range cluster.nodes {
				if got, _ := node.drainOf("z"); got != drained {
					return false
				}
			}
			return true
		})
	}
}

func TestDrainOfUnknownZone(t *testing.T) {
	cluster := startCluster(t)
	_, follower := cluster.leaderAndFollower()
	cluster.eventually("the zone is rejected", func() bool {
		err := cluster.nodes[follower].DrainZone(t.Context(), "elsewhere", true)
		return fault.Is(err, fault.Invalid) && fault.FieldOf(err) == "zone"
	})
}

// TestStalledNodeRejectsDrainOrder checks that a node rejects orders after a stall, since they may
// be older than one acknowledged elsewhere in the meantime.
func TestStalledNodeRejectsDrainOrder(t *testing.T) {
	cluster := startCluster(t)
	_, follower := cluster.leaderAndFollower()
	node := cluster.nodes[follower]
	cluster.drainUntilAcknowledged("z", true, node)
	_, before := cluster.confirmedDrain(follower, "z")
	// The stall is the only reason to reject the order.
	node.stallDetector.assumeStalled(node)
	if err := node.DrainZone(t.Context(), "z", false); !fault.Is(err, fault.Unavailable) {
		t.Errorf("drain order after a stall: got %v, want unavailable", err)
	}
	if _, after := cluster.confirmedDrain(follower, "z"); after != before {
		t.Error("a rejected order was written")
	}
	node.stallDetector.assumeRunning(node)
	cluster.drainUntilAcknowledged("z", false, node)
	cluster.eventually("a suspend is detected", func() bool {
		cluster.clocks[follower].suspend(2 * time.Second)
		return node.stallDetector.stalled(node.now())
	})
}

// assumeStalled makes the detector report a stall for longer than a test runs.
func (g *stallDetector) assumeStalled(node *Node) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.detector.Tick(node.now() + time.Hour)
}

// assumeRunning makes the detector report no stall.
func (g *stallDetector) assumeRunning(node *Node) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.detector = drains.StallDetector{}
	for now := node.now() - time.Minute; now <= node.now(); now += drains.StallCheckInterval {
		g.detector.Tick(now)
	}
}

// TestCanceledDrainOrderIsNotWritten checks that an order is not written after its caller has left,
// since the caller may have sent the opposite order to another node.
func TestCanceledDrainOrderIsNotWritten(t *testing.T) {
	cluster := startCluster(t)
	_, follower := cluster.leaderAndFollower()
	cluster.drainUntilAcknowledged("z", true, cluster.nodes[follower])
	_, before := cluster.confirmedDrain(follower, "z")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := cluster.nodes[follower].DrainZone(ctx, "z", false); !fault.Is(err, fault.Unavailable) {
		t.Errorf("canceled order: got %v, want unavailable", err)
	}
	if drained, after := cluster.confirmedDrain(follower, "z"); !drained || after != before {
		t.Errorf("after a canceled order: drained %t at revision %d, want true at %d", drained, after, before)
	}
}

// TestLateDrainOrderIsNotWritten checks that an order is not proposed if its caller left, or the
// process was suspended, between the read and the write.
func TestLateDrainOrderIsNotWritten(t *testing.T) {
	cluster := startCluster(t)
	_, follower := cluster.leaderAndFollower()
	node := cluster.nodes[follower]
	cluster.drainUntilAcknowledged("z", true, node)
	_, before := cluster.confirmedDrain(follower, "z")
	left, leave := context.WithCancel(t.Context())
	leave()
	for _, late := range []struct {
		ctx context.Context
		age time.Duration
	}{{left, 0}, {t.Context(), drains.ReadWindow + time.Minute}} {
		order := &drainOrder{node: node, zone: "z", receivedAt: node.now() - late.age}
		held, err := order.readZone()
		if err != nil {
			t.Fatal(err)
		}
		if written, err := order.write(late.ctx, held); written || !fault.Is(err, fault.Unavailable) {
			t.Errorf("order of age %s: written %t, error %v", late.age, written, err)
		}
	}
	if _, after := cluster.confirmedDrain(follower, "z"); after != before {
		t.Errorf("zone at revision %d, want %d", after, before)
	}
}

// TestDrainOrderIsIdempotent checks that an order repeated after a leader failure between commit
// and reply is acknowledged.
func TestDrainOrderIsIdempotent(t *testing.T) {
	cluster := startCluster(t)
	leader, follower := cluster.leaderAndFollower()
	write, err := drains.NewWrite("z", true, 0, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	// The reply is ignored.
	command := &wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: []*wirepb.ObjectWrite{write}}}}
	if _, err := cluster.nodes[leader].Propose(t.Context(), command); err != nil {
		t.Fatal(err)
	}
	cluster.cuts[leader].Store(true)
	others := []*Node{cluster.nodes[follower], cluster.nodes[3-leader-follower]}
	cluster.drainUntilAcknowledged("z", true, others...)
	for _, node := range others {
		cluster.eventually("the drain is applied", func() bool {
			drained, _ := node.drainOf("z")
			return drained
		})
	}
}

// TestDrainSurvivesRestart checks that an acknowledged order is durable.
func TestDrainSurvivesRestart(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	if err := datadir.Init(folder, datadir.Identity{Cluster: "test", ControlID: 1}); err != nil {
		t.Fatal(err)
	}
	run := func(use func(cluster *testCluster, node *Node)) {
		dir, _, err := datadir.Open(folder, "test", 1)
		if err != nil {
			t.Fatal(err)
		}
		disk, recovered, err := storage.Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		cluster := &testCluster{t: t, addresses: []string{"127.0.0.1:1"}, cuts: []*atomic.Bool{{}}}
		node := cluster.newNodeRecovered(0, disk, recovered, nil)
		ctx, cancel := context.WithCancel(t.Context())
		var workers sync.WaitGroup
		workers.Go(func() { _ = node.Run(ctx) })
		use(cluster, node)
		cancel()
		workers.Wait()
		if err := errors.Join(disk.Close(), dir.Close()); err != nil {
			t.Fatal(err)
		}
	}
	run(func(cluster *testCluster, node *Node) {
		cluster.drainUntilAcknowledged("z", true, node)
		cluster.drainUntilAcknowledged("z", false, node)
		cluster.drainUntilAcknowledged("z", true, node)
	})
	run(func(cluster *testCluster, node *Node) {
		cluster.eventually("the drain is applied", func() bool {
			drained, _ := node.drainOf("z")
			return drained
		})
	})
}
