package ingress_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

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
