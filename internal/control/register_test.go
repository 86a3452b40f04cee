package control

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/orders"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// slowStorage counts its writes and delays each by about the duration of a disk sync.
type slowStorage struct{ writes atomic.Int64 }

func (s *slowStorage) Append(*wirepb.WalRecord) error {
	s.writes.Add(1)
	time.Sleep(time.Millisecond)
	return nil
}

func (s *slowStorage) SaveSnapshot(*wirepb.Snapshot, *wirepb.WalRecord) error { return nil }

// silentEngines accept no orders and fail every request.
type silentEngines struct{}

func (silentEngines) Order(context.Context, orders.Order, string, uint64, func() bool) orders.Outcome {
	return orders.NotSent
}

func (silentEngines) Connect(context.Context, string, string) error {
	return fault.Engine.New("no reply")
}

func (silentEngines) Report(context.Context, string, string) (orders.Report, error) {
	return orders.Report{}, fault.Engine.New("no reply")
}

// TestMachinesAreRecordedTogether checks that machines that register at the same time share disk
// writes.
func TestMachinesAreRecordedTogether(t *testing.T) {
	const (
		machines = 500
		// machinesPerWrite is well below the maximum batch.
		machinesPerWrite = 5
	)
	disk := &slowStorage{}
	cluster := &testCluster{t: t, addresses: []string{"127.0.0.1:1"}, cuts: []*atomic.Bool{{}}}
	node := cluster.newNodeWith(0, disk, silentEngines{})
	cluster.nodes = []*Node{node}
	ctx, cancel := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	workers.Go(func() { _ = node.Run(ctx) })
	cluster.eventually("a leader", node.leads)

	pool, err := json.Marshal(v1.PoolSpec{})
	if err != nil {
		t.Fatal(err)
	}
	declared := &wirepb.DeclareCommand{Version: 1, Document: []byte("1"), Objects: []*wirepb.Object{{Kind: string(v1.KindPool), Name: "p", Spec: pool}}}
	if err := node.Declare(t.Context(), declared); err != nil {
		t.Fatal(err)
	}
	before := disk.writes.Load()
	for number := range machines {
		name := "m" + strconv.Itoa(number)
		node.receiveInstanceReport(&wirepb.InstanceReport{Machine: name, Pool: "p", Endpoint: "http://10.0.0.1:" + strconv.Itoa(1000+number), Zone: "z", Slots: 1, Sequence: 1})
	}
	recorded := 0
	cluster.eventually("all machines are recorded", func() bool {
		node.Read(func(machine *state.Machine) { recorded = len(machine.List(v1.KindMachine)) })
		return recorded == machines
	})
	if writes := disk.writes.Load() - before; writes > machines/machinesPerWrite {
		t.Errorf("%d machines took %d writes", machines, writes)
	}
}
