package feed

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/signal"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestClientsSpreadOverServers: at a first start all 81 routers followed the one control node
// that was up first, and when it was cut off all of them moved on to the same next.
func TestClientsSpreadOverServers(t *testing.T) {
	const clients, servers = 300, 8
	addresses := make([]string, 0, servers)
	for number := range servers {
		addresses = append(addresses, "10."+strconv.Itoa(number)+".0.5:7400")
	}
	first, next := map[string]int{}, map[string]map[string]int{}
	for number := range clients {
		order := byPreference("node-"+strconv.Itoa(number), addresses)
		if len(order) != servers {
			t.Fatalf("%v", order)
		}
		first[order[0]]++
		if next[order[0]] == nil {
			next[order[0]] = map[string]int{}
		}
		next[order[0]][inTurn(order, order[0])[0]]++
	}
	for _, address := range addresses {
		if first[address] < clients/servers/2 || first[address] > 2*clients/servers {
			t.Errorf("%s is the first choice of %d clients of %d", address, first[address], clients)
		}
		if len(next[address]) < servers/2 {
			t.Errorf("the clients of %s move on to %v", address, next[address])
		}
	}
}

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

func (nullSink) Revision() uint64                 { return 1 }
func (nullSink) Apply(Changes)                    {}
func (nullSink) TakeDigest(*wirepb.ClusterDigest) {}

func identityOf(name string) wire.Identity {
	return wire.Identity{Hello: &wirepb.Hello{ProtocolVersion: wire.ProtocolVersion, Cluster: "c", Node: name}}
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
		server := NewServer(backend, identityOf("server-"+strconv.Itoa(number)), slog.New(slog.DiscardHandler), nil)
		workers.Go(func() { _ = server.Serve(ctx, listener) })
		backends[listener.Addr().String()] = backend
		addresses = append(addresses, listener.Addr().String())
	}
	order := byPreference("client", addresses)
	backends[order[0]].stands = true
	client := NewClient([]string{order[2]}, identityOf("client"), nullSink{}, slog.New(slog.DiscardHandler))
	client.rebalanceAfter = time.Millisecond
	var known sync.Map
	client.Discover(func() []string {
		if _, all := known.Load("all"); all {
			return order
		}
		return order[1:]
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
	server := NewServer(backend, identityOf("server"), slog.New(slog.DiscardHandler), nil)
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
