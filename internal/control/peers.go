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
	// flushDelay is how long the last messages before a stop get to be written.
	flushDelay     = 50 * time.Millisecond
	forwardTimeout = 5 * time.Second
	// strangerLifetime is how long a link to a node that is no member is kept
	// after it was last heard of.
	strangerLifetime = 30 * time.Second
	// silentElectionTimeouts is for how many election timeouts a member may say nothing before
	// the connection to it is made anew: an election takes less than two. A member that is down
	// is dialled as often.
	silentElectionTimeouts = 2
	// silentLinkChecks is how often this is looked at in that time.
	silentLinkChecks = 8
)

// peerSet holds the connections that this node dialled to the other members.
type peerSet struct {
	node *Node

	mutex sync.Mutex
	links map[uint64]*peerLink
	// start runs a link once the node runs.
	startLink func(link *peerLink)
}

// peerLink is one dialled connection and the calls outstanding on it.
type peerLink struct {
	node   *Node
	member settings.Member
	// cancel ends the link; nil before it runs.
	cancel context.CancelFunc
	// heard is when the peer last dialled this node; it keeps the link to a
	// node that is not a member yet, or not known to be.
	heard time.Duration

	mutex sync.Mutex
	conn  *wire.Conn
	// connected is when conn came about.
	connected time.Duration
	// unanswered is set from the first call on conn after which nothing has come back, and
	// unansweredSince is when that was.
	unanswered      bool
	unansweredSince time.Duration
	digests         *feed.DigestSender
	instances       *instances.Condenser
	nextID          uint64
	waiting         map[uint64]chan *wirepb.Envelope
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
	return &peerLink{node: node, member: member, waiting: map[uint64]chan *wirepb.Envelope{}}
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

// learn notes where a member that dialled this node listens. A node that has
// just joined knows the leader only by the leader's own connection.
func (s *peerSet) learn(id uint64, address string) {
	if id == s.node.id || address == "" {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put(id, address).heard = s.node.now()
}

// put returns the link to a member at an address; the mutex must be held.
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

// sync makes the links match the members, if these carry addresses.
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
		if !members[id] && s.node.now()-link.heard > strangerLifetime {
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

// sendRaft sends raft messages. What can't be sent is lost, as the protocol
// allows.
func (s *peerSet) sendRaft(messages []*wirepb.RaftMessage) {
	for _, message := range messages {
		if link := s.link(message.GetTo()); link != nil {
			_ = link.send(&wirepb.Envelope{Body: &wirepb.Envelope_Raft{Raft: message}})
		}
	}
}

// flush gives the writers time for the last messages before a stop.
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

// noteAnswer notes that something has come back on the connection.
func (l *peerLink) noteAnswer() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unanswered = false
}

// sendInstance passes on what a machine says of itself, without what the member has.
func (l *peerLink) sendInstance(report *wirepb.InstanceReport) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.conn == nil {
		return
	}
	if l.conn.UnchangedInstances {
		report = l.instances.Next(report)
	}
	_ = l.conn.Send(&wirepb.Envelope{Body: &wirepb.Envelope_InstanceReport{InstanceReport: report}})
}

// sendWhole sends the newest report of a machine with all that was left out.
func (l *peerLink) sendWhole(machine string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if report := l.instances.Whole(machine); report != nil && l.conn != nil {
		_ = l.conn.Send(&wirepb.Envelope{Body: &wirepb.Envelope_InstanceReport{InstanceReport: report}})
	}
}

func (l *peerLink) run(ctx context.Context) {
	lost := time.Now()
	for ctx.Err() == nil {
		conn, err := wire.Dial(ctx, l.member.Address, l.node.self)
		if err == nil && l.isTooOld(conn) {
			conn.Close()
		} else if err == nil {
			l.node.noteSuccessor(ctx, l.member, conn.Peer)
			l.receive(ctx, conn)
			lost = time.Now()
		}
		select {
		case <-ctx.Done():
		case <-time.After(wire.RetryPause(time.Since(lost))):
		}
	}
}

func (l *peerLink) receive(ctx context.Context, conn *wire.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	l.mutex.Lock()
	l.conn = conn
	l.connected = l.node.now()
	l.unanswered = false
	l.digests = &feed.DigestSender{}
	l.instances = instances.NewCondenser()
	l.mutex.Unlock()
	defer l.detach()
	for {
		envelope, err := conn.Receive()
		if err != nil {
			return
		}
		l.noteAnswer()
		if wanted := envelope.GetInstanceWanted(); wanted != nil {
			l.sendWhole(wanted.GetMachine())
			continue
		}
		l.mutex.Lock()
		reply := l.waiting[envelope.GetRequestId()]
		delete(l.waiting, envelope.GetRequestId())
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
	for id, reply := range l.waiting {
		close(reply)
		delete(l.waiting, id)
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

// call sends an envelope and waits for the one that repeats its id.
func (l *peerLink) call(ctx context.Context, envelope *wirepb.Envelope) (*wirepb.Envelope, error) {
	reply := make(chan *wirepb.Envelope, 1)
	l.mutex.Lock()
	l.nextID++
	envelope.RequestId = l.nextID
	l.waiting[envelope.RequestId] = reply
	if !l.unanswered {
		l.unanswered, l.unansweredSince = true, l.node.now()
	}
	l.mutex.Unlock()
	defer func() {
		l.mutex.Lock()
		delete(l.waiting, envelope.RequestId)
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
		l.renewUnanswered()
		return nil, fault.Deadline.New("no answer from the leader in time")
	}
}

// renewUnanswered replaces a connection on which nothing has come back for longer than an election
// takes, once a caller has given up. Only answers come back on it: where these alone are lost, the
// leader hears this node, and this node gets the log on a connection of the leader's, so nothing else
// tells.
func (l *peerLink) renewUnanswered() {
	limit := silentElectionTimeouts * l.node.settings.Control.ElectionTimeout
	l.mutex.Lock()
	overdue := l.unanswered && l.node.now()-l.unansweredSince >= limit
	l.mutex.Unlock()
	if overdue {
		l.renew(limit)
	}
}

// renew closes a connection that has stood for longer than a limit; another is dialled.
func (l *peerLink) renew(limit time.Duration) {
	l.mutex.Lock()
	conn, age := l.conn, l.node.now()-l.connected
	l.mutex.Unlock()
	if conn == nil || age < limit {
		return
	}
	l.node.logger.Info("peer_connection_renewed", "member", l.member.ID, "address", l.member.Address, "age_ms", age.Milliseconds())
	conn.Close()
}

// renewSilentLinks replaces connections to members that say nothing, or to a leader that does not
// hear this node. A connection may stop carrying anything without a reset while new ones work;
// TCP notices after seconds, or never where a machine in between answers for the other. It is
// the loop's own.
func (n *Node) renewSilentLinks() {
	now := n.now()
	limit := silentElectionTimeouts * n.settings.Control.ElectionTimeout
	if now-n.linksChecked < limit/silentLinkChecks {
		return
	}
	n.linksChecked = now
	status := n.status.Load()
	switch {
	case status.Role == raft.Leader:
		for id, peer := range n.member.Raft.Peers() {
			if peer.InactiveFor > limit {
				n.renewLink(id, limit)
			}
		}
	case status.IsolatedFromLeader(now):
		n.renewLink(status.Leader, limit)
	case status.Leader == raft.None && now-status.LastContact > limit:
		for _, link := range n.peers.all() {
			link.renew(limit)
		}
	}
}

func (n *Node) renewLink(id uint64, limit time.Duration) {
	if link := n.peers.link(id); link != nil {
		link.renew(limit)
	}
}

// servePeer handles a connection that another member dialled.
func (n *Node) servePeer(ctx context.Context, conn *wire.Conn) {
	var workers sync.WaitGroup
	defer workers.Wait()
	n.peers.learn(conn.Peer.GetControlId(), conn.Peer.GetAddress())
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
			n.takeReports(body.NodeReportBatch.GetReports())
		case *wirepb.Envelope_ClusterDigest:
			if digest := digests.Complete(body.ClusterDigest); digest != nil {
				n.takeDigest(digest)
			}
		case *wirepb.Envelope_Proposal:
			workers.Go(func() {
				feed.AnswerProposal(ctx, conn, envelope.GetRequestId(), body.Proposal, n.proposeLocally)
			})
		case *wirepb.Envelope_JoinRequest:
			n.takeJoin(body.JoinRequest.GetMember(), conn.Peer.GetControlId())
		case *wirepb.Envelope_InstanceReport:
			n.takePassedOn(conn, body.InstanceReport)
		case *wirepb.Envelope_PermitRequest:
			workers.Go(func() {
				feed.AnswerPermit(ctx, conn, envelope.GetRequestId(), body.PermitRequest, n.permitLocally, n.logger)
			})
		case *wirepb.Envelope_StatusRequest:
			workers.Go(func() { n.answerStatus(conn, envelope.GetRequestId(), body.StatusRequest) })
		}
	}
}

// takePassedOn takes a machine's report that another control node passes on, and asks for what was
// left out of it where this node lacks that.
func (n *Node) takePassedOn(conn *wire.Conn, report *wirepb.InstanceReport) {
	if whole, known := n.instances.Complete(n.instanceName(report), report); known {
		n.takeInstance(whole)
		return
	}
	wanted := &wirepb.InstanceWanted{Machine: report.GetMachine()}
	_ = conn.Send(&wirepb.Envelope{Body: &wirepb.Envelope_InstanceWanted{InstanceWanted: wanted}})
}

// noteSuccessor tells the member that another has ended for good, where a new
// identity answers at its machine: the one before lived with its disk. The member
// was known to be there before this node dialled, so whoever answers is not from
// before its time. The answer to a dial is the only proof: what dials in may have
// done so long ago.
func (n *Node) noteSuccessor(ctx context.Context, dialled settings.Member, peer *wirepb.Hello) {
	if dialled.ID == raft.None || peer.GetControlId() == raft.None || peer.GetControlId() == dialled.ID {
		return
	}
	for _, held := range n.membership.Load().GetAddresses() {
		if held.GetId() != dialled.ID || held.GetAddress() != dialled.Address || held.GetNode() != peer.GetNode() {
			continue
		}
		n.logger.Info("member_gone", "member", dialled.ID, "address", dialled.Address, "successor", peer.GetControlId())
		select {
		case n.actions <- func() { n.member.Raft.MarkTerminated(n.now(), dialled.ID) }:
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
