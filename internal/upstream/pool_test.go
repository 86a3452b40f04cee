package upstream

import (
	"net"
	"testing"
	"time"
)

// listen takes connections and keeps them open until the test ends.
func listen(t *testing.T) string {
	t.Helper()
	return accepting(t, func(network net.Conn) { t.Cleanup(func() { _ = network.Close() }) })
}

// accepting passes on each connection that it takes, and returns its address.
func accepting(t *testing.T, accepted func(network net.Conn)) string {
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
			accepted(network)
		}
	}()
	return listener.Addr().String()
}

// TestKeptConnectionsLeadToTheAddress: a machine that came back at another address under its name
// must not have its requests given to the process before, which may still be there.
func TestKeptConnectionsLeadToTheAddress(t *testing.T) {
	const machine = "machine-1"
	pool := NewPool(Config{DialTimeout: 5 * time.Second, MaxIdle: FixedMaxIdle(1), IdleTimeout: time.Hour})
	before, after := listen(t), listen(t)
	if err := pool.Preconnect(t.Context(), machine, before); err != nil {
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

// TestConnectionsBeyondTheShareAreClosed: what is kept of a machine is bounded for that machine.
func TestConnectionsBeyondTheShareAreClosed(t *testing.T) {
	pool := NewPool(Config{DialTimeout: 5 * time.Second, IdleTimeout: time.Hour, MaxIdle: func(machine string) int {
		return map[string]int{"one": 1, "two": 2}[machine]
	}})
	address := listen(t)
	for _, machine := range []string{"one", "two"} {
		for range 3 {
			if err := pool.Preconnect(t.Context(), machine, address); err != nil {
				t.Fatal(err)
			}
		}
	}
	if one, two := len(pool.idle["one"]), len(pool.idle["two"]); one != 1 || two != 2 {
		t.Errorf("%d and %d connections are kept", one, two)
	}
}
