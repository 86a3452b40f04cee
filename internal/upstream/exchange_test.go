package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// respondWith accepts connections and responds to every request with an empty body and the given
// headers. It leaves closing the connections to the client.
func respondWith(t *testing.T, headers string) string {
	t.Helper()
	return acceptConnections(t, func(network net.Conn) { go respondAll(network, headers) })
}

func respondAll(network net.Conn, headers string) {
	defer func() { _ = network.Close() }()
	reader := bufio.NewReader(network)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := io.WriteString(network, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+headers+"\r\n"); err != nil {
			return
		}
	}
}

// TestKeepAliveHeaders guards against reusing a connection that the machine is about to close, on
// which a request may be lost.
func TestKeepAliveHeaders(t *testing.T) {
	const idleTimeout = time.Hour
	for _, test := range []struct {
		headers string
		// lifetime is how long the connection is kept; 0 if it is closed.
		lifetime time.Duration
	}{
		{"", idleTimeout},
		{"Connection: close\r\n", 0},
		{"Connection: keep-alive, Close\r\n", 0},
		{"Keep-Alive: timeout=0\r\n", 0},
		{"Keep-Alive: timeout=100\r\n", 75 * time.Second},
		{"Keep-Alive: max=5, timeout=100\r\n", 75 * time.Second},
		{"Keep-Alive: timeout=100000\r\n", idleTimeout},
		{"Keep-Alive: timeout=soon\r\n", idleTimeout},
	} {
		pool := NewPool(Config{DialTimeout: 5 * time.Second, MaxIdle: FixedMaxIdle(1), IdleTimeout: idleTimeout})
		address := respondWith(t, test.headers)
		before := time.Now()
		response, failure, err := pool.Do(t.Context(), &Request{Machine: "m", Address: address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		if err != nil {
			t.Fatalf("%q: %s: %v", test.headers, failure, err)
		}
		if _, err := io.Copy(io.Discard, response); err != nil {
			t.Errorf("%q: %v", test.headers, err)
		}
		response.Close()
		after := time.Now()
		idle := pool.idle["m"]
		if test.lifetime == 0 {
			if len(idle) != 0 {
				t.Errorf("%q: the connection is not closed", test.headers)
			}
			continue
		}
		if len(idle) != 1 || idle[0].expiresAt.Before(before.Add(test.lifetime)) || idle[0].expiresAt.After(after.Add(test.lifetime)) {
			t.Errorf("%q: the connection does not expire after %s", test.headers, test.lifetime)
		}
	}
}
