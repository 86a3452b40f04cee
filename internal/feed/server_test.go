package feed

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/signal"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// changingBackend serves changes that come while it is watched.
type changingBackend struct {
	listBackend
	mutex   sync.Mutex
	changed *signal.Broadcast
}

func (b *changingBackend) ChangesAfter(revision uint64) Changes {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.listBackend.ChangesAfter(revision)
}

func (b *changingBackend) Changed() <-chan struct{} { return b.changed.Wait() }

func (b *changingBackend) change() {
	b.mutex.Lock()
	b.put(1)
	b.mutex.Unlock()
	b.changed.Notify()
}

// TestChangesInQuickSuccessionShareBatches: a leader's pass commits many changes, and a frame for
// each of them to each router would cost more than what it holds.
func TestChangesInQuickSuccessionShareBatches(t *testing.T) {
	const changes = 400
	ctx, cancel := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	backend := &changingBackend{changed: signal.New()}
	server := NewServer(backend, identityOf("server"), places.ZoneMap{}, slog.New(slog.DiscardHandler), nil)
	workers.Go(func() { _ = server.Serve(ctx, listener) })
	conn, err := wire.Dial(ctx, listener.Addr().String(), identityOf("client"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.Send(&wirepb.Envelope{Body: &wirepb.Envelope_WatchRequest{WatchRequest: &wirepb.WatchRequest{}}}); err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	workers.Go(func() {
		for range changes {
			backend.change()
			time.Sleep(100 * time.Microsecond)
		}
	})
	batches, held := 0, uint64(0)
	for held < changes {
		envelope, err := conn.Receive()
		if err != nil {
			t.Fatal(err)
		}
		batch := envelope.GetWatchBatch()
		batches++
		for _, event := range batch.GetEvents() {
			if held++; event.GetObject().GetRevision() != held {
				t.Fatalf("change %d came as number %d", event.GetObject().GetRevision(), held)
			}
		}
	}
	if allowed := 2 + int(time.Since(started)/changesGap); batches > allowed {
		t.Errorf("%d changes came in %d batches, in the time of %d", changes, batches, allowed)
	}
}
