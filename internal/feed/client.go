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

// Sink takes what a Client receives. Calls come one at a time.
type Sink interface {
	// Revision is the highest revision applied.
	Revision() uint64
	// Apply takes changes; a batch with Reset holds the whole state.
	Apply(changes Changes)
	// ApplyDigest takes soft state.
	ApplyDigest(digest *wirepb.ClusterDigest)
}

// Client follows one of several servers and changes to the next when it is
// lost.
type Client struct {
	// name is the node's; it decides which servers are tried first.
	name      string
	upstreams []string
	// position decides which servers are near.
	position places.Location
	// rebalanceAfter is how long the client stays with a server while it prefers another.
	rebalanceAfter time.Duration
	// discover returns further servers that are known by now; may be nil.
	discover  func() []Upstream
	dial      dialFunc
	sink      Sink
	logger    *slog.Logger
	connected *signal.Broadcast

	mutex   sync.Mutex
	conn    *wire.Conn
	nextID  uint64
	waiting map[uint64]chan *wirepb.Envelope
	// last is the server connected to last.
	last string
	// left remembers the servers that were of no use.
	left     departures
	liveness Liveness
	// handover is a connection to a better server, to be followed next.
	handover *connection
}

// NewClient returns a client; Run starts it.
func NewClient(upstreams []string, self wire.Config, sink Sink, logger *slog.Logger) *Client {
	dial := func(ctx context.Context, address string) (*wire.Conn, error) { return wire.Dial(ctx, address, self) }
	return &Client{
		name: self.Hello.GetNode(), upstreams: upstreams, dial: dial, sink: sink, logger: logger, rebalanceAfter: rebalanceAfter,
		connected: signal.New(), waiting: map[uint64]chan *wirepb.Envelope{}, left: departures{},
	}
}

// Run connects and follows until ctx ends.
func (c *Client) Run(ctx context.Context) {
	lost := time.Now()
	for ctx.Err() == nil {
		if connected, err := c.connect(ctx); err == nil {
			c.last = connected.address
			c.logger.Info("upstream_connected", "address", connected.address, "zone", connected.conn.Peer.GetZone(),
				"nearness", c.position.ProximityOf(connected.conn.Peer.GetZone()).String())
			since := time.Now()
			c.follow(ctx, connected)
			c.leave(connected, since)
			lost = time.Now()
		}
		select {
		case <-ctx.Done():
		case <-time.After(wire.RetryDelay(time.Since(lost))):
		}
	}
}

// leave notes that a server, followed since a time, is followed no more, and logs why and how far
// what it sent reaches.
func (c *Client) leave(connected connection, since time.Time) {
	c.mutex.Lock()
	reason, newest := c.liveness.reason, c.liveness.newest
	if reason != DisconnectRebalanced {
		cutOff := reason == DisconnectNoDigest || reason == DisconnectBehind
		c.left.note(since, connected.address, departure{at: time.Now(), cutOff: cutOff, zone: connected.conn.Peer.GetZone()})
	}
	c.mutex.Unlock()
	c.logger.Info("upstream_lost", "address", connected.address, "reason", string(reason),
		"revision", c.sink.Revision(), "leader_term", newest.GetTerm(), "leader_revision", newest.GetRevision())
}

// SetDiscovery makes the client try further servers, which the function returns;
// call it before Run. Nodes that are told a few servers to begin with learn of
// the others from the feed.
func (c *Client) SetDiscovery(discover func() []Upstream) {
	c.discover = discover
}

// SetLocation makes the client prefer servers that are near a position; call it before Run.
func (c *Client) SetLocation(position places.Location) {
	c.position = position
}

// connect returns the connection to a better server, if one stands ready, or tries the
// servers in turn. Fresh state goes before nearness: whichever answers is followed.
func (c *Client) connect(ctx context.Context) (connection, error) {
	servers := c.servers()
	c.mutex.Lock()
	handover := c.handover
	c.handover = nil
	servers = c.left.inTurn(c.position.Zones, servers)
	c.mutex.Unlock()
	if handover != nil {
		return *handover, nil
	}
	return connectAny(ctx, servers, c.dial)
}

// servers returns the servers known by now: in the order of preference, or as listed where no
// others can become known.
func (c *Client) servers() []Upstream {
	servers := UpstreamsFromAddresses(c.upstreams)
	if c.discover == nil {
		return servers
	}
	return byPreference(c.name, c.position, merge(append(servers, c.discover()...)))
}

func (c *Client) follow(ctx context.Context, connected connection) {
	conn := connected.conn
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	c.note(c.liveness.Connected)
	if connected.proof != nil {
		// The server sends it once: whoever dropped it might hold none, and would take the
		// oldest one of the next server for news.
		c.takeDigest(connected.proof)
	}
	go c.watchLiveness(conn)
	go c.rebalance(ctx, connected)
	c.attach(conn)
	defer c.detach()
	if c.listsNearer(connected) {
		connected.first = make(chan struct{}, 1)
		go c.watchUnlessNearer(ctx, connected)
	} else if c.sendWatch(conn) != nil {
		return
	}
	c.receive(connected)
}

// sendWatch asks for every change after what is held.
func (c *Client) sendWatch(conn *wire.Conn) error {
	request := &wirepb.WatchRequest{AfterRevision: c.sink.Revision(), Lists: true}
	return conn.Send(&wirepb.Envelope{Body: &wirepb.Envelope_WatchRequest{WatchRequest: request}})
}

// watchLiveness drops a connection whose server is cut off without a word, or lacks what the
// leader holds.
func (c *Client) watchLiveness(conn *wire.Conn) {
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		select {
		case <-conn.Done():
			return
		case <-ticker.C:
			if c.noteLoss() {
				conn.Close()
				return
			}
		}
	}
}

// noteLoss reports whether the server should be left, and notes why.
func (c *Client) noteLoss() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	reason, lost := c.liveness.Check(time.Now())
	if lost {
		c.liveness.reason = reason
	}
	return lost
}

// Resumed begins anew with a server after a sleep of this machine. The clock of the liveness has
// stood still, so that it would take what it holds for new.
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

// detach fails every outstanding call: whether they were carried out is not
// known, and callers that may ask again do so under the same identity.
func (c *Client) detach() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.conn = nil
	for id, reply := range c.waiting {
		close(reply)
		delete(c.waiting, id)
	}
}

func (c *Client) receive(connected connection) {
	var list []*wirepb.WatchEvent
	conn, digests := connected.conn, connected.digests
	if digests == nil {
		digests = &DigestReceiver{}
	}
	lists := &listReceiver{}
	for {
		envelope, err := conn.Receive()
		if err != nil {
			return
		}
		switch body := envelope.GetBody().(type) {
		case *wirepb.Envelope_WatchBatch:
			list = c.takeBatch(list, body.WatchBatch)
		case *wirepb.Envelope_WatchListPart:
			if !c.takeListPart(lists, body.WatchListPart) {
				return
			}
		case *wirepb.Envelope_ClusterDigest:
			if digest := digests.Complete(body.ClusterDigest); digest != nil {
				c.takeDigest(digest)
				connected.noteFirst()
			}
		case *wirepb.Envelope_ProposalResult, *wirepb.Envelope_StatusReply, *wirepb.Envelope_PermitReply:
			c.complete(envelope)
		}
	}
}

// takeBatch applies changes that are newer than what is held. Parts of a
// list are gathered until the last has come.
func (c *Client) takeBatch(list []*wirepb.WatchEvent, batch *wirepb.WatchBatch) []*wirepb.WatchEvent {
	if batch.GetReset_() {
		list = append(list, batch.GetEvents()...)
		if batch.GetMore() {
			c.note(c.liveness.ListPartReceived)
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
	if fresh, any := NewerChanges(c.sink.Revision(), changes); any {
		c.sink.Apply(fresh)
		c.noteApplied()
	}
	return nil
}

// takeDigest notes a digest and passes it on.
func (c *Client) takeDigest(digest *wirepb.ClusterDigest) {
	held := c.sink.Revision()
	c.note(func(now time.Time) { c.liveness.DigestReceived(now, digest, held) })
	c.sink.ApplyDigest(digest)
}

// noteApplied brings the liveness in step with the sink.
func (c *Client) noteApplied() {
	held := c.sink.Revision()
	c.note(func(now time.Time) { c.liveness.Applied(now, held) })
}

// takeListPart takes a part of a compressed list. It returns whether the server may be
// followed on.
func (c *Client) takeListPart(lists *listReceiver, part *wirepb.WatchListPart) bool {
	c.note(c.liveness.ListPartReceived)
	listed, done, err := lists.take(part)
	if err != nil {
		c.logger.Warn("list_not_taken", "server", c.last, "error", fault.Message(err))
		return false
	}
	if done {
		c.applyList(listed)
	}
	return true
}

// applyList takes over a whole state. That takes a while where there are thousands of
// machines.
func (c *Client) applyList(listed Changes) {
	fresh, any := NewerChanges(c.sink.Revision(), listed)
	if !any {
		return
	}
	c.note(func(now time.Time) { c.liveness.SetApplying(now, true) })
	c.sink.Apply(fresh)
	c.note(func(now time.Time) { c.liveness.SetApplying(now, false) })
	c.noteApplied()
}

// note brings the liveness up to date.
func (c *Client) note(update func(now time.Time)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	update(time.Now())
}

func (c *Client) complete(envelope *wirepb.Envelope) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if reply := c.waiting[envelope.GetRequestId()]; reply != nil {
		reply <- envelope
		delete(c.waiting, envelope.GetRequestId())
	}
}

// Send queues an envelope to the server in use.
func (c *Client) Send(envelope *wirepb.Envelope) error {
	c.mutex.Lock()
	conn := c.conn
	c.mutex.Unlock()
	if conn == nil {
		return fault.Unavailable.New("no control node is connected")
	}
	return conn.Send(envelope)
}

// Connected returns a channel that is closed at the next connection.
func (c *Client) Connected() <-chan struct{} {
	return c.connected.Wait()
}

// Propose carries a command to the leader. An Unavailable error leaves open
// whether it was carried out.
func (c *Client) Propose(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	answer, err := c.call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_Proposal{Proposal: command}})
	if err != nil {
		return nil, err
	}
	return checkResult(answer.GetProposalResult())
}

// Confirm returns the revision that the leader held after the call was made.
// Whoever has applied as much holds everything that was committed before.
func (c *Client) Confirm(ctx context.Context) (uint64, error) {
	status, err := c.Status(ctx, &wirepb.StatusRequest{RevisionOnly: true})
	if err != nil {
		return 0, err
	}
	if status.GetLeader() == "" {
		return 0, fault.Unavailable.New("there is no leader to confirm a revision")
	}
	return status.GetRevision(), nil
}

// Status returns the leader's view of the cluster, empty where the server could
// not reach a leader.
func (c *Client) Status(ctx context.Context, request *wirepb.StatusRequest) (*wirepb.StatusReply, error) {
	answer, err := c.call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_StatusRequest{StatusRequest: request}})
	if err != nil {
		return nil, err
	}
	return answer.GetStatusReply(), nil
}

// call sends an envelope and waits for the one that repeats its id.
func (c *Client) call(ctx context.Context, envelope *wirepb.Envelope) (*wirepb.Envelope, error) {
	reply := make(chan *wirepb.Envelope, 1)
	c.mutex.Lock()
	conn := c.conn
	c.nextID++
	id := c.nextID
	if conn != nil {
		c.waiting[id] = reply
	}
	c.mutex.Unlock()
	if conn == nil {
		return nil, fault.Unavailable.New("no control node is connected")
	}
	defer c.forget(id)
	envelope.RequestId = id
	if err := conn.Send(envelope); err != nil {
		return nil, err
	}
	select {
	case answer, answered := <-reply:
		if !answered {
			return nil, fault.Unavailable.New("the connection to the control plane was lost")
		}
		return answer, nil
	case <-ctx.Done():
		return nil, fault.Deadline.New("no answer from the control plane in time")
	}
}

// checkResult turns "unavailable" into an error; other failures are results.
func checkResult(result *wirepb.CommandResult) (*wirepb.CommandResult, error) {
	if result.GetCode() == wirepb.ResultCode_RESULT_CODE_UNAVAILABLE && result.GetWrite() == nil {
		return nil, fault.Unavailable.New("%s", result.GetMessage())
	}
	return result, nil
}

func (c *Client) forget(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.waiting, id)
}
