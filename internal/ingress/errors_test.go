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

// serveStream declares a stream route and machines at the addresses.
func (d *deployment) serveStream(resumable bool, attempts int, addresses ...string) {
	d.serveRoute(d.object(v1.KindRoute, "r", &v1.RouteSpec{
		Host: "shop.example", PathPrefix: "/a/", Kind: v1.RouteStream, Timeout: v1.Duration(long), Resumable: resumable,
		Targets: []v1.RouteTarget{{Pool: "pool", Weight: 1}}, MaxAttempts: attempts,
	}, nil), addresses...)
}

func respondWith(status string, body string) responseScript {
	return func(_ receivedRequest, _ int, connection net.Conn) bool {
		head := "HTTP/1.1 " + status + "\r\n" + headerSeal + ": first\r\nContent-Length: "
		return write(connection, head+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	}
}

// TestStreamErrorRetry checks that a server error on a resumable stream is retried if there is
// another machine, and that the client gets the first error response if the retry fails.
func TestStreamErrorRetry(t *testing.T) {
	fails := respondWith("500 Oops", "broken model")
	succeeds := func(request receivedRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, "second"))
	}
	resets := func(_ receivedRequest, _ int, connection net.Conn) bool { return reset(connection) }
	tests := []struct {
		name      string
		resumable bool
		attempts  int
		second    responseScript
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
			answer := func(request receivedRequest, number int, connection net.Conn) bool {
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
			got := d.send(http.MethodPost, "/a/b", "id-1", "body")
			if got.status != test.status || got.body != test.body || sends.Load() != test.sends {
				t.Errorf("got %d %q after %d sends, wanted %d %q after %d", got.status, got.body, sends.Load(), test.status, test.body, test.sends)
			}
			if test.status == 500 && got.header.Get(headerSeal) != "first" {
				t.Error("the machine's seal is missing")
			}
			if time.Since(started) > long/2 {
				t.Error("the response was delayed")
			}
		})
	}
}
