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

// digestBackend serves digests whose sequence advances unless it is frozen.
type digestBackend struct {
	listBackend
	mutex    sync.Mutex
	sequence uint64
	isFrozen bool
	changed  *signal.Broadcast
}

func (b *digestBackend) Digest() *wirepb.ClusterDigest {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return &wirepb.ClusterDigest{Term: 1, Sequence: b.sequence, Roster: &wirepb.Roster{}, RosterSequence: 1}
}
func (b *digestBackend) DigestChanged() <-chan struct{} { return b.changed.Wait() }
func (b *digestBackend) Changed() <-chan struct{}       { return b.changed.Wait() }

func (b *digestBackend) advance(sequence uint64) {
	b.mutex.Lock()
	if !b.isFrozen {
		b.sequence = sequence
	}
	b.mutex.Unlock()
	b.changed.Notify()
}

// nullSink ignores everything it receives.
type nullSink struct{}

func (nullSink) Revision() uint64                  { return 1 }
func (nullSink) Apply(Changes)                     {}
func (nullSink) ApplyDigest(*wirepb.ClusterDigest) {}

func identityOf(name string) wire.Config {
	return wire.Config{Hello: &wirepb.Hello{ProtocolVersion: wire.ProtocolVersion, Cluster: "c", Node: name}}
}

// TestRebalanceToFirstChoice checks that a client moves to its preferred server only once that server
// sends newer digests.
func TestRebalanceToFirstChoice(t *testing.T) {
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
	backends[order[0]].isFrozen = true
	client := NewClient([]string{order[2]}, identityOf("client"), nullSink{}, slog.New(slog.DiscardHandler))
	client.rebalanceInterval = time.Millisecond
	var known sync.Map
	client.SetDiscovery(func() []Upstream {
		if _, all := known.Load("all"); all {
			return UpstreamsFromAddresses(order)
		}
		return UpstreamsFromAddresses(order[1:])
	})
	workers.Go(func() { client.Run(ctx) })
	followedAddress := func() string {
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
	await := func(expected string) {
		t.Helper()
		for followedAddress() != expected {
			if t.Context().Err() != nil {
				t.Fatal("the client did not switch to the expected server before the test ended")
			}
			for _, backend := range backends {
				backend.advance(sequence)
			}
			sequence++
			time.Sleep(time.Millisecond)
		}
	}
	await(order[1])
	known.Store("all", true)
	for range 200 {
		for _, backend := range backends {
			backend.advance(sequence)
		}
		sequence++
		time.Sleep(time.Millisecond)
		if followedAddress() == order[0] {
			t.Fatal("the client follows a server whose digests do not advance")
		}
	}
	backends[order[0]].mutex.Lock()
	backends[order[0]].isFrozen = false
	backends[order[0]].mutex.Unlock()
	await(order[0])
}

// TestProbeDigestIsKept guards against dropping the digest received during a probe. The server does
// not repeat it, so the client would accept older digests of other servers.
func TestProbeDigestIsKept(t *testing.T) {
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
	if _, ok := client.probe(ctx, listener.Addr().String()); ok {
		t.Fatal("probe succeeded without a digest to compare with")
	}
	client.liveness.newest = &wirepb.ClusterDigest{Term: 1, Sequence: 6}
	probed, ok := client.probe(ctx, listener.Addr().String())
	if !ok {
		t.Fatal("probe failed despite a newer digest")
	}
	workers.Go(func() { client.follow(ctx, probed) })
	<-client.Connected()
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if newest := client.liveness.newest.GetSequence(); newest != 7 {
		t.Errorf("newest digest has sequence %d, want 7", newest)
	}
}

// TestProbeSkipsOverloadedServers guards against all nodes of a large zone moving to its only control
// node.
func TestProbeSkipsOverloadedServers(t *testing.T) {
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
		t.Fatal(err) // The follower is counted once it has received a digest.
	}
	client := NewClient([]string{address, "127.0.0.1:1", "127.0.0.1:2"}, identityOf("client"), nullSink{}, slog.New(slog.DiscardHandler))
	client.liveness.newest = &wirepb.ClusterDigest{Term: 1, Sequence: 6, Routers: 1}
	if _, ok := client.probe(ctx, address); !ok {
		t.Fatal("probe rejected a server with its fair share of followers")
	}
	second, err := wire.Dial(ctx, address, identityOf("second"))
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if _, err := second.Receive(); err != nil {
		t.Fatal(err)
	}
	if _, ok := client.probe(ctx, address); ok {
		t.Error("probe accepted a server with twice its fair share of followers")
	}
	if connected, err := connectAny(ctx, UpstreamsFromAddresses([]string{address}), client.dial); err != nil {
		t.Error("an overloaded server refused a node that has no other server")
	} else {
		connected.conn.Close()
	}
}

// rosterBackend serves digests with a roster of servers and their zones.
type rosterBackend struct {
	digestBackend
	roster *wirepb.Roster
}

func (b *rosterBackend) Digest() *wirepb.ClusterDigest {
	digest := b.digestBackend.Digest()
	digest.Roster = b.roster
	return digest
}

// digestSink is a recordingSink that also keeps the last digest.
type digestSink struct {
	recordingSink
	digest atomic.Pointer[wirepb.ClusterDigest]
}

func (s *digestSink) ApplyDigest(digest *wirepb.ClusterDigest) { s.digest.Store(digest) }

// TestListFromNearServer checks that a node that starts with a distant server requests its list from a
// near one named in the first digest.
func TestListFromNearServer(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	zones := places.NewZoneMap(map[string]string{"far": "r", "near": "r"})
	roster := &wirepb.Roster{}
	backends := map[string]*rosterBackend{}
	for _, zone := range []string{"far", "near"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		backends[zone] = &rosterBackend{digestBackend: digestBackend{changed: signal.New(), sequence: 1}, roster: roster}
		backends[zone].addObjects(100)
		backends[zone].compact()
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
	if backends["far"].listCount != 0 || backends["near"].listCount == 0 {
		t.Errorf("%d lists by the distant server, %d by the near one", backends["far"].listCount, backends["near"].listCount)
	}
}
