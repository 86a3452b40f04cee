package upstream

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestClosedConnectionIsNotReusedOverTLS guards against a request that is lost because it is written to a kept
// connection that the peer has closed, which was noticed on plain connections only.
func TestClosedConnectionIsNotReusedOverTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "fine") }))
	t.Cleanup(server.Close)
	roots := server.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
	var dialed atomic.Int32
	pool := NewPool(Config{
		DialTimeout: 5 * time.Second, IdleTimeout: time.Hour, MaxIdle: FixedMaxIdle(1),
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			dialed.Add(1)
			return (&tls.Dialer{Config: &tls.Config{RootCAs: roots, ServerName: "example.com"}}).DialContext(ctx, network, address)
		},
	})
	address := strings.TrimPrefix(server.URL, "https://")
	exchange := func() {
		t.Helper()
		response, failure, err := pool.Do(t.Context(), &Request{Machine: "m", Address: address, Method: http.MethodGet, Target: "/", Host: "example.com", Header: http.Header{}})
		if failure != FailureNone {
			t.Fatalf("%s: %v", failure, err)
		}
		_, _ = io.Copy(io.Discard, response)
		response.Close()
	}
	exchange()
	exchange()
	if count := dialed.Load(); count != 1 {
		t.Fatalf("%d connections were opened for two requests", count)
	}
	pool.mutex.Lock()
	kept := pool.idle["m"][0]
	pool.mutex.Unlock()
	server.CloseClientConnections()
	const attempts = 500
	for attempt := 0; kept.hasNoInput(); attempt++ {
		if attempt == attempts {
			t.Fatal("the connection that the server closed still counts as usable")
		}
		time.Sleep(time.Millisecond)
	}
	exchange()
	if count := dialed.Load(); count != 2 {
		t.Errorf("%d connections were opened, want 2", count)
	}
}
