package upstream

import (
	"net"
	"testing"
	"time"
)

// listen takes connections and keeps them open until the test ends.
func listen(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			network, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = network.Close() })
		}
	}()
	return listener.Addr().String()
}

// TestKeptConnectionsLeadToTheAddress: a machine that came back at another address under its name
// must not have its requests given to the process before, which may still be there.
func TestKeptConnectionsLeadToTheAddress(t *testing.T) {
	const machine = "machine-1"
	pool := NewPool(Config{DialTimeout: 5 * time.Second, MaxIdle: 1, IdleTimeout: time.Hour})
	before, after := listen(t), listen(t)
	if err := pool.Open(t.Context(), machine, before); err != nil {
		t.Fatal(err)
	}
	moved, err := pool.acquire(t.Context(), machine, after, false)
	if err != nil {
		t.Fatal(err)
	}
	if to := moved.network.RemoteAddr().String(); to != after {
		t.Errorf("a request to %s went to %s", after, to)
	}
	pool.keep(moved, 0)
	again, err := pool.acquire(t.Context(), machine, after, false)
	if err != nil || again != moved {
		t.Errorf("a kept connection to the same address is not used again: %v", err)
	}
	_ = moved.network.Close()
}
