package httpconn

import (
	"errors"
	"io"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// Read implements net.Conn. If the connection is to be closed, and no byte of a request has arrived, it fails with net.ErrClosed:
// the connection is closed by its only reader, so that no request is read and then cut off.
func (c *Conn) Read(buffer []byte) (count int, err error) {
	if len(buffer) == 0 {
		return c.Conn.Read(buffer)
	}
	if count, err := c.takeAhead(buffer); count > 0 || err != nil {
		return count, err
	}
	if c.raw == nil {
		count, err = c.Conn.Read(buffer)
		count = c.pass(buffer[:count])
	} else {
		count, err = c.waitAndRead(buffer)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isInterrupted() {
		return c.readArrived(buffer)
	}
	return count, err
}

// takeAhead returns what was received earlier and belongs to the current request.
func (c *Conn) takeAhead(buffer []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return 0, c.readError(net.ErrClosed)
	}
	if len(c.ahead) == 0 {
		return 0, nil
	}
	count := c.passLocked(buffer[:copy(buffer, c.ahead)])
	c.aheadAtEnd = max(0, c.aheadAtEnd-count)
	c.ahead = c.ahead[count:]
	if len(c.ahead) == 0 {
		c.ahead = nil
	}
	return count, nil
}

// pass returns how many of the received bytes belong to the current request, and keeps the others.
func (c *Conn) pass(received []byte) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.keepRestLocked(received)
}

func (c *Conn) keepRestLocked(received []byte) int {
	wasIdle := !c.isBusyLocked()
	c.isNew = c.isNew && len(received) == 0
	c.pipelined = c.pipelined || c.responding && c.framing.state == betweenRequests && len(received) > 0
	count := c.passLocked(received)
	c.ahead = append(c.ahead, received[count:]...)
	if c.ending && wasIdle && c.isBusyLocked() {
		c.aheadAtEnd = len(c.ahead)
		c.resumeLocked()
	}
	return count
}

// resumeLocked lets reads wait again after an interruption.
func (c *Conn) resumeLocked() {
	if !c.interrupted {
		return
	}
	c.interrupted = false
	_ = c.Conn.SetReadDeadline(c.readDeadline) // It fails if the connection is closed, which the next read reports.
}

func (c *Conn) passLocked(received []byte) int {
	found := c.framing.pass(received)
	c.responding = c.responding || found.headEnded
	return found.count
}

func (c *Conn) isInterrupted() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.interrupted
}

// waitAndRead reads from the socket.
func (c *Conn) waitAndRead(buffer []byte) (count int, err error) {
	var failure error
	waitErr := c.raw.Read(func(descriptor uintptr) (done bool) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		count, failure = c.tryReadLocked(int(descriptor), buffer)
		return !errors.Is(failure, unix.EAGAIN)
	})
	if waitErr != nil {
		return 0, c.readError(waitErr)
	}
	return c.readResult(count, failure)
}

// readArrived reads what has arrived before the connection is closed.
func (c *Conn) readArrived(buffer []byte) (count int, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.raw == nil {
		return 0, c.readError(net.ErrClosed)
	}
	var failure error
	if err := c.raw.Control(func(descriptor uintptr) { count, failure = c.tryReadLocked(int(descriptor), buffer) }); err != nil {
		return 0, c.readError(err)
	}
	if errors.Is(failure, unix.EAGAIN) {
		return 0, c.readError(net.ErrClosed)
	}
	return c.readResult(count, failure)
}

// tryReadLocked reads what has arrived, without waiting.
func (c *Conn) tryReadLocked(descriptor int, buffer []byte) (int, error) {
	if c.closed {
		return 0, net.ErrClosed // The socket may still be open, to receive what the client sends.
	}
	for {
		count, err := unix.Read(descriptor, buffer)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil {
			return 0, err
		}
		return c.keepRestLocked(buffer[:count]), nil
	}
}

func (c *Conn) readResult(count int, failure error) (int, error) {
	if errors.Is(failure, net.ErrClosed) {
		return 0, c.readError(failure)
	}
	if failure != nil {
		return 0, c.readError(os.NewSyscallError("read", failure))
	}
	if count == 0 {
		return 0, io.EOF
	}
	return count, nil
}

// readError returns an error like those of net.TCPConn, by which net/http distinguishes broken connections from invalid requests.
func (c *Conn) readError(err error) error {
	var wrapped *net.OpError
	if errors.As(err, &wrapped) {
		err = wrapped.Err
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}
