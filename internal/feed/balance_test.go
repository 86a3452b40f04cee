package feed

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/signal"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// digestBackend serves digests that grow, or one that stands still.
type digestBackend struct {
	listBackend
	mutex    sync.Mutex
	sequence uint64
	stands   bool
	changed  *signal.Broadcast
}

func (b *digestBackend) Digest() *wirepb.ClusterDigest {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return &wirepb.ClusterDigest{Term: 1, Sequence: b.sequence, Roster: &wirepb.Roster{}, RosterSequence: 1}
}
func (b *digestBackend) DigestChanged() <-chan struct{} { return b.changed.Wait() }
func (b *digestBackend) Changed() <-chan struct{}       { return b.changed.Wait() }

func (b *digestBackend) tick(sequence uint64) {
	b.mutex.Lock()
	if !b.stands {
		b.sequence = sequence
	}
	b.mutex.Unlock()
	b.changed.Notify()
}

// nullSink takes everything.
type nullSink struct{}

func (nullSink) Revision() uint64                  { return 1 }
func (nullSink) Apply(Changes)                     {}
func (nullSink) ApplyDigest(*wirepb.ClusterDigest) {}

func identityOf(name string) wire.Config {
	return wire.Config{Hello: &wirepb.Hello{ProtocolVersion: wire.ProtocolVersion, Cluster: "c", Node: name}}
}

// TestClientsMoveToTheirFirstChoice once that has shown a newer digest, and not to one that
// is cut off.
func TestClientsMoveToTheirFirstChoice(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	backends, addresses := map[string]*digestBackend{}, []string{}
	for number := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		backend := &digestBackend{changed: signal.New(), sequence: 1}
		server := NewServer(backend, identityOf("server-"+strconv.Itoa(number)), places.ZoneMap{}, slog.New(slog.DiscardHandler), nil)
		workers.Go(func() { _ = server.Serve(ctx, listener) })
		backends[listener.Addr().String()] = backend
		addresses = append(addresses, listener.Addr().String())
	}
	var order []string
	for _, server := range byPreference("client", places.Location{}, UpstreamsFromAddresses(addresses)) {
		order = append(order, server.Address)
	}
	backends[order[0]].stands = true
	client := NewClient([]string{order[2]}, identityOf("client"), nullSink{}, slog.New(slog.DiscardHandler))
	client.rebalanceAfter = time.Millisecond
	var known sync.Map
	client.SetDiscovery(func() []Upstream {
		if _, all := known.Load("all"); all {
			return UpstreamsFromAddresses(order)
		}
		return UpstreamsFromAddresses(order[1:])
	})
	workers.Go(func() { client.Run(ctx) })
	follows := func() string {
		client.mutex.Lock()
		defer client.mutex.Unlock()
		for address := range backends {
			if client.conn != nil && client.conn.RemoteAddress() == address {
				return address
			}
		}
		return ""
	}
	sequence := uint64(2)
	await := func(wanted string) {
		t.Helper()
		for follows() != wanted {
			if t.Context().Err() != nil {
				t.Fatal("stopped")
			}
			for _, backend := range backends {
				backend.tick(sequence)
			}
			sequence++
			time.Sleep(time.Millisecond)
		}
	}
	await(order[1])
	known.Store("all", true)
	for range 200 {
		for _, backend := range backends {
			backend.tick(sequence)
		}
		sequence++
		time.Sleep(time.Millisecond)
		if follows() == order[0] {
			t.Fatal("the client follows a server that hears from no leader")
		}
	}
	backends[order[0]].mutex.Lock()
	backends[order[0]].stands = false
	backends[order[0]].mutex.Unlock()
	await(order[0])
}

// TestProofOfAServerIsKept: a client that had changed to its first choice dropped the digest that
// had proved it, which the server sends once. It held none then, and took the digest of a server
// that was cut off for news.
func TestProofOfAServerIsKept(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	backend := &digestBackend{changed: signal.New(), sequence: 7}
	server := NewServer(backend, identityOf("server"), places.ZoneMap{}, slog.New(slog.DiscardHandler), nil)
	workers.Go(func() { _ = server.Serve(ctx, listener) })
	client := NewClient([]string{"127.0.0.1:1"}, identityOf("client"), nullSink{}, slog.New(slog.DiscardHandler))
	if _, ok := client.prove(ctx, listener.Addr().String()); ok {
		t.Fatal("a digest is taken for news by a client that holds none")
	}
	client.liveness.newest = &wirepb.ClusterDigest{Term: 1, Sequence: 6}
	proved, ok := client.prove(ctx, listener.Addr().String())
	if !ok {
		t.Fatal("a newer digest does not prove its server")
	}
	workers.Go(func() { client.follow(ctx, proved) })
	<-client.Connected()
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if newest := client.liveness.newest.GetSequence(); newest != 7 {
		t.Errorf("the client holds digest %d of a server that was proved by digest 7", newest)
	}
}

// TestCrowdedServersAreLeftToTheirFollowers: a zone with most of the nodes and one control node
// would load that one with all of them.
func TestCrowdedServersAreLeftToTheirFollowers(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	backend := &digestBackend{changed: signal.New(), sequence: 7}
	server := NewServer(backend, identityOf("server"), places.ZoneMap{}, slog.New(slog.DiscardHandler), nil)
	workers.Go(func() { _ = server.Serve(ctx, listener) })
	address := listener.Addr().String()
	follower, err := wire.Dial(ctx, address, identityOf("follower"))
	if err != nil {
		t.Fatal(err)
	}
	defer follower.Close()
	if _, err := follower.Receive(); err != nil {
		t.Fatal(err) // The server counts it once it has sent a digest.
	}
	client := NewClient([]string{address, "127.0.0.1:1", "127.0.0.1:2"}, identityOf("client"), nullSink{}, slog.New(slog.DiscardHandler))
	client.liveness.newest = &wirepb.ClusterDigest{Term: 1, Sequence: 6, Routers: 1}
	if _, proved := client.prove(ctx, address); !proved {
		t.Fatal("a server with its fair share is passed over")
	}
	second, err := wire.Dial(ctx, address, identityOf("second"))
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if _, err := second.Receive(); err != nil {
		t.Fatal(err)
	}
	if _, proved := client.prove(ctx, address); proved {
		t.Error("a server with more than twice its fair share takes another for nearness")
	}
	if connected, err := connectAny(ctx, UpstreamsFromAddresses([]string{address}), client.dial); err != nil {
		t.Error("a crowded server refuses a node that has no other")
	} else {
		connected.conn.Close()
	}
}

// zonedBackend serves a digest that names servers and their zones.
type zonedBackend struct {
	digestBackend
	roster *wirepb.Roster
}

func (b *zonedBackend) Digest() *wirepb.ClusterDigest {
	digest := b.digestBackend.Digest()
	digest.Roster = b.roster
	return digest
}

// digestSink holds nothing before it is sent a state, and remembers the digest.
type digestSink struct {
	recordingSink
	digest atomic.Pointer[wirepb.ClusterDigest]
}

func (s *digestSink) ApplyDigest(digest *wirepb.ClusterDigest) { s.digest.Store(digest) }

// TestNodesListAtANearServer: a node that knows a far server by its settings learns of a near one
// there, and is sent the state by that one only.
func TestNodesListAtANearServer(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	zones := places.NewZoneMap(map[string]string{"far": "r", "near": "r"})
	roster := &wirepb.Roster{}
	backends := map[string]*zonedBackend{}
	for _, zone := range []string{"far", "near"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		backends[zone] = &zonedBackend{digestBackend: digestBackend{changed: signal.New(), sequence: 1}, roster: roster}
		backends[zone].put(100)
		backends[zone].forget()
		roster.Control, roster.ControlZones = append(roster.Control, listener.Addr().String()), append(roster.ControlZones, zone)
		identity := identityOf(zone)
		identity.Hello.Zone = zone
		server := NewServer(backends[zone], identity, zones, slog.New(slog.DiscardHandler), nil)
		workers.Go(func() { _ = server.Serve(ctx, listener) })
	}
	sink := &digestSink{recordingSink: recordingSink{changed: signal.New()}}
	client := NewClient(roster.GetControl()[:1], identityOf("client"), sink, slog.New(slog.DiscardHandler))
	client.SetDiscovery(func() []Upstream { return UpstreamsFromRoster(sink.digest.Load().GetRoster()) })
	client.SetLocation(places.Location{Zone: "near", Zones: zones})
	workers.Go(func() { client.Run(ctx) })
	sink.await(t, "the state", func() bool { return sink.Revision() == 100 })
	if backends["far"].lists != 0 || backends["near"].lists == 0 {
		t.Errorf("the far server made %d lists, the near one %d", backends["far"].lists, backends["near"].lists)
	}
}
