package feed

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/signal"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// permitBackend permits requests to one machine.
type permitBackend struct {
	digestBackend
	permitted string
}

func (b *permitBackend) Permit(_ context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
	if request.GetMachine() != b.permitted {
		return nil, fault.Unavailable.New("there is no leader")
	}
	return &wirepb.PermitReply{Granted: true}, nil
}

// TestPermitsPassRelays: a router behind a relay gets its permits from the same leader, and no
// permit where the leader could not be asked.
func TestPermitsPassRelays(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	serve := func(name string, backend Backend) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := NewServer(backend, identityOf(name), places.Map{}, slog.New(slog.DiscardHandler), nil)
		workers.Go(func() { _ = server.Serve(ctx, listener) })
		return listener.Addr().String()
	}
	backend := &permitBackend{digestBackend: digestBackend{changed: signal.New(), sequence: 1}, permitted: "m"}
	relay := NewCache()
	relay.Attach(NewClient([]string{serve("control", backend)}, identityOf("relay"), relay, slog.New(slog.DiscardHandler)))
	workers.Go(func() { relay.Run(ctx) })
	router := NewClient([]string{serve("relay", relay)}, identityOf("router"), nullSink{}, slog.New(slog.DiscardHandler))
	workers.Go(func() { router.Run(ctx) })
	for {
		reply, err := router.Permit(ctx, &wirepb.PermitRequest{Machine: "m"})
		if err == nil && reply.GetGranted() {
			break
		}
		if t.Context().Err() != nil {
			t.Fatal("no permit")
		}
		time.Sleep(time.Millisecond)
	}
	if reply, err := router.Permit(ctx, &wirepb.PermitRequest{Machine: "another"}); err == nil {
		t.Errorf("without a leader the answer is %v", reply)
	}
}
