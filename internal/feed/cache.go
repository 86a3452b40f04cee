package feed

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/signal"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// cacheEventsKept bounds the changes that a relay keeps for its nodes.
	cacheEventsKept = 8192
	// reportBatchInterval is how long a relay gathers reports.
	reportBatchInterval = 50 * time.Millisecond
)

// Cache is a Sink and a Backend: a relay's copy of the state. Reports of its
// nodes are sent on in batches.
type Cache struct {
	client *Client

	mutex    sync.Mutex
	revision uint64
	objects  map[state.Key]*wirepb.Object
	events   []*wirepb.WatchEvent
	// compacted is the revision up to which changes are no longer kept.
	compacted uint64
	digest    *wirepb.ClusterDigest
	reports   map[string]*wirepb.NodeReport

	changed       *signal.Broadcast
	digestChanged *signal.Broadcast
	reported      chan struct{}
}

// NewCache returns an empty cache; Attach gives it its way upwards.
func NewCache() *Cache {
	return &Cache{
		objects: map[state.Key]*wirepb.Object{}, reports: map[string]*wirepb.NodeReport{},
		changed: signal.New(), digestChanged: signal.New(), reported: make(chan struct{}, 1),
	}
}

// Attach sets the client that feeds the cache.
func (c *Cache) Attach(client *Client) {
	c.client = client
}

// Run follows the upstream and passes reports on until ctx ends.
func (c *Cache) Run(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	workers.Go(func() { c.client.Run(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.reported:
			c.passReports()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportBatchInterval):
		}
	}
}

func (c *Cache) passReports() {
	c.mutex.Lock()
	batch := &wirepb.NodeReportBatch{}
	for _, report := range c.reports {
		batch.Reports = append(batch.Reports, report)
	}
	c.reports = map[string]*wirepb.NodeReport{}
	c.mutex.Unlock()
	sort.Slice(batch.Reports, func(i, j int) bool { return batch.Reports[i].GetNode() < batch.Reports[j].GetNode() })
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

// TakeDigest implements Sink.
func (c *Cache) TakeDigest(digest *wirepb.ClusterDigest) {
	c.mutex.Lock()
	defer c.digestChanged.Notify()
	defer c.mutex.Unlock()
	c.digest = digest
}

// Serves implements Backend: nodes may wait at a relay for what it is sent.
func (c *Cache) Serves() bool { return true }

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

// Report implements Backend. Of one node, the newest report stands for those
// before it.
func (c *Cache) Report(reports ...*wirepb.NodeReport) {
	c.mutex.Lock()
	for _, report := range reports {
		c.reports[report.GetNode()] = report
	}
	c.mutex.Unlock()
	select {
	case c.reported <- struct{}{}:
	default:
	}
}

// Status implements Backend.
func (c *Cache) Status(ctx context.Context, request *wirepb.StatusRequest) (*wirepb.StatusReply, error) {
	return c.client.Status(ctx, request)
}

// Propose implements Backend.
func (c *Cache) Propose(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	return c.client.Propose(ctx, command)
}
