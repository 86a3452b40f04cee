// Package httpconn closes the idle connections of an HTTP server without losing requests. net/http counts a connection as idle until
// the head of the next request has been parsed, so http.Server.Shutdown may close it under a request that was read. Invariant:
// a connection is closed as idle only if nothing was read from it since its last response, and nothing is read from it afterwards.
// Requests that a client sends before the response to the one before are not covered.
package httpconn

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/weldline/weldline/internal/tcpopt"
)

// Tracker tracks the connections of HTTP servers. It is safe for concurrent use; its zero value has no connections.
type Tracker struct {
	closing atomic.Bool
	mutex   sync.Mutex
	conns   map[*Conn]struct{}
	closed  Closed
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

func (t *Tracker) countClosed(wasBusy bool, unacknowledgedBytes int) {
	if !t.closing.Load() {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if wasBusy {
		t.closed.Busy++
	} else {
		t.closed.Idle++
	}
	t.closed.UnacknowledgedBytes += int64(unacknowledgedBytes)
}

// Wrap returns a connection that is tracked until Observe is called with http.StateClosed.
func (t *Tracker) Wrap(network net.Conn) *Conn {
	wrapped := &Conn{Conn: network, tracker: t}
	if socket, isTCP := network.(*net.TCPConn); isTCP {
		raw, err := socket.SyscallConn()
		if err == nil { // Otherwise the connection is closed, which its first read reports.
			wrapped.raw = raw
		}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.conns == nil {
		t.conns = map[*Conn]struct{}{}
	}
	t.conns[wrapped] = struct{}{}
	return wrapped
}

// Observe is the ConnState hook of the servers. The connection may be one that wraps a Conn, such as one with TLS.
func (t *Tracker) Observe(connection net.Conn, state http.ConnState) {
	tracked, isTracked := tcpopt.Below[*Conn](connection)
	if !isTracked {
		return
	}
	switch state {
	case http.StateIdle:
		tracked.setIdle()
		if t.closing.Load() {
			tracked.closeIfIdle()
		}
	case http.StateClosed, http.StateHijacked:
		t.mutex.Lock()
		defer t.mutex.Unlock()
		delete(t.conns, tracked)
	}
}

// CloseIdle closes the connections without a request now, and the others as soon as they are idle.
func (t *Tracker) CloseIdle() {
	t.closing.Store(true)
	for _, each := range t.list() {
		each.closeIfIdle()
	}
}

// Busy returns the number of connections that a request is being read from, or whose response has not been written.
func (t *Tracker) Busy() int {
	busy := 0
	for _, each := range t.list() {
		if each.isBusy() {
			busy++
		}
	}
	return busy
}

func (t *Tracker) list() []*Conn {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	listed := make([]*Conn, 0, len(t.conns))
	for each := range t.conns {
		listed = append(listed, each)
	}
	return listed
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

// Conn is a tracked connection.
type Conn struct {
	net.Conn
	tracker *Tracker
	// raw is nil if the connection is not a TCP connection. Its reads are then not atomic with what they change.
	raw syscall.RawConn

	mutex sync.Mutex
	// busy is set once something was read since the last response, and closed once the connection was closed as idle.
	busy, closed bool
	counted      sync.Once
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.counted.Do(func() { c.tracker.countClosed(c.isBusy(), c.unacknowledgedBytes()) })
	return c.Conn.Close()
}

// unacknowledgedBytes returns the number of bytes that the peer has not acknowledged, 0 if it is unknown.
func (c *Conn) unacknowledgedBytes() int {
	if c.raw == nil {
		return 0
	}
	bytes := 0
	err := c.raw.Control(func(descriptor uintptr) {
		if queued, failure := unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ); failure == nil {
			bytes = queued
		}
	})
	if err != nil {
		return 0 // The connection has been closed.
	}
	return bytes
}

func (c *Conn) setIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.busy = false
}

func (c *Conn) isBusy() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.busy
}

func (c *Conn) closeIfIdle() {
	c.mutex.Lock()
	isIdle := !c.busy && !c.closed
	c.closed = c.closed || isIdle
	c.mutex.Unlock()
	if isIdle {
		_ = c.Close() // The client has no request on it, or sees that it was not read.
	}
}
