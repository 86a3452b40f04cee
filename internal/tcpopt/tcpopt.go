// Package tcpopt sets the options that make connections to silent machines
// end soon.
//
// A machine without power, or behind a cut, answers nothing: without these
// options a connection to it hangs for many minutes.
package tcpopt

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout is how long sent bytes may stay unacknowledged.
const UserTimeout = 2 * time.Second

// KeepAlive probes idle connections, so that a silent peer is noticed within
// a few seconds.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// Control sets the options on a socket before it connects; see
// net.Dialer.Control.
func Control(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// IsConnectionRefused reports whether a connection was refused, as the system of a machine does whose
// process has ended. One that is cut off lets the time run out.
func IsConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Apply sets the options on an accepted connection, if it is one of TCP.
func Apply(connection net.Conn) {
	accepted, isTCP := connection.(*net.TCPConn)
	if !isTCP {
		return
	}
	_ = accepted.SetKeepAliveConfig(KeepAlive)
	if raw, err := accepted.SyscallConn(); err == nil {
		_ = Control("", "", raw)
	}
}
