package ingress_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/bodymemory"
	"github.com/weldline/weldline/internal/ingress"
	"github.com/weldline/weldline/internal/places"
)

// TestBodiesAreBoundedTogether guards against bodies that together take more memory than the node has, of which each one is
// within the limit.
func TestBodiesAreBoundedTogether(t *testing.T) {
	const (
		bodyBytes = 1000
		uploads   = 4
		// unknownBytes is what is reserved for a body of unknown length.
		unknownBytes = 4096
	)
	for _, test := range []struct {
		name, framing string
		held          int64
	}{
		{"length", "Content-Length: 1000", uploads * bodyBytes},
		{"chunks", "Transfer-Encoding: chunked", uploads * unknownBytes},
	} {
		t.Run(test.name, func(t *testing.T) {
			machine := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
				return write(connection, ok(request, "fine"))
			})
			location := places.Location{Zone: "z", Zones: places.NewZoneMap(map[string]string{"z": "north"})}
			router := newDeploymentAt(t, location, func(options *ingress.Options) {
				options.MemoryBytes = int64(float64(test.held+1) / bodymemory.Share)
			})
			router.serve(v1.RouteUnrepeatable, 1, long, machine.address)
			var connections []net.Conn
			for range uploads {
				connection, err := net.Dial("tcp", router.server.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = connection.Close() })
				_ = connection.SetDeadline(time.Now().Add(long))
				write(connection, "POST /a/x HTTP/1.1\r\nHost: shop.example\r\n"+headerID+": id\r\n"+test.framing+"\r\n\r\n")
				connections = append(connections, connection)
			}
			for router.handler.HeldBodyBytes() < test.held {
				time.Sleep(time.Millisecond)
			}
			if got := router.send(http.MethodPost, "/a/x", "refused", "body"); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, "not-run") {
				t.Errorf("without memory: status %d, %q (%v)", got.status, got.body, got.err)
			}
			content := strings.Repeat("x", bodyBytes)
			if test.name == "chunks" {
				content = inChunk(content) + "0\r\n\r\n"
			}
			for _, connection := range connections {
				write(connection, content)
				response, err := http.ReadResponse(bufio.NewReader(connection), nil)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
					t.Errorf("an upload within the bound: status %d, %v", response.StatusCode, err)
				}
			}
			for router.handler.HeldBodyBytes() != 0 {
				time.Sleep(time.Millisecond)
			}
			if got := router.send(http.MethodPost, "/a/x", "after", "body"); got.status != http.StatusOK {
				t.Errorf("afterwards: status %d, %q (%v)", got.status, got.body, got.err)
			}
		})
	}
}
