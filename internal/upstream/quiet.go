package upstream

import (
	"net"

	"golang.org/x/sys/unix"
)

// isQuiet reports whether nothing has come on a resting connection: neither
// bytes, which would belong to no request, nor its end.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	connection, isTCP := c.network.(*net.TCPConn)
	if !isTCP {
		return true
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, failure := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = failure == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
