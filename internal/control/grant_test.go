package control

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/weldline/weldline/internal/orders"
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

// TestOrderIsDialledBesideItsGrant: a connection to the machine was made only once the grant had
// been committed. Nothing may be written to the machine before.
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
