package feed

import (
	"context"
	"sync"

	"github.com/weldline/weldline/internal/signal"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// cacheEventsKept bounds the changes that a relay keeps for its nodes.
const cacheEventsKept = 8192

// Cache is a Sink and a Backend: a relay's copy of the state. Reports of its
// nodes are passed on together.
type Cache struct {
	client *Client

	mutex    sync.Mutex
	revision uint64
	objects  map[state.Key]*wirepb.Object
	events   []*wirepb.WatchEvent
	// compacted is the revision up to which changes are no longer kept.
	compacted uint64
	digest    *wirepb.ClusterDigest
	// reports are those that are passed on upwards.
	reports *ReportQueue

	changed       *signal.Broadcast
	digestChanged *signal.Broadcast
}

// NewCache returns an empty cache; Attach gives it its way upwards.
func NewCache() *Cache {
	created := &Cache{objects: map[state.Key]*wirepb.Object{}, changed: signal.New(), digestChanged: signal.New()}
	created.reports = NewReportQueue(created.sendReports)
	return created
}

// SetClient sets the client that feeds the cache.
func (c *Cache) SetClient(client *Client) {
	c.client = client
}

// Run follows the upstream until ctx ends.
func (c *Cache) Run(ctx context.Context) {
	c.client.Run(ctx)
}

// sendReports passes reports on; they are lost where there is no connection, as reports may be.
func (c *Cache) sendReports(reports []*wirepb.NodeReport) {
	batch := &wirepb.NodeReportBatch{Reports: reports}
	_ = c.client.Send(&wirepb.Envelope{Body: &wirepb.Envelope_NodeReportBatch{NodeReportBatch: batch}})
}

// Revision implements Sink.
func (c *Cache) Revision() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.revision
}

// Apply implements Sink.
func (c *Cache) Apply(changes Changes) {
	c.mutex.Lock()
	defer c.changed.Notify()
	defer c.mutex.Unlock()
	if changes.Revision < c.revision {
		return
	}
	if changes.Reset {
		c.objects = map[state.Key]*wirepb.Object{}
		c.events = nil
		c.compacted = changes.Revision
	}
	for _, event := range changes.Events {
		c.applyEvent(event, changes.Reset)
	}
	c.revision = changes.Revision
	c.compact()
}

func (c *Cache) applyEvent(event *wirepb.WatchEvent, listed bool) {
	key := state.KeyOf(event.GetObject())
	if event.GetDeleted() {
		delete(c.objects, key)
	} else {
		c.objects[key] = event.GetObject()
	}
	if !listed {
		c.events = append(c.events, event)
	}
}

func (c *Cache) compact() {
	if len(c.events) <= 2*cacheEventsKept {
		return
	}
	dropped := len(c.events) - cacheEventsKept
	c.compacted = c.events[dropped-1].GetObject().GetRevision()
	c.events = append([]*wirepb.WatchEvent(nil), c.events[dropped:]...)
}

// ApplyDigest implements Sink.
func (c *Cache) ApplyDigest(digest *wirepb.ClusterDigest) {
	c.mutex.Lock()
	defer c.digestChanged.Notify()
	defer c.mutex.Unlock()
	c.digest = digest
}

// Ready implements Backend: nodes may wait at a relay for what it is sent.
func (c *Cache) Ready() bool { return true }

// ChangesAfter implements Backend.
func (c *Cache) ChangesAfter(revision uint64) Changes {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	changes := Changes{Revision: c.revision}
	if revision >= c.compacted {
		changes.Events = state.NewerEvents(c.events, revision)
		return changes
	}
	changes.Reset = true
	for _, object := range c.objects {
		changes.Events = append(changes.Events, &wirepb.WatchEvent{Object: object})
	}
	return changes
}

// Changed implements Backend.
func (c *Cache) Changed() <-chan struct{} {
	return c.changed.Wait()
}

// Digest implements Backend.
func (c *Cache) Digest() *wirepb.ClusterDigest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.digest
}

// DigestChanged implements Backend.
func (c *Cache) DigestChanged() <-chan struct{} {
	return c.digestChanged.Wait()
}

// Report implements Backend.
func (c *Cache) Report(reports ...*wirepb.NodeReport) {
	c.reports.Add(reports)
}

// Status implements Backend.
func (c *Cache) Status(ctx context.Context, request *wirepb.StatusRequest) (*wirepb.StatusReply, error) {
	return c.client.Status(ctx, request)
}

// Propose implements Backend.
func (c *Cache) Propose(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	return c.client.Propose(ctx, command)
}
