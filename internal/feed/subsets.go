package feed

import (
	"context"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/subset"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// minRevisionInterval limits the messages that only advance the revision of a watcher, since most
// changes don't concern it. It must be well below catchUpTimeout.
const minRevisionInterval = 300 * time.Millisecond

// subsetSource selects the state for watchers of a subset of the machines and replicas; see package
// subset.
type subsetSource struct {
	backend Backend
	zones   places.ZoneMap

	mutex sync.Mutex
	index *subset.Index
	// roster indexes the roster of the newest digest.
	roster rosterIndex
	// lists holds the initial list of each zone, which all its watchers share.
	lists map[string]*subsetList
	// examinedEvents counts the events filtered for watchers; it is used by tests.
	examinedEvents int
}

// subsetList is the initial list for the watchers of one zone.
type subsetList struct {
	revision uint64
	parts    []*wirepb.WatchListPart
	// subset is the initial subset of a watcher that receives the list.
	subset *subset.Subset
}

func newSubsetSource(backend Backend, zones places.ZoneMap) *subsetSource {
	return &subsetSource{backend: backend, zones: zones, index: subset.NewIndex(zones), lists: map[string]*subsetList{}}
}

// catchUp applies new changes to the index and returns the changes after a revision; the mutex must be
// held.
func (s *subsetSource) catchUp(after uint64) Changes {
	indexed := s.index.Revision()
	changes := s.backend.ChangesAfter(min(after, indexed))
	if changes.Reset && after < indexed {
		return changes // Resetting the index would force all other watchers to list again.
	}
	if changes.Reset {
		s.index.Apply(changes.Events, changes.Revision, true)
		clear(s.lists)
		return changes
	}
	s.index.Apply(state.NewerEvents(changes.Events, indexed), changes.Revision, false)
	changes.Events = state.NewerEvents(changes.Events, after)
	return changes
}

// list returns a list for a watcher of a zone, at minRevision or later. It returns nil while the
// backend is behind minRevision.
func (s *subsetSource) list(zone string, minRevision uint64) (*subsetList, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if cached := s.lists[zone]; cached != nil && cached.revision >= minRevision {
		changes := s.catchUp(cached.revision)
		if !changes.Reset && len(changes.Events) <= maxCachedListLag {
			return cached, nil
		}
	}
	full := s.backend.ChangesAfter(0)
	if full.Revision < minRevision {
		return nil, nil
	}
	s.catchUp(full.Revision)
	selected := s.index.Subset(places.Location{Zones: s.zones, Zone: zone})
	events := append(subset.Common(full.Events), selected.Update()...)
	parts, err := encodeList(Changes{Events: events, Revision: full.Revision})
	if err != nil {
		return nil, err
	}
	created := &subsetList{revision: full.Revision, parts: parts, subset: selected}
	s.lists[zone] = created
	return created, nil
}

// subsetSession tracks the subset known to one watcher.
type subsetSession struct {
	source *subsetSource
	zone   string
	// widened is signaled when demand has added replicas to the subset.
	widened chan struct{}
	// subset is nil before the first list; it is guarded by source.mutex.
	subset       *subset.Subset
	digestFilter digestFilter
}

func (s *subsetSource) newSession(node, zone string) *subsetSession {
	location := places.Location{Zones: s.zones, Zone: zone}
	return &subsetSession{source: s, zone: zone, widened: make(chan struct{}, 1), digestFilter: digestFilter{
		selectRouters: func(all []*wirepb.RouterEntry) []*wirepb.RouterEntry { return SelectRouters(all, node, location) },
	}}
}

// start sets the subset to that of a list.
func (w *subsetSession) start(list *subsetList) {
	w.source.mutex.Lock()
	defer w.source.mutex.Unlock()
	w.subset = list.subset.Clone()
}

// nextChanges returns the changes after a revision that concern the watcher, and the objects added to
// its subset. isCurrent is false if the watcher needs a new list.
func (w *subsetSession) nextChanges(after uint64) (changes Changes, added []*wirepb.WatchEvent, isCurrent bool) {
	w.source.mutex.Lock()
	defer w.source.mutex.Unlock()
	changes = w.source.catchUp(after)
	if changes.Reset || w.subset.Expired() {
		return Changes{}, nil, false
	}
	w.source.examinedEvents += len(changes.Events)
	changes.Events = w.subset.Filter(changes.Events)
	return changes, w.subset.Update(), true
}

// recordDemand widens the subset for models with waiting requests.
func (w *subsetSession) recordDemand(demands []*wirepb.ModelDemand) {
	w.source.mutex.Lock()
	defer w.source.mutex.Unlock()
	if w.subset == nil || w.subset.Expired() {
		return
	}
	widened := false
	for _, demand := range demands {
		if demand.GetWaiting() > 0 {
			widened = w.subset.RaiseLimits(demand.GetVersion(), demand.GetAdapter()) || widened
		}
	}
	if !widened {
		return
	}
	select {
	case w.widened <- struct{}{}:
	default:
	}
}

func (w *subsetSession) filterDigest(full *wirepb.ClusterDigest) *wirepb.ClusterDigest {
	w.source.mutex.Lock()
	defer w.source.mutex.Unlock()
	return w.digestFilter.apply(full, w.subset, &w.source.roster)
}

// sendSubsetChanges sends the initial list and then the changes of a subset. It examines each change
// only once, also before the next revision is sent.
func (s *Server) sendSubsetChanges(ctx context.Context, conn *wire.Conn, request *wirepb.WatchRequest, session *subsetSession) {
	// examined is the revision up to which changes have been filtered; sent is the revision known to
	// the watcher.
	examined, ok := s.sendSubsetList(ctx, conn, session, request.GetAfterRevision())
	sent, sentAt := examined, time.Now()
	for ok {
		changed := s.backend.Changed()
		changes, added, isCurrent := session.nextChanges(examined)
		if !isCurrent {
			examined, ok = s.sendSubsetList(ctx, conn, session, sent)
			sent, sentAt = examined, time.Now()
			continue
		}
		examined = changes.Revision
		hasChanges := len(changes.Events) > 0 || len(added) > 0
		if hasChanges || examined > sent && time.Since(sentAt) >= minRevisionInterval {
			if sendBatches(conn, changes) != nil || sendAddedObjects(conn, added, examined) != nil {
				return
			}
			sent, sentAt = examined, time.Now()
		}
		if !waitBatchInterval(ctx, conn) {
			return
		}
		var revisionDue <-chan time.Time
		if examined > sent {
			revisionDue = time.After(minRevisionInterval - time.Since(sentAt))
		}
		select {
		case <-changed:
		case <-revisionDue:
		case <-session.widened:
		case <-conn.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

// sendSubsetList sends a list at minRevision or later and returns its revision. On failure it closes
// the connection and returns false.
func (s *Server) sendSubsetList(ctx context.Context, conn *wire.Conn, session *subsetSession, minRevision uint64) (revision uint64, ok bool) {
	for {
		changed := s.backend.Changed()
		list, err := s.subsets.list(session.zone, minRevision)
		if err != nil {
			return 0, s.sendListParts(conn, nil, err)
		}
		if list != nil {
			session.start(list)
			return list.revision, s.sendListParts(conn, list.parts, nil)
		}
		select {
		case <-changed:
		case <-conn.Done():
			return 0, false
		case <-ctx.Done():
			return 0, false
		}
	}
}

func sendAddedObjects(conn *wire.Conn, added []*wirepb.WatchEvent, revision uint64) error {
	for len(added) > 0 {
		count := min(len(added), maxEventsPerBatch)
		batch := &wirepb.WatchBatch{Events: added[:count], Revision: revision, Added: true}
		if err := conn.Send(&wirepb.Envelope{Body: &wirepb.Envelope_WatchBatch{WatchBatch: batch}}); err != nil {
			return err
		}
		added = added[count:]
	}
	return nil
}
