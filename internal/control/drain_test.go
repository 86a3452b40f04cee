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

// drainOf returns whether a node holds a zone as drained, and the revision of that.
func (n *Node) drainOf(zone string) (drained bool, revision uint64) {
	n.Read(func(machine *state.Machine) {
		spec, held := machine.Spec(v1.KindZoneDrain, zone).(*v1.ZoneDrainSpec)
		drained, revision = held && spec.Drained, machine.Get(v1.KindZoneDrain, zone).GetRevision()
	})
	return drained, revision
}

// confirmedDrain is drainOf once the node holds all that is committed: an order that the leader
// took is acknowledged before a follower has applied it.
func (c *trio) confirmedDrain(position int, zone string) (drained bool, revision uint64) {
	c.t.Helper()
	c.eventually("the node is in step", func() bool { return c.nodes[position].Barrier(c.t.Context()) == nil })
	return c.nodes[position].drainOf(zone)
}

// orderUntilTaken gives an order to one node after the other, as operators do.
func (c *trio) orderUntilTaken(zone string, drained bool, nodes ...*Node) {
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
	cluster := startTrio(t)
	leader, follower := cluster.leaderAndFollower()
	for _, drained := range []bool{true, true, false, false, true} {
		cluster.orderUntilTaken("z", drained, cluster.nodes[follower])
		if held, _ := cluster.nodes[leader].drainOf("z"); held != drained {
			t.Errorf("drained is %t at the leader after an acknowledged order for %t", held, drained)
		}
		cluster.eventually("all nodes hold it", func() bool {
			for _, node := range cluster.nodes {
				if held, _ := node.drainOf("z"); held != drained {
					return false
				}
			}
			return true
		})
	}
}

func TestDrainOfAnUnknownZone(t *testing.T) {
	cluster := startTrio(t)
	_, follower := cluster.leaderAndFollower()
	cluster.eventually("the zone is refused", func() bool {
		err := cluster.nodes[follower].DrainZone(t.Context(), "elsewhere", true)
		return fault.Is(err, fault.Invalid) && fault.FieldOf(err) == "zone"
	})
}

// TestStalledNodeTakesNoOrder: an order in the buffer of a node that was frozen may be older
// than one that was acknowledged elsewhere meanwhile.
func TestStalledNodeTakesNoOrder(t *testing.T) {
	cluster := startTrio(t)
	_, follower := cluster.leaderAndFollower()
	node := cluster.nodes[follower]
	cluster.orderUntilTaken("z", true, node)
	_, before := cluster.confirmedDrain(follower, "z")
	// Nothing but the stall speaks against the order.
	node.stalls.doubt(node)
	if err := node.DrainZone(t.Context(), "z", false); !fault.Is(err, fault.Unavailable) {
		t.Errorf("a node that was stalled answers %v", err)
	}
	if _, after := cluster.confirmedDrain(follower, "z"); after != before {
		t.Error("a node that was stalled has written")
	}
	node.stalls.trust(node)
	cluster.orderUntilTaken("z", false, node)
	cluster.eventually("a sleep is noticed", func() bool {
		cluster.clocks[follower].sleep(2 * time.Second)
		return node.stalls.stalled(node.now())
	})
}

// doubt makes the guard believe in a stall for longer than a test runs.
func (g *stallGuard) doubt(node *Node) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.watch.Tick(node.now() + time.Hour)
}

// trust makes it believe in none.
func (g *stallGuard) trust(node *Node) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.watch = drains.StallDetector{}
	for now := node.now() - time.Minute; now <= node.now(); now += drains.StallCheckInterval {
		g.watch.Tick(now)
	}
}

// TestOrderOfACallerThatLeftIsNotWritten: the caller turns elsewhere, and may order the opposite.
func TestOrderOfACallerThatLeftIsNotWritten(t *testing.T) {
	cluster := startTrio(t)
	_, follower := cluster.leaderAndFollower()
	cluster.orderUntilTaken("z", true, cluster.nodes[follower])
	_, before := cluster.confirmedDrain(follower, "z")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := cluster.nodes[follower].DrainZone(ctx, "z", false); !fault.Is(err, fault.Unavailable) {
		t.Errorf("a cancelled order is answered with %v", err)
	}
	if drained, after := cluster.confirmedDrain(follower, "z"); !drained || after != before {
		t.Errorf("after a cancelled order drained is %t at revision %d, not at %d", drained, after, before)
	}
}

// TestOrderReadTooLateIsNotWritten: its caller left, or the process was stopped, between the
// reading and the write, when nothing else would keep it from being proposed.
func TestOrderReadTooLateIsNotWritten(t *testing.T) {
	cluster := startTrio(t)
	_, follower := cluster.leaderAndFollower()
	node := cluster.nodes[follower]
	cluster.orderUntilTaken("z", true, node)
	_, before := cluster.confirmedDrain(follower, "z")
	left, leave := context.WithCancel(t.Context())
	leave()
	for _, late := range []struct {
		ctx context.Context
		age time.Duration
	}{{left, 0}, {t.Context(), drains.ReadWindow + time.Minute}} {
		order := &drainOrder{node: node, zone: "z", begun: node.now() - late.age}
		held, err := order.look()
		if err != nil {
			t.Fatal(err)
		}
		if written, err := order.write(late.ctx, held); written || !fault.Is(err, fault.Unavailable) {
			t.Errorf("read %s after it came: written is %t, %v", late.age, written, err)
		}
	}
	if _, after := cluster.confirmedDrain(follower, "z"); after != before {
		t.Errorf("the zone is at revision %d, not at %d", after, before)
	}
}

// TestLeaderDiesBetweenCommitAndAnswer: the same order again is acknowledged and changes nothing.
func TestLeaderDiesBetweenCommitAndAnswer(t *testing.T) {
	cluster := startTrio(t)
	leader, follower := cluster.leaderAndFollower()
	write, err := drains.NewWrite("z", true, 0, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	// Nobody waits for the answer.
	command := &wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: []*wirepb.ObjectWrite{write}}}}
	if _, err := cluster.nodes[leader].Propose(t.Context(), command); err != nil {
		t.Fatal(err)
	}
	cluster.cuts[leader].Store(true)
	others := []*Node{cluster.nodes[follower], cluster.nodes[3-leader-follower]}
	cluster.orderUntilTaken("z", true, others...)
	for _, node := range others {
		cluster.eventually("the drain is held", func() bool {
			drained, _ := node.drainOf("z")
			return drained
		})
	}
}

// TestDrainSurvivesTheKillOfAllNodes: what was acknowledged is on disk.
func TestDrainSurvivesTheKillOfAllNodes(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	if err := datadir.Init(folder, datadir.Identity{Cluster: "test", ControlID: 1}); err != nil {
		t.Fatal(err)
	}
	run := func(use func(cluster *trio, node *Node)) {
		dir, _, err := datadir.Open(folder, "test", 1)
		if err != nil {
			t.Fatal(err)
		}
		disk, recovered, err := storage.Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		cluster := &trio{t: t, addresses: []string{"127.0.0.1:1"}, cuts: []*atomic.Bool{{}}}
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
	run(func(cluster *trio, node *Node) {
		cluster.orderUntilTaken("z", true, node)
		cluster.orderUntilTaken("z", false, node)
		cluster.orderUntilTaken("z", true, node)
	})
	run(func(cluster *trio, node *Node) {
		cluster.eventually("the drain is held", func() bool {
			drained, _ := node.drainOf("z")
			return drained
		})
	})
}
