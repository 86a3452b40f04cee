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

// rejection is a machine's answer to a request that it did not run, with a rest.
func rejection(request seenRequest, rest string) string {
	return "HTTP/1.1 503 Service Unavailable\r\n" + headerID + ": " + request.header.Get(headerID) + "\r\n" +
		headerNotRun + ": 1\r\n" + headerRest + ": " + rest + "\r\nContent-Length: 0\r\n\r\n"
}

func rejectWith(rest string) script {
	return func(request seenRequest, _ int, connection net.Conn) bool {
		return write(connection, rejection(request, rest))
	}
}

// retryAfter returns the seconds of an answer's Retry-After.
func (r reply) retryAfter(t *testing.T) float64 {
	t.Helper()
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil {
		t.Errorf("Retry-After: %v", err)
	}
	return seconds
}

// TestOnlyMachineRests: callers are refused at once and learn when to try again, as nothing could serve them
// before.
func TestOnlyMachineRests(t *testing.T) {
	d := newDeployment(t)
	machine := newRawMachine(t, rejectWith("5s"))
	d.serve(v1.RouteRepeatable, 3, time.Second, machine.address)
	for number := range 5 {
		got := d.ask(http.MethodGet, "/a/b", "id-"+strconv.Itoa(number), "", headerWait, "2s")
		if got.status != http.StatusServiceUnavailable {
			t.Errorf("the caller gets %d", got.status)
		}
		if seconds := got.retryAfter(t); seconds < 4 || seconds > 8 {
			t.Errorf("the caller is to try again in %v s", seconds)
		}
	}
	if sent := len(machine.requests()); sent != 1 {
		t.Errorf("the machine got %d requests", sent)
	}
}

// TestRejectedRequestGoesToAnotherMachine: it has not run, and one that rests is not asked again.
func TestRejectedRequestGoesToAnotherMachine(t *testing.T) {
	d := newDeployment(t)
	resting := newRawMachine(t, rejectWith("1h"))
	free := newRawMachine(t, func(request seenRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, "fine"))
	})
	d.serve(v1.RouteUnrepeatable, 2, time.Second, resting.address, free.address)
	for number := range 20 {
		if got := d.ask(http.MethodGet, "/a/b", "id-"+strconv.Itoa(number), ""); got.status != http.StatusOK {
			t.Errorf("the caller gets %d", got.status)
		}
	}
	if sent := len(resting.requests()); sent > 1 {
		t.Errorf("the resting machine got %d requests", sent)
	}
}

// TestRestEndsAGrantThatWaitsForItsPermit: a request that had been granted the machine before it asked for a
// rest was written to it afterwards.
func TestRestEndsAGrantThatWaitsForItsPermit(t *testing.T) {
	d := newDeployment(t)
	machine := newRawMachine(t, func(request seenRequest, number int, connection net.Conn) bool {
		if number == 1 {
			return write(connection, withHeader(ok(request, "fine"), headerLimit, "100"))
		}
		return write(connection, rejection(request, "1h"))
	})
	d.serve(v1.RouteUnrepeatable, 1, time.Second, machine.address)
	if got := d.ask(http.MethodGet, "/a/b", "first", ""); got.status != http.StatusOK {
		t.Fatalf("the caller gets %d", got.status)
	}
	var asked atomic.Int32
	isWaiting, mayGoOn := make(chan struct{}), make(chan struct{})
	permit := feed.PermitFunc(func(context.Context, *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
		if asked.Add(1) == 1 {
			close(isWaiting)
			<-mayGoOn
		}
		return &wirepb.PermitReply{Granted: true}, nil
	})
	d.permit.Store(&permit)
	late := make(chan reply, 1)
	go func() { late <- d.ask(http.MethodGet, "/a/b", "late", "") }()
	<-isWaiting
	if got := d.ask(http.MethodGet, "/a/b", "second", ""); got.status != http.StatusServiceUnavailable {
		t.Errorf("the rejected caller gets %d", got.status)
	}
	close(mayGoOn)
	if got := <-late; got.status != http.StatusServiceUnavailable {
		t.Errorf("the late caller gets %d", got.status)
	}
	if sent := len(machine.requests()); sent != 2 {
		t.Errorf("the machine got %d requests", sent)
	}
}

// TestRejectingMachineIsNotPreferred: a machine that rejected requests looked idle, since a rejection ends at
// once, and got about half of the requests beside a free one.
func TestRejectingMachineIsNotPreferred(t *testing.T) {
	const asked = 100
	d := newDeployment(t)
	rejecting := newRawMachine(t, func(request seenRequest, _ int, connection net.Conn) bool {
		return write(connection, rejection(request, ""))
	})
	free := newRawMachine(t, func(request seenRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, "fine"))
	})
	d.serve(v1.RouteUnrepeatable, 1, time.Second, rejecting.address, free.address)
	started, rejected := time.Now(), 0
	for number := range asked {
		if d.ask(http.MethodGet, "/a/b", "id-"+strconv.Itoa(number), "").status != http.StatusOK {
			rejected++
		}
	}
	// Pauses that double from 50 ms to a second: five of them in the first second and a half.
	if allowed := 6 + time.Since(started).Seconds(); float64(rejected) > allowed {
		t.Errorf("%d of %d requests were rejected, %.1f are allowed", rejected, asked, allowed)
	}
}

// TestMisdirectedAnswerStatesNothing: a 421 comes from another machine at the same address, and its statements were
// taken for those of the machine that the request was meant for.
func TestMisdirectedAnswerStatesNothing(t *testing.T) {
	d := newDeployment(t)
	machine := newRawMachine(t, func(request seenRequest, number int, connection net.Conn) bool {
		if number > 1 {
			return write(connection, ok(request, "fine"))
		}
		return write(connection, "HTTP/1.1 421 Misdirected Request\r\n"+headerID+": "+request.header.Get(headerID)+"\r\n"+headerNotRun+": 1\r\n"+
			headerRest+": 1h\r\n"+headerLeaving+": 1\r\n"+headerLimit+": 0\r\nContent-Length: 0\r\n\r\n")
	})
	d.serve(v1.RouteUnrepeatable, 1, time.Second, machine.address)
	if got := d.ask(http.MethodGet, "/a/b", "first", ""); got.status != http.StatusServiceUnavailable {
		t.Errorf("the misdirected caller gets %d", got.status)
	}
	if got := d.ask(http.MethodGet, "/a/b", "second", "", headerWait, "300ms"); got.status != http.StatusOK {
		t.Errorf("the second caller gets %d", got.status)
	}
}
