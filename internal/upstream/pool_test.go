package upstream

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/fault"
)

// listen accepts connections and keeps them open until the test ends.
func listen(t *testing.T) string {
	t.Helper()
	return acceptConnections(t, func(network net.Conn) { t.Cleanup(func() { _ = network.Close() }) })
}

// acceptConnections calls handle for each accepted connection, and returns the listening address.
func acceptConnections(t *testing.T, handle func(network net.Conn)) string {
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
			handle(network)
		}
	}()
	return listener.Addr().String()
}

// TestIdleConnectionsMatchTheAddress guards against sending requests for a machine that moved to
// another address to the process at the old one.
// TestLateDialIsNoEvidence guards against taking a machine for slow or down because this process had no processor time.
func TestLateDialIsNoEvidence(t *testing.T) {
	pool := NewPool(Config{DialTimeout: minDialTimeout, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		time.Sleep(2 * maxLateness)
		return nil, ctx.Err()
	}})
	if _, err := pool.Dial(t.Context(), "m", "address"); !fault.Is(err, fault.Late) || pool.dialTimeouts.consecutive["m"] != 0 {
		t.Errorf("%v, %d timeouts counted", err, pool.dialTimeouts.consecutive["m"])
	}
}

func TestIdleConnectionsMatchTheAddress(t *testing.T) {
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
		t.Errorf("the connection for %s goes to %s", after, to)
	}
	pool.putIdle(moved, 0)
	again, err := pool.acquire(t.Context(), machine, after, false)
	if err != nil || again != moved {
		t.Errorf("an idle connection to the same address is not reused: %v", err)
	}
	_ = moved.network.Close()
}

func TestConnectionsBeyondMaxIdleAreClosed(t *testing.T) {
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
	if one, two := idleCount(pool, "one"), idleCount(pool, "two"); one != 1 || two != 2 {
		t.Errorf("got %d and %d idle connections, want 1 and 2", one, two)
	}
}
