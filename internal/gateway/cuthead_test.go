package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/weldline/weldline/api/engine"
	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/gateway"
	"github.com/weldline/weldline/internal/upstream/upstreamtest"
)

// cuttingBackend answers the first request on each connection, and ends its response to each further one after some bytes of the
// head. IDs of attempts that arrive twice are counted.
type cuttingBackend struct {
	endpoint string
	// cutFirst makes it cut the first response on a connection too.
	cutFirst bool

	mutex    sync.Mutex
	length   int
	seen     map[string]bool
	repeated int
	cuts     int
}

const cutHead = "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n"

func newCuttingBackend(t *testing.T, cutFirst bool) *cuttingBackend {
	t.Helper()
	b := &cuttingBackend{cutFirst: cutFirst, seen: map[string]bool{}}
	b.endpoint = "http://" + upstreamtest.Listen(t, b.serve)
	return b
}

func (b *cuttingBackend) serve(connection *net.TCPConn) {
	reader := bufio.NewReader(connection)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get(engine.HeaderRequestID)
		head := "HTTP/1.1 200 OK\r\n" + engine.HeaderRequestID + ": " + id + "\r\n" + cutHead
		if cut, length := b.arrived(id, number > 0 || b.cutFirst); cut {
			_, _ = io.WriteString(connection, head[:min(length, len(head)-1)])
			return
		}
		_, _ = io.WriteString(connection, head+"{}")
	}
}

func (b *cuttingBackend) arrived(id string, cuts bool) (cut bool, length int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.seen[id] {
		b.repeated++
	}
	b.seen[id] = true
	if cuts {
		b.cuts++
	}
	return cuts, b.length
}

func (b *cuttingBackend) setLength(length int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.length = length
}

// Guards against a response that a back end ended within its head, and that clients get as a whole one; and against net/http
// sending the request again by itself.
func TestCutHeadIsNoResponse(t *testing.T) {
	const longest = len(cutHead) + 60
	for _, test := range []struct {
		name, method, path string
		cutFirst           bool
	}{
		{"unrepeatable", http.MethodPost, "/holds/17", true},
		{"repeatable", http.MethodGet, "/seats/17", true},
		{"repeatable, on a kept connection", http.MethodGet, "/seats/17", false},
		{"not idempotent", http.MethodPost, "/prices", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			backend := newCuttingBackend(t, test.cutFirst)
			d := deploy(t, "")
			d.write(put(v1.KindService, "cutting", v1.ServiceSpec{Backend: &v1.BackendSpec{Endpoints: []string{backend.endpoint}, Unrepeatable: []string{"/holds"}}}))
			for number := range 2 * longest { // One of two requests meets a kept connection.
				length := number / 2
				backend.setLength(length)
				got := d.send(test.method, "/v1/services/cutting"+test.path, "", "Idempotency-Key", "key-"+strconv.Itoa(number))
				if got.status == http.StatusOK && (test.cutFirst || got.body != "{}") {
					t.Errorf("after %d bytes the client got %d %q", length, got.status, got.body)
				}
			}
			if backend.cuts < longest/4 {
				t.Errorf("only %d responses were cut", backend.cuts)
			}
			if backend.repeated > 0 {
				t.Errorf("%d attempts arrived twice", backend.repeated)
			}
		})
	}
}

// Guards against a response that an engine ended within its head, and that clients get as a whole one.
func TestCutHeadOfEngineIsNoResponse(t *testing.T) {
	for _, stream := range []bool{false, true} {
		backend := newCuttingBackend(t, true)
		d := deploy(t, "")
		d.addEngine(backend.endpoint)
		body := `{"model":"cold","prompt":"x","max_tokens":2,"stream":` + strconv.FormatBool(stream) + `}`
		for length := range len(cutHead) + 60 {
			backend.setLength(length)
			got := d.send(http.MethodPost, "/v1/completions", body, gateway.HeaderDeadline, "5s")
			if got.status < http.StatusInternalServerError || strings.Contains(got.body, "[DONE]") {
				t.Errorf("stream %t: after %d bytes the client got %d %q", stream, length, got.status, got.body)
			}
		}
		if backend.cuts < len(cutHead)+60 || backend.repeated > 0 {
			t.Errorf("stream %t: %d responses were cut, %d attempts arrived twice", stream, backend.cuts, backend.repeated)
		}
	}
}
