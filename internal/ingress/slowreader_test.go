package ingress_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/weldline/weldline/internal/tcpopt"
)

// TestSlowReaderKeepsItsConnection guards against resetting the connection of a client that does not read for some seconds:
// the kernel does so after the user timeout, although the client acknowledges its probes.
func TestSlowReaderKeepsItsConnection(t *testing.T) {
	timeouts := make(chan time.Duration, 1)
	address := serveClients(t, func(writer http.ResponseWriter, _ *http.Request) {
		connection, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			t.Error(err)
			timeouts <- 0
			return
		}
		defer func() { _ = connection.Close() }()
		timeouts <- userTimeout(t, connection)
	})
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	write(connection, "GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n")
	// The server has its default limits.
	if timeout := <-timeouts; timeout < time.Minute {
		t.Errorf("a client may read nothing for %s, want as long as it may be idle", timeout)
	}
}

func userTimeout(t *testing.T, connection net.Conn) time.Duration {
	t.Helper()
	raw, err := tcpopt.Socket(connection).SyscallConn()
	if err != nil {
		t.Error(err)
		return 0
	}
	milliseconds := 0
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		milliseconds, optionErr = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	if err != nil || optionErr != nil {
		t.Error(err, optionErr)
	}
	return time.Duration(milliseconds) * time.Millisecond
}
