package upstream

import (
	"golang.org/x/sys/unix"

	"github.com/weldline/weldline/internal/tcpopt"
)

// hasNoInput reports whether nothing was received on an idle connection: neither data, which would
// belong to no request, nor EOF.
func (c *conn) hasNoInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	connection := tcpopt.Socket(c.network)
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
