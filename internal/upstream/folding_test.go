package upstream

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/upstream/upstreamtest"
)

// Guards against lines of a head that begin with a blank, however the bytes arrive, and against checking what is no head.
func TestFoldingDetector(t *testing.T) {
	for _, test := range []struct {
		received string
		isFolded bool
	}{
		{"HTTP/1.1 200 OK\r\nField: value\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nField: value\r\n\r\n body\r\n body", false},
		{"HTTP/1.1 200 OK\nField: value\n\n body\n body", false},
		{"HTTP/1.1 200 OK\r\n\r\n body\r\n body", false},
		{"HTTP/1.1 200 OK\r\nField: value\r\n folded\r\n\r\n", true},
		{"HTTP/1.1 200 OK\nField: value\n\tfolded\n\n", true},
		{"HTTP/1.1 200 OK\r\nField: value\r\n \r\n\r\n", true},
		{"HTTP/1.1 200 OK\r\n Field: value\r\n\r\n", true},
		{"HTTP/1.1 103 Early Hints\r\nField: value\r\n\r\nHTTP/1.1 200 OK\r\nField: value\r\n\r\n body\r\n body", false},
		{"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nField: value\r\n folded\r\n\r\n", true},
		{"HTTP/1.1 103 Early Hints\r\nField: value\r\n folded\r\n\r\n", true},
	} {
		for size := range len(test.received) {
			detector := foldingDetector{}
			isFolded := false
			for rest := test.received; rest != ""; {
				part := rest[:min(size+1, len(rest))]
				rest = rest[len(part):]
				isFolded = isFolded || detector.observe([]byte(part)) != nil
			}
			if isFolded != test.isFolded {
				t.Errorf("%q in parts of %d bytes: folded is %t", test.received, size+1, isFolded)
			}
		}
	}
}

// Guards against leaving a head unchecked that arrives together with a response to an earlier request.
func TestHeadAfterSkippedResponseIsChecked(t *testing.T) {
	const skipped = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 4\r\n\r\nbody"
	for head, isValid := range map[string]bool{
		"HTTP/1.1 200 OK\r\nField: value\r\nContent-Length: 2\r\n\r\n":    true,
		"HTTP/1.1 200 OK\r\nField: value\r\n Content-Length: 2\r\n\r\n":   false,
		"HTTP/1.1 200 OK\r\nField: value\r\nContent-Length : 2\r\n\r\n":   false,
		"HTTP/1.1 103 Hi\r\nField: value\r\n folded\r\n\r\n" + "HTTP/1.1": false,
	} {
		endpoint := upstreamtest.Serve(t, func(*http.Request) string { return skipped + head + "{}" })
		request := probeRequest()
		request.Address = strings.TrimPrefix(endpoint, "http://")
		request.Matches = func(header http.Header) bool { return header.Get("X-Id") != "other" }
		pool := NewPool(Config{DialTimeout: 5 * time.Second, MaxIdle: FixedMaxIdle(1), IdleTimeout: 5 * time.Second})
		response, failure, err := pool.Do(t.Context(), request)
		if (failure == FailureNone) != isValid {
			t.Errorf("%q: failure %s (%v)", head, failure, err)
		}
		if failure == FailureNone {
			if body, err := io.ReadAll(response); string(body) != "{}" || err != nil {
				t.Errorf("%q: the body is %q (%v)", head, body, err)
			}
			response.Close()
		}
	}
}
