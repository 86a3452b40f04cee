package control

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/orders"
	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// gatedStorage blocks writes while its gate is locked.
type gatedStorage struct{ gate sync.Mutex }

func (s *gatedStorage) Append(*wirepb.WalRecord) error {
	s.gate.Lock()
	defer s.gate.Unlock()
	return nil
}

func (s *gatedStorage) SaveSnapshot(*wirepb.Snapshot, *wirepb.WalRecord) error { return nil }

// dialRecordingEngines signal when an order is connected, and record whether it was permitted
// before its grant was committed.
type dialRecordingEngines struct {
	silentEngines
	dialed  chan struct{}
	granted func() bool
	early   atomic.Bool
}

func (e *dialRecordingEngines) Order(_ context.Context, _ orders.Order, _ string, _ uint64, permitted func() bool) orders.Outcome {
	close(e.dialed)
	if !permitted() {
		return orders.NotSent
	}
	e.early.Store(!e.granted())
	return orders.Accepted
}

// TestOrderConnectsWhileGrantIsCommitted checks that the connection to a machine is made while the
// grant is being committed, and that the order is permitted only after the commit.
func TestOrderConnectsWhileGrantIsCommitted(t *testing.T) {
	storage, engines := &gatedStorage{}, &dialRecordingEngines{dialed: make(chan struct{})}
	cluster := &testCluster{t: t, addresses: []string{"127.0.0.1:1"}, cuts: []*atomic.Bool{{}}}
	node := cluster.newNodeWith(0, storage, engines)
	cluster.nodes = []*Node{node}
	ctx, cancel := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	workers.Go(func() { _ = node.Run(ctx) })
	cluster.eventually("a leader", node.leads)
	engines.granted = func() bool {
		holder := ""
		node.Read(func(machine *state.Machine) { holder = machine.OrderHolder("m") })
		return holder == node.holder
	}
	dispatcher := newOrderDispatcher(ctx, node, node.status.Load().Term)
	defer dispatcher.stop()

	storage.gate.Lock()
	outcome := make(chan orders.Outcome, 1)
	workers.Go(func() {
		outcome <- dispatcher.send(ctx, orders.Order{Machine: "m", Operation: orders.Load}, dispatcher.requestGrant(ctx, "m"))
	})
	<-engines.dialed
	storage.gate.Unlock()
	<-outcome
	if engines.early.Load() {
		t.Error("the order was permitted before its grant was committed")
	}
}

// connectRecordingEngines record the connections made in advance of orders.
type connectRecordingEngines struct {
	silentEngines
	connected chan string
}

func (e *connectRecordingEngines) Connect(_ context.Context, machine, _ string) error {
	e.connected <- machine
	return nil
}

// TestMachineGrantedToAnotherIsNotPrepared checks that no grant is requested before the previous
// holder's has expired: the log would lose that holder, and two leaders could send orders.
func TestMachineGrantedToAnotherIsNotPrepared(t *testing.T) {
	engines := &connectRecordingEngines{connected: make(chan string, 2)}
	cluster := &testCluster{t: t, addresses: []string{"127.0.0.1:1"}, cuts: []*atomic.Bool{{}}}
	node := cluster.newNodeWith(0, memoryStorage{}, engines)
	cluster.nodes = []*Node{node}
	ctx, cancel := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	workers.Go(func() { _ = node.Run(ctx) })
	cluster.eventually("a leader", node.leads)
	pool := &wirepb.Object{Kind: string(v1.KindPool), Name: "p", Spec: []byte("{}")}
	if err := node.Declare(ctx, &wirepb.DeclareCommand{Version: 1, Document: []byte("1"), Objects: []*wirepb.Object{pool}}); err != nil {
		t.Fatal(err)
	}
	holders := map[string]string{"another": "another leader", "own": node.holder}
	addresses := map[string]string{"another": "10.0.0.1:1", "own": "10.0.0.2:1"}
	for name, holder := range holders {
		node.receiveInstanceReport(&wirepb.InstanceReport{Machine: name, Pool: "p", Endpoint: "http://" + addresses[name], Zone: "z", Slots: 1, Sequence: 1})
		cluster.eventually("the machine is recorded", func() bool {
			listed := false
			node.Read(func(machine *state.Machine) {
				listed = len(machine.List(v1.KindMachine)) > 0 && machine.MachineStatus(name).Phase != ""
			})
			return listed
		})
		grant := &wirepb.Command{Body: &wirepb.Command_Grant{Grant: &wirepb.GrantCommand{Holder: holder, Machines: []string{name}}}}
		if _, err := node.Propose(ctx, grant); err != nil {
			t.Fatal(err)
		}
	}
	dispatcher := newOrderDispatcher(ctx, node, node.status.Load().Term)
	dispatcher.prepare(ctx, []string{"another", "own"})
	dispatcher.stop()
	if machine := <-engines.connected; machine != "own" || len(engines.connected) > 0 {
		t.Errorf("connected to %s and %d more, want only the machine without another holder", machine, len(engines.connected))
	}
	holder := ""
	node.Read(func(machine *state.Machine) { holder = machine.OrderHolder("another") })
	if holder != "another leader" {
		t.Errorf("the machine was granted to %s before the previous holder's grant expired", holder)
	}
}

// TestMachinesArePreparedOnce checks that a machine with several orders gets one connection and one
// grant.
func TestMachinesArePreparedOnce(t *testing.T) {
	on := func(machine string) *v1.ReplicaSpec { return &v1.ReplicaSpec{Machine: machine} }
	machines := machinesToOrder([]placement.Action{
		{Kind: placement.ActionUnload, Replica: &placement.Replica{Spec: on("b")}},
		{Kind: placement.ActionUnload, Replica: &placement.Replica{Spec: on("a")}},
		{Kind: placement.ActionLoad, Spec: on("b")},
	})
	if !slices.Equal(machines, []string{"a", "b"}) {
		t.Errorf("machines to prepare: got %v, want [a b]", machines)
	}
}
