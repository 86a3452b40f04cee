package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/weldline/weldline/api/engine"
	v1 "github.com/weldline/weldline/api/v1"
)

const (
	maxBodyBytes = 1 << 20
	// refusalTimeout is far more than a refusal takes.
	refusalTimeout = 20 * time.Second
)

// TestRefusalDoesNotWaitForBody guards against refusals that a client gets only after it has sent all of a body that is not
// needed, and against taking the rest of the body for requests.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	inBody := "POST /v1/no-such-path HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name, request, framing, sent string
		status                       int
	}{
		{"unknown path", "POST /v1/no-such-path", "Content-Length: 100000", "", 404},
		{"unknown path, chunks", "POST /v1/no-such-path", "Transfer-Encoding: chunked", "5\r\nfirst\r\n", 404},
		{"unknown path, asks whether to send", "POST /v1/no-such-path", "Expect: 100-continue\r\nContent-Length: 100000", "", 404},
		{"wrong method", "PUT /v1/completions", "Content-Length: 100000", "first", 405},
		{"too large", "POST /v1/completions", "Content-Length: 9000000", strings.Repeat("x", maxBodyBytes+1), 413},
		{"too large, chunks", "POST /v1/completions", "Transfer-Encoding: chunked", "100001\r\n" + strings.Repeat("x", maxBodyBytes+1), 413},
		{"invalid chunk", "POST /v1/completions", "Transfer-Encoding: chunked", "no length\r\n" + inBody, 400},
	}
	d := deploy(t, "")
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			connection, err := net.Dial("tcp", d.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = connection.Close() }()
			_ = connection.SetDeadline(time.Now().Add(refusalTimeout))
			if _, err := io.WriteString(connection, test.request+" HTTP/1.1\r\nHost: a\r\n"+test.framing+"\r\n\r\n"+test.sent); err != nil {
				t.Fatal(err)
			}
			reader := bufio.NewReader(connection)
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("no response: %v", err)
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != test.status {
				t.Errorf("status %d (%v), want %d", response.StatusCode, err, test.status)
			}
			if !response.Close {
				return // The rest of the body would keep the connection.
			}
			if response, err := http.ReadResponse(reader, nil); err == nil {
				t.Errorf("a response to a request that was not sent: %d", response.StatusCode)
			}
		})
	}
}

// TestNotRunIsBelievedForItsRequestOnly guards against sending a request again because of a response without the request's ID,
// which a back end may have sent behind an earlier one.
func TestNotRunIsBelievedForItsRequestOnly(t *testing.T) {
	for _, repeatsID := range []bool{false, true} {
		var sends atomic.Int32
		backend := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if repeatsID {
				writer.Header().Set(engine.HeaderRequestID, request.Header.Get(engine.HeaderRequestID))
			}
			if sends.Add(1) == 1 {
				writer.Header().Set(engine.HeaderOutcome, engine.OutcomeNotRun)
				writer.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		t.Cleanup(backend.Close)
		d := deploy(t, "")
		d.write(put(v1.KindService, "orders", v1.ServiceSpec{Backend: &v1.BackendSpec{Endpoints: []string{backend.URL}}}))
		response, err := http.Post(d.server.URL+"/v1/services/orders/x", "text/plain", strings.NewReader("order"))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		want := map[bool]int32{false: 1, true: 2}[repeatsID]
		if sends.Load() != want {
			t.Errorf("repeats the ID: %t, sent %d times, want %d; status %d", repeatsID, sends.Load(), want, response.StatusCode)
		}
	}
}
