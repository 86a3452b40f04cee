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

// changingBackend serves changes that are added while it is watched.
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
	b.addObjects(1)
	b.mutex.Unlock()
	b.changed.Notify()
}

// TestChangesAreBatched guards against one message for each of many changes in quick succession.
func TestChangesAreBatched(t *testing.T) {
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
	batches, received := 0, uint64(0)
	for received < changes {
		envelope, err := conn.Receive()
		if err != nil {
			t.Fatal(err)
		}
		batch := envelope.GetWatchBatch()
		batches++
		for _, event := range batch.GetEvents() {
			if received++; event.GetObject().GetRevision() != received {
				t.Fatalf("change %d received at position %d", event.GetObject().GetRevision(), received)
			}
		}
	}
	if maxBatches := 2 + int(time.Since(started)/minBatchInterval); batches > maxBatches {
		t.Errorf("%d changes received in %d batches, want at most %d", changes, batches, maxBatches)
	}
}
