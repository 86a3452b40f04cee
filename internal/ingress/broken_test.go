package ingress_test

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/ingress"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/upstream/upstreamtest"
)

// longUpload does not fit into the buffers of the connections of upstreamtest.
const longUpload = 4 << 20

// serveUploads is like serve, with a limit on bodies that longUpload keeps.
func (d *deployment) serveUploads(kind v1.RouteKind, address string) {
	d.apply(
		d.object(v1.KindDeclaration, state.DeclarationName, &v1.DeclarationSpec{Version: 1, MaxBodyBytes: longUpload}, nil),
		d.object(v1.KindPool, "pool", &v1.PoolSpec{}, nil), d.route(kind, 1, long), d.machine("m0", address),
	)
	d.view.Confirm(d.revision)
}

// Guards against a response without a length that a machine reset while the router was still sending it the request, and that
// clients got as a complete one.
func TestResetDuringUploadIsBroken(t *testing.T) {
	const part = "data: one\n\n"
	for _, kind := range []v1.RouteKind{v1.RouteUnrepeatable, v1.RouteStream} {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for _, isForwarded := range []bool{false, true} {
				t.Run(string(kind)+" "+protocol+" forwarded "+strconv.FormatBool(isForwarded), func(t *testing.T) {
					received := make(chan struct{})
					address := upstreamtest.EarlyServer{Ending: upstreamtest.EndReset, Proceed: func() { <-received }, Respond: func(header http.Header) string {
						return "HTTP/1.1 200 OK\r\n" + headerID + ": " + header.Get(headerID) + "\r\n" + headerSeal + ": s\r\nContent-Type: " + eventStream + "\r\n\r\n" + part
					}}.Serve(t)
					location := places.Location{Zone: "z", Zones: places.NewZoneMap(map[string]string{"z": "north"})}
					router := newDeploymentAt(t, location, func(options *ingress.Options) { options.Dial = upstreamtest.DialWriteFirst })
					router.serveUploads(kind, address)
					client := router
					if isForwarded {
						client = newCutRouter(t, "cut")
						client.serveUploads(kind, address)
						client.knowRouters("other z " + router.acceptForwards())
					}
					connection, err := net.Dial("tcp", client.server.Listener.Addr().String())
					if err != nil {
						t.Fatal(err)
					}
					defer func() { _ = connection.Close() }()
					_ = connection.SetDeadline(time.Now().Add(long))
					write(connection, "POST /a/b "+protocol+"\r\nHost: shop.example\r\n"+headerID+": id\r\nContent-Length: "+strconv.Itoa(longUpload)+"\r\n\r\n")
					write(connection, strings.Repeat("x", longUpload))
					reader := bufio.NewReader(connection)
					if _, err := reader.Peek(1); err != nil {
						t.Fatal(err)
					}
					close(received)
					status, body, end := readRawFrom(reader)
					if status != http.StatusOK || end != endBroken {
						t.Errorf("got %d %q, and the response looks %s", status, body, end)
					}
				})
			}
		}
	}
}

// Guards against waiting for the rest of an upload to be written after a machine has rejected the request, ended its side and stopped
// reading: it kept the request from other machines.
func TestRejectionDoesNotWaitForUpload(t *testing.T) {
	for _, framing := range []string{"", "Content-Length: 10\r\n"} {
		rejected := make(chan struct{}, 1)
		full := upstreamtest.EarlyServer{Ending: upstreamtest.EndHalfClosed, Proceed: func() { rejected <- struct{}{} }, Respond: func(header http.Header) string {
			return "HTTP/1.1 503 Full\r\n" + headerID + ": " + header.Get(headerID) + "\r\n" + headerNotRun + ": 1\r\n" + framing + "\r\nfull"
		}}.Serve(t)
		machine := newRawMachine(t, respondOK)
		location := places.Location{Zone: "z", Zones: places.NewZoneMap(map[string]string{"z": "north"})}
		router := newDeploymentAt(t, location, func(options *ingress.Options) { options.Dial = upstreamtest.DialSmallBuffers })
		router.serveUploads(v1.RouteUnrepeatable, full)
		router.apply(router.machine("m1", machine.address), router.route(v1.RouteUnrepeatable, 3, long))
		for number := 0; len(rejected) == 0; number++ {
			if got := router.send(http.MethodPost, "/a/x", "id-"+strconv.Itoa(number), strings.Repeat("x", longUpload)); got.status != http.StatusOK {
				t.Fatalf("%q: got %d %q (%v)", framing, got.status, got.body, got.err)
			}
		}
	}
}

// Guards against a response with an invalid head that clients get, or that is skipped like an interim one, so that its body is taken
// for the response.
func TestInvalidResponseIsBroken(t *testing.T) {
	for _, invalid := range upstreamtest.InvalidResponses() {
		for _, kind := range []v1.RouteKind{v1.RouteUnrepeatable, v1.RouteStream} {
			t.Run(invalid.Name+" "+string(kind), func(t *testing.T) {
				machine := newRawMachine(t, func(request receivedRequest, number int, connection net.Conn) bool {
					body := "body"
					if number%2 == 0 {
						body = ok(request, "body")
					}
					write(connection, invalid.Text(headerID+": "+request.header.Get(headerID)+"\r\n"+headerSeal+": s\r\n", body))
					return false
				})
				router, far := newDeployment(t), newCutRouter(t, "cut")
				router.serve(kind, 1, long, machine.address)
				far.serve(kind, 1, long, machine.address)
				far.knowRouters("other z " + router.acceptForwards())
				for number, client := range []*deployment{router, router, far, far} {
					got := client.send(http.MethodPost, "/a/x", "id-"+strconv.Itoa(number), "body")
					if got.status != http.StatusBadGateway || got.header.Get(headerSeal) != "" {
						t.Errorf("request %d got %d %q (%v)", number, got.status, got.body, got.err)
					}
				}
				if count := len(machine.requests()); count != 4 {
					t.Errorf("the machine got %d requests", count)
				}
			})
		}
	}
}

// Guards against a response of another router with an invalid head that clients get.
func TestInvalidResponseOfRouterIsBroken(t *testing.T) {
	for _, invalid := range upstreamtest.InvalidResponses() {
		t.Run(invalid.Name, func(t *testing.T) {
			machine := newRawMachine(t, respondOK)
			whole, far := newDeployment(t), newCutRouter(t, "cut")
			whole.serve(v1.RouteStream, 1, long, machine.address)
			far.serve(v1.RouteStream, 1, long, machine.address)
			other := upstreamtest.Serve(t, func(request *http.Request) string {
				recorded := httptest.NewRecorder()
				whole.handler.ForwardHandler().ServeHTTP(recorded, request)
				recorded.Header().Del("Content-Length")
				var fields strings.Builder
				if err := recorded.Header().Write(&fields); err != nil {
					t.Error(err)
				}
				return invalid.Text(fields.String(), recorded.Body.String())
			})
			far.knowRouters("other z " + strings.TrimPrefix(other, "http://"))
			got := far.send(http.MethodPost, "/a/x", "id", "body")
			if got.status != http.StatusBadGateway || got.header.Get(headerSeal) != "" || len(machine.requests()) != 1 {
				t.Errorf("got %d %q (%v), the machine %d requests", got.status, got.body, got.err, len(machine.requests()))
			}
		})
	}
}
