package feed

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// maxEventsPerBatch bounds a frame of changes.
	maxEventsPerBatch = 512
	proposalTimeout   = 5 * time.Second
	// maxProposalsPerSession bounds the calls that one connection may have
	// outstanding.
	maxProposalsPerSession = 256
	// servesInterval is how often a server looks whether it may be followed: a small part of
	// the 2 s in which nodes must have changed to another.
	servesInterval = 100 * time.Millisecond
	// changesGap is the least time between two batches of changes to a node: a leader's pass
	// commits many, and each batch costs the node and the server more than what it holds. The
	// first of them goes at once; a load, which they tell of, takes seconds.
	changesGap = 50 * time.Millisecond
)

// notServing is why nodes are refused, or sent elsewhere.
const notServing = "this node holds no state that may be followed"

// Changes is an answer to "what came after this revision".
type Changes struct {
	Events   []*wirepb.WatchEvent
	Revision uint64
	// Reset is set where Events list the whole state, because the changes
	// are no longer known.
	Reset bool
}

// ChangesSince returns the changes of a state after a revision, or the whole
// state where they are no longer kept.
func ChangesSince(machine *state.Machine, revision uint64) Changes {
	changes := Changes{Revision: machine.Revision()}
	events, err := machine.EventsAfter(revision)
	if err == nil {
		changes.Events = events
		return changes
	}
	changes.Reset = true
	for _, object := range machine.List("") {
		changes.Events = append(changes.Events, &wirepb.WatchEvent{Object: object})
	}
	return changes
}

// NewerChanges returns what is new to a watcher that holds everything up to a
// revision. It is what keeps a configuration from reverting: a watcher may be
// answered late, twice, or by a server that is behind the one before.
func NewerChanges(held uint64, changes Changes) (Changes, bool) {
	if changes.Reset {
		return changes, changes.Revision >= held
	}
	if changes.Revision <= held {
		return Changes{}, false
	}
	changes.Events = state.NewerEvents(changes.Events, held)
	return changes, true
}

// Backend is what a Server serves.
type Backend interface {
	// ChangesAfter returns the changes after a revision.
	ChangesAfter(revision uint64) Changes
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// Digest returns the newest digest, or nil.
	Digest() *wirepb.ClusterDigest
	// DigestChanged returns a channel that is closed at the next digest.
	DigestChanged() <-chan struct{}
	// Report takes the reports of one or more nodes.
	Report(reports ...*wirepb.NodeReport)
	// Status returns the leader's view of the cluster, as much as is asked for.
	Status(ctx context.Context, request *wirepb.StatusRequest) (*wirepb.StatusReply, error)
	// Ready reports whether nodes may follow the backend: it holds a state, and that is
	// kept up to date as far as it knows.
	Ready() bool
	// Permit asks the leader whether one request may be sent to a machine that warms up.
	Permit(ctx context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error)
	// Propose carries a command to the leader and returns its result.
	Propose(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error)
}

// Server serves a Backend to the connections that it is given.
type Server struct {
	backend Backend
	self    wire.Config
	logger  *slog.Logger
	// peer handles connections of control nodes; nil refuses them.
	peer func(ctx context.Context, conn *wire.Conn)
	// confirmations asks the leader for its revision.
	confirmations *batcher[*wirepb.StatusReply]
	// lists are whole states for watchers that hold nothing.
	lists listCache
	// subsets are for watchers that know a part of the machines only.
	subsets *subsets

	mutex sync.Mutex
	// sessions are the connections of nodes that follow this server.
	sessions map[*wire.Conn]struct{}
}

// NewServer returns a server in a place whose zones are known. The peer function takes over
// connections whose hello carries a control id.
func NewServer(backend Backend, self wire.Config, zones places.ZoneMap, logger *slog.Logger, peer func(context.Context, *wire.Conn)) *Server {
	refuse := self.Refuse
	self.Refuse = func(hello *wirepb.Hello) string {
		if hello.GetControlId() == 0 && !backend.Ready() {
			return notServing
		}
		if refuse == nil {
			return ""
		}
		return refuse(hello)
	}
	server := &Server{backend: backend, self: self, logger: logger, peer: peer, sessions: map[*wire.Conn]struct{}{}, subsets: newSubsets(backend, zones)}
	server.self.Followers = server.followers
	server.confirmations = newBatcher(server.confirm)
	return server
}

// Serve accepts connections until ctx ends, and waits for their sessions.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var sessions sync.WaitGroup
	defer sessions.Wait()
	sessions.Go(func() { s.endSessionsUnlessServing(ctx) })
	for {
		network, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fault.Unavailable.Wrap(err, "accepting a connection")
		}
		sessions.Go(func() { s.handle(ctx, network) })
	}
}

func (s *Server) handle(ctx context.Context, network net.Conn) {
	conn, err := wire.Accept(network, s.self)
	if err != nil {
		s.logger.Warn("connection_refused", "remote", network.RemoteAddr().String(), "error", fault.Message(err))
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	if conn.Peer.GetControlId() != 0 && s.peer != nil {
		s.peer(ctx, conn)
		return
	}
	s.serveNode(ctx, conn)
}

// endSessionsUnlessServing sends the nodes that follow this server elsewhere whenever the backend
// may not be followed.
func (s *Server) endSessionsUnlessServing(ctx context.Context) {
	ticker := time.NewTicker(servesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.backend.Ready() {
			continue
		}
		if ended := s.endSessions(); ended > 0 {
			s.logger.Warn("sessions_ended", "sessions", ended, "reason", notServing)
		}
	}
}

// endSessions closes the connections of all nodes and returns how many there were.
func (s *Server) endSessions() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn := range s.sessions {
		conn.Close()
	}
	return len(s.sessions)
}

// followers is how many nodes follow this server.
func (s *Server) followers() uint32 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return uint32(len(s.sessions))
}

func (s *Server) addSession(conn *wire.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sessions[conn] = struct{}{}
}

func (s *Server) removeSession(conn *wire.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.sessions, conn)
}

func (s *Server) serveNode(ctx context.Context, conn *wire.Conn) {
	s.addSession(conn)
	defer s.removeSession(conn)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	var session *subsetSession
	if conn.Peer.GetSubset() {
		session = s.subsets.session(conn.Peer.GetZone())
	}
	workers.Go(func() { s.sendDigests(ctx, conn, session) })
	slots := make(chan struct{}, maxProposalsPerSession)
	watching := false
	for {
		envelope, err := conn.Receive()
		if err != nil {
			return
		}
		switch body := envelope.GetBody().(type) {
		case *wirepb.Envelope_WatchRequest:
			if watching {
				continue
			}
			watching = true
			workers.Go(func() { s.watch(ctx, conn, body.WatchRequest, session) })
		case *wirepb.Envelope_NodeReport:
			if session != nil {
				session.noteDemand(body.NodeReport.GetDemand())
			}
			s.backend.Report(body.NodeReport)
		case *wirepb.Envelope_NodeReportBatch:
			s.backend.Report(body.NodeReportBatch.GetReports()...)
		case *wirepb.Envelope_StatusRequest:
			workers.Go(func() { s.handleStatusRequest(ctx, conn, envelope.GetRequestId(), body.StatusRequest) })
		case *wirepb.Envelope_PermitRequest:
			slots <- struct{}{}
			workers.Go(func() {
				defer func() { <-slots }()
				HandlePermitRequest(ctx, conn, envelope.GetRequestId(), body.PermitRequest, s.backend.Permit, s.logger)
			})
		case *wirepb.Envelope_Proposal:
			slots <- struct{}{}
			workers.Go(func() {
				defer func() { <-slots }()
				HandleProposal(ctx, conn, envelope.GetRequestId(), body.Proposal, s.backend.Propose)
			})
		}
	}
}

// handleStatusRequest asks the leader; the empty reply stands for "none answers".
func (s *Server) handleStatusRequest(ctx context.Context, conn *wire.Conn, requestID uint64, request *wirepb.StatusRequest) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	var reply *wirepb.StatusReply
	var err error
	if request.GetRevisionOnly() {
		reply, err = s.confirmations.do(ctx)
	} else {
		reply, err = s.backend.Status(ctx, request)
	}
	if err != nil {
		reply = &wirepb.StatusReply{}
	}
	_ = conn.Send(&wirepb.Envelope{RequestId: requestID, Body: &wirepb.Envelope_StatusReply{StatusReply: reply}})
}

// confirm waits for the leader's revision: nodes that have just started wait for nothing
// else.
func (s *Server) confirm(ctx context.Context) (*wirepb.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return AwaitRevision(ctx, s.backend, confirmPoll)
}

// ProposeFunc carries a command towards the leader.
type ProposeFunc func(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error)

// HandleProposal carries out a proposal that came on a connection and sends
// the result back under the same request id.
func HandleProposal(ctx context.Context, conn *wire.Conn, requestID uint64, command *wirepb.Command, propose ProposeFunc) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	result, err := propose(ctx, command)
	if err != nil {
		result = &wirepb.CommandResult{Code: wirepb.ResultCode_RESULT_CODE_UNAVAILABLE, Message: fault.Message(err)}
	}
	_ = conn.Send(&wirepb.Envelope{
		RequestId: requestID,
		Body:      &wirepb.Envelope_ProposalResult{ProposalResult: result},
	})
}

// watch sends a watcher what changes; the session is nil for one that learns of everything.
func (s *Server) watch(ctx context.Context, conn *wire.Conn, request *wirepb.WatchRequest, session *subsetSession) {
	if session != nil {
		s.sendSubset(ctx, conn, request, session)
		return
	}
	s.sendChanges(ctx, conn, request)
}

func (s *Server) sendDigests(ctx context.Context, conn *wire.Conn, session *subsetSession) {
	sender := &DigestSender{appends: session != nil}
	for {
		changed := s.backend.DigestChanged()
		if digest := s.backend.Digest(); digest != nil {
			if session != nil {
				digest = session.digest(digest)
			}
			if conn.Send(sender.Envelope(digest)) != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-conn.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) sendChanges(ctx context.Context, conn *wire.Conn, request *wirepb.WatchRequest) {
	after, listed := request.GetAfterRevision(), true
	if after == 0 && request.GetLists() {
		if after, listed = s.sendList(conn); !listed {
			return
		}
	}
	for {
		changed := s.backend.Changed()
		changes := s.backend.ChangesAfter(after)
		switch {
		case changes.Reset && request.GetLists():
			if after, listed = s.sendList(conn); !listed {
				return
			}
			continue // What has changed since.
		case changes.Reset || changes.Revision > after:
			if sendBatches(conn, changes) != nil {
				return
			}
			after = changes.Revision
			if !pauseBetween(ctx, conn) {
				return
			}
		}
		select {
		case <-changed:
		case <-conn.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

// pauseBetween waits for changesGap; it returns false where the connection ends before.
func pauseBetween(ctx context.Context, conn *wire.Conn) bool {
	select {
	case <-time.After(changesGap):
		return true
	case <-conn.Done():
		return false
	case <-ctx.Done():
		return false
	}
}

// sendList sends the whole state, or one of a moment ago, and returns its revision. Where it
// can't, the connection is closed and listed is false.
func (s *Server) sendList(conn *wire.Conn) (revision uint64, listed bool) {
	parts, revision, err := s.lists.get(s.backend)
	return revision, s.sendParts(conn, parts, err)
}

// sendParts sends a list, unless it could not be made. Where it does not get to the watcher, the
// connection is closed and listed is false.
func (s *Server) sendParts(conn *wire.Conn, parts []*wirepb.WatchListPart, err error) (listed bool) {
	for position := 0; err == nil && position < len(parts); position++ {
		err = conn.Send(&wirepb.Envelope{Body: &wirepb.Envelope_WatchListPart{WatchListPart: parts[position]}})
	}
	if err != nil {
		s.logger.Warn("list_not_sent", "remote", conn.Peer.GetNode(), "error", fault.Message(err))
		conn.Close()
	}
	return err == nil
}

func sendBatches(conn *wire.Conn, changes Changes) error {
	events := changes.Events
	reset := changes.Reset
	for {
		count := batchLength(events, reset)
		batch := &wirepb.WatchBatch{Reset_: reset, Events: events[:count], More: count < len(events)}
		batch.Revision = changes.Revision
		if !reset && batch.GetMore() {
			batch.Revision = events[count-1].GetObject().GetRevision()
		}
		if err := conn.Send(&wirepb.Envelope{Body: &wirepb.Envelope_WatchBatch{WatchBatch: batch}}); err != nil {
			return err
		}
		events = events[count:]
		if len(events) == 0 {
			return nil
		}
	}
}

// batchLength cuts changes between revisions only, so that a watcher never
// holds half of an atomic write. Lists are applied whole and may be cut
// anywhere.
func batchLength(events []*wirepb.WatchEvent, reset bool) int {
	count := min(len(events), maxEventsPerBatch)
	if reset || count == len(events) {
		return count
	}
	for count < len(events) && events[count].GetObject().GetRevision() == events[count-1].GetObject().GetRevision() {
		count++
	}
	return count
}
