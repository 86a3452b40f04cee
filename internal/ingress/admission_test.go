package ingress_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/weldline/weldline/internal/ingress"
	"github.com/weldline/weldline/internal/link"
	"github.com/weldline/weldline/internal/nodeview"
)

// serveClients starts a server for clients and returns its address.
func serveClients(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := ingress.NewServer(handler, nodeview.New(), slog.New(slog.DiscardHandler), ingress.NewMetrics(prometheus.NewRegistry()), link.NewMeter(0), func(context.Context) time.Duration { return 0 })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// sendOnce sends a request on a new connection, and reports whether there was a response.
func sendOnce(address string) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + "/")
	if err != nil {
		return false
	}
	return response.Body.Close() == nil
}

// TestSaturatedServerClosesConnectionsUnread guards against accepting connections for which there is no processor, so
// that their clients wait instead of trying another router. All that the server reads is answered.
func TestSaturatedServerClosesConnectionsUnread(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var mutex sync.Mutex
	read := 0
	address := serveClients(t, func(http.ResponseWriter, *http.Request) {
		mutex.Lock()
		read++
		mutex.Unlock()
		for started := time.Now(); time.Since(started) < 20*time.Millisecond; { // Uses the processor.
		}
	})
	answered, unread := 0, 0
	for round := 0; unread == 0 && round < 100; round++ {
		var clients sync.WaitGroup
		for range 100 {
			clients.Go(func() {
				hasAnswer := sendOnce(address)
				mutex.Lock()
				defer mutex.Unlock()
				if hasAnswer {
					answered++
				} else {
					unread++
				}
			})
		}
		clients.Wait()
	}
	if unread == 0 {
		t.Error("no connection was closed unread")
	}
	if answered != read {
		t.Errorf("%d requests were read, but %d answered", read, answered)
	}
}

// TestIdleServerReadsAllConnections guards against closing connections without an overload.
func TestIdleServerReadsAllConnections(t *testing.T) {
	address := serveClients(t, func(http.ResponseWriter, *http.Request) {})
	for number := range 50 {
		if !sendOnce(address) {
			t.Fatalf("connection %d was closed unread", number)
		}
	}
}
