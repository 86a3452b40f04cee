package agent

import (
	"context"
	"net/http"
	"testing"

	"github.com/weldline/weldline/api/engine"
	"github.com/weldline/weldline/internal/upstream"
	"github.com/weldline/weldline/internal/upstream/upstreamtest"
)

// Guards against a report or the result of an order in a response with an invalid head.
func TestInvalidResponseIsNoResult(t *testing.T) {
	for _, invalid := range upstreamtest.InvalidResponses() {
		endpoint := upstreamtest.Serve(t, func(*http.Request) string { return invalid.Text("Content-Type: application/json\r\n", "{}") })
		client := &engineClient{client: &http.Client{Transport: upstream.NewTransport(nil)}, endpoint: endpoint}
		if report, err := client.report(context.Background()); err == nil {
			t.Errorf("%s: the report is %+v", invalid.Name, report)
		}
		if result, err := client.order(context.Background(), engine.Order{}); err == nil {
			t.Errorf("%s: the result of the order is %+v", invalid.Name, result)
		}
	}
}

// Guards against keeping what an engine sends without end in answer to a call.
func TestEndlessResponseIsBounded(t *testing.T) {
	// maxTakenBytes exceeds what is read of a response and what the buffers of its connection may hold.
	const maxTakenBytes = 64 << 20
	for _, framing := range []string{"", "Transfer-Encoding: chunked\r\n", "Content-Length: 1000000000\r\n"} {
		server := upstreamtest.ServeEndless(t, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"+framing+"\r\n", "10\r\n                \r\n")
		client := &engineClient{client: &http.Client{Transport: upstream.NewTransport(nil)}, endpoint: server.Endpoint}
		if report, err := client.report(context.Background()); err == nil {
			t.Errorf("%q: the report is %+v", framing, report)
		}
		if taken := server.Taken(); taken > maxTakenBytes {
			t.Errorf("%q: %d bytes were taken", framing, taken)
		}
	}
}
