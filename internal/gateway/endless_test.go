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

// endlessServer responds with a body that never ends.
type endlessServer struct {
	endpoint string

	mutex sync.Mutex
	// taken is how many bytes were taken of the responses whose connections are open, and most its highest value.
	taken, most int
}

func (s *endlessServer) count(bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.taken += bytes
	s.most = max(s.most, s.taken)
}

func (s *endlessServer) mostTaken() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.most
}

func serveEndless(t *testing.T, framing, repeated string) *endlessServer {
	t.Helper()
	server := &endlessServer{}
	server.endpoint = "http://" + upstreamtest.Listen(t, func(connection *net.TCPConn) { server.serve(connection, framing, repeated) })
	return server
}

func (s *endlessServer) serve(connection net.Conn, framing, repeated string) {
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, err = io.WriteString(connection, "HTTP/1.1 200 OK\r\n"+engine.HeaderRequestID+": "+request.Header.Get(engine.HeaderRequestID)+"\r\nContent-Type: application/json\r\n"+framing+"\r\n")
	total := 0
	for err == nil {
		var count int
		count, err = io.WriteString(connection, repeated)
		s.count(count)
		total += count
	}
	s.count(-total)
}

// Guards against keeping what faulty back ends send without end for many requests until the process has no memory left.
func TestEndlessResponsesAreBoundedTogether(t *testing.T) {
	const (
		memory   = 64 << 20
		requests = 16
		// bufferedBytes is what a connection may hold on its way to the gateway.
		bufferedBytes = 8 << 20
	)
	chunk := strings.Repeat("x", 1<<16)
	for name, test := range map[string]struct{ framing, repeated string }{
		"without a length": {"", chunk},
		"chunks":           {"Transfer-Encoding: chunked\r\n", "10000\r\n" + chunk + "\r\n"},
		"stated length":    {"Content-Length: 30000000\r\n", chunk},
	} {
		t.Run(name, func(t *testing.T) {
			server := serveEndless(t, test.framing, test.repeated)
			d := deployWith(t, "", func(options *gateway.Options) { options.MemoryBytes = memory })
			d.addEngine(server.endpoint)
			d.write(put(v1.KindService, "endless", v1.ServiceSpec{Backend: &v1.BackendSpec{Endpoints: []string{server.endpoint}}}))
			var clients sync.WaitGroup
			for number := range requests {
				clients.Go(func() {
					path, body := "/v1/services/endless/x", ""
					if number%2 == 0 {
						path, body = "/v1/completions", `{"model":"cold","prompt":"x","max_tokens":2}`
					}
					got := d.send(http.MethodPost, path, body, gateway.HeaderDeadline, "20s", "Idempotency-Key", strconv.Itoa(number))
					if got.status < http.StatusInternalServerError {
						t.Errorf("got %d, %d bytes", got.status, len(got.body))
					}
				})
			}
			clients.Wait()
			if held := d.gateway.HeldBodyBytes(); held != 0 {
				t.Errorf("%d bytes are held in the end", held)
			}
			if most, allowed := server.mostTaken(), memory+requests*bufferedBytes; most > allowed {
				t.Errorf("%d MB were taken at the same time, at most %d MB may be", most>>20, allowed>>20)
			}
		})
	}
}
