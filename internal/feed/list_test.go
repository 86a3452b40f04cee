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

// listBackend serves objects and the changes after the compacted revision.
type listBackend struct {
	objects   []*wirepb.WatchEvent
	events    []*wirepb.WatchEvent
	revision  uint64
	compacted uint64
	// listCount is the number of times the whole state was requested.
	listCount int
}

func (b *listBackend) addObjects(count int) {
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

func (b *listBackend) compact() {
	b.compacted = b.revision
	b.events = nil
}

func (b *listBackend) ChangesAfter(revision uint64) Changes {
	if revision < b.compacted {
		b.listCount++
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

// TestListCacheReusesLists guards against encoding the whole state for each of many watchers. A cached
// list is reused while the later changes are available and few.
func TestListCacheReusesLists(t *testing.T) {
	backend, cache := &listBackend{}, &listCache{}
	backend.addObjects(3000)
	backend.compact()
	fetch := func() uint64 {
		t.Helper()
		parts, revision, err := cache.get(backend)
		if err != nil {
			t.Fatal(err)
		}
		decoder := &listDecoder{}
		for position, part := range parts {
			changes, done, err := decoder.add(part)
			if err != nil || done != (position == len(parts)-1) {
				t.Fatalf("part %d of %d: done %t, %v", position, len(parts), done, err)
			}
			if !done {
				continue
			}
			if !changes.Reset || changes.Revision != revision || len(changes.Events) != int(revision) {
				t.Errorf("list of revision %d decoded to %d objects at revision %d", revision, len(changes.Events), changes.Revision)
			}
			if !proto.Equal(changes.Events[7], backend.objects[7]) {
				t.Errorf("decoded object differs: %v", changes.Events[7])
			}
		}
		if len(parts) < 2 {
			t.Errorf("a list of 3,000 objects was not split into parts")
		}
		return revision
	}
	for range 50 {
		if revision := fetch(); revision != 3000 {
			t.Errorf("list has revision %d, want 3000", revision)
		}
		backend.addObjects(10)
	}
	if backend.listCount != 1 {
		t.Errorf("the whole state was requested %d times, want 1", backend.listCount)
	}
	backend.compact()
	if revision := fetch(); revision != 3500 || backend.listCount != 2 {
		t.Errorf("used a list whose later changes are unavailable: revision %d, %d lists", revision, backend.listCount)
	}
	backend.addObjects(maxCachedListLag + 1)
	if revision := fetch(); revision != backend.revision {
		t.Errorf("used a list that is too far behind: revision %d of %d", revision, backend.revision)
	}
}

// TestListDecoderRejectsCorruptLists checks the type of the error, and that an incomplete list does
// not affect the next one.
func TestListDecoderRejectsCorruptLists(t *testing.T) {
	decoder := &listDecoder{}
	if _, done, err := decoder.add(&wirepb.WatchListPart{Revision: 1, Content: []byte{0xff, 0xff, 1}}); done || !fault.Is(err, fault.Protocol) {
		t.Errorf("done %t, %v", done, err)
	}
	backend := &listBackend{}
	backend.addObjects(10)
	parts, err := encodeList(backend.ChangesAfter(0))
	if err != nil {
		t.Fatal(err)
	}
	if _, done, err := decoder.add(&wirepb.WatchListPart{Revision: 9, More: true, Content: []byte{7}}); done || err != nil {
		t.Fatalf("done %t, %v", done, err)
	}
	if changes, done, err := decoder.add(parts[0]); !done || err != nil || len(changes.Events) != 10 {
		t.Errorf("after an incomplete list: %d objects, done %t, %v", len(changes.Events), done, err)
	}
}
