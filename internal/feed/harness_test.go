package feed

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"

	"github.com/weldline/weldline/internal/places"
)

// testEnvironment runs workers until the end of a test.
type testEnvironment struct {
	t       *testing.T
	ctx     context.Context
	workers sync.WaitGroup
}

func newTestEnvironment(t *testing.T) *testEnvironment {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	env := &testEnvironment{t: t, ctx: ctx}
	t.Cleanup(func() {
		cancel()
		env.workers.Wait()
	})
	return env
}

// start runs a function until the end of the test.
func (e *testEnvironment) start(work func(ctx context.Context)) {
	e.workers.Go(func() { work(e.ctx) })
}

// startServer serves a backend and returns the address.
func (e *testEnvironment) startServer(name string, backend Backend) (address string) {
	e.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		e.t.Fatal(err)
	}
	server := NewServer(backend, identityOf(name), places.ZoneMap{}, slog.New(slog.DiscardHandler), nil)
	e.start(func(ctx context.Context) { _ = server.Serve(ctx, listener) })
	return listener.Addr().String()
}

// newTestClient returns a client that has not been started.
func newTestClient(name, address string, sink Sink) *Client {
	return NewClient([]string{address}, identityOf(name), sink, slog.New(slog.DiscardHandler))
}

func (e *testEnvironment) startRelay(address string) *Cache {
	relay := NewCache()
	relay.SetClient(newTestClient("relay", address, relay))
	e.start(relay.Run)
	return relay
}
