package upstream

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/upstream/upstreamtest"
)

const (
	// uploadBytes does not fit into the buffers of a connection of upstreamtest.
	uploadBytes  = 4 << 20
	unframedBody = "the body, or a part of it"
)

// sendUpload sends a long request with one of the clients of this package. It returns the unread body of the response.
var sendUpload = map[string]func(t *testing.T, address string, dial DialFunc) io.ReadCloser{
	"pool": func(t *testing.T, address string, dial DialFunc) io.ReadCloser {
		pool := NewPool(Config{DialTimeout: 5 * time.Second, MaxIdle: FixedMaxIdle(1), IdleTimeout: time.Hour, Dial: dial})
		response, failure, err := pool.Do(t.Context(), &Request{
			Machine: "m", Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, uploadBytes),
		})
		if failure != FailureNone {
			t.Fatal(failure, err)
		}
		t.Cleanup(response.Close)
		return io.NopCloser(response)
	},
	"transport": func(t *testing.T, address string, dial DialFunc) io.ReadCloser {
		client := &http.Client{Transport: NewTransport(dial)}
		response, err := client.Post("http://"+address, "text/plain", bytes.NewReader(make([]byte, uploadBytes)))
		if err != nil {
			t.Fatal(err)
		}
		return response.Body
	},
}

type endingTest struct {
	ending     upstreamtest.Ending
	dial       DialFunc
	isComplete bool
}

// Guards against a response without a length that a machine reset while the request was being written, and that looks complete:
// the kernel reported the reset to the writer, and only the end of the connection to the reader, or the reset came after an end of
// the machine's side. A response whose machine ended its side in order and read the whole request stays complete.
func TestEndOfResponseDuringUpload(t *testing.T) {
	for name, send := range sendUpload {
		tests := []endingTest{
			{upstreamtest.EndReset, upstreamtest.DialSmallBuffers, false},
			{upstreamtest.EndReset, upstreamtest.DialWriteFirst, false},
			{upstreamtest.EndOrderly, upstreamtest.DialSmallBuffers, true},
			{upstreamtest.EndOrderlyThenReset, upstreamtest.DialSmallBuffers, false},
			{upstreamtest.EndOrderlyThenReset, upstreamtest.DialWriteFirst, false},
		}
		for _, test := range tests {
			t.Run(name+", "+string(test.ending), func(t *testing.T) {
				proceed := make(chan struct{})
				address := upstreamtest.EarlyServer{
					Respond: func(http.Header) string { return "HTTP/1.1 200 OK\r\n\r\n" + unframedBody }, Proceed: func() { <-proceed }, Ending: test.ending,
				}.Serve(t)
				response := send(t, address, test.dial)
				defer func() { _ = response.Close() }()
				close(proceed)
				if body, err := io.ReadAll(response); (err == nil) != test.isComplete || test.isComplete && string(body) != unframedBody {
					t.Errorf("got %q, %v", body, err)
				}
			})
		}
	}
}
