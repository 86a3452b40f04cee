package control

import (
	"context"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/settings"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	peerRetryDelay = 200 * time.Millisecond
	flushDelay     = 50 * time.Millisecond
	forwardTimeout = 5 * time.Second
)

// peerSet holds the connections that this node dialled to the other members.
type peerSet struct {
	node  *Node
	links map[uint64]*peerLink
}

// peerLink is one dialled connection and the calls outstanding on it.
type peerLink struct {
	node   *Node
	member settings.Member

	mutex   sync.Mutex
	conn    *wire.Conn
	digests *feed.DigestSender
	nextID  uint64
	waiting map[uint64]chan *wirepb.Envelope
}

func newPeerSet(node *Node) *peerSet {
	set := &peerSet{node: node, links: map[uint64]*peerLink{}}
	for _, member := range node.settings.Control.Members {
		if member.ID == node.settings.Control.ID {
			continue
		}
		set.links[member.ID] = &peerLink{node: node, member: member, waiting: map[uint64]chan *wirepb.Envelope{}}
	}
	return set
}

func (s *peerSet) start(ctx context.Context, workers *sync.WaitGroup) {
	for _, link := range s.links {
		workers.Go(func() { link.run(ctx) })
	}
}

// sendRaft sends raft messages. What can't be sent is lost, as the protocol
// allows.
func (s *peerSet) sendRaft(messages []*wirepb.RaftMessage) {
	for _, message := range messages {
		if link := s.links[message.GetTo()]; link != nil {
			_ = link.send(&wirepb.Envelope{Body: &wirepb.Envelope_Raft{Raft: message}})
		}
	}
}

// flush gives the writers time for the last messages before a stop.
func (s *peerSet) flush() {
	time.Sleep(flushDelay)
}

func (s *peerSet) broadcastDigest(digest *wirepb.ClusterDigest) {
	for _, link := range s.links {
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

func (l *peerLink) run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := wire.Dial(ctx, l.member.Address, l.node.self)
		if err == nil {
			l.receive(ctx, conn)
		}
		select {
		case <-ctx.Done():
		case <-time.After(peerRetryDelay):
		}
	}
}

func (l *peerLink) receive(ctx context.Context, conn *wire.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	l.mutex.Lock()
	l.conn = conn
	l.digests = &feed.DigestSender{}
	l.mutex.Unlock()
	defer l.detach()
	for {
		envelope, err := conn.Receive()
		if err != nil {
			return
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
		return nil, fault.Deadline.New("no answer from the leader in time")
	}
}

// servePeer handles a connection that another member dialled.
func (n *Node) servePeer(ctx context.Context, conn *wire.Conn) {
	var workers sync.WaitGroup
	defer workers.Wait()
	digests := &feed.DigestReceiver{}
	for {
		envelope, err := conn.Receive()
		if err != nil {
			return
		}
		switch body := envelope.GetBody().(type) {
		case *wirepb.Envelope_Raft:
			n.inbox <- body.Raft
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
		case *wirepb.Envelope_StatusRequest:
			workers.Go(func() { n.answerStatus(conn, envelope.GetRequestId()) })
		}
	}
}

func (n *Node) answerStatus(conn *wire.Conn, requestID uint64) {
	reply := &wirepb.StatusReply{}
	if status, err := n.localStatus(); err == nil {
		reply = status
	}
	_ = conn.Send(&wirepb.Envelope{RequestId: requestID, Body: &wirepb.Envelope_StatusReply{StatusReply: reply}})
}
