package ingress_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// rejection is a machine's response to a request that it did not run, with a back-off time.
func rejection(request receivedRequest, backOff string) string {
	return "HTTP/1.1 503 Service Unavailable\r\n" + headerID + ": " + request.header.Get(headerID) + "\r\n" +
		headerNotRun + ": 1\r\n" + headerBackOff + ": " + backOff + "\r\nContent-Length: 0\r\n\r\n"
}

func rejectWith(backOff string) responseScript {
	return func(request receivedRequest, _ int, connection net.Conn) bool {
		return write(connection, rejection(request, backOff))
	}
}

// retryAfter returns the seconds in the Retry-After header.
func (r reply) retryAfter(t *testing.T) float64 {
	t.Helper()
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil {
		t.Errorf("Retry-After: %v", err)
	}
	return seconds
}

// TestBackOffOfOnlyMachine checks that clients are refused with a matching Retry-After after the only
// machine asked to back off.
func TestBackOffOfOnlyMachine(t *testing.T) {
	d := newDeployment(t)
	machine := newRawMachine(t, rejectWith("5s"))
	d.serve(v1.RouteRepeatable, 3, time.Second, machine.address)
	for number := range 5 {
		got := d.send(http.MethodGet, "/a/b", "id-"+strconv.Itoa(number), "", headerWait, "2s")
		if got.status != http.StatusServiceUnavailable {
			t.Errorf("the client gets %d", got.status)
		}
		if seconds := got.retryAfter(t); seconds < 4 || seconds > 8 {
			t.Errorf("Retry-After is %v s", seconds)
		}
	}
	if sent := len(machine.requests()); sent != 1 {
		t.Errorf("the machine got %d requests", sent)
	}
}

// TestRejectedRequestRetriedElsewhere checks that a rejected request is retried elsewhere and that the
// rejecting machine gets no further requests.
func TestRejectedRequestRetriedElsewhere(t *testing.T) {
	d := newDeployment(t)
	rejecting := newRawMachine(t, rejectWith("1h"))
	free := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, "fine"))
	})
	d.serve(v1.RouteUnrepeatable, 2, time.Second, rejecting.address, free.address)
	for number := range 20 {
		if got := d.send(http.MethodGet, "/a/b", "id-"+strconv.Itoa(number), ""); got.status != http.StatusOK {
			t.Errorf("the client gets %d", got.status)
		}
	}
	if sent := len(rejecting.requests()); sent > 1 {
		t.Errorf("the rejecting machine got %d requests", sent)
	}
}

// TestBackOffRevokesPendingGrant checks that a request granted before the machine asked to back off
// is not written to it afterwards.
func TestBackOffRevokesPendingGrant(t *testing.T) {
	d := newDeployment(t)
	machine := newRawMachine(t, func(request receivedRequest, number int, connection net.Conn) bool {
		if number == 1 {
			return write(connection, withHeader(ok(request, "fine"), headerLimit, "100"))
		}
		return write(connection, rejection(request, "1h"))
	})
	d.serve(v1.RouteUnrepeatable, 1, time.Second, machine.address)
	if got := d.send(http.MethodGet, "/a/b", "first", ""); got.status != http.StatusOK {
		t.Fatalf("the client gets %d", got.status)
	}
	var asked atomic.Int32
	waiting, resume := make(chan struct{}), make(chan struct{})
	permit := feed.PermitFunc(func(context.Context, *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
		if asked.Add(1) == 1 {
			close(waiting)
			<-resume
		}
		return &wirepb.PermitReply{Granted: true}, nil
	})
	d.permit.Store(&permit)
	late := make(chan reply, 1)
	go func() { late <- d.send(http.MethodGet, "/a/b", "late", "") }()
	<-waiting
	if got := d.send(http.MethodGet, "/a/b", "second", ""); got.status != http.StatusServiceUnavailable {
		t.Errorf("the rejected client gets %d", got.status)
	}
	close(resume)
	if got := <-late; got.status != http.StatusServiceUnavailable {
		t.Errorf("the late client gets %d", got.status)
	}
	if sent := len(machine.requests()); sent != 2 {
		t.Errorf("the machine got %d requests", sent)
	}
}

// TestRejectingMachineNotPreferred checks that a machine which rejects requests is not preferred for its
// low load.
func TestRejectingMachineNotPreferred(t *testing.T) {
	const total = 100
	d := newDeployment(t)
	rejecting := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
		return write(connection, rejection(request, ""))
	})
	free := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, "fine"))
	})
	d.serve(v1.RouteUnrepeatable, 1, time.Second, rejecting.address, free.address)
	started, rejected := time.Now(), 0
	for number := range total {
		if d.send(http.MethodGet, "/a/b", "id-"+strconv.Itoa(number), "").status != http.StatusOK {
			rejected++
		}
	}
	// The pauses double from 50 ms to 1 s: five in the first 1.5 s.
	if allowed := 6 + time.Since(started).Seconds(); float64(rejected) > allowed {
		t.Errorf("%d of %d requests were rejected, %.1f are allowed", rejected, total, allowed)
	}
}

// TestStatementsOfMisdirectedResponseIgnored checks that the statements in a 421 response, which comes
// from another machine at the same address, are ignored.
func TestStatementsOfMisdirectedResponseIgnored(t *testing.T) {
	d := newDeployment(t)
	machine := newRawMachine(t, func(request receivedRequest, number int, connection net.Conn) bool {
		if number > 1 {
			return write(connection, ok(request, "fine"))
		}
		return write(connection, "HTTP/1.1 421 Misdirected Request\r\n"+headerID+": "+request.header.Get(headerID)+"\r\n"+headerNotRun+": 1\r\n"+
			headerBackOff+": 1h\r\n"+headerLeaving+": 1\r\n"+headerLimit+": 0\r\nContent-Length: 0\r\n\r\n")
	})
	d.serve(v1.RouteUnrepeatable, 1, time.Second, machine.address)
	if got := d.send(http.MethodGet, "/a/b", "first", ""); got.status != http.StatusServiceUnavailable {
		t.Errorf("the misdirected client gets %d", got.status)
	}
	if got := d.send(http.MethodGet, "/a/b", "second", "", headerWait, "300ms"); got.status != http.StatusOK {
		t.Errorf("the second client gets %d", got.status)
	}
}
