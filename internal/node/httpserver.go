package node

import (
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/weldline/weldline/internal/accept"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/httpconn"
)

// httpServer is an HTTP server that can finish the requests that it has received.
type httpServer struct {
	address string
	// accepting is the listener below the wrapped one, which may be of TLS.
	accepting   *accept.Listener
	listener    net.Listener
	connections httpconn.Tracker
	server      *http.Server
	stopping    atomic.Bool
}

// newHTTPServer returns a server for the connections of a listener, as wrapped by a function.
func newHTTPServer(address string, listener net.Listener, wrap func(net.Listener) net.Listener, handler http.Handler, logger *slog.Logger) *httpServer {
	created := &httpServer{address: address, accepting: accept.NewListener(listener)}
	created.listener = wrap(created.accepting)
	created.server = &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
	created.connections.Attach(created.server)
	return created
}

// run serves until the server is stopped. An earlier end is a failure.
func (s *httpServer) run() error {
	err := s.server.Serve(httpconn.Listener{Listener: s.listener, Tracker: &s.connections})
	if s.stopping.Load() {
		return nil
	}
	return fault.Unavailable.Wrap(err, "serving %s", s.address)
}

// stopAccepting accepts the connections that clients have opened, and closes the listener. Then it closes idle connections, and
// the others once they are idle.
func (s *httpServer) stopAccepting() {
	s.stopping.Store(true)
	s.accepting.Drain()
	s.connections.CloseIdle()
}

// isBusy reports whether requests are in progress, or connections that stopAccepting closes are still open.
func (s *httpServer) isBusy() bool { return s.connections.Busy() > 0 }

// close closes all connections.
func (s *httpServer) close() {
	s.stopAccepting()
	_ = s.server.Close()
}
