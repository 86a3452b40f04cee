package upstream

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/weldline/weldline/internal/tcpopt"
)

// idleWatch waits for input on an idle connection, which ends its use: it is either the end of the connection or bytes that
// belong to no request.
type idleWatch struct {
	network  net.Conn
	stopping atomic.Bool
	stopped  chan struct{}
}

// watchIdle calls onEnd once anything is received or the connection fails. It returns nil if it can't watch the connection.
func watchIdle(network net.Conn, onEnd func()) *idleWatch {
	raw := rawSocket(network)
	if raw == nil {
		return nil
	}
	watch := &idleWatch{network: network, stopped: make(chan struct{})}
	go func() {
		err := raw.Read(hasInput)
		close(watch.stopped)
		if err == nil || !watch.stopping.Load() {
			onEnd()
		}
	}()
	return watch
}

// stop ends the watch before the connection is used again.
func (w *idleWatch) stop() {
	if w == nil {
		return
	}
	w.stopping.Store(true)
	// Errors mean that the connection is closed, which its next use detects.
	_ = w.network.SetReadDeadline(time.Now())
	<-w.stopped
	_ = w.network.SetReadDeadline(time.Time{})
}

// rawSocket returns the socket of a TCP connection, or nil.
func rawSocket(network net.Conn) syscall.RawConn {
	socket := tcpopt.Socket(network)
	if socket == nil {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil // The connection is closed.
	}
	return raw
}

// hasInput reports whether a socket has received anything that was not read, or its end.
func hasInput(descriptor uintptr) bool {
	var peeked [1]byte
	_, _, err := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err != unix.EAGAIN
}
