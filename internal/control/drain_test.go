package control

import (
	"context"
	"errors"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/datadir"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/storage"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// drainIn returns whether a state holds a zone as drained, and the revision of that.
func drainIn(machine *state.Machine, zone string) (drained bool, revision uint64) {
	spec, held := machine.Spec(v1.KindZoneDrain, zone).(*v1.ZoneDrainSpec)
	return held && spec.Drained, machine.Get(v1.KindZoneDrain, zone).GetRevision()
}

func (n *Node) drainOf(zone string) (drained bool, revision uint64) {
	n.Read(func(machine *state.Machine) { drained, revision = drainIn(machine, zone) })
	return drained, revision
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

// TestZoneOfAMachineIsKnown: settings need not list zones, and a node whose settings do not can't
// call a zone unknown before any machine has come.
func TestZoneOfAMachineIsKnown(t *testing.T) {
	empty, held := state.New(), state.New()
	spec := []byte(`{"endpoint":"http://10.0.0.1:80","zone":"m","pool":"p","slots":1}`)
	write := &wirepb.ObjectWrite{Object: &wirepb.Object{Kind: string(v1.KindMachine), Name: "machine", Spec: spec}}
	pool := &wirepb.ObjectWrite{Object: &wirepb.Object{Kind: string(v1.KindPool), Name: "p", Spec: []byte(`{}`)}}
	applyWrites(t, held, pool, write)
	for _, check := range []struct {
		machine *state.Machine
		table   []string
		zone    string
		want    zoneKnowledge
	}{
		{empty, nil, "m", zonesNotToldYet},
		{empty, []string{"z"}, "z", zoneKnown},
		{empty, []string{"z"}, "m", zoneUnknown},
		{held, nil, "m", zoneKnown},
		{held, nil, "z", zoneUnknown},
		{held, nil, "", zoneUnknown},
	} {
		if got := zoneKnowledgeOf(check.machine, check.table, check.zone); got != check.want {
			t.Errorf("zone %q with the table %v: %d, want %d", check.zone, check.table, got, check.want)
		}
	}
}

// TestStalledNodeTakesNoOrder: an order in the buffer of a node that was frozen may be older
// than one that was acknowledged elsewhere meanwhile.
func TestStalledNodeTakesNoOrder(t *testing.T) {
	cluster := startTrio(t)
	_, follower := cluster.leaderAndFollower()
	node := cluster.nodes[follower]
	cluster.orderUntilTaken("z", true, node)
	_, before := node.drainOf("z")
	// Nothing but the stall speaks against the order.
	node.stalls.doubt(node.now() + time.Hour)
	if err := node.DrainZone(t.Context(), "z", false); !fault.Is(err, fault.Unavailable) {
		t.Errorf("a node that was stalled answers %v", err)
	}
	if _, after := node.drainOf("z"); after != before {
		t.Error("a node that was stalled has written")
	}
	node.stalls.doubt(0)
	cluster.orderUntilTaken("z", false, node)
	cluster.eventually("a sleep is noticed", func() bool {
		cluster.clocks[follower].sleep(2 * time.Second)
		return node.stalls.stalled(node.now())
	})
}

func (g *stallGuard) doubt(until time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.watch.doubtedUntil = until
}

// TestOrderOfACallerThatLeftIsNotWritten: the caller turns elsewhere, and may order the opposite.
func TestOrderOfACallerThatLeftIsNotWritten(t *testing.T) {
	cluster := startTrio(t)
	_, follower := cluster.leaderAndFollower()
	cluster.orderUntilTaken("z", true, cluster.nodes[follower])
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := cluster.nodes[follower].DrainZone(ctx, "z", false); !fault.Is(err, fault.Unavailable) {
		t.Errorf("a cancelled order is answered with %v", err)
	}
	if drained, _ := cluster.nodes[follower].drainOf("z"); !drained {
		t.Error("a cancelled order took effect")
	}
}

// TestLeaderDiesBetweenCommitAndAnswer: the same order again is acknowledged and changes nothing.
func TestLeaderDiesBetweenCommitAndAnswer(t *testing.T) {
	cluster := startTrio(t)
	leader, follower := cluster.leaderAndFollower()
	write, err := drainWrite("z", true, 0, time.Now())
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

func applyWrites(t interface{ Fatal(...any) }, machine *state.Machine, writes ...*wirepb.ObjectWrite) *wirepb.CommandResult {
	data, err := proto.Marshal(&wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: writes}}})
	if err != nil {
		t.Fatal(err)
	}
	return machine.Apply(data)
}

// TestLateOrdersChangeNothing: an operator gives orders one after the other and may give any of
// them up. A write of an order that it gave up, or sent a second time, may be committed at any
// later moment. Once all of them are, the order acknowledged last is in force, also after a
// restart from a snapshot, and also in a member that was sent one.
func TestLateOrdersChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := state.New()
		var late []*wirepb.ObjectWrite
		acknowledged, any := false, false
		deliver := func(position int) {
			applyWrites(t, machine, late[position])
			late = append(late[:position], late[position+1:]...)
		}
		deliverSome := func(label string) {
			for range rapid.IntRange(0, len(late)).Draw(t, label) {
				deliver(rapid.IntRange(0, len(late)-1).Draw(t, "which"))
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "orders") {
			drained := rapid.Bool().Draw(t, "drained")
			for {
				_, revision := drainIn(machine, "z")
				write, err := drainWrite("z", drained, revision, time.Unix(0, 0))
				if err != nil {
					t.Fatal(err)
				}
				deliverSome("before the write")
				if rapid.Bool().Draw(t, "given up") {
					late = append(late, write)
					break
				}
				if applyWrites(t, machine, write).GetCode() == wirepb.ResultCode_RESULT_CODE_OK {
					acknowledged, any = drained, true
					// Sent a second time by the link.
					late = append(late, write)
					checkDrained(t, machine, acknowledged)
					break
				}
			}
			deliverSome("after the order")
			if rapid.Bool().Draw(t, "restart") {
				machine = restored(t, machine)
			}
		}
		// What the operator orders and waits for in the end.
		if any {
			for {
				_, revision := drainIn(machine, "z")
				write, err := drainWrite("z", acknowledged, revision, time.Unix(0, 0))
				if err != nil {
					t.Fatal(err)
				}
				if applyWrites(t, machine, write).GetCode() == wirepb.ResultCode_RESULT_CODE_OK {
					break
				}
			}
			for len(late) > 0 {
				deliver(0)
				checkDrained(t, machine, acknowledged)
			}
			checkDrained(t, restored(t, machine), acknowledged)
		}
	})
}

func checkDrained(t *rapid.T, machine *state.Machine, want bool) {
	if drained, _ := drainIn(machine, "z"); drained != want {
		t.Fatalf("drained is %t after an acknowledged order for %t", drained, want)
	}
}

func restored(t *rapid.T, machine *state.Machine) *state.Machine {
	snapshot, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	next := state.New()
	if err := next.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	return next
}
