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

// revisionGap is the least time between two messages that tell a watcher only that the state has
// moved on. What changes grows with the number of machines, and each watcher would get a message for
// each change of any of them. It is well below behindLimit, by which a watcher takes a server that
// does not keep up for one that is cut off.
const revisionGap = 300 * time.Millisecond

// subsets chooses what watchers learn of that know a part of the machines and replicas only; see
// package subset.
type subsets struct {
	backend Backend
	places  places.ZoneMap

	mutex sync.Mutex
	index *subset.Index
	// roster is that of the newest digest.
	roster rosterIndex
	// lists are made once for all watchers of a zone, which begin with the same.
	lists map[string]*subsetList
	// examined counts the changes that were looked at for watchers, for tests of what they cost.
	examined int
}

// subsetList is a whole state as a watcher of one zone learns of it.
type subsetList struct {
	revision uint64
	parts    []*wirepb.WatchListPart
	// chosen is what a watcher knows that has taken the list.
	chosen *subset.Subset
}

func newSubsets(backend Backend, zones places.ZoneMap) *subsets {
	return &subsets{backend: backend, places: zones, index: subset.NewIndex(zones), lists: map[string]*subsetList{}}
}

// catchUp brings the index up to date and returns the changes after a revision; the mutex must be
// held.
func (s *subsets) catchUp(after uint64) Changes {
	indexed := s.index.Revision()
	changes := s.backend.ChangesAfter(min(after, indexed))
	if changes.Reset && after < indexed {
		return changes // The watcher alone is too far behind; all others would list anew with it.
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

// list returns the whole state for a watcher of a zone that holds a revision already, or nothing
// while the backend is further behind.
func (s *subsets) list(zone string, held uint64) (*subsetList, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if cached := s.lists[zone]; cached != nil && cached.revision >= held {
		changes := s.catchUp(cached.revision)
		if !changes.Reset && len(changes.Events) <= maxListLag {
			return cached, nil
		}
	}
	listed := s.backend.ChangesAfter(0)
	if listed.Revision < held {
		return nil, nil
	}
	s.catchUp(listed.Revision)
	chosen := s.index.Subset(places.Location{Zones: s.places, Zone: zone})
	events := append(subset.Common(listed.Events), chosen.Update()...)
	parts, err := pack(Changes{Events: events, Revision: listed.Revision})
	if err != nil {
		return nil, err
	}
	made := &subsetList{revision: listed.Revision, parts: parts, chosen: chosen}
	s.lists[zone] = made
	return made, nil
}

// subsetSession is what one watcher knows.
type subsetSession struct {
	subsets *subsets
	zone    string
	// raised is told when the watcher is to learn of more.
	raised chan struct{}
	// chosen is nil before the first list; it is guarded by the mutex of subsets.
	chosen *subset.Subset
	// digests are cut to what the watcher knows.
	digests digestSubset
}

func (s *subsets) session(zone string) *subsetSession {
	return &subsetSession{subsets: s, zone: zone, raised: make(chan struct{}, 1)}
}

// take begins with a list.
func (w *subsetSession) take(list *subsetList) {
	w.subsets.mutex.Lock()
	defer w.subsets.mutex.Unlock()
	w.chosen = list.chosen.Clone()
}

// next returns the changes after a revision that concern the watcher, and objects that it has to
// learn besides. It is not current where the watcher has to list anew.
func (w *subsetSession) next(after uint64) (changes Changes, added []*wirepb.WatchEvent, current bool) {
	w.subsets.mutex.Lock()
	defer w.subsets.mutex.Unlock()
	changes = w.subsets.catchUp(after)
	if changes.Reset || w.chosen.Expired() {
		return Changes{}, nil, false
	}
	w.subsets.examined += len(changes.Events)
	changes.Events = w.chosen.Filter(changes.Events)
	return changes, w.chosen.Update(), true
}

// noteDemand lets the watcher learn of more replicas of what its requests wait for.
func (w *subsetSession) noteDemand(demands []*wirepb.ModelDemand) {
	w.subsets.mutex.Lock()
	defer w.subsets.mutex.Unlock()
	if w.chosen == nil || w.chosen.Expired() {
		return
	}
	raised := false
	for _, demand := range demands {
		if demand.GetWaiting() > 0 {
			raised = w.chosen.RaiseLimits(demand.GetVersion(), demand.GetAdapter()) || raised
		}
	}
	if !raised {
		return
	}
	select {
	case w.raised <- struct{}{}:
	default:
	}
}

// digest returns a digest with what it says of the machines that the watcher knows.
func (w *subsetSession) digest(whole *wirepb.ClusterDigest) *wirepb.ClusterDigest {
	w.subsets.mutex.Lock()
	defer w.subsets.mutex.Unlock()
	return w.digests.of(whole, w.chosen, &w.subsets.roster)
}

// sendSubset sends a watcher what concerns it, from its list on. Each change is looked at once: what
// has been found to be of no concern is not looked at again before the revision is told.
func (s *Server) sendSubset(ctx context.Context, conn *wire.Conn, request *wirepb.WatchRequest, session *subsetSession) {
	// seen is up to where changes were looked at, told what the watcher knows of.
	seen, listed := s.sendSubsetList(ctx, conn, session, request.GetAfterRevision())
	told, toldAt := seen, time.Now()
	for listed {
		changed := s.backend.Changed()
		changes, added, current := session.next(seen)
		if !current {
			seen, listed = s.sendSubsetList(ctx, conn, session, told)
			told, toldAt = seen, time.Now()
			continue
		}
		seen = changes.Revision
		isConcerned := len(changes.Events) > 0 || len(added) > 0
		if isConcerned || seen > told && time.Since(toldAt) >= revisionGap {
			if sendBatches(conn, changes) != nil || sendAdded(conn, added, seen) != nil {
				return
			}
			told, toldAt = seen, time.Now()
		}
		if !pauseBetween(ctx, conn) {
			return
		}
		var untold <-chan time.Time
		if seen > told {
			untold = time.After(revisionGap - time.Since(toldAt))
		}
		select {
		case <-changed:
		case <-untold:
		case <-session.raised:
		case <-conn.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

// sendSubsetList sends a list that is not older than what the watcher holds, and returns its
// revision. Where it can't, the connection is closed and listed is false.
func (s *Server) sendSubsetList(ctx context.Context, conn *wire.Conn, session *subsetSession, held uint64) (revision uint64, listed bool) {
	for {
		changed := s.backend.Changed()
		list, err := s.subsets.list(session.zone, held)
		if err != nil {
			return 0, s.sendParts(conn, nil, err)
		}
		if list != nil {
			session.take(list)
			return list.revision, s.sendParts(conn, list.parts, nil)
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

// sendAdded sends objects that the watcher learns of now.
func sendAdded(conn *wire.Conn, added []*wirepb.WatchEvent, revision uint64) error {
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
