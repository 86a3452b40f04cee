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

// memoryStorage keeps nothing: no node of these tests restarts.
type memoryStorage struct{}

func (memoryStorage) Append(*wirepb.WalRecord) error                         { return nil }
func (memoryStorage) SaveSnapshot(*wirepb.Snapshot, *wirepb.WalRecord) error { return nil }

// outgoing carries the connections that one control node dials to another. Once
// cut, what the dialler sends is read and dropped, and what it is sent still
// arrives: a cut of one direction, with each side's connection standing.
type outgoing struct {
	listener net.Listener
	target   string
	cut      *atomic.Bool

	mutex sync.Mutex
	// open holds, for each connection, whether it has fallen silent: what the dialler sends
	// on it is dropped, while new connections work.
	open []*atomic.Bool
	// answers holds the same for what the dialler is sent.
	answers []*atomic.Bool
}

// silenceAnswers makes all connections that are open carry nothing back.
func (o *outgoing) silenceAnswers() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, silent := range o.answers {
		silent.Store(true)
	}
}

// silence makes all connections that are open fall silent.
func (o *outgoing) silence() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, silent := range o.open {
		silent.Store(true)
	}
}

func (o *outgoing) opened() (sent, answers *atomic.Bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	sent, answers = &atomic.Bool{}, &atomic.Bool{}
	o.open, o.answers = append(o.open, sent), append(o.answers, answers)
	return sent, answers
}

func (o *outgoing) serve() {
	for {
		dialled, err := o.listener.Accept()
		if err != nil {
			return
		}
		go o.carry(dialled)
	}
}

func (o *outgoing) carry(dialled net.Conn) {
	defer func() { _ = dialled.Close() }()
	reached, err := net.Dial("tcp", o.target)
	if err != nil {
		return
	}
	defer func() { _ = reached.Close() }()
	sent, answers := o.opened()
	go func() { _, _ = io.Copy(&droppingWriter{to: dialled, cut: &atomic.Bool{}, silent: answers}, reached) }()
	_, _ = io.Copy(&droppingWriter{to: reached, cut: o.cut, silent: sent}, dialled)
}

// droppingWriter passes bytes on until its direction is cut or its connection falls silent.
type droppingWriter struct {
	to          io.Writer
	cut, silent *atomic.Bool
}

func (w *droppingWriter) Write(sent []byte) (int, error) {
	if w.cut.Load() || w.silent.Load() {
		return len(sent), nil
	}
	return w.to.Write(sent)
}

// trio is three control nodes whose outgoing connections can be cut.
type trio struct {
	t         *testing.T
	nodes     []*Node
	addresses []string
	cuts      []*atomic.Bool
	// links are each node's connections to the others.
	links [][]*outgoing
	// clocks are the nodes' own.
	clocks []*sleepingClock
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

func startTrio(t *testing.T) *trio {
	t.Helper()
	const nodes = 3
	created := &trio{t: t}
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

func identityOf(name string, controlID uint64) wire.Identity {
	return wire.Identity{Hello: &wirepb.Hello{ProtocolVersion: wire.ProtocolVersion, Cluster: "test", Node: name, Zone: "z", ControlId: controlID}}
}

func (c *trio) newNode(position int) *Node {
	c.t.Helper()
	return c.newNodeWith(position, memoryStorage{}, nil)
}

func (c *trio) newNodeWith(position int, storage member.Storage, engines Engines) *Node {
	c.t.Helper()
	return c.newNodeRecovered(position, storage, member.Recovered{}, engines)
}

func (c *trio) newNodeRecovered(position int, storage member.Storage, recovered member.Recovered, engines Engines) *Node {
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

// clockOf is a node's clock, which runs on while its test lets the machine sleep.
func (c *trio) clockOf(position int) *sleepingClock {
	for len(c.clocks) <= position {
		c.clocks = append(c.clocks, &sleepingClock{})
	}
	return c.clocks[position]
}

// outgoingAddress is where a node dials another, through what can be cut.
func (c *trio) outgoingAddress(position int, target string) string {
	link := &outgoing{listener: listen(c.t), target: target, cut: c.cuts[position]}
	go link.serve()
	for len(c.links) <= position {
		c.links = append(c.links, nil)
	}
	c.links[position] = append(c.links[position], link)
	return link.listener.Addr().String()
}

// eventually asks until the answer is right. Its limit is many times what a right one takes.
func (c *trio) eventually(what string, try func() bool) {
	c.t.Helper()
	for range 1500 {
		if try() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("%s: never", what)
}

// leaderAndFollower waits until all nodes hold the same state under one leader.
func (c *trio) leaderAndFollower() (leader, follower int) {
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
	c.declareAgain(leader, c.nodes[leader].Revision()+1)
	c.eventually("the follower in step", func() bool {
		return c.nodes[follower].Revision() >= c.nodes[leader].Revision() && c.nodes[follower].Digest() != nil
	})
	return leader, follower
}

// declare makes the nodes accept a version, and returns the revision that holds it.
func (c *trio) declare(position int, version uint64) uint64 {
	c.t.Helper()
	if err := c.tryDeclare(position, version); err != nil {
		c.t.Fatal(err)
	}
	return c.nodes[position].Revision()
}

func (c *trio) tryDeclare(position int, version uint64) error {
	c.t.Helper()
	spec, err := json.Marshal(v1.DeclarationSpec{Version: version})
	if err != nil {
		c.t.Fatal(err)
	}
	declared := &wirepb.Object{Kind: string(v1.KindDeclaration), Name: state.DeclarationName, Spec: spec}
	command := &wirepb.DeclareCommand{Version: version, Document: spec, Objects: []*wirepb.Object{declared}}
	ctx, cancel := context.WithTimeout(c.t.Context(), declareTry)
	defer cancel()
	return c.nodes[position].Declare(ctx, command)
}

const (
	// declareTry bounds one try: a node without a leader waits for one as long as its caller does.
	declareTry = 2 * time.Second
	// declareLimit is many times what it takes to find connections silent and to make new ones.
	declareLimit = 15 * time.Second
)

// declareAgain declares a version at a node, as operators do, until it is acknowledged: a leader
// that is about to lose its term says that it does not know what came of a command. Any other
// refusal is wrong.
func (c *trio) declareAgain(position int, version uint64) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), declareLimit)
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
	c.t.Fatalf("no declaration is acknowledged at %s", c.nodes[position].settings.Node)
}

// expectAllInStep checks that each node has a declaration accepted, which takes its connections
// to the leader and the leader's to the others, and that all hold what was accepted.
func (c *trio) expectAllInStep(version uint64) {
	c.t.Helper()
	for position := range c.nodes {
		c.declareAgain(position, version+uint64(position))
	}
	accepted := uint64(0)
	for _, node := range c.nodes {
		accepted = max(accepted, node.Revision())
	}
	for _, node := range c.nodes {
		c.eventually(node.settings.Node+" in step", func() bool { return node.Revision() >= accepted })
	}
}

// versionsSentAhead is more than a leader sends ahead to a member that does not answer.
const versionsSentAhead = 2 * maxInflight

// TestRouterLeavesAControlNodeThatIsNotHeard: a control node that the leader does not hear gets
// the leader's digests and no entries. Routers took the digests for proof that it was up to date,
// and stayed with it: confirmed configurations were not in force there for as long as the cut
// lasted.
func TestRouterLeavesAControlNodeThatIsNotHeard(t *testing.T) {
	cluster := startTrio(t)
	leader, follower := cluster.leaderAndFollower()
	view := nodeview.New()
	router := feed.NewClient([]string{cluster.addresses[follower], cluster.addresses[leader]}, identityOf("router", 0), view, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	workers.Go(func() { router.Run(ctx) })
	cluster.eventually("the router in step", func() bool { return view.Revision() >= cluster.nodes[leader].Revision() })

	cluster.cuts[follower].Store(true)
	accepted := uint64(0)
	for version := range uint64(versionsSentAhead) {
		accepted = cluster.declare(leader, version+2)
	}
	cluster.eventually("the accepted configuration at the router", func() bool { return view.Revision() >= accepted })
}

// TestUnheardControlNodeAcknowledgesNoHeartbeats: what machines told a control node that the
// leader did not hear was acknowledged and lost, so that the leader took them to be gone while
// they had no reason to turn to another node.
func TestUnheardControlNodeAcknowledgesNoHeartbeats(t *testing.T) {
	cluster := startTrio(t)
	_, follower := cluster.leaderAndFollower()
	heartbeat := func() error {
		return cluster.nodes[follower].Heartbeat(t.Context(), &wirepb.InstanceReport{Machine: "m", Sequence: 1})
	}
	cluster.eventually("an acknowledged heartbeat", func() bool { return heartbeat() == nil })
	cluster.cuts[follower].Store(true)
	cluster.eventually("a heartbeat that is not acknowledged", func() bool { return heartbeat() != nil })
}

// TestSilentConnectionsBetweenControlNodesAreReplaced: connections may stop carrying anything
// without a reset, while new ones work. A control node stayed behind for as long as TCP took its
// connection to be sound.
func TestSilentConnectionsBetweenControlNodesAreReplaced(t *testing.T) {
	cluster := startTrio(t)
	leader, follower := cluster.leaderAndFollower()
	for _, link := range cluster.links[follower] {
		link.silence()
	}
	for version := range uint64(versionsSentAhead) {
		cluster.declareAgain(leader, version+2)
	}
	cluster.expectAllInStep(versionsSentAhead + 2)

	// The same in the other direction: the leader's connection to one follower, which it goes on
	// leading without.
	leader, follower = cluster.leaderAndFollower()
	cluster.links[leader][follower].silence()
	cluster.expectAllInStep(4 * versionsSentAhead)

	// All of the leader's connections. It may lose its term by that, and with it what it was told
	// meanwhile.
	leader, _ = cluster.leaderAndFollower()
	for _, link := range cluster.links[leader] {
		link.silence()
	}
	cluster.expectAllInStep(10 * versionsSentAhead)
}

// TestConnectionsWithoutAnswersAreReplaced: where only answers are lost, the leader hears a follower
// and the follower gets the log, on a connection of the leader's. No call passed on to the leader was
// answered, for as long as TCP took the connection to be sound.
func TestConnectionsWithoutAnswersAreReplaced(t *testing.T) {
	cluster := startTrio(t)
	leader, follower := cluster.leaderAndFollower()
	cluster.declareAgain(follower, versionsSentAhead)
	cluster.links[follower][leader].silenceAnswers()
	cluster.declareAgain(follower, versionsSentAhead+1)
}
