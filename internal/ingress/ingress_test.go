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

// long is more time than any of these tests takes.
const long = 30 * time.Second

// TestAnswersOfOneMachine tables what a caller gets for what a machine does, and
// how often the request reached the machine. "Not run" is said only where the
// machine proved it.
func TestAnswersOfOneMachine(t *testing.T) {
	tests := []struct {
		name   string
		kind   v1.RouteKind
		answer script
		status int
		// body is what must be in the caller's body.
		body string
		// broken is set where the caller must see that the answer is not whole.
		broken bool
		sends  int
	}{
		{
			"whole answer", v1.RouteUnrepeatable,
			func(request seenRequest, _ int, connection net.Conn) bool {
				return write(connection, ok(request, "fine"))
			},
			200, "fine", false, 1,
		},
		{
			"own failure is passed on", v1.RouteUnrepeatable,
			func(request seenRequest, _ int, connection net.Conn) bool {
				return write(connection, "HTTP/1.1 500 Oops\r\n"+headerSeal+": s\r\nContent-Length: 4\r\n\r\noops")
			},
			500, "oops", false, 1,
		},
		{
			"full, not run", v1.RouteUnrepeatable,
			func(_ seenRequest, _ int, connection net.Conn) bool {
				return write(connection, "HTTP/1.1 503 Full\r\n"+headerNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
			},
			503, "not-run", false, 1,
		},
		{
			"full without saying that it did not run", v1.RouteUnrepeatable,
			func(_ seenRequest, _ int, connection net.Conn) bool {
				return write(connection, "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull")
			},
			503, "full", false, 1,
		},
		{
			"reset before an answer", v1.RouteUnrepeatable,
			func(_ seenRequest, _ int, connection net.Conn) bool { return reset(connection) },
			502, "unknown", false, 1,
		},
		{
			"bytes that are no answer", v1.RouteUnrepeatable,
			func(_ seenRequest, _ int, connection net.Conn) bool {
				write(connection, "\x00\x01 nothing of the kind\r\n\r\n")
				return false
			},
			502, "unknown", false, 1,
		},
		{
			"success without a seal", v1.RouteUnrepeatable,
			func(request seenRequest, _ int, connection net.Conn) bool {
				return write(connection, strings.Replace(ok(request, "fine"), headerSeal, "Other", 1))
			},
			502, "unknown", false, 1,
		},
		{
			"answer to another request first", v1.RouteUnrepeatable,
			func(request seenRequest, _ int, connection net.Conn) bool {
				stranger := seenRequest{header: http.Header{headerID: {"stranger"}}}
				return write(connection, ok(stranger, "theirs")+ok(request, "mine"))
			},
			200, "mine", false, 1,
		},
		{
			"broken off within its length", v1.RouteUnrepeatable,
			func(request seenRequest, _ int, connection net.Conn) bool {
				write(connection, strings.TrimSuffix(ok(request, "twelve bytes"), "bytes"))
				return false
			},
			200, "", true, 1,
		},
		{
			"reset in the middle of an answer without length", v1.RouteUnrepeatable,
			func(request seenRequest, _ int, connection net.Conn) bool {
				head := "HTTP/1.1 200 OK\r\n" + headerID + ": " + request.header.Get(headerID) + "\r\n" + headerSeal + ": s\r\n\r\n"
				write(connection, head+strings.Repeat("x", 10_000))
				return reset(connection)
			},
			200, "", true, 1,
		},
		{
			"chunks", v1.RouteStream,
			func(request seenRequest, _ int, connection net.Conn) bool {
				head := "HTTP/1.1 200 OK\r\n" + headerID + ": " + request.header.Get(headerID) + "\r\n" + headerSeal + ": s\r\nTransfer-Encoding: chunked\r\n\r\n"
				return write(connection, head+"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n")
			},
			200, "onetwo", false, 1,
		},
		{
			"chunks without an end", v1.RouteStream,
			func(request seenRequest, _ int, connection net.Conn) bool {
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
			got := d.ask(http.MethodPost, "/a/b", "id-1", "body")
			if test.broken {
				if got.err == nil {
					t.Errorf("an answer that was broken off looks whole: %d %q", got.status, got.body)
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

// TestSecondMachine tables when a request goes to a second machine: after proof
// that it did not run, or where the route allows repeating.
func TestSecondMachine(t *testing.T) {
	notRun := func(_ seenRequest, _ int, connection net.Conn) bool {
		return write(connection, "HTTP/1.1 503 Full\r\n"+headerNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
	}
	elsewhere := func(_ seenRequest, _ int, connection net.Conn) bool {
		return write(connection, "HTTP/1.1 421 Other\r\n"+headerNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
	}
	resets := func(_ seenRequest, _ int, connection net.Conn) bool { return reset(connection) }
	fails := func(_ seenRequest, _ int, connection net.Conn) bool {
		return write(connection, "HTTP/1.1 500 Oops\r\n"+headerSeal+": s\r\nContent-Length: 0\r\n\r\n")
	}
	tests := []struct {
		name     string
		kind     v1.RouteKind
		attempts int
		first    script
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
			// Which machine comes first is the dispatcher's choice: the first
			// request at either gets the answer of the table.
			var requests atomic.Int64
			answer := func(request seenRequest, number int, connection net.Conn) bool {
				if requests.Add(1) == 1 {
					return test.first(request, number, connection)
				}
				return write(connection, ok(request, "second"))
			}
			machines := []*rawMachine{newRawMachine(t, answer), newRawMachine(t, answer)}
			d := newDeployment(t)
			d.serve(test.kind, test.attempts, long, machines[0].address, machines[1].address)
			got := d.ask(http.MethodPost, "/a/b", "id-1", "body")
			if got.status != test.status || requests.Load() != int64(1+test.second) {
				t.Errorf("got %d after %d sends, wanted %d after %d", got.status, requests.Load(), test.status, 1+test.second)
			}
			if most := max(len(machines[0].requests()), len(machines[1].requests())); most != 1 {
				t.Errorf("one machine got the request %d times", most)
			}
		})
	}
}

// TestDeadMachineIsPassedOver: a connection that does not come about proves that
// nothing was sent, whatever the route allows.
func TestDeadMachineIsPassedOver(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := listener.Addr().String()
	_ = listener.Close()
	alive := newRawMachine(t, func(request seenRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, "alive"))
	})
	d := newDeployment(t)
	d.serve(v1.RouteUnrepeatable, 1, long, dead, alive.address)
	if got := d.ask(http.MethodPost, "/a/b", "id-1", "x"); got.status != 200 || got.body != "alive" {
		t.Errorf("got %d %q", got.status, got.body)
	}
}

// TestRequestPassesUnchanged: method, path, query, body and headers reach the
// machine as the caller wrote them, escapes and double slashes included.
func TestRequestPassesUnchanged(t *testing.T) {
	machine := newRawMachine(t, func(request seenRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, ""))
	})
	d := newDeployment(t)
	d.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	path := "/a/b%2Fc//../d;e?x=%41&y=a+b&&z"
	if got := d.ask("PATCH", path, "id-1", "body\x00bytes", "Custom", "one", headerWait, "20s"); got.status != 200 {
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
		t.Errorf("the machine was told to wait %q", seen.header.Get(headerWait))
	}
}

// TestNotBeforeTheConfiguration: a node denies no route because it has not got
// the present configuration yet. It once answered 404 in the moment between a
// view that is current and routes that are in force.
func TestNotBeforeTheConfiguration(t *testing.T) {
	machine := newRawMachine(t, func(request seenRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, "fine"))
	})
	d := newDeployment(t)
	if got := d.ask(http.MethodGet, "/a/b", "id-1", "", headerWait, "1ms"); got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("without a configuration: %d %v", got.status, got.header)
	}
	answers := make(chan reply)
	for range 8 {
		go func() { answers <- d.ask(http.MethodGet, "/a/b", "id-2", "", headerWait, "20s") }()
	}
	d.serve(v1.RouteRepeatable, 1, long, machine.address)
	for range 8 {
		if got := <-answers; got.status != 200 {
			t.Errorf("while the configuration came: %d %q", got.status, got.body)
		}
	}
}

// TestRefusals tables the node's own answers.
func TestRefusals(t *testing.T) {
	machine := newRawMachine(t, func(request seenRequest, _ int, connection net.Conn) bool {
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
		if got := d.ask(http.MethodPost, test.path, "id-1", test.body); got.status != test.status {
			t.Errorf("%s: got %d %q, wanted %d", test.name, got.status, got.body, test.status)
		}
	}
}

// TestSilentMachineAtTheDeadline: the caller gets the truth at the deadline, and
// the machine is told to stop by the end of its connection.
func TestSilentMachineAtTheDeadline(t *testing.T) {
	closed := make(chan struct{})
	machine := newRawMachine(t, func(_ seenRequest, _ int, connection net.Conn) bool {
		_, _ = connection.Read(make([]byte, 1))
		close(closed)
		return false
	})
	d := newDeployment(t)
	d.serve(v1.RouteUnrepeatable, 1, 50*time.Millisecond, machine.address)
	if got := d.ask(http.MethodPost, "/a/b", "id-1", "x"); got.status != 504 || !strings.Contains(got.body, "unknown") {
		t.Errorf("got %d %q", got.status, got.body)
	}
	<-closed
}

// TestEndAnswersWhoWaits: a node that is about to be gone answers those who wait
// for a place, and those whose machine is silent. A request once waited for a
// model until the process ended, and its connection was closed with no answer.
func TestEndAnswersWhoWaits(t *testing.T) {
	reached := make(chan struct{}, 1)
	silent := newRawMachine(t, func(_ seenRequest, _ int, connection net.Conn) bool {
		reached <- struct{}{}
		_, _ = connection.Read(make([]byte, 1))
		return false
	})
	d := newDeployment(t)
	d.serve(v1.RouteUnrepeatable, 1, long, silent.address)
	answers := make(chan reply, 2)
	go func() { answers <- d.ask(http.MethodPost, "/a/b", "running", "x") }()
	<-reached
	d.handler.Abort()
	if got := <-answers; got.status != 504 || !strings.Contains(got.body, "unknown") {
		t.Errorf("the one that may have run got %d %q", got.status, got.body)
	}

	empty := newDeployment(t)
	empty.serve(v1.RouteUnrepeatable, 1, long)
	go func() { answers <- empty.ask(http.MethodPost, "/a/b", "waiting", "x") }()
	<-empty.waits
	empty.handler.Abort()
	if got := <-answers; got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("the one that waited got %d %q", got.status, got.body)
	}
}

// TestCallerWhoLeaves: a machine is told at once, by the end of its connection,
// and a request that waits for a place goes to none any more.
func TestCallerWhoLeaves(t *testing.T) {
	reached, ended := make(chan struct{}, 1), make(chan struct{})
	machine := newRawMachine(t, func(_ seenRequest, _ int, connection net.Conn) bool {
		reached <- struct{}{}
		_, _ = connection.Read(make([]byte, 1))
		close(ended)
		return false
	})
	d := newDeployment(t)
	d.serve(v1.RouteStream, 2, long, machine.address)
	leave := d.askAndLeave("/a/b", "running")
	<-reached
	leave()
	<-ended
	if sends := len(machine.requests()); sends != 1 {
		t.Errorf("the request was sent %d times", sends)
	}

	late := newRawMachine(t, func(request seenRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, "late"))
	})
	empty := newDeployment(t)
	empty.serve(v1.RouteStream, 2, long)
	leave = empty.askAndLeave("/a/b", "waiting")
	<-empty.waits
	leave()
	for empty.handler.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	empty.apply(empty.machine("m0", late.address))
	if got := empty.ask(http.MethodPost, "/a/b", "next", "x"); got.status != 200 {
		t.Errorf("the next request got %d", got.status)
	}
	if sent := late.requests(); len(sent) != 1 || sent[0].header.Get(headerID) != "next" {
		t.Errorf("a request was sent after its caller had left: %v", sent)
	}
}
