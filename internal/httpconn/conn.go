package httpconn

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// firstRequestTime is the time that a new connection has until its first request arrives, before it counts as idle: its client
// sends one at once, and does not know whether it ran if the connection ends.
const firstRequestTime = 500 * time.Millisecond

// Conn is a tracked connection. Its Read never returns bytes of more than one request. Methods whose names end in Locked require
// the mutex.
type Conn struct {
	net.Conn
	tracker *Tracker
	// raw is nil if the connection is not a TCP connection.
	raw syscall.RawConn

	mutex   sync.Mutex
	framing framing
	// opened is when the connection was accepted, and isNew is set until something is received.
	opened time.Time
	isNew  bool
	// responding is set from the end of a request's head until net/http reports the connection idle.
	responding bool
	// ahead was received together with the end of a request, and belongs to the next ones.
	ahead []byte
	// ending is set once the connection is to be closed when it is idle.
	ending bool
	// aheadAtEnd is how many bytes of ahead were received before ending was set, or with the last read of an idle connection.
	aheadAtEnd int
	// interrupted is set while reads are ended by a deadline in place of readDeadline, which is the one of the server.
	interrupted  bool
	readDeadline time.Time
	// pipelined is set once a request was received before the response to the one before had been written.
	pipelined bool
	// wrote is set once a response was begun.
	wrote bool
	// resets is set while a close resets the connection, so that its peer does not take what it got for complete.
	resets bool
	closed bool
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// isBusyLocked reports whether any byte was received of a request whose response has not been written.
func (c *Conn) isBusyLocked() bool {
	return c.responding || c.framing.state != betweenRequests || len(c.ahead) > 0
}

// mayAnswer reports whether a response may still be written, or a request read.
func (c *Conn) mayAnswer() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ending || c.isBusyLocked()
}

// expectBody records that a handler has begun, and the length of the request's body: -1 if it comes in chunks.
func (c *Conn) expectBody(length int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.responding = true
	c.framing.expectBody(length)
}

// isLastResponse reports whether the connection is to be closed after the response to the current request. Requests that were
// received before the end are answered first, others are not, as clients may send them without end.
func (c *Conn) isLastResponse() bool {
	if !c.tracker.announcing.Load() {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ending {
		return c.aheadAtEnd == 0
	}
	return len(c.ahead) == 0
}

// setIdle is called when the response to a request has been written and net/http waits for the next one.
func (c *Conn) setIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.responding = false
	c.interruptIfIdleLocked()
}

// end has the connection closed as soon as it is idle.
func (c *Conn) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.ending {
		c.ending, c.aheadAtEnd = true, len(c.ahead)
	}
	c.interruptIfIdleLocked()
}

// interruptIfIdleLocked ends the wait of a read, which then fails unless a request has arrived.
func (c *Conn) interruptIfIdleLocked() {
	if !c.ending || c.isBusyLocked() || c.interrupted {
		return
	}
	if left := firstRequestTime - time.Since(c.opened); c.isNew && left > 0 {
		time.AfterFunc(left, c.end)
		return
	}
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // It fails if the connection is closed, which ends reads as well.
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readDeadline = deadline
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}
