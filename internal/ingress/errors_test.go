package ingress_test

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// serveStream declares a stream route to machines at addresses.
func (d *deployment) serveStream(resumable bool, attempts int, addresses ...string) {
	d.serveRoute(d.object(v1.KindRoute, "r", &v1.RouteSpec{
		Host: "shop.example", PathPrefix: "/a/", Kind: v1.RouteStream, Timeout: v1.Duration(long), Resumable: resumable,
		Targets: []v1.RouteTarget{{Pool: "pool", Weight: 1}}, MaxAttempts: attempts,
	}, nil), addresses...)
}

func answerWith(status string, body string) script {
	return func(_ seenRequest, _ int, connection net.Conn) bool {
		head := "HTTP/1.1 " + status + "\r\n" + headerSeal + ": first\r\nContent-Length: "
		return write(connection, head+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	}
}

// TestErrorOfAStream tables what follows on a machine's own failure of a stream: it is
// tried elsewhere where the stream may run again and another machine is there, and the
// caller gets the first failure, whole, where nothing better comes of it.
func TestErrorOfAStream(t *testing.T) {
	fails := answerWith("500 Oops", "broken model")
	succeeds := func(request seenRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, "second"))
	}
	resets := func(_ seenRequest, _ int, connection net.Conn) bool { return reset(connection) }
	tests := []struct {
		name      string
		resumable bool
		attempts  int
		second    script
		status    int
		body      string
		sends     int64
	}{
		{"may run again", true, 2, succeeds, 200, "second", 2},
		{"may not run again", false, 2, succeeds, 500, "broken model", 1},
		{"one attempt", true, 1, succeeds, 500, "broken model", 1},
		{"the second breaks off", true, 2, resets, 500, "broken model", 2},
		{"there is no other machine", true, 2, nil, 500, "broken model", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var sends atomic.Int64
			answer := func(request seenRequest, number int, connection net.Conn) bool {
				if sends.Add(1) == 1 {
					return fails(request, number, connection)
				}
				return test.second(request, number, connection)
			}
			addresses := []string{newRawMachine(t, answer).address}
			if test.second != nil {
				addresses = append(addresses, newRawMachine(t, answer).address)
			}
			d := newDeployment(t)
			d.serveStream(test.resumable, test.attempts, addresses...)
			started := time.Now()
			got := d.ask(http.MethodPost, "/a/b", "id-1", "body")
			if got.status != test.status || got.body != test.body || sends.Load() != test.sends {
				t.Errorf("got %d %q after %d sends, wanted %d %q after %d", got.status, got.body, sends.Load(), test.status, test.body, test.sends)
			}
			if test.status == 500 && got.header.Get(headerSeal) != "first" {
				t.Error("the machine's seal is missing")
			}
			if time.Since(started) > long/2 {
				t.Error("the caller had to wait for an answer that was there")
			}
		})
	}
}
