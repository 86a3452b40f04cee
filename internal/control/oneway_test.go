package control

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/member"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/settings"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// memoryStorage discards everything, since no node of these tests restarts.
type memoryStorage struct{}

func (memoryStorage) Append(*wirepb.WalRecord) error                         { return nil }
func (memoryStorage) SaveSnapshot(*wirepb.Snapshot, *wirepb.WalRecord) error { return nil }

// outgoingProxy carries the connections that one control node dials to another. Once cut, it drops
// what the dialer sends, still delivers what the dialer receives, and keeps the connections open.
type outgoingProxy struct {
	listener net.Listener
	target   string
	cut      *atomic.Bool

	mutex sync.Mutex
	// requests holds, for each connection, whether what the dialer sends is dropped; new
	// connections work.
	requests []*atomic.Bool
	// replies holds the same for what the dialer receives.
	replies []*atomic.Bool
}

// dropReplies drops what the dialer receives on the open connections.
func (o *outgoingProxy) dropReplies() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, dropped := range o.replies {
		dropped.Store(true)
	}
}

// dropRequests drops what the dialer sends on the open connections.
func (o *outgoingProxy) dropRequests() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, dropped := range o.requests {
		dropped.Store(true)
	}
}

func (o *outgoingProxy) opened() (requests, replies *atomic.Bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	requests, replies = &atomic.Bool{}, &atomic.Bool{}
	o.requests, o.replies = append(o.requests, requests), append(o.replies, replies)
	return requests, replies
}

func (o *outgoingProxy) serve() {
	for {
		conn, err := o.listener.Accept()
		if err != nil {
			return
		}
		go o.carry(conn)
	}
}

func (o *outgoingProxy) carry(dialer net.Conn) {
	defer func() { _ = dialer.Close() }()
	target, err := net.Dial("tcp", o.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	requests, replies := o.opened()
	go func() { _, _ = io.Copy(&droppingWriter{to: dialer, cut: &atomic.Bool{}, dropped: replies}, target) }()
	_, _ = io.Copy(&droppingWriter{to: target, cut: o.cut, dropped: requests}, dialer)
}

// droppingWriter discards what it is given while its direction is cut or its connection drops
// traffic.
type droppingWriter struct {
	to           io.Writer
	cut, dropped *atomic.Bool
}

func (w *droppingWriter) Write(sent []byte) (int, error) {
	if w.cut.Load() || w.dropped.Load() {
		return len(sent), nil
	}
	return w.to.Write(sent)
}

// testCluster runs control nodes whose outgoing connections can be cut.
type testCluster struct {
	t         *testing.T
	nodes     []*Node
	addresses []string
	cuts      []*atomic.Bool
	// links holds each node's connections to the others.
	links  [][]*outgoingProxy
	clocks []*suspendClock
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func startCluster(t *testing.T) *testCluster {
	t.Helper()
	const nodes = 3
	created := &testCluster{t: t}
	listeners := make([]net.Listener, 0, nodes)
	for range nodes {
		listener := listen(t)
		listeners = append(listeners, listener)
		created.addresses = append(created.addresses, listener.Addr().String())
		created.cuts = append(created.cuts, &atomic.Bool{})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		workers.Wait()
	})
	for position := range nodes {
		node := created.newNode(position)
		created.nodes = append(created.nodes, node)
		workers.Go(func() { _ = node.NewServer().Serve(ctx, listeners[position]) })
		workers.Go(func() { _ = node.Run(ctx) })
	}
	return created
}

func identityOf(name string, controlID uint64) wire.Config {
	return wire.Config{Hello: &wirepb.Hello{ProtocolVersion: wire.ProtocolVersion, Cluster: "test", Node: name, Zone: "z", ControlId: controlID}}
}

func (c *testCluster) newNode(position int) *Node {
	c.t.Helper()
	return c.newNodeWith(position, memoryStorage{}, nil)
}

func (c *testCluster) newNodeWith(position int, storage member.Storage, engines Engines) *Node {
	c.t.Helper()
	return c.newNodeRecovered(position, storage, member.Recovered{}, engines)
}

func (c *testCluster) newNodeRecovered(position int, storage member.Storage, recovered member.Recovered, engines Engines) *Node {
	c.t.Helper()
	name, id := "control-"+strconv.Itoa(position), uint64(position+1)
	configuration := &settings.Settings{
		Cluster: "test", Node: name, Zone: "z", Zones: map[string]string{"z": "region"}, Roles: []settings.Role{settings.RoleControl}, DataDir: c.t.TempDir(),
		Admin: "127.0.0.1:0", LogLevel: "error", Policy: settings.PolicySettings{Name: "resident"},
		Machines: settings.MachineSettings{HeartbeatInterval: 10 * time.Second, OrderLease: time.Second},
		Control: settings.ControlSettings{
			ID: id, API: "127.0.0.1:0", ElectionTimeout: 300 * time.Millisecond,
			HeartbeatInterval: 50 * time.Millisecond, LeaseMargin: 50 * time.Millisecond,
		},
	}
	for other, address := range c.addresses {
		configuration.Control.Members = append(configuration.Control.Members, settings.Member{
			ID: uint64(other + 1), Address: c.outgoingAddress(position, address),
		})
	}
	if err := configuration.Complete(); err != nil {
		c.t.Fatal(err)
	}
	node, err := New(Options{
		Settings: configuration, Logger: slog.New(slog.DiscardHandler), Storage: storage, Recovered: recovered,
		ID: id, Engines: engines, Metrics: NewMetrics(prometheus.NewRegistry()), Self: identityOf(name, id), Seeds: func() []string { return nil },
		Clock: c.clockOf(position).now,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return node
}

func (c *testCluster) clockOf(position int) *suspendClock {
	for len(c.clocks) <= position {
		c.clocks = append(c.clocks, &suspendClock{})
	}
	return c.clocks[position]
}

// outgoingAddress returns the address of a proxy by which a node dials another.
func (c *testCluster) outgoingAddress(position int, target string) string {
	link := &outgoingProxy{listener: listen(c.t), target: target, cut: c.cuts[position]}
	go link.serve()
	for len(c.links) <= position {
		c.links = append(c.links, nil)
	}
	c.links[position] = append(c.links[position], link)
	return link.listener.Addr().String()
}

// eventually retries until try returns true, and fails the test after 15 s.
func (c *testCluster) eventually(what string, try func() bool) {
	c.t.Helper()
	for range 1500 {
		if try() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("timed out waiting for: %s", what)
}

// leaderAndFollower waits for a leader and a follower that has applied the same state.
func (c *testCluster) leaderAndFollower() (leader, follower int) {
	c.t.Helper()
	leader = -1
	c.eventually("a leader", func() bool {
		for position, node := range c.nodes {
			if node.leads() && node.Digest() != nil {
				leader = position
			}
		}
		return leader >= 0
	})
	follower = (leader + 1) % len(c.nodes)
	c.declareUntilAcknowledged(leader, c.nodes[leader].Revision()+1)
	c.eventually("the follower has caught up", func() bool {
		return c.nodes[follower].Revision() >= c.nodes[leader].Revision() && c.nodes[follower].Digest() != nil
	})
	return leader, follower
}

// declare declares a version and returns the revision that contains it.
func (c *testCluster) declare(position int, version uint64) uint64 {
	c.t.Helper()
	if err := c.tryDeclare(position, version); err != nil {
		c.t.Fatal(err)
	}
	return c.nodes[position].Revision()
}

func (c *testCluster) tryDeclare(position int, version uint64) error {
	c.t.Helper()
	spec, err := json.Marshal(v1.DeclarationSpec{Version: version})
	if err != nil {
		c.t.Fatal(err)
	}
	declared := &wirepb.Object{Kind: string(v1.KindDeclaration), Name: state.DeclarationName, Spec: spec}
	command := &wirepb.DeclareCommand{Version: version, Document: spec, Objects: []*wirepb.Object{declared}}
	ctx, cancel := context.WithTimeout(c.t.Context(), declareAttemptTimeout)
	defer cancel()
	return c.nodes[position].Declare(ctx, command)
}

const (
	// declareAttemptTimeout bounds an attempt: a node without a leader waits for one until its
	// caller gives up.
	declareAttemptTimeout = 2 * time.Second
	// declareTimeout leaves time to detect broken connections and to replace them.
	declareTimeout = 15 * time.Second
)

// declareUntilAcknowledged declares a version at a node until it is acknowledged, since an attempt
// may fail when leadership changes. Any other error fails the test.
func (c *testCluster) declareUntilAcknowledged(position int, version uint64) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), declareTimeout)
	defer cancel()
	for ctx.Err() == nil {
		err := c.tryDeclare(position, version)
		if err == nil {
			return
		}
		if !fault.Is(err, fault.Unavailable) && !fault.Is(err, fault.Deadline) {
			c.t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("no declaration was acknowledged at %s", c.nodes[position].settings.Node)
}

// expectAllCaughtUp checks that every node can declare a version, which uses its connections to the
// leader, and that all nodes apply what was declared.
func (c *testCluster) expectAllCaughtUp(version uint64) {
	c.t.Helper()
	for position := range c.nodes {
		c.declareUntilAcknowledged(position, version+uint64(position))
	}
	accepted := uint64(0)
	for _, node := range c.nodes {
		accepted = max(accepted, node.Revision())
	}
	for _, node := range c.nodes {
		c.eventually(node.settings.Node+" has caught up", func() bool { return node.Revision() >= accepted })
	}
}

// pipelineOverrun is more entries than a leader sends to a member that does not acknowledge.
const pipelineOverrun = 2 * maxInflight

// TestRouterLeavesIsolatedControlNode checks that a router leaves a control node that receives
// digests while its own messages do not reach the leader, so that it gets no log entries.
func TestRouterLeavesIsolatedControlNode(t *testing.T) {
	cluster := startCluster(t)
	leader, follower := cluster.leaderAndFollower()
	view := nodeview.New()
	router := feed.NewClient([]string{cluster.addresses[follower], cluster.addresses[leader]}, identityOf("router", 0), view, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	workers.Go(func() { router.Run(ctx) })
	cluster.eventually("the router has caught up", func() bool { return view.Revision() >= cluster.nodes[leader].Revision() })

	cluster.cuts[follower].Store(true)
	accepted := uint64(0)
	for version := range uint64(pipelineOverrun) {
		accepted = cluster.declare(leader, version+2)
	}
	cluster.eventually("the router has the declared configuration", func() bool { return view.Revision() >= accepted })
}

// TestIsolatedControlNodeRejectsHeartbeats checks that a control node whose messages do not reach
// the leader acknowledges no heartbeats, which would be lost.
func TestIsolatedControlNodeRejectsHeartbeats(t *testing.T) {
	cluster := startCluster(t)
	_, follower := cluster.leaderAndFollower()
	heartbeat := func() error {
		return cluster.nodes[follower].Heartbeat(t.Context(), &wirepb.InstanceReport{Machine: "m", Sequence: 1})
	}
	cluster.eventually("an acknowledged heartbeat", func() bool { return heartbeat() == nil })
	cluster.cuts[follower].Store(true)
	cluster.eventually("a rejected heartbeat", func() bool { return heartbeat() != nil })
}

// TestBrokenConnectionsAreReplaced checks that connections which stop carrying data without a reset
// are replaced.
func TestBrokenConnectionsAreReplaced(t *testing.T) {
	cluster := startCluster(t)
	leader, follower := cluster.leaderAndFollower()
	for _, link := range cluster.links[follower] {
		link.dropRequests()
	}
	for version := range uint64(pipelineOverrun) {
		cluster.declareUntilAcknowledged(leader, version+2)
	}
	cluster.expectAllCaughtUp(pipelineOverrun + 2)

	// The leader's connection to one follower, without which it keeps its quorum.
	leader, follower = cluster.leaderAndFollower()
	cluster.links[leader][follower].dropRequests()
	cluster.expectAllCaughtUp(4 * pipelineOverrun)

	// All connections of the leader, which may lose its term and uncommitted entries.
	leader, _ = cluster.leaderAndFollower()
	for _, link := range cluster.links[leader] {
		link.dropRequests()
	}
	cluster.expectAllCaughtUp(10 * pipelineOverrun)
}

// TestConnectionsThatLoseRepliesAreReplaced checks that a connection that loses only replies is
// replaced, although raft messages still reach both nodes.
func TestConnectionsThatLoseRepliesAreReplaced(t *testing.T) {
	cluster := startCluster(t)
	leader, follower := cluster.leaderAndFollower()
	cluster.declareUntilAcknowledged(follower, pipelineOverrun)
	cluster.links[follower][leader].dropReplies()
	cluster.declareUntilAcknowledged(follower, pipelineOverrun+1)
}
