package soak

import (
	"io"
	"net"
	"testing"
	"time"
)

// echo returns the address of a server that sends back what it gets.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(connection, connection)
				_ = connection.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func newProxy(t *testing.T) *Proxy {
	t.Helper()
	created, err := NewProxy("127.0.0.1:0", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(created.Close)
	return created
}

func connect(t *testing.T, proxy *Proxy) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", proxy.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

func send(t *testing.T, connection net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(connection, text); err != nil {
		t.Fatal(err)
	}
}

func expect(t *testing.T, connection net.Conn, text string) {
	t.Helper()
	got := make([]byte, len(text))
	if _, err := io.ReadFull(connection, got); err != nil || string(got) != text {
		t.Fatalf("got %q, %v, want %q", got, err, text)
	}
}

// silentFor is how long nothing may come where nothing should.
const silentFor = 50 * time.Millisecond

func expectNothing(t *testing.T, connection net.Conn) {
	t.Helper()
	_ = connection.SetReadDeadline(time.Now().Add(silentFor))
	if count, err := connection.Read(make([]byte, 1)); count > 0 || err == io.EOF {
		t.Fatalf("read %d bytes, %v", count, err)
	}
	_ = connection.SetReadDeadline(time.Time{})
}

// TestCutHoldsBackUntilItHeals: what is sent during two overlapping cuts comes after both.
func TestCutHoldsBackUntilItHeals(t *testing.T) {
	proxy := newProxy(t)
	connection := connect(t, proxy)
	send(t, connection, "a")
	expect(t, connection, "a")
	for _, direction := range []Direction{To, From} {
		proxy.Cut(direction)
		proxy.Cut(direction)
		send(t, connection, "b")
		expectNothing(t, connection)
		proxy.Heal(direction)
		expectNothing(t, connection)
		proxy.Heal(direction)
		expect(t, connection, "b")
	}
}

// TestSilenceLeavesNewConnectionsAlone: a connection that was there is silent for good.
func TestSilenceLeavesNewConnectionsAlone(t *testing.T) {
	proxy := newProxy(t)
	old := connect(t, proxy)
	send(t, old, "a")
	expect(t, old, "a")
	proxy.Silence(From)
	send(t, old, "b")
	expectNothing(t, old)
	fresh := connect(t, proxy)
	send(t, fresh, "c")
	expect(t, fresh, "c")
}

// TestReset: both ends of a connection learn that it is gone, by an error.
func TestReset(t *testing.T) {
	proxy := newProxy(t)
	connection := connect(t, proxy)
	send(t, connection, "a")
	expect(t, connection, "a")
	proxy.Reset()
	if _, err := connection.Read(make([]byte, 1)); err == nil || err == io.EOF {
		t.Errorf("a connection that was reset ends with %v", err)
	}
}
