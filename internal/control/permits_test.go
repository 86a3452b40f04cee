package control

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// declareWarming declares a pool with warming machines and records one machine.
func (c *testCluster) declareWarming(leader int, machine string, perSecond float64) {
	c.t.Helper()
	encode := func(value any) []byte {
		encoded, err := json.Marshal(value)
		if err != nil {
			c.t.Fatal(err)
		}
		return encoded
	}
	pool := &wirepb.Object{Kind: string(v1.KindPool), Name: "p", Spec: encode(v1.PoolSpec{Warming: &v1.WarmingSpec{RequestsPerSecond: perSecond}})}
	version := c.nodes[leader].Revision() + 100
	declared := &wirepb.DeclareCommand{Version: version, Document: []byte("1"), Objects: []*wirepb.Object{pool}}
	if err := c.nodes[leader].Declare(c.t.Context(), declared); err != nil {
		c.t.Fatal(err)
	}
	register := &wirepb.RegisterCommand{
		Machine: machine, Phase: string(v1.MachineLive), Reason: "registered",
		Spec: encode(v1.MachineSpec{Endpoint: "http://10.0.0.1:80", Zone: "z", Pool: "p", Slots: 1}),
	}
	result, err := c.nodes[leader].Propose(c.t.Context(), &wirepb.Command{Body: &wirepb.Command_Register{Register: register}})
	if err != nil || result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
		c.t.Fatal(result, err)
	}
}

// TestOnlyTheLeaderGrantsPermits checks that followers forward permit requests, and that a leader
// grants none after its lease or term may have ended.
func TestOnlyTheLeaderGrantsPermits(t *testing.T) {
	cluster := startCluster(t)
	leader, follower := cluster.leaderAndFollower()
	cluster.declareWarming(leader, "m", 20)
	ask := func(node int, machine string) bool {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		reply, err := cluster.nodes[node].Permit(ctx, &wirepb.PermitRequest{Machine: machine})
		return err == nil && reply.GetGranted()
	}
	cluster.eventually("a permit from the leader", func() bool { return ask(leader, "m") })
	cluster.eventually("a permit by way of a follower", func() bool { return ask(follower, "m") })
	held := cluster.nodes[leader].permits.Load()
	cluster.nodes[leader].permits.Store(newTermPermits(held.term-1, 0))
	if _, err := cluster.nodes[leader].localPermit(&wirepb.PermitRequest{Machine: "m"}); err == nil {
		t.Error("the leader grants permits from the buckets of an earlier term")
	}
	cluster.nodes[leader].permits.Store(held)

	// An unknown machine gets a refusal and not an error, which would make the router suspend
	// permit requests for all machines.
	cluster.eventually("a refusal for an unknown machine", func() bool {
		reply, err := cluster.nodes[leader].localPermit(&wirepb.PermitRequest{Machine: "unknown"})
		if reply.GetGranted() {
			t.Fatal("the leader grants a permit for an unknown machine")
		}
		return err == nil && reply.GetRetryAfterMs() > 0
	})

	cluster.cuts[leader].Store(true)
	cluster.eventually("a permit from another leader", func() bool {
		return cluster.nodes[follower].leads() && ask(follower, "m") || cluster.nodes[3-leader-follower].leads() && ask(3-leader-follower, "m")
	})
	if _, err := cluster.nodes[leader].localPermit(&wirepb.PermitRequest{Machine: "m"}); err == nil {
		t.Error("the previous leader still replies to permit requests")
	}
}

// TestSuspendedLeaderGrantsNoPermits checks that the lease expires while the machine is suspended.
func TestSuspendedLeaderGrantsNoPermits(t *testing.T) {
	cluster := startCluster(t)
	leader, _ := cluster.leaderAndFollower()
	cluster.declareWarming(leader, "m", 20)
	cluster.eventually("a reply", func() bool {
		_, err := cluster.nodes[leader].localPermit(&wirepb.PermitRequest{Machine: "m"})
		return err == nil
	})
	cluster.cuts[leader].Store(true)
	cluster.clocks[leader].suspend(time.Second)
	if _, err := cluster.nodes[leader].localPermit(&wirepb.PermitRequest{Machine: "m"}); err == nil {
		t.Error("a leader replies to permit requests after a suspend")
	}
}

// TestRoutersRequestPermitsOverTheFeed checks that permit replies arrive on the feed connection,
// and that a request fails without a leader.
func TestRoutersRequestPermitsOverTheFeed(t *testing.T) {
	cluster := startCluster(t)
	leader, follower := cluster.leaderAndFollower()
	cluster.declareWarming(leader, "m", 20)
	router := feed.NewClient([]string{cluster.addresses[follower]}, identityOf("router", 0), nodeview.New(), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	workers.Go(func() { router.Run(ctx) })
	request := &wirepb.PermitRequest{Machine: "m"}
	cluster.eventually("a permit", func() bool {
		reply, err := router.Permit(ctx, request)
		return err == nil && reply.GetGranted()
	})
	for position := range cluster.cuts {
		cluster.cuts[position].Store(true)
	}
	cluster.eventually("an error without a leader", func() bool {
		_, err := router.Permit(ctx, request)
		return err != nil
	})
}

// TestMachineThatStartsWarmingHasNoTokens checks that the token bucket of a machine starts empty,
// as it has received requests without permits until now.
func TestMachineThatStartsWarmingHasNoTokens(t *testing.T) {
	// filling exceeds the time to fill the bucket at one token per 100 s.
	const filling = 200 * time.Second
	cluster := &testCluster{t: t, addresses: []string{"127.0.0.1:1"}, cuts: []*atomic.Bool{{}}}
	node := cluster.newNodeWith(0, memoryStorage{}, silentEngines{})
	node.settings.Warming.Slack = 10
	cluster.nodes = []*Node{node}
	ctx, cancel := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	workers.Go(func() { _ = node.Run(ctx) })
	cluster.eventually("a leader with permits", func() bool { return node.leads() && node.permits.Load() != nil })
	cluster.clocks[0].suspend(filling)
	cluster.eventually("the lease after the suspend", node.leads)
	cluster.declareWarming(0, "m", 0.01)
	report := func(sequence uint64, remaining time.Duration, units int) {
		node.receiveInstanceReport(&wirepb.InstanceReport{
			Machine: "m", Pool: "p", Endpoint: "http://10.0.0.1:80", Zone: "z", Slots: 1, Sequence: sequence, WarmingMs: uint32(remaining.Milliseconds()),
		})
		cluster.eventually("the digest contains the report", func() bool {
			return len(node.Digest().GetRoster().GetMachines()) == 1 && len(node.Digest().GetMachineWarming()) == units
		})
	}
	report(1, 0, 0)
	report(2, time.Hour, 1)
	reply, err := node.localPermit(&wirepb.PermitRequest{Machine: "m"})
	if err != nil || reply.GetGranted() {
		t.Errorf("first permit request: got %v, %v, want a refusal", reply, err)
	}
}
