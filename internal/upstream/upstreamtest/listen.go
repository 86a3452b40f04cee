// Package upstreamtest provides servers for tests of clients of engines and workers.
package upstreamtest

import (
	"net"
	"testing"
)

// Listen starts a server that handles each connection on a goroutine and closes it afterwards. It ends with the test.
func Listen(t testing.TB, handle func(connection *net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = accepted.Close() }()
				handle(accepted.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}
