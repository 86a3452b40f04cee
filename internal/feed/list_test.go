package feed

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// listBackend holds objects and the changes since a revision.
type listBackend struct {
	objects   []*wirepb.WatchEvent
	events    []*wirepb.WatchEvent
	revision  uint64
	compacted uint64
	// lists counts how often the whole state was put together.
	lists int
}

func (b *listBackend) put(count int) {
	random := rand.New(rand.NewPCG(b.revision, 5))
	for range count {
		b.revision++
		spec := make([]byte, 100)
		for position := range spec {
			spec[position] = byte(random.Uint32())
		}
		event := &wirepb.WatchEvent{Object: &wirepb.Object{Kind: "Machine", Name: strconv.Itoa(int(b.revision)), Revision: b.revision, Spec: spec}}
		b.objects = append(b.objects, event)
		b.events = append(b.events, event)
	}
}

func (b *listBackend) forget() {
	b.compacted = b.revision
	b.events = nil
}

// ChangesAfter implements Backend.
func (b *listBackend) ChangesAfter(revision uint64) Changes {
	if revision < b.compacted {
		b.lists++
		return Changes{Events: b.objects, Revision: b.revision, Reset: true}
	}
	changes := Changes{Revision: b.revision}
	for _, event := range b.events {
		if event.GetObject().GetRevision() > revision {
			changes.Events = append(changes.Events, event)
		}
	}
	return changes
}

func (b *listBackend) Changed() <-chan struct{} { return nil }

func (b *listBackend) Digest() *wirepb.ClusterDigest { return nil }

func (b *listBackend) DigestChanged() <-chan struct{} { return nil }
func (b *listBackend) Report(...*wirepb.NodeReport)   {}
func (b *listBackend) Ready() bool                    { return true }

func (b *listBackend) Permit(context.Context, *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
	return nil, nil
}

func (b *listBackend) Status(context.Context, *wirepb.StatusRequest) (*wirepb.StatusReply, error) {
	return nil, nil
}

func (b *listBackend) Propose(context.Context, *wirepb.Command) (*wirepb.CommandResult, error) {
	return nil, nil
}

// TestListsAreMadeOnceForAll: after a restart of everything each of hundreds of routers had
// the whole state encoded anew. A list is used on while its changes since are kept, and few.
func TestListsAreMadeOnceForAll(t *testing.T) {
	backend, cache := &listBackend{}, &listCache{}
	backend.put(3000)
	backend.forget()
	get := func() uint64 {
		t.Helper()
		parts, revision, err := cache.get(backend)
		if err != nil {
			t.Fatal(err)
		}
		receiver := &listReceiver{}
		for position, part := range parts {
			listed, done, err := receiver.take(part)
			if err != nil || done != (position == len(parts)-1) {
				t.Fatalf("part %d of %d: done %t, %v", position, len(parts), done, err)
			}
			if !done {
				continue
			}
			if !listed.Reset || listed.Revision != revision || len(listed.Events) != int(revision) {
				t.Errorf("the list of revision %d has %d objects, revision %d", revision, len(listed.Events), listed.Revision)
			}
			if !proto.Equal(listed.Events[7], backend.objects[7]) {
				t.Errorf("an object came as %v", listed.Events[7])
			}
		}
		if len(parts) < 2 {
			t.Errorf("a list of 3,000 objects went out in one part")
		}
		return revision
	}
	for range 50 {
		if revision := get(); revision != 3000 {
			t.Errorf("a list of revision %d", revision)
		}
		backend.put(10)
	}
	if backend.lists != 1 {
		t.Errorf("the state was listed %d times", backend.lists)
	}
	backend.forget()
	if revision := get(); revision != 3500 || backend.lists != 2 {
		t.Errorf("a list whose changes are gone was used: revision %d, %d lists", revision, backend.lists)
	}
	backend.put(maxListLag + 1)
	if revision := get(); revision != backend.revision {
		t.Errorf("a list far behind was used: revision %d of %d", revision, backend.revision)
	}
}

// TestSpoiltListsAreRefused by a typed error, and a list that breaks off leaves nothing to
// the next.
func TestSpoiltListsAreRefused(t *testing.T) {
	receiver := &listReceiver{}
	if _, done, err := receiver.take(&wirepb.WatchListPart{Revision: 1, Content: []byte{0xff, 0xff, 1}}); done || !fault.Is(err, fault.Protocol) {
		t.Errorf("done %t, %v", done, err)
	}
	backend := &listBackend{}
	backend.put(10)
	parts, err := pack(backend.ChangesAfter(0))
	if err != nil {
		t.Fatal(err)
	}
	if _, done, err := receiver.take(&wirepb.WatchListPart{Revision: 9, More: true, Content: []byte{7}}); done || err != nil {
		t.Fatalf("done %t, %v", done, err)
	}
	if listed, done, err := receiver.take(parts[0]); !done || err != nil || len(listed.Events) != 10 {
		t.Errorf("after a list that broke off: %d objects, done %t, %v", len(listed.Events), done, err)
	}
}
