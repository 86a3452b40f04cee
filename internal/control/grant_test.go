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

// gatedStorage holds up writes while its gate is shut.
type gatedStorage struct{ gate sync.Mutex }

func (s *gatedStorage) Append(*wirepb.WalRecord) error {
	s.gate.Lock()
	defer s.gate.Unlock()
	return nil
}

func (s *gatedStorage) SaveSnapshot(*wirepb.Snapshot, *wirepb.WalRecord) error { return nil }

// dialledEngines tell when a connection for an order stands, and whether the order was then
// permitted while the log held no grant.
type dialledEngines struct {
	silentEngines
	dialled chan struct{}
	granted func() bool
	early   atomic.Bool
}

func (e *dialledEngines) Order(_ context.Context, _ orders.Order, _ string, _ uint64, permitted func() bool) orders.Outcome {
	close(e.dialled)
	if !permitted() {
		return orders.NotSent
	}
	e.early.Store(!e.granted())
	return orders.Accepted
}

// TestOrderIsDialledBesideItsGrant: the connection to the machine is made while the grant is being
// committed, so that requests wait for the longer of the two only. Nothing may be written to the
// machine before the commit.
func TestOrderIsDialledBesideItsGrant(t *testing.T) {
	storage, engines := &gatedStorage{}, &dialledEngines{dialled: make(chan struct{})}
	cluster := &trio{t: t, addresses: []string{"127.0.0.1:1"}, cuts: []*atomic.Bool{{}}}
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
		node.Read(func(machine *state.Machine) { holder = machine.Holder("m") })
		return holder == node.holder
	}
	given := newFleet(ctx, node, node.status.Load().Term)
	defer given.stop()

	storage.gate.Lock()
	outcome := make(chan orders.Outcome, 1)
	workers.Go(func() {
		outcome <- given.send(ctx, orders.Order{Machine: "m", Operation: orders.Load}, given.beginGrant(ctx, "m"))
	})
	<-engines.dialled
	storage.gate.Unlock()
	<-outcome
	if engines.early.Load() {
		t.Error("the order was permitted without a grant in the log")
	}
}

// countedEngines count the connections that are made for orders to come.
type countedEngines struct {
	silentEngines
	connected chan string
}

func (e *countedEngines) Connect(_ context.Context, machine, _ string) error {
	e.connected <- machine
	return nil
}

// TestMachineOfAnotherLeaderIsNotPrepared: a grant that is asked for before the time of the last
// holder is over would make the log forget that holder, and two leaders could order in turns.
func TestMachineOfAnotherLeaderIsNotPrepared(t *testing.T) {
	engines := &countedEngines{connected: make(chan string, 2)}
	cluster := &trio{t: t, addresses: []string{"127.0.0.1:1"}, cuts: []*atomic.Bool{{}}}
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
	for name, holder := range holders {
		node.takeInstance(&wirepb.InstanceReport{Machine: name, Pool: "p", Endpoint: "http://10.0.0.1:1", Zone: "z", Slots: 1, Sequence: 1})
		cluster.eventually("the machine recorded", func() bool {
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
	given := newFleet(ctx, node, node.status.Load().Term)
	given.prepare(ctx, []string{"another", "own"})
	given.stop()
	if machine := <-engines.connected; machine != "own" || len(engines.connected) > 0 {
		t.Errorf("connected to %s and %d more; another leader may still order one", machine, len(engines.connected))
	}
	holder := ""
	node.Read(func(machine *state.Machine) { holder = machine.Holder("another") })
	if holder != "another leader" {
		t.Errorf("the machine was granted to %s before the last holder's time was over", holder)
	}
}

// TestMachinesArePreparedOnce: a swap unloads and loads on one machine, and each connection and
// grant more is work for the machine and an entry of the log.
func TestMachinesArePreparedOnce(t *testing.T) {
	on := func(machine string) *v1.ReplicaSpec { return &v1.ReplicaSpec{Machine: machine} }
	machines := ordered([]placement.Action{
		{Kind: placement.ActionUnload, Replica: &placement.Replica{Spec: on("b")}},
		{Kind: placement.ActionUnload, Replica: &placement.Replica{Spec: on("a")}},
		{Kind: placement.ActionLoad, Spec: on("b")},
	})
	if !slices.Equal(machines, []string{"a", "b"}) {
		t.Errorf("connections and grants are made for %v", machines)
	}
}
