// Package accepttest has a listener for tests of servers that stop.
package accepttest

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Listener is a TCP listener that accepts nothing until it is being stopped: connections wait in the kernel's queue.
type Listener struct {
	net.Listener
	stopping chan struct{}
	once     sync.Once
}

// Listen returns a listener on a free port of the loopback interface.
func Listen(t *testing.T) *Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return &Listener{Listener: listener, stopping: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	<-l.stopping
	return l.Listener.Accept()
}

// SetDeadline sets the deadline of Accept, as that of a net.TCPListener.
func (l *Listener) SetDeadline(deadline time.Time) error {
	l.once.Do(func() { close(l.stopping) })
	return l.Listener.(*net.TCPListener).SetDeadline(deadline)
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.stopping) })
	return l.Listener.Close()
}

// Send opens connections and writes a request on each of them. The returned function reads the responses and returns how many
// connections got a response that begins with a prefix.
func (l *Listener) Send(t *testing.T, connections int, request string) (countResponses func(prefix string) int) {
	t.Helper()
	var opened []net.Conn
	for range connections {
		connection, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = connection.Close() })
		if _, err := connection.Write([]byte(request)); err != nil {
			t.Fatal(err)
		}
		opened = append(opened, connection)
	}
	return func(prefix string) int {
		answered := 0
		for _, connection := range opened {
			response := make([]byte, len(prefix))
			if count, _ := connection.Read(response); string(response[:count]) == prefix {
				answered++
			}
		}
		return answered
	}
}
