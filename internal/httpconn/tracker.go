// Package httpconn closes the idle connections of an HTTP server without losing requests. net/http counts a connection as idle until
// the head of the next request has been parsed, and reads ahead: http.Server.Shutdown may close it under a request that was received.
// Invariant: a connection is closed as idle only if nothing was received since its last response, and nothing is read from it
// afterwards. Only the reader of a connection decides that, and it passes no bytes of more than one request to net/http, so
// that none are hidden there.
package httpconn

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/weldline/weldline/internal/tcpopt"
)

// Tracker tracks the connections of HTTP servers. It is safe for concurrent use; its zero value has no connections.
type Tracker struct {
	// announcing is set by AnnounceClose, closing by CloseIdle.
	announcing, closing atomic.Bool

	mutex  sync.Mutex
	conns  map[*Conn]struct{}
	closed Closed
}

// Closed describes the connections that were closed since CloseIdle was called.
type Closed struct {
	// Idle connections had no request; Busy ones ended with a response, with an error or with their server.
	Idle, Busy int
	// UnacknowledgedBytes were sent on these connections, and not yet acknowledged by the peer when they were closed.
	UnacknowledgedBytes int64
}

// Closed returns what has been closed so far.
func (t *Tracker) Closed() Closed {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.closed
}

// Wrap returns a connection that is tracked until it is closed.
func (t *Tracker) Wrap(network net.Conn) *Conn {
	wrapped := &Conn{Conn: network, tracker: t, opened: time.Now(), isNew: true}
	if socket, isTCP := network.(*net.TCPConn); isTCP {
		raw, err := socket.SyscallConn()
		if err == nil { // Otherwise the connection is closed, which its first read reports.
			wrapped.raw = raw
		}
	}
	t.mutex.Lock()
	if t.conns == nil {
		t.conns = map[*Conn]struct{}{}
	}
	t.conns[wrapped] = struct{}{}
	t.mutex.Unlock()
	if t.closing.Load() {
		wrapped.end()
	}
	return wrapped
}

// Attach prepares a server, whose handler must be set, to serve tracked connections. They may be wrapped, such as by TLS.
func (t *Tracker) Attach(server *http.Server) {
	server.Handler, server.ConnContext, server.ConnState = newHandler(server.Handler), ConnContext, observe
}

// observe is the ConnState hook of the servers.
func observe(connection net.Conn, state http.ConnState) {
	if tracked, isTracked := tcpopt.Below[*Conn](connection); isTracked && state == http.StateIdle {
		tracked.setIdle()
	}
}

// AnnounceClose adds "Connection: close" to further responses, except those that are followed by requests that have been received.
func (t *Tracker) AnnounceClose() { t.announcing.Store(true) }

// CloseIdle has the connections without a request closed now, and the others as soon as they are idle. It announces that as well.
func (t *Tracker) CloseIdle() {
	t.AnnounceClose()
	t.closing.Store(true)
	for _, each := range t.list() {
		each.end()
	}
}

// Busy returns the number of connections that a request is being read from, or whose response has not been written. After
// CloseIdle these are all that are not closed yet.
func (t *Tracker) Busy() int {
	busy := 0
	for _, each := range t.list() {
		if each.mayAnswer() {
			busy++
		}
	}
	return busy
}

func (t *Tracker) list() []*Conn {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Collect(maps.Keys(t.conns))
}

// remove ends the tracking of a connection that is closed.
func (t *Tracker) remove(closed *Conn, wasBusy bool, unacknowledgedBytes int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.conns, closed)
	if !t.closing.Load() {
		return
	}
	if wasBusy {
		t.closed.Busy++
	} else {
		t.closed.Idle++
	}
	t.closed.UnacknowledgedBytes += int64(unacknowledgedBytes)
}

// Listener tracks the connections that another listener accepts.
type Listener struct {
	net.Listener
	Tracker *Tracker
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.Tracker.Wrap(accepted), nil
}
