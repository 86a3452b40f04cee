package feed

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/signal"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// Sink receives what a Client gets from its server. Its methods are not called concurrently.
type Sink interface {
	// Revision returns the highest revision applied.
	Revision() uint64
	// Apply applies changes; with Reset set they replace the whole state.
	Apply(changes Changes)
	// ApplyDigest replaces the cluster digest.
	ApplyDigest(digest *wirepb.ClusterDigest)
}

// Client follows one of several servers and fails over to the next one.
type Client struct {
	// name is the name of this node; it determines the order of equally near servers.
	name              string
	upstreams         []string
	location          places.Location
	rebalanceInterval time.Duration
	// discover returns the servers known in addition to upstreams; it may be nil.
	discover  func() []Upstream
	dial      dialFunc
	sink      Sink
	logger    *slog.Logger
	connected *signal.Broadcast

	mutex        sync.Mutex
	conn         *wire.Conn
	nextID       uint64
	pendingCalls map[uint64]chan *wirepb.Envelope
	lastAddress  string
	failures     failureHistory
	liveness     Liveness
	// handover is an established connection to a better server, which connect returns next.
	handover *connection
}

// NewClient returns a client; Run starts it.
func NewClient(upstreams []string, self wire.Config, sink Sink, logger *slog.Logger) *Client {
	dial := func(ctx context.Context, address string) (*wire.Conn, error) { return wire.Dial(ctx, address, self) }
	return &Client{
		name: self.Hello.GetNode(), upstreams: upstreams, dial: dial, sink: sink, logger: logger, rebalanceInterval: rebalanceInterval,
		connected: signal.New(), pendingCalls: map[uint64]chan *wirepb.Envelope{}, failures: failureHistory{},
	}
}

// Run connects to servers and follows them until ctx is done.
func (c *Client) Run(ctx context.Context) {
	lostAt := time.Now()
	for ctx.Err() == nil {
		if connected, err := c.connect(ctx); err == nil {
			c.lastAddress = connected.address
			c.logger.Info("upstream_connected", "address", connected.address, "zone", connected.conn.Peer.GetZone(),
				"nearness", c.location.ProximityOf(connected.conn.Peer.GetZone()).String())
			connectedAt := time.Now()
			c.follow(ctx, connected)
			c.recordDisconnect(connected, connectedAt)
			lostAt = time.Now()
		}
		select {
		case <-ctx.Done():
		case <-time.After(wire.RetryDelay(time.Since(lostAt))):
		}
	}
}

// recordDisconnect records the end of a connection and logs its reason and the last revisions
// received.
func (c *Client) recordDisconnect(connected connection, connectedAt time.Time) {
	c.mutex.Lock()
	reason, newestDigest := c.liveness.reason, c.liveness.newest
	if reason != DisconnectRebalanced {
		isStale := reason == DisconnectNoDigest || reason == DisconnectBehind
		c.failures.record(connectedAt, connected.address, serverFailure{at: time.Now(), isStale: isStale, zone: connected.conn.Peer.GetZone()})
	}
	c.mutex.Unlock()
	c.logger.Info("upstream_lost", "address", connected.address, "reason", string(reason),
		"revision", c.sink.Revision(), "leader_term", newestDigest.GetTerm(), "leader_revision", newestDigest.GetRevision())
}

// SetDiscovery sets a function that returns further servers, such as those named in digests. It must be
// called before Run.
func (c *Client) SetDiscovery(discover func() []Upstream) {
	c.discover = discover
}

// SetLocation makes the client prefer servers near a location. It must be called before Run.
func (c *Client) SetLocation(location places.Location) {
	c.location = location
}

// connect returns the connection to a better server if rebalancing has established one, and otherwise
// tries all servers. The first one that accepts is used even if it is not the nearest.
func (c *Client) connect(ctx context.Context) (connection, error) {
	servers := c.servers()
	c.mutex.Lock()
	handover := c.handover
	c.handover = nil
	servers = c.failures.attemptOrder(c.location.Zones, servers)
	c.mutex.Unlock()
	if handover != nil {
		return *handover, nil
	}
	return connectAny(ctx, servers, c.dial)
}

// servers returns the known servers in the order of preference, or in the configured order without
// discovery.
func (c *Client) servers() []Upstream {
	servers := UpstreamsFromAddresses(c.upstreams)
	if c.discover == nil {
		return servers
	}
	return byPreference(c.name, c.location, mergeUpstreams(append(servers, c.discover()...)))
}

func (c *Client) follow(ctx context.Context, connected connection) {
	conn := connected.conn
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	c.updateLiveness(c.liveness.Connected)
	if connected.probeDigest != nil {
		// The server sends this digest only once. Without it, the client might accept an older digest
		// of another server as new.
		c.handleDigest(connected.probeDigest)
	}
	go c.monitorLiveness(conn)
	go c.rebalance(ctx, connected)
	c.attach(conn)
	defer c.detach()
	if c.shouldListNearer(connected) {
		connected.firstDigest = make(chan struct{}, 1)
		go c.switchNearerOrWatch(ctx, connected)
	} else if c.sendWatchRequest(conn) != nil {
		return
	}
	c.receive(connected)
}

// sendWatchRequest requests all changes after the applied revision.
func (c *Client) sendWatchRequest(conn *wire.Conn) error {
	request := &wirepb.WatchRequest{AfterRevision: c.sink.Revision(), Lists: true}
	return conn.Send(&wirepb.Envelope{Body: &wirepb.Envelope_WatchRequest{WatchRequest: request}})
}

// monitorLiveness closes the connection once its server has stopped sending new digests or lacks
// changes that the leader has committed.
func (c *Client) monitorLiveness(conn *wire.Conn) {
	ticker := time.NewTicker(livenessCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-conn.Done():
			return
		case <-ticker.C:
			if c.checkLiveness() {
				conn.Close()
				return
			}
		}
	}
}

// checkLiveness reports whether to disconnect from the server, and records the reason.
func (c *Client) checkLiveness() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	reason, lost := c.liveness.Check(time.Now())
	if lost {
		c.liveness.reason = reason
	}
	return lost
}

// Resumed reconnects after this machine was suspended. The monotonic clock stopped meanwhile, so the
// liveness check would treat outdated state as fresh.
func (c *Client) Resumed() {
	c.mutex.Lock()
	conn := c.conn
	if conn != nil {
		c.liveness.reason = DisconnectSuspended
	}
	c.mutex.Unlock()
	if conn != nil {
		conn.Close()
	}
}

func (c *Client) attach(conn *wire.Conn) {
	c.mutex.Lock()
	c.conn = conn
	c.mutex.Unlock()
	c.connected.Notify()
}

// detach fails all pending calls. Their outcome is unknown; callers that retry must use the same
// request identity.
func (c *Client) detach() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.conn = nil
	for id, reply := range c.pendingCalls {
		close(reply)
		delete(c.pendingCalls, id)
	}
}

func (c *Client) receive(connected connection) {
	var list []*wirepb.WatchEvent
	conn, digests := connected.conn, connected.digests
	if digests == nil {
		digests = &DigestReceiver{}
	}
	decoder := &listDecoder{}
	for {
		envelope, err := conn.Receive()
		if err != nil {
			return
		}
		switch body := envelope.GetBody().(type) {
		case *wirepb.Envelope_WatchBatch:
			list = c.handleBatch(list, body.WatchBatch)
		case *wirepb.Envelope_WatchListPart:
			if !c.handleListPart(decoder, body.WatchListPart) {
				return
			}
		case *wirepb.Envelope_ClusterDigest:
			if digest := digests.Complete(body.ClusterDigest); digest != nil {
				c.handleDigest(digest)
				connected.notifyFirstDigest()
			}
		case *wirepb.Envelope_ProposalResult, *wirepb.Envelope_StatusReply, *wirepb.Envelope_PermitReply:
			c.deliverReply(envelope)
		}
	}
}

// handleBatch applies changes that are newer than the applied revision. It accumulates the parts of a
// list until the last one has arrived.
func (c *Client) handleBatch(list []*wirepb.WatchEvent, batch *wirepb.WatchBatch) []*wirepb.WatchEvent {
	if batch.GetReset_() {
		list = append(list, batch.GetEvents()...)
		if batch.GetMore() {
			c.updateLiveness(c.liveness.ListPartReceived)
			return list
		}
		c.applyList(Changes{Events: list, Revision: batch.GetRevision(), Reset: true})
		return nil
	}
	changes := Changes{Events: batch.GetEvents(), Revision: batch.GetRevision()}
	if batch.GetAdded() {
		if changes.Revision >= c.sink.Revision() {
			c.sink.Apply(changes)
		}
		return nil
	}
	if newer, isNewer := NewerChanges(c.sink.Revision(), changes); isNewer {
		c.sink.Apply(newer)
		c.recordApplied()
	}
	return nil
}

func (c *Client) handleDigest(digest *wirepb.ClusterDigest) {
	applied := c.sink.Revision()
	c.updateLiveness(func(now time.Time) { c.liveness.DigestReceived(now, digest, applied) })
	c.sink.ApplyDigest(digest)
}

func (c *Client) recordApplied() {
	applied := c.sink.Revision()
	c.updateLiveness(func(now time.Time) { c.liveness.Applied(now, applied) })
}

// handleListPart adds a part of a compressed list. It returns false if the connection must be closed.
func (c *Client) handleListPart(decoder *listDecoder, part *wirepb.WatchListPart) bool {
	c.updateLiveness(c.liveness.ListPartReceived)
	changes, done, err := decoder.add(part)
	if err != nil {
		c.logger.Warn("list_not_taken", "server", c.lastAddress, "error", fault.Message(err))
		return false
	}
	if done {
		c.applyList(changes)
	}
	return true
}

// applyList replaces the whole state, which takes long enough to delay the receipt of digests.
func (c *Client) applyList(changes Changes) {
	newer, isNewer := NewerChanges(c.sink.Revision(), changes)
	if !isNewer {
		return
	}
	c.updateLiveness(func(now time.Time) { c.liveness.SetApplying(now, true) })
	c.sink.Apply(newer)
	c.updateLiveness(func(now time.Time) { c.liveness.SetApplying(now, false) })
	c.recordApplied()
}

func (c *Client) updateLiveness(update func(now time.Time)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	update(time.Now())
}

func (c *Client) deliverReply(envelope *wirepb.Envelope) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if reply := c.pendingCalls[envelope.GetRequestId()]; reply != nil {
		reply <- envelope
		delete(c.pendingCalls, envelope.GetRequestId())
	}
}

// Send queues an envelope for the connected server.
func (c *Client) Send(envelope *wirepb.Envelope) error {
	c.mutex.Lock()
	conn := c.conn
	c.mutex.Unlock()
	if conn == nil {
		return fault.Unavailable.New("not connected to a control node")
	}
	return conn.Send(envelope)
}

// Connected returns a channel that is closed when the next connection is established.
func (c *Client) Connected() <-chan struct{} {
	return c.connected.Wait()
}

// Propose sends a command to the leader. After an Unavailable error it is unknown whether the command
// was executed.
func (c *Client) Propose(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	answer, err := c.call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_Proposal{Proposal: command}})
	if err != nil {
		return nil, err
	}
	return checkResult(answer.GetProposalResult())
}

// Confirm returns a revision that includes everything committed before the call, as reported by the
// leader.
func (c *Client) Confirm(ctx context.Context) (uint64, error) {
	status, err := c.Status(ctx, &wirepb.StatusRequest{RevisionOnly: true})
	if err != nil {
		return 0, err
	}
	if status.GetLeader() == "" {
		return 0, fault.Unavailable.New("no leader is available to confirm a revision")
	}
	return status.GetRevision(), nil
}

// Status returns the leader's view of the cluster. It is empty if the server could not reach a leader.
func (c *Client) Status(ctx context.Context, request *wirepb.StatusRequest) (*wirepb.StatusReply, error) {
	answer, err := c.call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_StatusRequest{StatusRequest: request}})
	if err != nil {
		return nil, err
	}
	return answer.GetStatusReply(), nil
}

// call sends an envelope and waits for the reply with the same request ID.
func (c *Client) call(ctx context.Context, envelope *wirepb.Envelope) (*wirepb.Envelope, error) {
	reply := make(chan *wirepb.Envelope, 1)
	c.mutex.Lock()
	conn := c.conn
	c.nextID++
	id := c.nextID
	if conn != nil {
		c.pendingCalls[id] = reply
	}
	c.mutex.Unlock()
	if conn == nil {
		return nil, fault.Unavailable.New("no control node is connected")
	}
	defer c.dropCall(id)
	envelope.RequestId = id
	if err := conn.Send(envelope); err != nil {
		return nil, err
	}
	select {
	case answer, ok := <-reply:
		if !ok {
			return nil, fault.Unavailable.New("the connection to the control plane was lost")
		}
		return answer, nil
	case <-ctx.Done():
		return nil, fault.Deadline.New("no answer from the control plane in time")
	}
}

// checkResult converts an unavailable result into an error. Other failures are returned as results.
func checkResult(result *wirepb.CommandResult) (*wirepb.CommandResult, error) {
	if result.GetCode() == wirepb.ResultCode_RESULT_CODE_UNAVAILABLE && result.GetWrite() == nil {
		return nil, fault.Unavailable.New("%s", result.GetMessage())
	}
	return result, nil
}

func (c *Client) dropCall(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.pendingCalls, id)
}
