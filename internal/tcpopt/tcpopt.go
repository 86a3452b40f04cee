// Package tcpopt sets socket options that detect unresponsive peers within seconds.
//
// With the system's defaults, a connection to a machine that is down or partitioned
// takes minutes to fail.
package tcpopt

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout is the value of TCP_USER_TIMEOUT: the longest time for which sent data
// may remain unacknowledged.
const UserTimeout = 2 * time.Second

// KeepAlive configures keep-alive probes that detect an unresponsive peer of an idle
// connection within a few seconds.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// Control sets the options on a socket before it connects. It is for use as
// net.Dialer.Control.
func Control(_, _ string, raw syscall.RawConn) error {
	return setUserTimeout(raw, UserTimeout)
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// AllowPauses replaces UserTimeout for a connection whose peer may be slow to read: the kernel ends a connection whose peer
// takes nothing for that long, although it acknowledges that. Other connections than TCP are ignored.
func AllowPauses(connection net.Conn, longest time.Duration) error {
	socket := Socket(connection)
	if socket == nil {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, longest)
}

// IsConnectionRefused reports whether a connection was refused: the host is reachable, but no process
// listens on the port. An unreachable host causes a timeout instead.
func IsConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// IsUnacknowledged reports whether a connection ended because its peer acknowledged nothing for
// UserTimeout or did not answer the keep-alive probes.
func IsUnacknowledged(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT)
}

// IsShortage reports whether an error means that this process or its host is short of descriptors or memory, which says
// nothing about a peer.
func IsShortage(err error) bool {
	for _, shortage := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// Socket returns the TCP connection below a connection, such as one with TLS, or nil.
func Socket(connection net.Conn) *net.TCPConn {
	socket, _ := Below[*net.TCPConn](connection)
	return socket
}

// Below returns the first connection of a type among a connection and those that it wraps.
func Below[Conn net.Conn](connection net.Conn) (found Conn, isFound bool) {
	for {
		if found, isFound = connection.(Conn); isFound {
			return found, true
		}
		wrapper, isWrapper := connection.(interface{ NetConn() net.Conn })
		if !isWrapper {
			return found, false
		}
		connection = wrapper.NetConn()
	}
}

// Apply sets the options on an accepted connection. It ignores connections other than TCP.
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

// Listener applies the options to the connections that another listener accepts.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err == nil {
		Apply(connection)
	}
	return connection, err
}

// Dialer returns a dialer with the options.
func Dialer() *net.Dialer {
	return &net.Dialer{Control: Control, KeepAliveConfig: KeepAlive}
}

// DialerFrom returns a dialer with the options whose connections have a local IP address.
func DialerFrom(source net.IP) *net.Dialer {
	return &net.Dialer{
		LocalAddr: &net.TCPAddr{IP: source}, KeepAliveConfig: KeepAlive,
		Control: func(network, address string, raw syscall.RawConn) error {
			err := raw.Control(func(descriptor uintptr) {
				// Binding chooses no port yet, so that connections to different machines may share one.
				_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
			})
			if err != nil {
				return err
			}
			return Control(network, address, raw)
		},
	}
}
