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
