package control

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// startSingleNode starts a single control node with the pool p, at the highest level.
func startSingleNode(t *testing.T) (*testCluster, *Node) {
	t.Helper()
	cluster := &testCluster{t: t, addresses: []string{"127.0.0.1:1"}, cuts: []*atomic.Bool{{}}}
	node := cluster.newNodeWith(0, &slowStorage{}, silentEngines{})
	cluster.nodes = []*Node{node}
	ctx, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		workers.Wait()
	})
	workers.Go(func() { _ = node.Run(ctx) })
	cluster.eventually("a leader", node.leads)
	pool, err := json.Marshal(v1.PoolSpec{})
	if err != nil {
		t.Fatal(err)
	}
	objects := []*wirepb.Object{{Kind: string(v1.KindPool), Name: "p", Spec: pool}}
	if err := node.Declare(t.Context(), &wirepb.DeclareCommand{Version: 1, Document: []byte("1"), Objects: objects}); err != nil {
		t.Fatal(err)
	}
	raise := &wirepb.Command{Body: &wirepb.Command_RaiseLevel{RaiseLevel: &wirepb.RaiseLevelCommand{Level: uint32(level.Supported)}}}
	if _, err := node.Propose(t.Context(), raise); err != nil {
		t.Fatal(err)
	}
	return cluster, node
}

func reportOfStart(startedMs int64, sequence uint64) *wirepb.InstanceReport {
	return &wirepb.InstanceReport{
		Machine: "m", Pool: "p", Endpoint: "http://10.0.0.1:80", Zone: "z", Slots: 1, Sequence: sequence, StartedMs: startedMs,
	}
}

func phaseOf(node *Node, name string) (phase v1.MachinePhase) {
	node.Read(func(machine *state.Machine) { phase = machine.MachineStatus(name).Phase })
	return phase
}

// TestEachStartHasItsRecord checks that a machine restarted under its ID gets a new record, and
// that late reports of an earlier start do not affect it.
func TestEachStartHasItsRecord(t *testing.T) {
	cluster, node := startSingleNode(t)
	heartbeat := func(report *wirepb.InstanceReport) error {
		report.AgeMs = 0
		return node.Heartbeat(t.Context(), report)
	}
	if err := heartbeat(reportOfStart(1000, 900)); err != nil {
		t.Fatal(err)
	}
	cluster.eventually("the first start is in use", func() bool { return phaseOf(node, "m") == v1.MachineLive })
	if err := heartbeat(reportOfStart(2000, 1)); err != nil {
		t.Fatal(err)
	}
	const second = "m.start-2000"
	cluster.eventually("the second start is in use, the first is gone", func() bool {
		return phaseOf(node, second) == v1.MachineLive && phaseOf(node, "m") == v1.MachineGone
	})
	late := reportOfStart(1000, 901)
	late.Leaving = true
	if err := heartbeat(late); err != nil {
		t.Errorf("late report of the first start: %v", err)
	}
	unrecorded := reportOfStart(1500, 3)
	unrecorded.Leaving = true
	if err := heartbeat(unrecorded); !fault.Is(err, fault.Unavailable) {
		t.Errorf("leaving of an unrecorded earlier start: got %v, want unavailable", err)
	}
	if phaseOf(node, second) != v1.MachineLive {
		t.Errorf("second start: got phase %s, want live", phaseOf(node, second))
	}
	leaving := reportOfStart(2000, 2)
	leaving.Leaving = true
	if err := heartbeat(leaving); err != nil || phaseOf(node, second) != v1.MachineLeaving {
		t.Errorf("leaving of the second start: %v, phase %s", err, phaseOf(node, second))
	}
	if err := node.Deregister(t.Context(), "m"); err != nil || phaseOf(node, second) != v1.MachineGone {
		t.Errorf("deregistration of the second start: %v, phase %s", err, phaseOf(node, second))
	}
}

// TestDeregistrationWithoutRecordIsKept guards against a machine that leaves before any of its heartbeats arrives, and is
// brought into use by one that arrives late.
func TestDeregistrationWithoutRecordIsKept(t *testing.T) {
	cluster, node := startSingleNode(t)
	if err := node.Deregister(t.Context(), "m"); err != nil {
		t.Fatal(err)
	}
	other := reportOfStart(0, 1)
	other.Machine, other.Endpoint = "other", "http://10.0.0.2:80"
	for _, report := range []*wirepb.InstanceReport{reportOfStart(0, 1), other} {
		if err := node.Heartbeat(t.Context(), report); err != nil {
			t.Fatal(err)
		}
	}
	cluster.eventually("another machine is in use", func() bool { return phaseOf(node, "other") == v1.MachineLive })
	if phase := phaseOf(node, "m"); phase != v1.MachineGone {
		t.Errorf("got phase %q, want gone", phase)
	}
	later := time.Now().Add(time.Hour).UnixMilli()
	if err := node.Heartbeat(t.Context(), reportOfStart(later, 1)); err != nil {
		t.Fatal(err)
	}
	cluster.eventually("a later start is in use", func() bool { return phaseOf(node, fmt.Sprintf("m.start-%d", later)) == v1.MachineLive })
}

// TestUnknownDeregistrationsAreBounded guards against a log that grows with deregistrations of machines that never existed.
func TestUnknownDeregistrationsAreBounded(t *testing.T) {
	_, node := startSingleNode(t)
	if err := node.Deregister(t.Context(), "m.start-7"); !fault.Is(err, fault.Invalid) {
		t.Errorf("the name of a record: %v", err)
	}
	for number := range maxUnknownGone {
		if err := node.Deregister(t.Context(), fmt.Sprintf("m%d", number)); err != nil {
			t.Fatal(err)
		}
	}
	if err := node.Deregister(t.Context(), "m"); !fault.Is(err, fault.Unavailable) {
		t.Errorf("one too many: %v", err)
	}
	if err := node.Deregister(t.Context(), "m0"); err != nil {
		t.Errorf("a repeated one: %v", err)
	}
}

// TestReportsOfOtherMachinesAreRejected checks reports that can't come from the machine whose ID
// they carry.
func TestReportsOfOtherMachinesAreRejected(t *testing.T) {
	cluster, node := startSingleNode(t)
	if err := node.Heartbeat(t.Context(), reportOfStart(1000, 1)); err != nil {
		t.Fatal(err)
	}
	cluster.eventually("the machine is in use", func() bool { return phaseOf(node, "m") == v1.MachineLive })
	tests := []struct {
		name, field string
		change      func(report *wirepb.InstanceReport)
	}{
		{"another pool", "pool", func(report *wirepb.InstanceReport) { report.Pool = "unheard-of" }},
		{"no start time", "started", func(report *wirepb.InstanceReport) { report.StartedMs = 0 }},
		{"record name as ID", "machine", func(report *wirepb.InstanceReport) { report.Machine = "m.start-7" }},
	}
	for _, test := range tests {
		for _, leaving := range []bool{false, true} {
			report := reportOfStart(1000, 99)
			report.Leaving = leaving
			test.change(report)
			if err := node.Heartbeat(t.Context(), report); !fault.Is(err, fault.Invalid) || fault.FieldOf(err) != test.field {
				t.Errorf("%s, leaving %t: %v, field %q", test.name, leaving, err, fault.FieldOf(err))
			}
		}
	}
	if phaseOf(node, "m") != v1.MachineLive {
		t.Errorf("got phase %s, want live", phaseOf(node, "m"))
	}
	if held := node.instances.Entries()["m"].Report; held.GetSequence() != 1 {
		t.Errorf("latest report has sequence %d, want 1", held.GetSequence())
	}
}
