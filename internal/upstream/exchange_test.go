package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// answering takes connections and answers every request on them with an empty answer that has some headers
// of the connection. It leaves closing to the other side.
func answering(t *testing.T, headers string) string {
	t.Helper()
	return accepting(t, func(network net.Conn) { go answerAll(network, headers) })
}

func answerAll(network net.Conn, headers string) {
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

// TestWhatAMachineSaysOfItsConnections: a request on a connection that the machine is about to close may be
// lost, so none is used longer than the machine says.
func TestWhatAMachineSaysOfItsConnections(t *testing.T) {
	const idleTimeout = time.Hour
	for _, test := range []struct {
		headers string
		// kept is for how long the connection is kept; 0 if it is not.
		kept time.Duration
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
		address := answering(t, test.headers)
		before := time.Now()
		answer, failure, err := pool.Do(t.Context(), &Request{Machine: "m", Address: address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		if err != nil {
			t.Fatalf("%q: %s: %v", test.headers, failure, err)
		}
		if _, err := io.Copy(io.Discard, answer); err != nil {
			t.Errorf("%q: %v", test.headers, err)
		}
		answer.Close()
		after := time.Now()
		kept := pool.idle["m"]
		if test.kept == 0 {
			if len(kept) != 0 {
				t.Errorf("%q: the connection is kept", test.headers)
			}
			continue
		}
		if len(kept) != 1 || kept[0].until.Before(before.Add(test.kept)) || kept[0].until.After(after.Add(test.kept)) {
			t.Errorf("%q: the connection is not kept for %s", test.headers, test.kept)
		}
	}
}
