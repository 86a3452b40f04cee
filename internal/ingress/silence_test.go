package ingress_test

import (
	"bytes"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestSilentMachinesDontIsolateRouter guards against taking machines that pause for a second, and still accept
// connections, for lost paths: their requests wait, and nothing is forwarded. Another router gets no response either.
func TestSilentMachinesDontIsolateRouter(t *testing.T) {
	const pause = time.Second
	resume := make(chan struct{})
	pauses := func(request receivedRequest, _ int, connection net.Conn) bool {
		<-resume
		return write(connection, ok(request, "late"))
	}
	d, other := newDeployment(t), newDeployment(t)
	machines := pausedMachines(t, 2, pauses)
	d.serve(v1.RouteUnrepeatable, 1, long, machines...)
	other.serve(v1.RouteUnrepeatable, 1, long, machines...)
	forwards := newRawMachine(t, respondOK)
	d.knowRouters("mute z "+forwards.address, "other z "+other.acceptForwards())
	replies := make(chan reply)
	const requests = 4
	for number := range requests {
		go func() { replies <- d.send(http.MethodPost, "/a/b", "id-"+strconv.Itoa(number), "body") }()
	}
	for started := time.Now(); time.Since(started) < pause; time.Sleep(time.Millisecond) {
		if d.handler.IsIsolated() || other.handler.IsIsolated() {
			t.Fatal("the router is isolated")
		}
	}
	close(resume)
	for range requests {
		if got := <-replies; got.status != 200 || got.body != "late" {
			t.Errorf("got %+v", got)
		}
	}
	for _, seen := range forwards.requests() {
		if seen.header.Get(headerForward) != "" {
			t.Errorf("%s was forwarded", seen.header.Get(headerID))
		}
	}
}

// pausedMachines returns the addresses of machines that respond to probes as to requests.
func pausedMachines(t *testing.T, count int, script responseScript) []string {
	t.Helper()
	var addresses []string
	for range count {
		machine := newRawMachine(t, script)
		machine.probe.Store(&script)
		addresses = append(addresses, machine.address)
	}
	return addresses
}

// TestMachinesThatResumeDontIsolateRouter guards against taking a pause for lost paths since another router got responses
// right after it.
func TestMachinesThatResumeDontIsolateRouter(t *testing.T) {
	resume := make(chan struct{})
	pauses := func(request receivedRequest, _ int, connection net.Conn) bool {
		<-resume
		return write(connection, ok(request, "late"))
	}
	reply, err := proto.Marshal(&wirepb.PathCheckReply{Responding: []string{"m0", "m1", "m2"}})
	if err != nil {
		t.Fatal(err)
	}
	var checks atomic.Int64
	other := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
		if checks.Add(1) == 1 {
			close(resume)
		}
		return write(connection, ok(request, string(reply)))
	})
	logged := &lockedBuffer{}
	d := newDeploymentWith(t, slog.New(slog.NewTextHandler(logged, nil)))
	d.serve(v1.RouteUnrepeatable, 1, long, pausedMachines(t, 3, pauses)...)
	d.knowRouters("other z " + other.address)
	if got := d.send(http.MethodPost, "/a/b", "id-1", "body"); got.status != http.StatusOK || got.body != "late" {
		t.Errorf("got %+v", got)
	}
	// Whatever follows the check has ended once another silence is checked for.
	for checks.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 20 {
		d.send(http.MethodPost, "/a/b", "id-2", "body")
		time.Sleep(30 * time.Millisecond)
	}
	if text := logged.String(); strings.Contains(text, "router_isolated") || strings.Contains(text, "machine_unreachable") {
		t.Error("the router takes the pause for lost paths")
	}
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(content []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(content)
}

// String implements fmt.Stringer.
func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

// TestPausedMachinesAreNotProbedByAllRouters guards against routers that have all others probe machines that are only
// paused: those of the first round hear other machines. If they hear none, the rest is asked as well.
func TestPausedMachinesAreNotProbedByAllRouters(t *testing.T) {
	const routers, firstRound = 8, 4
	for _, test := range []struct {
		connected bool
		asked     int
	}{{true, firstRound}, {false, routers}} {
		t.Run("connected="+strconv.FormatBool(test.connected), func(t *testing.T) {
			encoded, err := proto.Marshal(&wirepb.PathCheckReply{Connected: test.connected})
			if err != nil {
				t.Fatal(err)
			}
			var known []string
			for number := range routers {
				other := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
					return write(connection, ok(request, string(encoded)))
				})
				known = append(known, "other-"+strconv.Itoa(number)+" z "+other.address)
			}
			resume := make(chan struct{})
			pauses := func(request receivedRequest, _ int, connection net.Conn) bool {
				<-resume
				return write(connection, ok(request, "late"))
			}
			logged := &lockedBuffer{}
			d := newDeploymentWith(t, slog.New(slog.NewTextHandler(logged, nil)))
			d.serve(v1.RouteUnrepeatable, 1, long, pausedMachines(t, 3, pauses)...)
			d.knowRouters(known...)
			replied := make(chan reply)
			go func() { replied <- d.send(http.MethodPost, "/a/b", "id-1", "body") }()
			for !strings.Contains(logged.String(), "machines_silent_elsewhere") {
				time.Sleep(time.Millisecond)
			}
			close(resume)
			if got := <-replied; got.status != http.StatusOK {
				t.Errorf("got %+v", got)
			}
			first, _, _ := strings.Cut(logged.String()[strings.Index(logged.String(), "machines_silent_elsewhere"):], "\n")
			if want := " routers=" + strconv.Itoa(test.asked) + " "; !strings.Contains(first, want) {
				t.Errorf("want%sin %q", want, first)
			}
		})
	}
}
