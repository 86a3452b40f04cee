package feed

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"

	"github.com/weldline/weldline/internal/places"
)

// running is what runs for a test, and ends with it.
type running struct {
	t       *testing.T
	ctx     context.Context
	workers sync.WaitGroup
}

func newRunning(t *testing.T) *running {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	created := &running{t: t, ctx: ctx}
	t.Cleanup(func() {
		cancel()
		created.workers.Wait()
	})
	return created
}

// run runs something until the test ends.
func (r *running) run(work func(ctx context.Context)) {
	r.workers.Go(func() { work(r.ctx) })
}

// serve serves a backend under a name, and returns where.
func (r *running) serve(name string, backend Backend) (address string) {
	r.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	server := NewServer(backend, identityOf(name), places.ZoneMap{}, slog.New(slog.DiscardHandler), nil)
	r.run(func(ctx context.Context) { _ = server.Serve(ctx, listener) })
	return listener.Addr().String()
}

// client returns a client of a server, which does not run yet.
func client(name, address string, sink Sink) *Client {
	return NewClient([]string{address}, identityOf(name), sink, slog.New(slog.DiscardHandler))
}

// relay runs a relay behind a server.
func (r *running) relay(address string) *Cache {
	relay := NewCache()
	relay.SetClient(client("relay", address, relay))
	r.run(relay.Run)
	return relay
}
