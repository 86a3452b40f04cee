package soak

import (
	"io"
	"net"
	"testing"
	"time"
)

func startEchoServer(t *testing.T) string {
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
	created, err := NewProxy("127.0.0.1:0", startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(created.Close)
	return created
}

func dial(t *testing.T, proxy *Proxy) net.Conn {
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

// silenceTimeout bounds the wait for data that must not arrive.
const silenceTimeout = 50 * time.Millisecond

func expectNothing(t *testing.T, connection net.Conn) {
	t.Helper()
	_ = connection.SetReadDeadline(time.Now().Add(silenceTimeout))
	if count, err := connection.Read(make([]byte, 1)); count > 0 || err == io.EOF {
		t.Fatalf("read %d bytes, %v", count, err)
	}
	_ = connection.SetReadDeadline(time.Time{})
}

// TestBlockHoldsBackDataUntilUnblocked checks that data sent while a direction is blocked twice arrives
// after the second Unblock.
func TestBlockHoldsBackDataUntilUnblocked(t *testing.T) {
	proxy := newProxy(t)
	connection := dial(t, proxy)
	send(t, connection, "a")
	expect(t, connection, "a")
	for _, direction := range []Direction{ToServer, FromServer} {
		proxy.Block(direction)
		proxy.Block(direction)
		send(t, connection, "b")
		expectNothing(t, connection)
		proxy.Unblock(direction)
		expectNothing(t, connection)
		proxy.Unblock(direction)
		expect(t, connection, "b")
	}
}

func TestSilenceAffectsExistingConnectionsOnly(t *testing.T) {
	proxy := newProxy(t)
	old := dial(t, proxy)
	send(t, old, "a")
	expect(t, old, "a")
	proxy.Silence(FromServer)
	send(t, old, "b")
	expectNothing(t, old)
	fresh := dial(t, proxy)
	send(t, fresh, "c")
	expect(t, fresh, "c")
}

// TestReset checks that the peer of a reset connection reads an error, not the end of the stream.
func TestReset(t *testing.T) {
	proxy := newProxy(t)
	connection := dial(t, proxy)
	send(t, connection, "a")
	expect(t, connection, "a")
	proxy.Reset()
	if _, err := connection.Read(make([]byte, 1)); err == nil || err == io.EOF {
		t.Errorf("read on a reset connection: %v", err)
	}
}

// TestResetIsPassedOn guards against a proxy that turns a server's reset into a close, which marks the end of a response.
func TestResetIsPassedOn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	proxy, err := NewProxy("127.0.0.1:0", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	for _, resets := range []bool{true, false} {
		client := dial(t, proxy)
		server, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		send(t, server, "part")
		expect(t, client, "part")
		if resets {
			reset(server)
		} else {
			_ = server.Close()
		}
		_, err = client.Read(make([]byte, 1))
		if isEnd := err == io.EOF; isEnd == resets {
			t.Errorf("with reset %v the client reads %v", resets, err)
		}
	}
}
