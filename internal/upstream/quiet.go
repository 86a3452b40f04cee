package upstream

import (
	"net"

	"golang.org/x/sys/unix"
)

// hasNoInput reports whether nothing was received on an idle connection: neither data, which would
// belong to no request, nor EOF.
func (c *conn) hasNoInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	connection := socketOf(c.network)
	if connection == nil {
		return true
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, failure := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = failure == unix.EAGAIN
		return true
	})
	return err == nil && empty
}

// socketOf returns the TCP connection below a connection, such as one with TLS, or nil.
func socketOf(connection net.Conn) *net.TCPConn {
	for {
		switch current := connection.(type) {
		case *net.TCPConn:
			return current
		case interface{ NetConn() net.Conn }:
			connection = current.NetConn()
		default:
			return nil
		}
	}
}
