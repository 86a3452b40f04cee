package ingress

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/tcpopt"
)

const (
	// idleSlack is by how much longer a resting connection is kept than
	// callers may use it, so that none is closed as it is used.
	idleSlack = time.Second
	// The limits in force before a declaration has brought others.
	startHeaderTimeout = 10 * time.Second
	startIdleTimeout   = time.Minute
	startHeaderBytes   = 64 << 10
)

// Server accepts callers' connections and holds them to the declared limits.
// Connections keep the limits under which they were accepted.
type Server struct {
	handler http.Handler
	view    *nodeview.View
	logger  *slog.Logger

	mutex   sync.Mutex
	limits  v1.DeclarationSpec
	current *limitedServer
	all     []*limitedServer
	stopped bool
	// listener is set while Serve runs.
	listener net.Listener
}

// limitedServer is an HTTP server under one set of limits, with the
// connections that it is given.
type limitedServer struct {
	server      *http.Server
	connections *handedListener
}

// NewServer returns a server; Serve starts it.
func NewServer(handler http.Handler, view *nodeview.View, logger *slog.Logger) *Server {
	return &Server{handler: handler, view: view, logger: logger}
}

// Serve accepts connections until ctx ends or StopAccepting is called.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.mutex.Lock()
	s.listener = listener
	s.mutex.Unlock()
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	for {
		connection, err := listener.Accept()
		if s.isStopped() || ctx.Err() != nil {
			if err == nil {
				_ = connection.Close()
			}
			<-ctx.Done()
			return nil
		}
		if err != nil {
			return fault.Unavailable.Wrap(err, "accepting a connection")
		}
		tcpopt.Apply(connection)
		s.hand(connection)
	}
}

func (s *Server) isStopped() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stopped
}

// hand gives a connection to the server of the present limits.
func (s *Server) hand(connection net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	limits := s.limits
	if declared := s.view.Declaration(); declared != nil {
		limits = *declared
		limits.Version = 0
	}
	if s.current == nil || limits != s.limits {
		s.limits = limits
		s.current = s.start(limits)
		s.all = append(s.all, s.current)
		s.logger.Info("limits_in_force", "header_bytes", limits.MaxHeaderBytes, "body_bytes", limits.MaxBodyBytes,
			"header_timeout_ms", time.Duration(limits.HeaderTimeout).Milliseconds(), "idle_timeout_ms", time.Duration(limits.IdleTimeout).Milliseconds())
	}
	s.current.connections.hand(connection)
}

func (s *Server) start(limits v1.DeclarationSpec) *limitedServer {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	server := &http.Server{
		Handler: s.handler, Protocols: protocols,
		ReadHeaderTimeout: startHeaderTimeout, IdleTimeout: startIdleTimeout, MaxHeaderBytes: startHeaderBytes,
		ErrorLog: slog.NewLogLogger(s.logger.Handler(), slog.LevelDebug),
	}
	if limits.HeaderTimeout > 0 {
		server.ReadHeaderTimeout = time.Duration(limits.HeaderTimeout)
	}
	if limits.IdleTimeout > 0 {
		server.IdleTimeout = time.Duration(limits.IdleTimeout) + idleSlack
	}
	if limits.MaxHeaderBytes > 0 {
		server.MaxHeaderBytes = int(limits.MaxHeaderBytes)
	}
	started := &limitedServer{server: server, connections: newHandedListener()}
	go func() { _ = server.Serve(started.connections) }()
	return started
}

// StopAccepting closes the listener and the connections that rest. What is in
// flight goes on.
func (s *Server) StopAccepting() {
	s.mutex.Lock()
	s.stopped = true
	listener, all := s.listener, s.all
	s.mutex.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, limited := range all {
		go func() { _ = limited.server.Shutdown(context.Background()) }()
	}
}

func (s *Server) close() {
	s.StopAccepting()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, limited := range s.all {
		_ = limited.server.Close()
	}
}

// handedListener is a listener whose connections were accepted elsewhere.
type handedListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func newHandedListener() *handedListener {
	return &handedListener{connections: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *handedListener) hand(connection net.Conn) {
	select {
	case l.connections <- connection:
	case <-l.closed:
		_ = connection.Close()
	}
}

// Accept implements net.Listener.
func (l *handedListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *handedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *handedListener) Addr() net.Addr { return &net.TCPAddr{} }
