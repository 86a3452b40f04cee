package httpconn

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/tcpopt"
)

const (
	// lingerTime bounds the time in which the client of a closed connection can get its last responses.
	lingerTime = time.Second
	// lingerPoll is the interval of looking whether it has.
	lingerPoll = 5 * time.Millisecond
)

// SetResetOnClose sets whether a close of a connection resets it, without sending what is left. The connection may be one that
// wraps a Conn, or is not tracked.
func SetResetOnClose(connection net.Conn, resets bool) error {
	socket := tcpopt.Socket(connection)
	if socket == nil {
		return fault.Unavailable.New("not a TCP connection")
	}
	if tracked, isTracked := tcpopt.Below[*Conn](connection); isTracked {
		tracked.mutex.Lock()
		tracked.resets = resets
		tracked.mutex.Unlock()
	}
	seconds := -1 // the default: the kernel sends what is left, and then closes the connection
	if resets {
		seconds = 0
	}
	return socket.SetLinger(seconds)
}

// Write implements net.Conn.
func (c *Conn) Write(content []byte) (int, error) {
	c.mutex.Lock()
	c.wrote = true
	c.mutex.Unlock()
	return c.Conn.Write(content)
}

// Close implements net.Conn. A close with unread bytes would reset the connection, and its client could lose responses that it
// has not read. What it has not acknowledged can be lost if this host's network ends with the process, as that of a container does. In
// both cases only the sending side is closed at first.
func (c *Conn) Close() error {
	c.mutex.Lock()
	wasClosed, wasBusy, lingers, pipelined := c.closed, c.isBusyLocked(), c.lingersLocked(), c.pipelined
	c.closed = true
	c.mutex.Unlock()
	if wasClosed {
		return c.Conn.Close()
	}
	if socket, isTCP := c.Conn.(*net.TCPConn); isTCP && lingers && socket.CloseWrite() == nil {
		go c.closeOnceDelivered(socket, wasBusy, pipelined)
		return nil
	}
	return c.closeNow(wasBusy)
}

func (c *Conn) closeNow(wasBusy bool) error {
	c.tracker.remove(c, wasBusy, c.queued(unix.SIOCOUTQ))
	return c.Conn.Close()
}

// closeOnceDelivered closes the connection after its client has, or once the client has acknowledged all responses and is not
// expected to send, or after lingerTime.
func (c *Conn) closeOnceDelivered(socket *net.TCPConn, wasBusy, maySend bool) {
	end := time.Now().Add(lingerTime)
	for time.Now().Before(end) && socket.SetReadDeadline(time.Now().Add(lingerPoll)) == nil {
		discarded, err := io.Copy(io.Discard, socket)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			break // The client has closed its side as well, or the connection is broken.
		}
		if discarded == 0 && !maySend && c.queued(unix.SIOCOUTQ) == 0 {
			break
		}
	}
	_ = c.closeNow(wasBusy)
}

// lingersLocked reports whether the client may have sent more than was read, or may not have got all responses before the process
// ends.
func (c *Conn) lingersLocked() bool {
	if c.raw == nil || !c.wrote || c.resets {
		return false
	}
	return c.pipelined || len(c.ahead) > 0 || c.queued(unix.SIOCINQ) > 0 || c.ending && c.queued(unix.SIOCOUTQ) > 0
}

// queued returns the number of bytes in a queue of the socket: unix.SIOCINQ for those that were not read, unix.SIOCOUTQ for
// those that the peer has not acknowledged. It is 0 if the connection has been closed.
func (c *Conn) queued(queue uint) int {
	if c.raw == nil {
		return 0
	}
	bytes := 0
	err := c.raw.Control(func(descriptor uintptr) {
		if count, failure := unix.IoctlGetInt(int(descriptor), queue); failure == nil {
			bytes = count
		}
	})
	if err != nil {
		return 0
	}
	return bytes
}
