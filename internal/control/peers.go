package control

import (
	"context"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/instances"
	"github.com/weldline/weldline/internal/raft"
	"github.com/weldline/weldline/internal/settings"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// flushDelay is the time for writing the last messages before a stop.
	flushDelay     = 50 * time.Millisecond
	forwardTimeout = 5 * time.Second
	// nonMemberLinkLifetime is how long a link to a node that is not a member is kept after that
	// node last connected.
	nonMemberLinkLifetime = 30 * time.Second
	// linkElectionTimeouts is the number of election timeouts without messages from a member after
	// which its connection is replaced. It exceeds the duration of an election.
	linkElectionTimeouts = 2
	// linkChecksPerTimeout is the number of checks for silent links per link timeout.
	linkChecksPerTimeout = 8
)

// peerSet holds the outgoing links to the other members.
type peerSet struct {
	node *Node

	mutex sync.Mutex
	links map[uint64]*peerLink
	// startLink is nil until the node runs.
	startLink func(link *peerLink)
}

// peerLink maintains an outgoing connection and its pending calls.
type peerLink struct {
	node   *Node
	member settings.Member
	// cancel is nil until the link runs.
	cancel context.CancelFunc
	// lastDialedBy is when the peer last connected to this node; it keeps the link to a node that
	// is not yet known to be a member.
	lastDialedBy time.Duration

	mutex       sync.Mutex
	conn        *wire.Conn
	connectedAt time.Duration
	// unanswered is set if a call was sent on conn and nothing has been received after it;
	// unansweredSince is the time of the first such call.
	unanswered      bool
	unansweredSince time.Duration
	digests         *feed.DigestSender
	instances       *instances.Deduplicator
	nextID          uint64
	pendingCalls    map[uint64]chan *wirepb.Envelope
}

func newPeerSet(node *Node) *peerSet {
	set := &peerSet{node: node, links: map[uint64]*peerLink{}}
	for _, member := range node.settings.Control.Members {
		if member.ID != node.id {
			set.links[member.ID] = newPeerLink(node, member)
		}
	}
	return set
}

func newPeerLink(node *Node, member settings.Member) *peerLink {
	return &peerLink{node: node, member: member, pendingCalls: map[uint64]chan *wirepb.Envelope{}}
}

func (s *peerSet) start(ctx context.Context, workers *sync.WaitGroup) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.startLink = func(link *peerLink) {
		var running context.Context
		running, link.cancel = context.WithCancel(ctx)
		workers.Go(func() { link.run(running) })
	}
	for _, link := range s.links {
		s.startLink(link)
	}
}

// link returns the link to a member, or nil.
func (s *peerSet) link(id uint64) *peerLink {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.links[id]
}

func (s *peerSet) all() []*peerLink {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	links := make([]*peerLink, 0, len(s.links))
	for _, link := range s.links {
		links = append(links, link)
	}
	return links
}

// addDialer adds a link to a node that connected to this one. A node that has just joined knows the
// leader only by the leader's connection.
func (s *peerSet) addDialer(id uint64, address string) {
	if id == s.node.id || address == "" {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put(id, address).lastDialedBy = s.node.now()
}

// put returns the link to a member at an address, replacing one to another address; the mutex must
// be held.
func (s *peerSet) put(id uint64, address string) *peerLink {
	held := s.links[id]
	if held != nil && held.member.Address == address {
		return held
	}
	if held != nil {
		held.stop()
	}
	link := newPeerLink(s.node, settings.Member{ID: id, Address: address})
	s.links[id] = link
	if s.startLink != nil {
		s.startLink(link)
	}
	return link
}

// sync updates the links to match the membership, if it contains addresses.
func (s *peerSet) sync(membership *wirepb.Membership) {
	if len(membership.GetAddresses()) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	members := map[uint64]bool{}
	for _, held := range membership.GetAddresses() {
		if held.GetId() != s.node.id {
			members[held.GetId()] = true
			s.put(held.GetId(), held.GetAddress())
		}
	}
	for id, link := range s.links {
		if !members[id] && s.node.now()-link.lastDialedBy > nonMemberLinkLifetime {
			link.stop()
			delete(s.links, id)
		}
	}
}

func (l *peerLink) stop() {
	if l.cancel != nil {
		l.cancel()
	}
}

// sendRaft sends raft messages. Those that can't be sent are dropped, which the protocol tolerates.
func (s *peerSet) sendRaft(messages []*wirepb.RaftMessage) {
	for _, message := range messages {
		if link := s.link(message.GetTo()); link != nil {
			_ = link.send(&wirepb.Envelope{Body: &wirepb.Envelope_Raft{Raft: message}})
		}
	}
}

func (s *peerSet) flush() {
	time.Sleep(flushDelay)
}

func (s *peerSet) broadcastDigest(digest *wirepb.ClusterDigest) {
	for _, link := range s.all() {
		link.sendDigest(digest)
	}
}

func (l *peerLink) sendDigest(digest *wirepb.ClusterDigest) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.conn != nil {
		_ = l.conn.Send(l.digests.Envelope(digest))
	}
}

// recordAnswer records that something was received on the connection.
func (l *peerLink) recordAnswer() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unanswered = false
}

// sendInstance forwards a machine's report, omitting content that the peer already has.
func (l *peerLink) sendInstance(report *wirepb.InstanceReport) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.conn == nil {
		return
	}
	if l.conn.UnchangedInstances {
		report = l.instances.Encode(report)
	}
	_ = l.conn.Send(&wirepb.Envelope{Body: &wirepb.Envelope_InstanceReport{InstanceReport: report}})
}

// sendFullReport sends the latest report of a machine with its full content.
func (l *peerLink) sendFullReport(machine string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if report := l.instances.Full(machine); report != nil && l.conn != nil {
		_ = l.conn.Send(&wirepb.Envelope{Body: &wirepb.Envelope_InstanceReport{InstanceReport: report}})
	}
}

func (l *peerLink) run(ctx context.Context) {
	lost := time.Now()
	for ctx.Err() == nil {
		conn, err := wire.Dial(ctx, l.member.Address, l.node.self)
		if err == nil && l.isUnsupported(conn) {
			conn.Close()
		} else if err == nil {
			l.node.detectReplacedMember(ctx, l.member, conn.Peer)
			l.receive(ctx, conn)
			lost = time.Now()
		}
		select {
		case <-ctx.Done():
		case <-time.After(wire.RetryDelay(time.Since(lost))):
		}
	}
}

func (l *peerLink) receive(ctx context.Context, conn *wire.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	l.mutex.Lock()
	l.conn = conn
	l.connectedAt = l.node.now()
	l.unanswered = false
	l.digests = &feed.DigestSender{}
	l.instances = instances.NewDeduplicator()
	l.mutex.Unlock()
	defer l.detach()
	for {
		envelope, err := conn.Receive()
		if err != nil {
			return
		}
		l.recordAnswer()
		if wanted := envelope.GetInstanceWanted(); wanted != nil {
			l.sendFullReport(wanted.GetMachine())
			continue
		}
		l.mutex.Lock()
		reply := l.pendingCalls[envelope.GetRequestId()]
		delete(l.pendingCalls, envelope.GetRequestId())
		l.mutex.Unlock()
		if reply != nil {
			reply <- envelope
		}
	}
}

func (l *peerLink) detach() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.conn = nil
	for id, reply := range l.pendingCalls {
		close(reply)
		delete(l.pendingCalls, id)
	}
}

func (l *peerLink) send(envelope *wirepb.Envelope) error {
	l.mutex.Lock()
	conn := l.conn
	l.mutex.Unlock()
	if conn == nil {
		return fault.Unavailable.New("control node %d is not connected", l.member.ID)
	}
	return conn.Send(envelope)
}

// call sends an envelope and waits for the reply with the same request ID.
func (l *peerLink) call(ctx context.Context, envelope *wirepb.Envelope) (*wirepb.Envelope, error) {
	reply := make(chan *wirepb.Envelope, 1)
	l.mutex.Lock()
	l.nextID++
	envelope.RequestId = l.nextID
	l.pendingCalls[envelope.RequestId] = reply
	if !l.unanswered {
		l.unanswered, l.unansweredSince = true, l.node.now()
	}
	l.mutex.Unlock()
	defer func() {
		l.mutex.Lock()
		delete(l.pendingCalls, envelope.RequestId)
		l.mutex.Unlock()
	}()
	if err := l.send(envelope); err != nil {
		return nil, err
	}
	select {
	case answer, answered := <-reply:
		if !answered {
			return nil, fault.Unavailable.New("the connection to the leader was lost")
		}
		return answer, nil
	case <-ctx.Done():
		l.reconnectIfUnanswered()
		return nil, fault.Deadline.New("no answer from the leader in time")
	}
}

// reconnectIfUnanswered replaces the connection if calls on it have been unanswered for the link
// timeout. If only replies are lost, raft does not detect it: the leader receives this node's
// messages and sends the log on its own connection.
func (l *peerLink) reconnectIfUnanswered() {
	limit := linkElectionTimeouts * l.node.settings.Control.ElectionTimeout
	l.mutex.Lock()
	overdue := l.unanswered && l.node.now()-l.unansweredSince >= limit
	l.mutex.Unlock()
	if overdue {
		l.reconnect(limit)
	}
}

// reconnect closes a connection that is older than the limit; run then dials another.
func (l *peerLink) reconnect(limit time.Duration) {
	l.mutex.Lock()
	conn, age := l.conn, l.node.now()-l.connectedAt
	l.mutex.Unlock()
	if conn == nil || age < limit {
		return
	}
	l.node.logger.Info("peer_connection_renewed", "member", l.member.ID, "address", l.member.Address, "age_ms", age.Milliseconds())
	conn.Close()
}

// replaceSilentLinks replaces connections to members that send nothing, or to a leader that this
// node's messages do not reach. A broken connection may not be reset, and TCP detects it late, or
// never behind a proxy. It must be called only by the loop.
func (n *Node) replaceSilentLinks() {
	now := n.now()
	limit := linkElectionTimeouts * n.settings.Control.ElectionTimeout
	if now-n.linksCheckedAt < limit/linkChecksPerTimeout {
		return
	}
	n.linksCheckedAt = now
	status := n.status.Load()
	switch {
	case status.Role == raft.Leader:
		for id, peer := range n.member.Raft.Peers() {
			if peer.InactiveFor > limit {
				n.reconnectLink(id, limit)
			}
		}
	case status.IsolatedFromLeader(now):
		n.reconnectLink(status.Leader, limit)
	case status.Leader == raft.None && now-status.LastContact > limit:
		for _, link := range n.peers.all() {
			link.reconnect(limit)
		}
	}
}

func (n *Node) reconnectLink(id uint64, limit time.Duration) {
	if link := n.peers.link(id); link != nil {
		link.reconnect(limit)
	}
}

// servePeer handles a connection from another control node, which may not be a member yet.
func (n *Node) servePeer(ctx context.Context, conn *wire.Conn) {
	var workers sync.WaitGroup
	defer workers.Wait()
	n.peers.addDialer(conn.Peer.GetControlId(), conn.Peer.GetAddress())
	digests := &feed.DigestReceiver{}
	for {
		envelope, err := conn.Receive()
		if err != nil {
			return
		}
		switch body := envelope.GetBody().(type) {
		case *wirepb.Envelope_Raft:
			if body.Raft.GetTo() == n.id {
				n.inbox <- body.Raft
			}
		case *wirepb.Envelope_NodeReportBatch:
			n.receiveReports(body.NodeReportBatch.GetReports())
		case *wirepb.Envelope_ClusterDigest:
			if digest := digests.Complete(body.ClusterDigest); digest != nil {
				n.receiveDigest(digest)
			}
		case *wirepb.Envelope_Proposal:
			workers.Go(func() {
				feed.HandleProposal(ctx, conn, envelope.GetRequestId(), body.Proposal, n.proposeLocally)
			})
		case *wirepb.Envelope_JoinRequest:
			n.receiveJoin(body.JoinRequest.GetMember(), conn.Peer.GetControlId())
		case *wirepb.Envelope_InstanceReport:
			n.receiveForwardedReport(conn, body.InstanceReport)
		case *wirepb.Envelope_PermitRequest:
			workers.Go(func() {
				feed.HandlePermitRequest(ctx, conn, envelope.GetRequestId(), body.PermitRequest, n.permitLocally, n.logger)
			})
		case *wirepb.Envelope_StatusRequest:
			workers.Go(func() { n.answerStatus(conn, envelope.GetRequestId(), body.StatusRequest) })
		}
	}
}

// receiveForwardedReport handles a machine's report forwarded by another control node, and requests
// the full report if this node lacks the omitted content.
func (n *Node) receiveForwardedReport(conn *wire.Conn, report *wirepb.InstanceReport) {
	if whole, known := n.instances.Restore(n.instanceName(report), report); known {
		n.receiveInstanceReport(whole)
		return
	}
	wanted := &wirepb.InstanceWanted{Machine: report.GetMachine()}
	_ = conn.Send(&wirepb.Envelope{Body: &wirepb.Envelope_InstanceWanted{InstanceWanted: wanted}})
}

// detectReplacedMember marks a member as terminated if another identity answers at its address under
// the same node name: a node loses its identity only together with its disk. The member was known at
// the address before this node dialed, so the other identity is newer. This does not hold for an
// incoming connection, which may be older than the member.
func (n *Node) detectReplacedMember(ctx context.Context, replaced settings.Member, peer *wirepb.Hello) {
	if replaced.ID == raft.None || peer.GetControlId() == raft.None || peer.GetControlId() == replaced.ID {
		return
	}
	for _, held := range n.membership.Load().GetAddresses() {
		if held.GetId() != replaced.ID || held.GetAddress() != replaced.Address || held.GetNode() != peer.GetNode() {
			continue
		}
		n.logger.Info("member_gone", "member", replaced.ID, "address", replaced.Address, "successor", peer.GetControlId())
		select {
		case n.actions <- func() { n.member.Raft.MarkTerminated(n.now(), replaced.ID) }:
		case <-ctx.Done():
		}
	}
}

func (n *Node) answerStatus(conn *wire.Conn, requestID uint64, request *wirepb.StatusRequest) {
	reply := &wirepb.StatusReply{}
	if status, err := n.localStatus(request); err == nil {
		reply = status
	}
	_ = conn.Send(&wirepb.Envelope{RequestId: requestID, Body: &wirepb.Envelope_StatusReply{StatusReply: reply}})
}
