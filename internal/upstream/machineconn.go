package upstream

import (
	"io"
	"net"
	"sync"
)

// machineConn is a connection to a machine that fails where net/http would take a broken response for a whole one.
//
// The kernel reports a failure of a connection, such as a reset, to one call only, and then lets reads return EOF like after an
// orderly end. Invariant: inside a body, Read returns io.EOF only after the whole request was written without an error, so that no
// write can have got the failure. Until then it waits, also if the machine has ended its side in order: the connection may still be
// reset because the rest of the request finds no reader.
type machineConn struct {
	net.Conn

	// mutex guards folding and request.
	mutex   sync.Mutex
	folding foldingDetector
	// request is nil before the first exchange.
	request *requestWrite

	closeOnce sync.Once
	closed    chan struct{}
}

// requestWrite is the writing of one request.
type requestWrite struct {
	ended chan struct{}
	// err is valid once ended is closed.
	err error
}

func newMachineConn(network net.Conn) *machineConn {
	return &machineConn{Conn: network, closed: make(chan struct{})}
}

// NetConn returns the connection below.
func (c *machineConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *machineConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// beginRequest must be called before a request is written. It returns a function to be called with the result of that.
func (c *machineConn) beginRequest() (end func(err error)) {
	begun := &requestWrite{ended: make(chan struct{})}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.request = begun
	var once sync.Once
	return func(err error) {
		once.Do(func() {
			begun.err = err
			close(begun.ended)
		})
	}
}

// expectHead has the following bytes checked as those of the head of a response. Some of them may have been read already.
func (c *machineConn) expectHead(read []byte) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.folding = foldingDetector{}
	return c.folding.observe(read)
}

// Read implements net.Conn.
func (c *machineConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.mutex.Lock()
	folded, request, inBody := c.folding.observe(buffer[:count]), c.request, c.folding.isEnded
	c.mutex.Unlock()
	switch {
	case folded != nil:
		return 0, folded
	case err == io.EOF && request != nil && inBody:
		return count, c.endOf(request)
	}
	return count, err
}

// endOf returns io.EOF once a request has been written, or the error that ended that.
func (c *machineConn) endOf(request *requestWrite) error {
	select {
	case <-request.ended:
	case <-c.closed:
		return net.ErrClosed
	}
	if request.err != nil {
		return request.err
	}
	return io.EOF
}
