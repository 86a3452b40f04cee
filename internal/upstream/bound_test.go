package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// endlessBytes is what a machine sends at most in a test, far above any bound.
	endlessBytes = 8 << 20
	// readAhead is what a connection buffers beyond what was asked for.
	readAhead = readBufferBytes
)

// sendUntilClosed writes a text again and again, and returns how many bytes the other side has taken.
func sendUntilClosed(network net.Conn, text string) (taken int) {
	for taken < endlessBytes {
		count, err := io.WriteString(network, text)
		taken += count
		if err != nil {
			break
		}
	}
	return taken
}

// endlessMachine returns a pool for a machine that answers each request by a text and then repeats another one without
// end. taken receives how much of it was read.
func endlessMachine(t *testing.T, first, repeated string) (pool *Pool, taken chan int) {
	t.Helper()
	taken = make(chan int, 1)
	dial := func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
				return
			}
			if _, err := io.WriteString(far, first); err != nil {
				taken <- 0
				return
			}
			taken <- sendUntilClosed(far, repeated)
		}()
		return near, nil
	}
	return NewPool(Config{DialTimeout: time.Second, MaxIdle: FixedMaxIdle(1), IdleTimeout: time.Second, Dial: dial}), taken
}

func probeRequest() *Request {
	return &Request{Machine: "m", Address: "10.0.0.1:80", Method: http.MethodGet, Target: "/", Host: "m", Header: http.Header{}}
}

// TestEndlessResponseIsBounded guards against a machine that sends bytes without end where a response is due, which were
// read until the process had no memory left.
func TestEndlessResponseIsBounded(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nX-Id: other\r\n"
	for name, test := range map[string]struct{ first, repeated string }{
		"status line":              {"", "x"},
		"header line":              {"HTTP/1.1 200 OK\r\nName: ", strings.Repeat("x", 1000)},
		"header":                   {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		"interim responses":        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"another response's body":  {other + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nbytes\r\n"},
		"another response, length": {other + "Content-Length: 100000000\r\n\r\n", strings.Repeat("x", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pool, taken := endlessMachine(t, test.first, test.repeated)
				request := probeRequest()
				request.Matches = func(header http.Header) bool { return header.Get("X-Id") != "other" }
				if _, failure, err := pool.Do(t.Context(), request); failure != FailureBroken {
					t.Errorf("failure %s (%v)", failure, err)
				}
				if read := <-taken; read > MaxUnrelayedBytes+readAhead {
					t.Errorf("%d bytes were read", read)
				}
			})
		})
	}
}

// TestEndlessBodyIsBoundedUnlessRelayed guards against reading a body without end that nobody takes, such as of a report.
func TestEndlessBodyIsBoundedUnlessRelayed(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			pool, taken := endlessMachine(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nbytes\r\n")
			response, failure, err := pool.Do(t.Context(), probeRequest())
			if failure != FailureNone {
				t.Fatal(failure, err)
			}
			if relayed {
				response.Relay()
			}
			copied, err := io.Copy(io.Discard, io.LimitReader(response, 2*MaxUnrelayedBytes))
			if relayed != (copied == 2*MaxUnrelayedBytes) || relayed != (err == nil) {
				t.Errorf("relayed %t: %d bytes, %v", relayed, copied, err)
			}
			response.Close()
			if read := <-taken; !relayed && read > MaxUnrelayedBytes+readAhead {
				t.Errorf("%d bytes were read", read)
			}
		})
	}
}

// TestTransportBoundsHeads guards against the same in the clients that use net/http, which reads 10 MB by default.
func TestTransportBoundsHeads(t *testing.T) {
	address := acceptConnections(t, func(network net.Conn) {
		go func() {
			defer func() { _ = network.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(network)); err != nil {
				return
			}
			_, _ = io.WriteString(network, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nName: "+strings.Repeat("x", 2*MaxUnrelayedBytes)+"\r\n\r\n")
		}()
	})
	response, err := (&http.Client{Transport: NewTransport(nil)}).Get("http://" + address)
	if err == nil {
		_ = response.Body.Close()
		t.Errorf("a head of %d bytes was accepted", 2*MaxUnrelayedBytes)
	}
}

func idleCount(pool *Pool, machine string) int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return len(pool.idle[machine])
}

// TestBytesBehindResponseCloseConnection guards against a connection that fills the receive buffer while it is idle.
func TestBytesBehindResponseCloseConnection(t *testing.T) {
	taken := make(chan int, 1)
	proceed := make(chan struct{})
	address := acceptConnections(t, func(network net.Conn) {
		go func() {
			defer func() { _ = network.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(network)); err != nil {
				return
			}
			_, _ = io.WriteString(network, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			<-proceed
			_ = network.SetWriteDeadline(time.Now().Add(5 * time.Second))
			taken <- sendUntilClosed(network, strings.Repeat("x", 1000))
		}()
	})
	pool := NewPool(Config{DialTimeout: 5 * time.Second, MaxIdle: FixedMaxIdle(1), IdleTimeout: time.Hour})
	request := probeRequest()
	request.Address = address
	response, failure, err := pool.Do(t.Context(), request)
	if failure != FailureNone {
		t.Fatal(failure, err)
	}
	_, _ = io.Copy(io.Discard, response)
	response.Close()
	if idle := idleCount(pool, "m"); idle != 1 {
		t.Fatalf("%d idle connections", idle)
	}
	close(proceed)
	<-taken
	if idle := idleCount(pool, "m"); idle != 0 {
		t.Errorf("%d idle connections with unsolicited bytes are kept", idle)
	}
}

// TestIdleConnectionIsReusedOften checks that watching idle connections does not disturb their next requests.
func TestIdleConnectionIsReusedOften(t *testing.T) {
	address := respondWith(t, "")
	pool := NewPool(Config{DialTimeout: 5 * time.Second, MaxIdle: FixedMaxIdle(1), IdleTimeout: time.Hour})
	request := probeRequest()
	request.Address = address
	const exchanges = 2000
	var connected time.Time
	for range exchanges {
		response, failure, err := pool.Do(t.Context(), request)
		if failure != FailureNone {
			t.Fatal(failure, err)
		}
		if _, err := io.Copy(io.Discard, response); err != nil {
			t.Fatal(err)
		}
		if connected.IsZero() {
			connected = response.ConnectedAt
		}
		if response.ConnectedAt != connected {
			t.Fatal("another connection was opened")
		}
		response.Close()
	}
}

// TestEndedExchangeLeavesConnectionAlone guards against a read deadline on a connection that is in use for another exchange.
func TestEndedExchangeLeavesConnectionAlone(t *testing.T) {
	address := respondWith(t, "")
	pool := NewPool(Config{DialTimeout: 5 * time.Second, MaxIdle: FixedMaxIdle(1), IdleTimeout: time.Hour})
	request := probeRequest()
	request.Address = address
	ended, failure, err := pool.Do(t.Context(), request)
	if failure != FailureNone {
		t.Fatal(failure, err)
	}
	_, _ = io.Copy(io.Discard, ended)
	if idle := idleCount(pool, "m"); idle != 1 {
		t.Fatalf("%d idle connections after a whole response, want 1", idle)
	}
	ended.Discard()
	ended.Close()
	if idle := idleCount(pool, "m"); idle != 1 {
		t.Errorf("%d idle connections after the exchange was ended twice, want 1", idle)
	}
}
