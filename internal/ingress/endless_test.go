package ingress_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// TestEndlessHeadEndsTheAttempt guards against a machine that sends a header without end, which occupied the request until
// its deadline and filled this process's memory.
func TestEndlessHeadEndsTheAttempt(t *testing.T) {
	machine := newRawMachine(t, func(_ receivedRequest, _ int, connection net.Conn) bool {
		write(connection, "HTTP/1.1 200 OK\r\nName: ")
		for write(connection, strings.Repeat("x", 1000)) {
		}
		return false
	})
	router := newDeployment(t)
	router.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	if got := router.send(http.MethodPost, "/a/x", "id", "body"); got.status != http.StatusBadGateway || !strings.Contains(got.body, "unknown") {
		t.Errorf("status %d %q (%v)", got.status, got.body, got.err)
	}
}

// TestRejectionDoesNotWaitForItsBody guards against a machine that rejects a request and sends the body of its response late
// or never, which kept the request from other machines.
func TestRejectionDoesNotWaitForItsBody(t *testing.T) {
	waiting := make(chan struct{})
	t.Cleanup(func() { close(waiting) })
	full := newRawMachine(t, func(_ receivedRequest, _ int, connection net.Conn) bool {
		write(connection, "HTTP/1.1 503 Full\r\n"+headerNotRun+": 1\r\nContent-Length: 10\r\n\r\n")
		<-waiting
		return false
	})
	machine := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, "fine"))
	})
	router := newDeployment(t)
	router.serve(v1.RouteUnrepeatable, 2, long, full.address, machine.address)
	for len(full.requests()) == 0 {
		if got := router.send(http.MethodPost, "/a/x", "id", "body"); got.status != http.StatusOK {
			t.Fatalf("status %d %q (%v)", got.status, got.body, got.err)
		}
	}
}

// TestLongResponseIsRelayed checks that the bound on what is read before a response is relayed is not one on the response.
func TestLongResponseIsRelayed(t *testing.T) {
	content := strings.Repeat("0123456789", 100_000)
	machine := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
		_, err := io.WriteString(connection, ok(request, content))
		return err == nil
	})
	router := newDeployment(t)
	router.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	if got := router.send(http.MethodPost, "/a/x", "id", "body"); got.err != nil || got.body != content {
		t.Errorf("%d of %d bytes, %v", len(got.body), len(content), got.err)
	}
}

// Guards against keeping what a machine sends without end for a client that does not read it.
func TestEndlessBodyIsNotKept(t *testing.T) {
	const (
		// maxBufferedBytes exceeds what the buffers of the connections on the way may hold.
		maxBufferedBytes = 512 << 20
		stall            = 2 * time.Second
	)
	content := strings.Repeat("x", 1<<16)
	for name, test := range map[string]struct{ framing, repeated string }{
		"without a length": {"", content},
		"chunks":           {"Transfer-Encoding: chunked\r\n", "10000\r\n" + content + "\r\n"},
		"stated length":    {"Content-Length: 100000000000\r\n", content},
	} {
		for _, kind := range []v1.RouteKind{v1.RouteUnrepeatable, v1.RouteStream} {
			t.Run(name+" "+string(kind), func(t *testing.T) {
				t.Parallel()
				taken := make(chan int, 1)
				machine := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
					write(connection, "HTTP/1.1 200 OK\r\n"+headerID+": "+request.header.Get(headerID)+"\r\n"+headerSeal+": s\r\n"+test.framing+"\r\n")
					total := 0
					for total < maxBufferedBytes {
						_ = connection.SetWriteDeadline(time.Now().Add(stall))
						count, err := io.WriteString(connection, test.repeated)
						total += count
						if err != nil {
							break
						}
					}
					taken <- total
					return false
				})
				router, far := newDeployment(t), newCutRouter(t, "cut")
				router.serve(kind, 1, long, machine.address)
				far.serve(kind, 1, long, machine.address)
				far.knowRouters("other z " + router.acceptForwards())
				for _, client := range []*deployment{router, far} {
					disconnect := client.sendAndDisconnect("/a/x", "id")
					if total := <-taken; total >= maxBufferedBytes {
						t.Errorf("%d bytes were taken of the machine", total)
					}
					disconnect()
				}
			})
		}
	}
}
