package feed

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/accept"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	maxEventsPerBatch = 512
	proposalTimeout   = 5 * time.Second
	// maxPendingCalls bounds the pending proposals and permit requests of one connection.
	maxPendingCalls = 256
	// readinessCheckInterval is a small part of the 2 s within which nodes must have failed over.
	readinessCheckInterval = 100 * time.Millisecond
	// minBatchInterval limits the number of batches per watcher, since the leader often commits many
	// changes in a row. The first change after a pause is sent at once.
	minBatchInterval = 50 * time.Millisecond
)

// notReadyMessage is sent to nodes whose connection is refused, and logged when sessions are
// closed.
const notReadyMessage = "this node holds no state that may be followed"

// Changes holds the changes after a revision, or the whole state.
type Changes struct {
	Events   []*wirepb.WatchEvent
	Revision uint64
	// Reset is set if Events lists the whole state because the requested changes are no longer
	// available.
	Reset bool
}

// ChangesSince returns the changes of a state after a revision, or the whole state if they are no
// longer available.
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

// NewerChanges returns the changes that are not applied yet, and whether they may be applied. It keeps
// state from reverting after late or repeated messages, or those of a server that is behind the
// previous one.
func NewerChanges(applied uint64, changes Changes) (Changes, bool) {
	if changes.Reset {
		return changes, changes.Revision >= applied
	}
	if changes.Revision <= applied {
		return Changes{}, false
	}
	changes.Events = state.NewerEvents(changes.Events, applied)
	return changes, true
}

// Backend provides the state that a Server serves.
type Backend interface {
	// ChangesAfter returns the changes after a revision, or the whole state.
	ChangesAfter(revision uint64) Changes
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// Digest returns the newest digest, or nil.
	Digest() *wirepb.ClusterDigest
	// DigestChanged returns a channel that is closed at the next digest.
	DigestChanged() <-chan struct{}
	// Report receives the reports of one or more nodes.
	Report(reports ...*wirepb.NodeReport)
	// Status returns the requested parts of the leader's view of the cluster.
	Status(ctx context.Context, request *wirepb.StatusRequest) (*wirepb.StatusReply, error)
	// Ready reports whether nodes may follow the backend: it has state and, as far as it knows, keeps
	// it up to date.
	Ready() bool
	// Permit asks the leader whether a request may be sent; see PermitFunc.
	Permit(ctx context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error)
	// Propose sends a command to the leader and returns its result.
	Propose(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error)
}

// Server serves the state of a Backend to nodes.
type Server struct {
	backend Backend
	self    wire.Config
	logger  *slog.Logger
	// handlePeer handles connections of other control nodes; if nil, they are served like nodes.
	handlePeer func(ctx context.Context, conn *wire.Conn)
	// confirmations requests the leader's revision on behalf of several nodes at once.
	confirmations *callCoalescer[*wirepb.StatusReply]
	lists         listCache
	subsets       *subsetSource

	mutex    sync.Mutex
	sessions map[*wire.Conn]struct{}
}

// NewServer returns a server. The peer function handles connections of other control nodes, whose
// hello has a control ID.
func NewServer(backend Backend, self wire.Config, zones places.ZoneMap, logger *slog.Logger, peer func(context.Context, *wire.Conn)) *Server {
	refuse := self.Refuse
	self.Refuse = func(hello *wirepb.Hello) string {
		if hello.GetControlId() == 0 && !backend.Ready() {
			return notReadyMessage
		}
		if refuse == nil {
			return ""
		}
		return refuse(hello)
	}
	server := &Server{backend: backend, self: self, logger: logger, handlePeer: peer, sessions: map[*wire.Conn]struct{}{}, subsets: newSubsetSource(backend, zones)}
	server.self.Followers = server.followers
	server.confirmations = newCallCoalescer(server.confirm)
	return server
}

// Serve accepts connections until ctx is done, and waits for their sessions to end.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var sessions sync.WaitGroup
	defer sessions.Wait()
	sessions.Go(func() { s.closeSessionsWhenNotReady(ctx) })
	for {
		netConn, err := accept.Next(ctx, listener, s.logger)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fault.Unavailable.Wrap(err, "accepting a connection")
		}
		sessions.Go(func() { s.handle(ctx, netConn) })
	}
}

func (s *Server) handle(ctx context.Context, netConn net.Conn) {
	conn, err := wire.Accept(netConn, s.self)
	if err != nil {
		s.logger.Warn("connection_refused", "remote", netConn.RemoteAddr().String(), "error", fault.Message(err))
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	if conn.Peer.GetControlId() != 0 && s.handlePeer != nil {
		s.handlePeer(ctx, conn)
		return
	}
	s.serveNode(ctx, conn)
}

// closeSessionsWhenNotReady disconnects all nodes whenever the backend is not ready.
func (s *Server) closeSessionsWhenNotReady(ctx context.Context) {
	ticker := time.NewTicker(readinessCheckInterval)
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
		if closed := s.closeSessions(); closed > 0 {
			s.logger.Warn("sessions_ended", "sessions", closed, "reason", notReadyMessage)
		}
	}
}

// closeSessions closes the connections of all nodes and returns their number.
func (s *Server) closeSessions() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn := range s.sessions {
		conn.Close()
	}
	return len(s.sessions)
}

// followers returns the number of connected nodes.
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
		session = s.subsets.newSession(conn.Peer.GetNode(), conn.Peer.GetZone())
	}
	workers.Go(func() { s.sendDigests(ctx, conn, session) })
	slots := make(chan struct{}, maxPendingCalls)
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
				session.recordDemand(body.NodeReport.GetDemand())
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

// handleStatusRequest requests the status from the leader. An empty reply means that it could not be
// reached.
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

// confirm waits for the leader's revision, which nodes need before they are ready.
func (s *Server) confirm(ctx context.Context) (*wirepb.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return AwaitRevision(ctx, s.backend, leaderPollInterval)
}

// ProposeFunc forwards a command to the leader.
type ProposeFunc func(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error)

// HandleProposal proposes a command and sends the result with the given request ID.
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

// watch sends changes to a watcher; the session is nil for a watcher of the whole state.
func (s *Server) watch(ctx context.Context, conn *wire.Conn, request *wirepb.WatchRequest, session *subsetSession) {
	if session != nil {
		s.sendSubsetChanges(ctx, conn, request, session)
		return
	}
	s.sendChanges(ctx, conn, request)
}

func (s *Server) sendDigests(ctx context.Context, conn *wire.Conn, session *subsetSession) {
	sender := &DigestSender{appendsMachines: session != nil}
	for {
		changed := s.backend.DigestChanged()
		if digest := s.backend.Digest(); digest != nil {
			if session != nil {
				digest = session.filterDigest(digest)
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
	after, ok := request.GetAfterRevision(), true
	if after == 0 && request.GetLists() {
		if after, ok = s.sendList(conn); !ok {
			return
		}
	}
	for {
		changed := s.backend.Changed()
		changes := s.backend.ChangesAfter(after)
		switch {
		case changes.Reset && request.GetLists():
			if after, ok = s.sendList(conn); !ok {
				return
			}
			continue // Sends the changes after the list.
		case changes.Reset || changes.Revision > after:
			if sendBatches(conn, changes) != nil {
				return
			}
			after = changes.Revision
			if !waitBatchInterval(ctx, conn) {
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

// waitBatchInterval returns false if the connection ended during the wait.
func waitBatchInterval(ctx context.Context, conn *wire.Conn) bool {
	select {
	case <-time.After(minBatchInterval):
		return true
	case <-conn.Done():
		return false
	case <-ctx.Done():
		return false
	}
}

// sendList sends a list of the whole state and returns its revision. On failure it closes the
// connection and returns false.
func (s *Server) sendList(conn *wire.Conn) (revision uint64, ok bool) {
	parts, revision, err := s.lists.get(s.backend)
	return revision, s.sendListParts(conn, parts, err)
}

// sendListParts sends the parts of a list, unless err reports that there is none. On failure it closes
// the connection and returns false.
func (s *Server) sendListParts(conn *wire.Conn, parts []*wirepb.WatchListPart, err error) (ok bool) {
	for index := 0; err == nil && index < len(parts); index++ {
		err = conn.Send(&wirepb.Envelope{Body: &wirepb.Envelope_WatchListPart{WatchListPart: parts[index]}})
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

// batchLength returns the number of events in the next batch. Batches end between revisions, so that a
// watcher never sees part of an atomic write; lists are applied as a whole and may be split anywhere.
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
