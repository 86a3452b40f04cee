package ingress

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/accept"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/httpconn"
	"github.com/weldline/weldline/internal/link"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/tcpopt"
)

const (
	// idleTimeoutMargin is added to the declared idle timeout, so that the server does not
	// close a connection just as the client reuses it.
	idleTimeoutMargin = time.Second
	// Defaults for limits that the declaration doesn't set.
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = time.Minute
	defaultMaxHeaderBytes = 64 << 10
)

// Server accepts client connections and applies the declared limits. A
// connection keeps the limits under which it was accepted.
type Server struct {
	handler http.Handler
	view    *nodeview.View
	logger  *slog.Logger
	measure MeasureFunc
	// admission judges new connections.
	admission   *admission
	connections httpconn.Tracker

	mutex   sync.Mutex
	limits  v1.DeclarationSpec
	current *limitedServer
	servers []*limitedServer
	// stopped is set when a stop begins, closed once no further connection is served.
	stopped, closed bool
	// listener is set by Serve.
	listener *accept.Listener
}

// limitedServer is an HTTP server for the connections under one set of limits.
type limitedServer struct {
	server      *http.Server
	connections *connListener
}

// MeasureFunc measures how long packets wait for this node's link.
type MeasureFunc func(ctx context.Context) time.Duration

// NewServer returns a server that is not yet listening. The meter counts the traffic of its clients; measure is used while
// the link is overloaded.
func NewServer(handler http.Handler, view *nodeview.View, logger *slog.Logger, metrics *Metrics, meter *link.Meter, measure MeasureFunc) *Server {
	return &Server{handler: handler, view: view, logger: logger, measure: measure, admission: &admission{logger: logger, metrics: metrics, link: meter}}
}

// Serve accepts connections until ctx is done or StopAccepting is called. It returns when ctx
// is done.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stoppable := accept.NewListener(listener)
	s.setListener(stoppable)
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	err := s.acceptAll(ctx, &acceptor{listener: stoppable, server: s})
	if s.isStopped() || ctx.Err() != nil {
		<-ctx.Done()
		return nil
	}
	return fault.Unavailable.Wrap(err, "accepting a connection")
}

// acceptAll serves connections until accepting one fails.
func (s *Server) acceptAll(ctx context.Context, connections *acceptor) error {
	for {
		connection, err := connections.Accept(ctx)
		if err != nil {
			return err
		}
		tcpopt.Apply(connection)
		s.assign(s.admission.wrap(s.connections.Wrap(connection)))
	}
}

// setListener replaces the listener that StopAccepting stops.
func (s *Server) setListener(listener *accept.Listener) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listener = listener
	if s.stopped {
		_ = listener.Close()
	}
}

func (s *Server) isStopped() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stopped
}

// assign passes a connection to the server of the current limits.
func (s *Server) assign(connection net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		_ = connection.Close() // StopAccepting would not know of a server that is started now.
		return
	}
	limits := s.limits
	if declared := s.view.Declaration(); declared != nil {
		limits = *declared
		limits.Version = 0
	}
	if s.current == nil || limits != s.limits {
		s.limits = limits
		s.current = s.start(limits)
		s.servers = append(s.servers, s.current)
		s.logger.Info("limits_in_force", "header_bytes", limits.MaxHeaderBytes, "body_bytes", limits.MaxBodyBytes,
			"header_timeout_ms", time.Duration(limits.HeaderTimeout).Milliseconds(), "idle_timeout_ms", time.Duration(limits.IdleTimeout).Milliseconds())
	}
	// A client that reads nothing for a while is idle, not gone.
	if err := tcpopt.AllowPauses(connection, s.current.server.IdleTimeout); err != nil {
		s.logger.Debug("socket_option_not_set", "error", err.Error()) // The connection is closed, which its server notices.
	}
	s.current.connections.deliver(connection)
}

func (s *Server) start(limits v1.DeclarationSpec) *limitedServer {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	server := &http.Server{
		Handler: s.handler, Protocols: protocols,
		ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: defaultMaxHeaderBytes,
		ErrorLog: slog.NewLogLogger(s.logger.Handler(), slog.LevelDebug),
	}
	s.connections.Attach(server)
	if limits.HeaderTimeout > 0 {
		server.ReadHeaderTimeout = time.Duration(limits.HeaderTimeout)
	}
	if limits.IdleTimeout > 0 {
		server.IdleTimeout = time.Duration(limits.IdleTimeout) + idleTimeoutMargin
	}
	if limits.MaxHeaderBytes > 0 {
		server.MaxHeaderBytes = int(limits.MaxHeaderBytes)
	}
	started := &limitedServer{server: server, connections: newConnListener()}
	go func() { _ = server.Serve(started.connections) }()
	return started
}

// AnnounceClose has clients use other connections from now on.
func (s *Server) AnnounceClose() { s.connections.AnnounceClose() }

// StopAccepting accepts the connections that clients have opened, and closes the listener. Then it closes idle connections, and
// the others once they are idle. Requests that have arrived continue.
func (s *Server) StopAccepting() {
	if listener := s.beginStop(); listener != nil {
		listener.Drain()
	}
	s.mutex.Lock()
	s.closed = true
	all := s.servers
	s.mutex.Unlock()
	for _, limited := range all {
		_ = limited.connections.Close()
	}
	s.connections.CloseIdle()
}

// beginStop returns the listener, if there is one.
func (s *Server) beginStop() *accept.Listener {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopped = true
	return s.listener
}

// Busy returns the number of connections that a request is being read from, or whose response has not been written.
func (s *Server) Busy() int { return s.connections.Busy() }

// Closed describes the connections that were closed since StopAccepting was called.
func (s *Server) Closed() httpconn.Closed { return s.connections.Closed() }

func (s *Server) close() {
	s.StopAccepting()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, limited := range s.servers {
		_ = limited.server.Close()
	}
}

// connListener is a net.Listener for connections that another listener accepted.
type connListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func newConnListener() *connListener {
	return &connListener{connections: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *connListener) deliver(connection net.Conn) {
	select {
	case l.connections <- connection:
	case <-l.closed:
		_ = connection.Close()
	}
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return &net.TCPAddr{} }
