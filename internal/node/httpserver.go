package node

import (
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/httpconn"
)

// httpServer is an HTTP server that can finish the requests that it has received.
type httpServer struct {
	address     string
	listener    net.Listener
	connections httpconn.Tracker
	server      *http.Server
	stopping    atomic.Bool
}

func newHTTPServer(address string, listener net.Listener, handler http.Handler, logger *slog.Logger) *httpServer {
	created := &httpServer{address: address, listener: listener}
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

// stopAccepting closes the listener and idle connections, and the others once they are idle.
func (s *httpServer) stopAccepting() {
	s.stopping.Store(true)
	_ = s.listener.Close()
	s.connections.CloseIdle()
}

// isBusy reports whether requests are in progress, or connections that stopAccepting closes are still open.
func (s *httpServer) isBusy() bool { return s.connections.Busy() > 0 }

// close closes all connections.
func (s *httpServer) close() {
	s.stopAccepting()
	_ = s.server.Close()
}
