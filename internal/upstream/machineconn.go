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

// machineConn is a connection to a machine that fails where net/http would take a broken response for a whole one.
//
// The kernel reports a failure of a connection, such as a reset, to one call only, and then lets reads return EOF like after an
// orderly end. Invariant: Read returns io.EOF only if the peer ended the connection in order. A peer that does so first and then
// resets the connection makes writes fail with EPIPE, other failures come without an orderly end.
type machineConn struct {
	net.Conn

	// headMutex guards folding.
	headMutex sync.Mutex
	folding   foldingDetector

	// writing is held during writes.
	writing sync.Mutex
	// writeFailure is the error of the first write that failed.
	writeFailure error
}

// NetConn returns the connection below.
func (c *machineConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *machineConn) Write(content []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	count, err := c.Conn.Write(content)
	if c.writeFailure == nil {
		c.writeFailure = err
	}
	return count, err
}

// expectHead has the following bytes checked as those of the head of a response. Some of them may have been read already.
func (c *machineConn) expectHead(read []byte) error {
	c.headMutex.Lock()
	defer c.headMutex.Unlock()
	c.folding = foldingDetector{}
	return c.folding.observe(read)
}

func (c *machineConn) checkHead(received []byte) error {
	c.headMutex.Lock()
	defer c.headMutex.Unlock()
	return c.folding.observe(received)
}

// Read implements net.Conn.
func (c *machineConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if err := c.checkHead(buffer[:count]); err != nil {
		return 0, err
	}
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
func (c *machineConn) endWrite() error {
	_ = c.SetWriteDeadline(time.Now()) // An error means that the connection is closed, which ends writes too.
	c.writing.Lock()
	defer c.writing.Unlock()
	if errors.Is(c.writeFailure, os.ErrDeadlineExceeded) || errors.Is(c.writeFailure, syscall.EPIPE) {
		return nil
	}
	return c.writeFailure
}
