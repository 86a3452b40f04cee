package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// failingConn reports a failure of a connection to its reader too if the kernel reported it to a concurrent write. The kernel
// reports a failure, such as a reset, to one call only, and then lets reads return EOF like after an orderly end.
//
// Invariant: Read returns io.EOF only if the peer ended the connection in order. A peer that does so first and then resets the
// connection makes writes fail with EPIPE, other failures come without an orderly end.
type failingConn struct {
	net.Conn

	// writing is held during writes.
	writing sync.Mutex
	// writeFailure is the error of the first write that failed.
	writeFailure error
}

// NetConn returns the connection below.
func (c *failingConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *failingConn) Write(content []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	count, err := c.Conn.Write(content)
	if c.writeFailure == nil {
		c.writeFailure = err
	}
	return count, err
}

// Read implements net.Conn.
func (c *failingConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if err != io.EOF {
		return count, err
	}
	if failure := c.endWrite(); failure != nil {
		return count, failure
	}
	return count, io.EOF
}

// endWrite ends a write in progress, as nothing more is received, and returns the error of a write that shows that the connection
// failed.
func (c *failingConn) endWrite() error {
	_ = c.SetWriteDeadline(time.Now()) // An error means that the connection is closed, which ends writes too.
	c.writing.Lock()
	defer c.writing.Unlock()
	if errors.Is(c.writeFailure, os.ErrDeadlineExceeded) || errors.Is(c.writeFailure, syscall.EPIPE) {
		return nil
	}
	return c.writeFailure
}
