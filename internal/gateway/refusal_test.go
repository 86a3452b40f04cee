package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
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
