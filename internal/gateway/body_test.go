package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/weldline/weldline/api/engine"
	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/upstream/upstreamtest"
)

// serveUnframed starts a back end whose responses have neither a length nor chunks and end with their connection.
func serveUnframed(t *testing.T, body string) (endpoint string) {
	t.Helper()
	return "http://" + upstreamtest.Listen(t, func(connection *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		head := "HTTP/1.1 200 OK\r\n" + engine.HeaderRequestID + ": " + request.Header.Get(engine.HeaderRequestID) + "\r\nContent-Type: application/json\r\n\r\n"
		if request.Method == http.MethodHead {
			body = ""
		}
		_, _ = io.WriteString(connection, head+body)
	})
}

// TestResponseThatMayBeCutOffIsNotRelayed guards against stating the length of a response that ended with its connection.
func TestResponseThatMayBeCutOffIsNotRelayed(t *testing.T) {
	for _, test := range []struct {
		name, method, body string
		status             int
	}{
		{"document", "POST", ` {"seat": [17]}`, http.StatusOK},
		{"cut off", "POST", `{"seat": [17`, http.StatusGatewayTimeout},
		{"number, which may lack digits", "POST", `17`, http.StatusGatewayTimeout},
		{"text", "POST", "seat 17", http.StatusGatewayTimeout},
		{"nothing", "POST", "", http.StatusGatewayTimeout},
		{"no body expected", "HEAD", "", http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := deploy(t, "")
			d.write(put(v1.KindService, "unframed", v1.ServiceSpec{Backend: &v1.BackendSpec{
				Endpoints: []string{serveUnframed(t, test.body)}, Unrepeatable: []string{"/holds"},
			}}))
			got := d.send(test.method, "/v1/services/unframed/holds/17", "{}", "Idempotency-Key", "key")
			if got.status != test.status || got.status == http.StatusOK && got.body != test.body {
				t.Errorf("got %d %q, not %d", got.status, got.body, test.status)
			}
			if got.status == http.StatusGatewayTimeout && got.problem.Outcome != "unknown" {
				t.Errorf("the outcome is %s, though the request has run", got.problem.Outcome)
			}
		})
	}
}
