package gateway_test

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/weldline/weldline/api/engine"
	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/gateway"
	"github.com/weldline/weldline/internal/upstream/upstreamtest"
)

// serveInvalid starts a server that answers requests by an invalid response with their IDs.
func serveInvalid(t *testing.T, invalid upstreamtest.InvalidResponse, fields, body string) (endpoint string) {
	t.Helper()
	return upstreamtest.Serve(t, func(request *http.Request) string {
		return invalid.Text(engine.HeaderRequestID+": "+request.Header.Get(engine.HeaderRequestID)+"\r\n"+fields, body)
	})
}

// Guards against a response of a back end with an invalid head that clients get.
func TestInvalidResponseIsBroken(t *testing.T) {
	for _, invalid := range upstreamtest.InvalidResponses() {
		t.Run(invalid.Name, func(t *testing.T) {
			endpoint := serveInvalid(t, invalid, "Content-Type: application/json\r\n", "{}")
			d := deploy(t, "")
			d.write(put(v1.KindService, "broken", v1.ServiceSpec{Backend: &v1.BackendSpec{Endpoints: []string{endpoint}, Unrepeatable: []string{"/holds"}}}))
			for number, path := range []string{"/holds/17", "/seats/17"} {
				got := d.send(http.MethodPost, "/v1/services/broken"+path, "", "Idempotency-Key", "key-"+strconv.Itoa(number), gateway.HeaderDeadline, "5s")
				if got.status < http.StatusInternalServerError || got.body == "{}" {
					t.Errorf("%s: the client got %d %q", path, got.status, got.body)
				}
			}
		})
	}
}

// Guards against a response of an engine with an invalid head that clients get.
func TestInvalidResponseOfEngineIsBroken(t *testing.T) {
	for _, invalid := range upstreamtest.InvalidResponses() {
		for stream, answer := range map[bool]struct{ fields, body string }{
			false: {"Content-Type: application/json\r\n", "{}"},
			true:  {"Content-Type: text/event-stream\r\n", "data: {}\n\ndata: [DONE]\n\n"},
		} {
			t.Run(invalid.Name+", stream "+strconv.FormatBool(stream), func(t *testing.T) {
				endpoint := serveInvalid(t, invalid, answer.fields, answer.body)
				d := deploy(t, "")
				d.addEngine(endpoint)
				body := `{"model":"cold","prompt":"x","max_tokens":2,"stream":` + strconv.FormatBool(stream) + `}`
				got := d.send(http.MethodPost, "/v1/completions", body, gateway.HeaderDeadline, "5s")
				if got.status < http.StatusInternalServerError || got.body == answer.body {
					t.Errorf("the client got %d %q", got.status, got.body)
				}
			})
		}
	}
}
