package ingress_test

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// handshakeBytes is the size of a packet without payload, windowBytes what a sender may have under way.
	handshakeBytes = 66
	windowBytes    = 64 << 10
	segmentBytes   = 1448
)

// linkedHost is a host in an in-memory network. Everything to and from it passes its link, which has a queue for each
// direction. It is for use with virtual time.
type linkedHost struct {
	inbound, outbound direction
	mutex             sync.Mutex
	listener          *memoryListener
	// handlers serve the connections that the host opens, by address.
	handlers map[string]*memoryListener
	ends     []net.Conn
}

func newLinkedHost(megabitsPerSecond float64) *linkedHost {
	rate := megabitsPerSecond * 1e6 / 8
	return &linkedHost{inbound: direction{rate: rate}, outbound: direction{rate: rate}, handlers: map[string]*memoryListener{}}
}

// direction is one direction of a link.
type direction struct {
	mutex sync.Mutex
	rate  float64
	// free is when all packets so far have been carried.
	free time.Time
}

// carry returns when a payload arrives.
func (d *direction) carry(bytes int) time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if now := time.Now(); d.free.Before(now) {
		d.free = now
	}
	packets := 1 + (bytes-1)/segmentBytes
	d.free = d.free.Add(time.Duration(float64(bytes+packets*handshakeBytes) / d.rate * float64(time.Second)))
	return d.free
}

// await waits until a time or until ctx is done.
func await(ctx context.Context, until time.Time) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return &net.OpError{Op: "dial", Net: "memory", Err: os.ErrDeadlineExceeded}
	case <-timer.C:
		return nil
	}
}

var errConnectionRefused = &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}

// dialFrom opens a connection from the host to a server elsewhere.
func (h *linkedHost) dialFrom(ctx context.Context, _, address string) (net.Conn, error) {
	if err := await(ctx, h.outbound.carry(0)); err != nil {
		return nil, err
	}
	if err := await(ctx, h.inbound.carry(0)); err != nil {
		return nil, err
	}
	h.mutex.Lock()
	server := h.handlers[address]
	h.mutex.Unlock()
	if server == nil {
		return nil, errConnectionRefused
	}
	near, far := h.connect(&h.outbound, &h.inbound)
	if !server.deliver(far) {
		return nil, errConnectionRefused
	}
	return near, nil
}

// dialTo opens a connection from elsewhere to the host. It is refused at once if the host does not listen.
func (h *linkedHost) dialTo(ctx context.Context, _, _ string) (net.Conn, error) {
	if err := await(ctx, h.inbound.carry(0)); err != nil {
		return nil, err
	}
	h.mutex.Lock()
	listener := h.listener
	h.mutex.Unlock()
	if listener == nil || listener.isClosed() {
		return nil, errConnectionRefused
	}
	if err := await(ctx, h.outbound.carry(0)); err != nil {
		return nil, err
	}
	near, far := h.connect(&h.inbound, &h.outbound)
	go func() {
		time.Sleep(time.Until(h.inbound.carry(0)))
		if !listener.deliver(far) {
			_ = far.Close()
		}
	}()
	return near, nil
}

// listen makes the host accept connections.
func (h *linkedHost) listen() *memoryListener {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.listener = newMemoryListener()
	h.listener.host = h
	return h.listener
}

// connect returns the ends of a connection. What the near end writes passes one direction of a link, what the far end
// writes the other.
func (h *linkedHost) connect(there, back *direction) (near, far net.Conn) {
	nearRead, farWrite := net.Pipe()
	farRead, nearWrite := net.Pipe()
	near, far = newLinkConn(nearRead, nearWrite, there), newLinkConn(farRead, farWrite, back)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.ends = append(h.ends, near, far)
	return near, far
}

// close closes all connections that were opened.
func (h *linkedHost) close() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, end := range h.ends {
		_ = end.Close()
	}
}

// linkConn is one end of a connection over a link.
type linkConn struct {
	net.Conn  // is read from
	peer      net.Conn
	direction *direction
	mutex     sync.Mutex
	room      *sync.Cond
	queue     []segment
	queued    int
	closed    bool
	wake      chan struct{}
}

type segment struct {
	payload []byte
	arrival time.Time
}

func newLinkConn(read, peer net.Conn, carrier *direction) *linkConn {
	created := &linkConn{Conn: read, peer: peer, direction: carrier, wake: make(chan struct{}, 1)}
	created.room = sync.NewCond(&created.mutex)
	go created.run()
	return created
}

// Write implements net.Conn.
func (c *linkConn) Write(content []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for c.queued > 0 && c.queued+len(content) > windowBytes && !c.closed {
		c.room.Wait()
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	c.queue = append(c.queue, segment{payload: append([]byte(nil), content...), arrival: c.direction.carry(len(content))})
	c.queued += len(content)
	c.signal()
	return len(content), nil
}

func (c *linkConn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run delivers what was written until the connection is closed and all has arrived.
func (c *linkConn) run() {
	defer func() { _ = c.peer.Close() }()
	for {
		c.mutex.Lock()
		if len(c.queue) == 0 {
			closed := c.closed
			c.mutex.Unlock()
			if closed {
				return
			}
			<-c.wake
			continue
		}
		next := c.queue[0]
		c.queue = c.queue[1:]
		c.mutex.Unlock()
		time.Sleep(time.Until(next.arrival))
		_, err := c.peer.Write(next.payload)
		c.mutex.Lock()
		c.queued -= len(next.payload)
		if err != nil {
			c.closed, c.queue = true, nil // The other end is closed.
		}
		c.room.Broadcast()
		c.mutex.Unlock()
	}
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.mutex.Lock()
	c.closed = true
	c.room.Broadcast()
	c.signal()
	c.mutex.Unlock()
	return c.Conn.Close()
}

// memoryListener is a net.Listener for connections that are delivered to it.
type memoryListener struct {
	host     *linkedHost
	mutex    sync.Mutex
	waiting  []net.Conn
	closed   bool
	deadline time.Time
	changed  chan struct{}
}

func newMemoryListener() *memoryListener {
	return &memoryListener{changed: make(chan struct{})}
}

// notify wakes all waiting calls of Accept. The mutex must be held.
func (l *memoryListener) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *memoryListener) isClosed() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.closed
}

// deliver reports whether the listener is open.
func (l *memoryListener) deliver(connection net.Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return false
	}
	l.waiting = append(l.waiting, connection)
	l.notify()
	return true
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	for {
		l.mutex.Lock()
		changed, deadline := l.changed, l.deadline
		switch {
		case l.closed:
			l.mutex.Unlock()
			return nil, net.ErrClosed
		case len(l.waiting) > 0:
			first := l.waiting[0]
			l.waiting = l.waiting[1:]
			l.mutex.Unlock()
			return first, nil
		}
		l.mutex.Unlock()
		var expired <-chan time.Time
		if !deadline.IsZero() {
			expired = time.After(time.Until(deadline))
		}
		select {
		case <-changed:
		case <-expired:
			return nil, os.ErrDeadlineExceeded
		}
	}
}

// SetDeadline sets the deadline of Accept.
func (l *memoryListener) SetDeadline(deadline time.Time) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.deadline = deadline
	l.notify()
	return nil
}

// Close implements net.Listener. It closes the connections that were not accepted.
func (l *memoryListener) Close() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	l.closed = true
	for _, connection := range l.waiting {
		_ = connection.Close()
	}
	l.waiting = nil
	l.notify()
	return nil
}

// Reopen returns a listener that takes the place of a closed one.
func (l *memoryListener) Reopen() (net.Listener, error) { return l.host.listen(), nil }

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }
