package ingress_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

func stringReader(text string) io.Reader {
	if text == "" {
		return nil
	}
	return strings.NewReader(text)
}

// long is a timeout that no test reaches.
const long = 30 * time.Second

// TestMachineResponses checks the response that the client gets for each
// response of a machine, and the number of sends. The outcome is "not run" only if
// the machine stated it.
func TestMachineResponses(t *testing.T) {
	tests := []struct {
		name   string
		kind   v1.RouteKind
		answer responseScript
		status int
		// body must be contained in the response body.
		body string
		// broken is set if the client must see an incomplete response.
		broken bool
		sends  int
	}{
		{
			"whole answer", v1.RouteUnrepeatable,
			func(request receivedRequest, _ int, connection net.Conn) bool {
				return write(connection, ok(request, "fine"))
			},
			200, "fine", false, 1,
		},
		{
			"own failure is passed on", v1.RouteUnrepeatable,
			func(request receivedRequest, _ int, connection net.Conn) bool {
				return write(connection, "HTTP/1.1 500 Oops\r\n"+headerSeal+": s\r\nContent-Length: 4\r\n\r\noops")
			},
			500, "oops", false, 1,
		},
		{
			"full, not run", v1.RouteUnrepeatable,
			func(_ receivedRequest, _ int, connection net.Conn) bool {
				return write(connection, "HTTP/1.1 503 Full\r\n"+headerNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
			},
			503, "not-run", false, 1,
		},
		{
			"full without saying that it did not run", v1.RouteUnrepeatable,
			func(_ receivedRequest, _ int, connection net.Conn) bool {
				return write(connection, "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull")
			},
			503, "full", false, 1,
		},
		{
			"reset before an answer", v1.RouteUnrepeatable,
			func(_ receivedRequest, _ int, connection net.Conn) bool { return reset(connection) },
			502, "unknown", false, 1,
		},
		{
			"bytes that are no answer", v1.RouteUnrepeatable,
			func(_ receivedRequest, _ int, connection net.Conn) bool {
				write(connection, "\x00\x01 nothing of the kind\r\n\r\n")
				return false
			},
			502, "unknown", false, 1,
		},
		{
			"success without a seal", v1.RouteUnrepeatable,
			func(request receivedRequest, _ int, connection net.Conn) bool {
				return write(connection, strings.Replace(ok(request, "fine"), headerSeal, "Other", 1))
			},
			502, "unknown", false, 1,
		},
		{
			"answer to another request first", v1.RouteUnrepeatable,
			func(request receivedRequest, _ int, connection net.Conn) bool {
				stranger := receivedRequest{header: http.Header{headerID: {"stranger"}}}
				return write(connection, ok(stranger, "theirs")+ok(request, "mine"))
			},
			200, "mine", false, 1,
		},
		{
			"broken off within its length", v1.RouteUnrepeatable,
			func(request receivedRequest, _ int, connection net.Conn) bool {
				write(connection, strings.TrimSuffix(ok(request, "twelve bytes"), "bytes"))
				return false
			},
			200, "", true, 1,
		},
		{
			"reset in the middle of an answer without length", v1.RouteUnrepeatable,
			func(request receivedRequest, _ int, connection net.Conn) bool {
				head := "HTTP/1.1 200 OK\r\n" + headerID + ": " + request.header.Get(headerID) + "\r\n" + headerSeal + ": s\r\n\r\n"
				write(connection, head+strings.Repeat("x", 10_000))
				return reset(connection)
			},
			200, "", true, 1,
		},
		{
			"chunks", v1.RouteStream,
			func(request receivedRequest, _ int, connection net.Conn) bool {
				head := "HTTP/1.1 200 OK\r\n" + headerID + ": " + request.header.Get(headerID) + "\r\n" + headerSeal + ": s\r\nTransfer-Encoding: chunked\r\n\r\n"
				return write(connection, head+"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n")
			},
			200, "onetwo", false, 1,
		},
		{
			"chunks without an end", v1.RouteStream,
			func(request receivedRequest, _ int, connection net.Conn) bool {
				head := "HTTP/1.1 200 OK\r\n" + headerID + ": " + request.header.Get(headerID) + "\r\n" + headerSeal + ": s\r\nTransfer-Encoding: chunked\r\n\r\n"
				write(connection, head+"3\r\none\r\n")
				return false
			},
			200, "", true, 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			machine := newRawMachine(t, test.answer)
			d := newDeployment(t)
			d.serve(test.kind, 1, long, machine.address)
			got := d.send(http.MethodPost, "/a/b", "id-1", "body")
			if test.broken {
				if got.err == nil {
					t.Errorf("a truncated response looks complete: %d %q", got.status, got.body)
				}
			} else if got.err != nil || got.status != test.status || !strings.Contains(got.body, test.body) {
				t.Errorf("got %d %q (%v), wanted %d with %q", got.status, got.body, got.err, test.status, test.body)
			}
			if sends := len(machine.requests()); sends != test.sends {
				t.Errorf("the machine got the request %d times, not %d", sends, test.sends)
			}
		})
	}
}

// TestRetryAtSecondMachine checks that a request is retried at a second machine only if
// the first did not run it or the route is repeatable.
func TestRetryAtSecondMachine(t *testing.T) {
	notRun := func(_ receivedRequest, _ int, connection net.Conn) bool {
		return write(connection, "HTTP/1.1 503 Full\r\n"+headerNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
	}
	elsewhere := func(_ receivedRequest, _ int, connection net.Conn) bool {
		return write(connection, "HTTP/1.1 421 Other\r\n"+headerNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
	}
	resets := func(_ receivedRequest, _ int, connection net.Conn) bool { return reset(connection) }
	fails := func(_ receivedRequest, _ int, connection net.Conn) bool {
		return write(connection, "HTTP/1.1 500 Oops\r\n"+headerSeal+": s\r\nContent-Length: 0\r\n\r\n")
	}
	tests := []struct {
		name     string
		kind     v1.RouteKind
		attempts int
		first    responseScript
		status   int
		second   int
	}{
		{"not run, unrepeatable", v1.RouteUnrepeatable, 2, notRun, 200, 1},
		{"another machine, unrepeatable", v1.RouteUnrepeatable, 2, elsewhere, 200, 1},
		{"not run, one attempt", v1.RouteUnrepeatable, 1, notRun, 503, 0},
		{"reset, unrepeatable", v1.RouteUnrepeatable, 2, resets, 502, 0},
		{"reset, stream", v1.RouteStream, 2, resets, 502, 0},
		{"reset, repeatable", v1.RouteRepeatable, 2, resets, 200, 1},
		{"failure, unrepeatable", v1.RouteUnrepeatable, 2, fails, 500, 0},
		{"failure, repeatable", v1.RouteRepeatable, 2, fails, 200, 1},
		{"failure, repeatable, one attempt", v1.RouteRepeatable, 1, fails, 500, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// The dispatcher may choose either machine first.
			var requests atomic.Int64
			answer := func(request receivedRequest, number int, connection net.Conn) bool {
				if requests.Add(1) == 1 {
					return test.first(request, number, connection)
				}
				return write(connection, ok(request, "second"))
			}
			machines := []*rawMachine{newRawMachine(t, answer), newRawMachine(t, answer)}
			d := newDeployment(t)
			d.serve(test.kind, test.attempts, long, machines[0].address, machines[1].address)
			got := d.send(http.MethodPost, "/a/b", "id-1", "body")
			if got.status != test.status || requests.Load() != int64(1+test.second) {
				t.Errorf("got %d after %d sends, wanted %d after %d", got.status, requests.Load(), test.status, 1+test.second)
			}
			if most := max(len(machines[0].requests()), len(machines[1].requests())); most != 1 {
				t.Errorf("one machine got the request %d times", most)
			}
		})
	}
}

// TestFailedConnectionIsNoAttempt checks that a failed connection doesn't count as an
// attempt.
func TestFailedConnectionIsNoAttempt(t *testing.T) {
	dead := reservePort(t)
	alive := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, "alive"))
	})
	d := newDeployment(t)
	d.serve(v1.RouteUnrepeatable, 1, long, dead, alive.address)
	if got := d.send(http.MethodPost, "/a/b", "id-1", "x"); got.status != 200 || got.body != "alive" {
		t.Errorf("got %d %q", got.status, got.body)
	}
}

// TestRequestForwardedUnchanged checks that method, path, query, body and headers
// reach the machine unchanged, with escapes and double slashes.
func TestRequestForwardedUnchanged(t *testing.T) {
	machine := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, ""))
	})
	d := newDeployment(t)
	d.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	path := "/a/b%2Fc//../d;e?x=%41&y=a+b&&z"
	if got := d.send("PATCH", path, "id-1", "body\x00bytes", "Custom", "one", headerWait, "20s"); got.status != 200 {
		t.Fatalf("got %d %q", got.status, got.body)
	}
	seen := machine.requests()[0]
	if seen.method != "PATCH" || seen.target != path || seen.body != "body\x00bytes" || seen.host != "shop.example" {
		t.Errorf("the machine saw %q %q %q at %q", seen.method, seen.target, seen.body, seen.host)
	}
	if seen.header.Get("Custom") != "one" || seen.header.Get(headerID) != "id-1" || seen.header.Get(headerTarget) != "m0" {
		t.Errorf("the machine saw headers %v", seen.header)
	}
	if remains, err := time.ParseDuration(seen.header.Get(headerWait)); err != nil || remains > 20*time.Second || remains <= 0 {
		t.Errorf("the machine got the timeout %q", seen.header.Get(headerWait))
	}
}

// TestRequestsWaitForConfiguration checks that a starting node never answers 404 for
// a declared route, also between the view becoming current and the rebuild of the
// routes.
func TestRequestsWaitForConfiguration(t *testing.T) {
	machine := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, "fine"))
	})
	d := newDeployment(t)
	if got := d.send(http.MethodGet, "/a/b", "id-1", "", headerWait, "1ms"); got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("without a configuration: %d %v", got.status, got.header)
	}
	answers := make(chan reply)
	for range 8 {
		go func() { answers <- d.send(http.MethodGet, "/a/b", "id-2", "", headerWait, "20s") }()
	}
	d.serve(v1.RouteRepeatable, 1, long, machine.address)
	for range 8 {
		if got := <-answers; got.status != 200 {
			t.Errorf("while waiting for the configuration: %d %q", got.status, got.body)
		}
	}
}

// TestErrorResponses checks the node's own error responses.
func TestErrorResponses(t *testing.T) {
	machine := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, "fine"))
	})
	d := newDeployment(t)
	d.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	tests := []struct {
		name, path, body string
		status           int
	}{
		{"no route", "/b/", "", 404},
		{"prefix without its slash", "/a", "", 404},
		{"body over the limit", "/a/b", strings.Repeat("x", 1001), 413},
		{"body at the limit", "/a/b", strings.Repeat("x", 1000), 200},
	}
	for _, test := range tests {
		if got := d.send(http.MethodPost, test.path, "id-1", test.body); got.status != test.status {
			t.Errorf("%s: got %d %q, wanted %d", test.name, got.status, got.body, test.status)
		}
	}
}

// TestDeadlineWithUnresponsiveMachine checks that the client gets the outcome "unknown" at
// the deadline and that the connection to the machine is closed.
func TestDeadlineWithUnresponsiveMachine(t *testing.T) {
	closed := make(chan struct{})
	machine := newRawMachine(t, func(_ receivedRequest, _ int, connection net.Conn) bool {
		_, _ = connection.Read(make([]byte, 1))
		close(closed)
		return false
	})
	d := newDeployment(t)
	d.serve(v1.RouteUnrepeatable, 1, 50*time.Millisecond, machine.address)
	if got := d.send(http.MethodPost, "/a/b", "id-1", "x"); got.status != 504 || !strings.Contains(got.body, "unknown") {
		t.Errorf("got %d %q", got.status, got.body)
	}
	<-closed
}

// TestAbortAnswersPendingRequests checks that Abort answers queued requests and those whose
// machine has not responded, instead of closing their connections.
func TestAbortAnswersPendingRequests(t *testing.T) {
	reached := make(chan struct{}, 1)
	silent := newRawMachine(t, func(_ receivedRequest, _ int, connection net.Conn) bool {
		reached <- struct{}{}
		_, _ = connection.Read(make([]byte, 1))
		return false
	})
	d := newDeployment(t)
	d.serve(v1.RouteUnrepeatable, 1, long, silent.address)
	answers := make(chan reply, 2)
	go func() { answers <- d.send(http.MethodPost, "/a/b", "running", "x") }()
	<-reached
	d.handler.Abort()
	if got := <-answers; got.status != 504 || !strings.Contains(got.body, "unknown") {
		t.Errorf("the running request got %d %q", got.status, got.body)
	}

	empty := newDeployment(t)
	empty.serve(v1.RouteUnrepeatable, 1, long)
	go func() { answers <- empty.send(http.MethodPost, "/a/b", "waiting", "x") }()
	<-empty.queued
	empty.handler.Abort()
	if got := <-answers; got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("the queued request got %d %q", got.status, got.body)
	}
}

// TestClientDisconnect checks that a request whose client disconnects is canceled at
// the machine, or removed from the queue.
func TestClientDisconnect(t *testing.T) {
	reached, ended := make(chan struct{}, 1), make(chan struct{})
	machine := newRawMachine(t, func(_ receivedRequest, _ int, connection net.Conn) bool {
		reached <- struct{}{}
		_, _ = connection.Read(make([]byte, 1))
		close(ended)
		return false
	})
	d := newDeployment(t)
	d.serve(v1.RouteStream, 2, long, machine.address)
	disconnect := d.sendAndDisconnect("/a/b", "running")
	<-reached
	disconnect()
	<-ended
	if sends := len(machine.requests()); sends != 1 {
		t.Errorf("the request was sent %d times", sends)
	}

	late := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, "late"))
	})
	empty := newDeployment(t)
	empty.serve(v1.RouteStream, 2, long)
	disconnect = empty.sendAndDisconnect("/a/b", "waiting")
	<-empty.queued
	disconnect()
	for empty.handler.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	empty.apply(empty.machine("m0", late.address))
	if got := empty.send(http.MethodPost, "/a/b", "next", "x"); got.status != 200 {
		t.Errorf("the next request got %d", got.status)
	}
	if sent := late.requests(); len(sent) != 1 || sent[0].header.Get(headerID) != "next" {
		t.Errorf("a request was sent after its client disconnected: %v", sent)
	}
}
