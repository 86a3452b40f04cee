package node

import (
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/accept/accepttest"
)

// Guards against clients of the control API, or other routers, whose connection is reset because the server stopped before it had
// accepted the connection, although their request had arrived.
func TestStoppingHTTPServerAcceptsWhatHasArrived(t *testing.T) {
	const clients = 40
	listener := accepttest.Listen(t)
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) })
	unwrapped := func(accepting net.Listener) net.Listener { return accepting }
	server := newHTTPServer(listener.Addr().String(), listener, unwrapped, handler, slog.New(slog.DiscardHandler))
	ended := make(chan error, 1)
	go func() { ended <- server.run() }()
	countResponses := listener.Send(t, clients, "GET / HTTP/1.1\r\nHost: api\r\n\r\n")
	server.stopAccepting()
	if answered := countResponses("HTTP/1.1 204"); answered != clients {
		t.Errorf("%d of %d requests that had arrived got a response", answered, clients)
	}
	for server.isBusy() {
		time.Sleep(time.Millisecond)
	}
	server.close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
