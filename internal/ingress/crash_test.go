package ingress_test

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// mostCrashes is how many machines one request may end before every router refuses it.
const mostCrashes = 3

// crashBody is the body of the request that ends whichever machine runs it.
const crashBody = "culprit"

// crashFleet is several routers in front of the same machines, each of which ends when it
// runs the request with crashBody: its connections break off in the middle of the answer,
// and new ones are refused.
type crashFleet struct {
	routers []*deployment
	log     *replicatedLog
	ended   atomic.Int64
	// survive makes machines stay where they would end: only their connection breaks.
	survive atomic.Bool
	// complete makes machines run the culprit to its end, and fail answer it with a failure
	// of their own.
	complete, fail atomic.Bool
}

func newCrashFleet(t *testing.T, routers, machines int, kind v1.RouteKind, attempts int) *crashFleet {
	t.Helper()
	fleet := &crashFleet{log: newReplicatedLog()}
	addresses := make([]string, machines)
	for position := range addresses {
		addresses[position] = fleet.newMachine(t).address
	}
	for range routers {
		router := newDeployment(t)
		router.serve(kind, attempts, 10*time.Second, addresses...)
		router.log = fleet.log
		fleet.routers = append(fleet.routers, router)
	}
	fleet.log.routers = fleet.routers
	return fleet
}

// settle waits until all routers know what each of them has seen. Without it a test would
// measure how fast the caller comes back.
func (f *crashFleet) settle() {
	for _, router := range f.routers {
		for !router.handler.CrashesSettled() {
			time.Sleep(time.Millisecond)
		}
	}
}

// newMachine starts a machine that ends when it runs the culprit.
func (f *crashFleet) newMachine(t *testing.T) *rawMachine {
	t.Helper()
	var machine *rawMachine
	machine = newRawMachine(t, func(request seenRequest, _ int, connection net.Conn) bool {
		if request.body != crashBody || f.complete.Load() {
			return write(connection, ok(request, "whole"))
		}
		if f.fail.Load() {
			return write(connection, "HTTP/1.1 504 Late\r\n"+headerID+": "+request.header.Get(headerID)+"\r\nContent-Length: 0\r\n\r\n")
		}
		if !f.survive.Load() {
			f.ended.Add(1)
			machine.end()
		}
		head := "HTTP/1.1 200 OK\r\n" + headerID + ": " + request.header.Get(headerID) + "\r\n" + headerSeal + ": s\r\nTransfer-Encoding: chunked\r\n\r\n"
		write(connection, head+"5\r\nfirst\r\n")
		return false
	})
	return machine
}

// TestRequestThatEndsMachinesIsRefusedByAllRouters: a caller sends the same request again
// and again, each time under another id and at another router.
func TestRequestThatEndsMachinesIsRefusedByAllRouters(t *testing.T) {
	for _, kind := range []v1.RouteKind{v1.RouteUnrepeatable, v1.RouteStream} {
		t.Run(string(kind), func(t *testing.T) {
			fleet := newCrashFleet(t, 4, 12, kind, 1)
			for try := range 12 {
				router := fleet.routers[try%len(fleet.routers)]
				router.ask("POST", "/a/x", fmt.Sprintf("culprit-%d", try), crashBody)
				fleet.settle()
			}
			if ended := fleet.ended.Load(); ended > mostCrashes {
				t.Errorf("one request ended %d machines, more than %d", ended, mostCrashes)
			}
			for position, router := range fleet.routers {
				if got := router.ask("POST", "/a/x", "innocent-"+strconv.Itoa(position), "innocent"); got.status != 200 || got.body != "whole" {
					t.Errorf("router %d answers another request with %d %q (%v)", position, got.status, got.body, got.err)
				}
			}
		})
	}
}

// suspects returns what the log holds of requests.
func (f *crashFleet) suspects() []v1.SuspectSpec {
	f.log.mutex.Lock()
	defer f.log.mutex.Unlock()
	var specs []v1.SuspectSpec
	for _, object := range f.log.state.List(v1.KindSuspect) {
		specs = append(specs, *f.log.state.Spec(v1.KindSuspect, object.GetName()).(*v1.SuspectSpec))
	}
	return specs
}

func (f *crashFleet) askCulprit(position int, id string) reply {
	got := f.routers[position%len(f.routers)].ask("POST", "/a/x", id, crashBody)
	f.settle()
	return got
}

func TestQuarantinedRequestIsRefusedAtOnceAsNotRun(t *testing.T) {
	fleet := newCrashFleet(t, 3, 6, v1.RouteStream, 1)
	for try := range 2 {
		fleet.askCulprit(try, "a"+strconv.Itoa(try))
	}
	got := fleet.askCulprit(2, "b")
	if got.status != 503 || !strings.Contains(got.body, "/quarantined") || !strings.Contains(got.body, `"outcome":"not-run"`) {
		t.Errorf("answered with %d %q", got.status, got.body)
	}
	if seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err != nil || seconds < 60 {
		t.Errorf("told to come back after %q", got.header.Get("Retry-After"))
	}
	specs := fleet.suspects()
	if len(specs) != 1 || !specs[0].Quarantined || len(specs[0].Machines) != 2 || specs[0].Route != "r" {
		t.Errorf("recorded as %+v", specs)
	}
}

// TestRepeatableRequestEndsFewMachines: the system itself sends such a request to a second
// machine, before anybody else can know of the first.
func TestRepeatableRequestEndsFewMachines(t *testing.T) {
	fleet := newCrashFleet(t, 3, 8, v1.RouteRepeatable, 4)
	for try := range 6 {
		fleet.askCulprit(try, "c"+strconv.Itoa(try))
	}
	if ended := fleet.ended.Load(); ended > mostCrashes {
		t.Errorf("one request ended %d machines, more than %d", ended, mostCrashes)
	}
}

// TestBrokenConnectionsAreNoCrashes: the machines take new connections.
func TestBrokenConnectionsAreNoCrashes(t *testing.T) {
	fleet := newCrashFleet(t, 2, 3, v1.RouteStream, 1)
	fleet.survive.Store(true)
	for try := range 6 {
		fleet.askCulprit(try, "d"+strconv.Itoa(try))
	}
	if specs := fleet.suspects(); len(specs) != 0 {
		t.Errorf("recorded as %+v", specs)
	}
	fleet.complete.Store(true)
	if got := fleet.askCulprit(0, "e"); got.status != 200 {
		t.Errorf("answered with %d %q", got.status, got.body)
	}
}

// TestPlannedEndIsNoCrash: the machine had said that it leaves.
func TestPlannedEndIsNoCrash(t *testing.T) {
	fleet := newCrashFleet(t, 1, 1, v1.RouteStream, 1)
	router := fleet.routers[0]
	var machine *rawMachine
	machine = newRawMachine(t, func(_ seenRequest, _ int, _ net.Conn) bool {
		router.apply(router.object(v1.KindMachine, "m0",
			&v1.MachineSpec{Endpoint: "http://" + machine.address, Zone: "z", Pool: "pool", Slots: 4}, &v1.MachineStatus{Phase: v1.MachineLeaving}))
		machine.end()
		return false
	})
	router.apply(router.machine("m0", machine.address))
	router.ask("POST", "/a/x", "f", "any")
	fleet.settle()
	if specs := fleet.suspects(); len(specs) != 0 {
		t.Errorf("recorded as %+v", specs)
	}
}

// TestWholeRunClearsARequest: machines ended under it, and not because of it.
func TestWholeRunClearsARequest(t *testing.T) {
	fleet := newCrashFleet(t, 2, 4, v1.RouteStream, 1)
	fleet.askCulprit(0, "g")
	if specs := fleet.suspects(); len(specs) != 1 || specs[0].Quarantined {
		t.Fatalf("after one crash recorded as %+v", specs)
	}
	fleet.complete.Store(true)
	if got := fleet.askCulprit(1, "h"); got.status != 200 {
		t.Errorf("answered with %d %q", got.status, got.body)
	}
	// The answer is whole before the router goes on.
	for len(fleet.suspects()) != 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestFailureOfAMachineClearsNothing: it says that to a request, too, that it never ran.
func TestFailureOfAMachineClearsNothing(t *testing.T) {
	fleet := newCrashFleet(t, 2, 6, v1.RouteStream, 1)
	fleet.askCulprit(0, "q")
	fleet.fail.Store(true)
	if got := fleet.askCulprit(1, "r"); got.status != 504 {
		t.Errorf("answered with %d %q", got.status, got.body)
	}
	fleet.fail.Store(false)
	fleet.askCulprit(1, "s")
	if specs := fleet.suspects(); len(specs) != 1 || !specs[0].Quarantined {
		t.Errorf("recorded as %+v", specs)
	}
}

// TestCrashIsRecordedOnceThereIsALeader: until then the router that saw it heeds it.
func TestCrashIsRecordedOnceThereIsALeader(t *testing.T) {
	fleet := newCrashFleet(t, 2, 6, v1.RouteStream, 1)
	fleet.log.mutex.Lock()
	fleet.log.lost = 4
	fleet.log.mutex.Unlock()
	fleet.routers[0].ask("POST", "/a/x", "i", crashBody)
	fleet.routers[0].ask("POST", "/a/x", "j", crashBody)
	fleet.settle()
	specs := fleet.suspects()
	if len(specs) != 1 || len(specs[0].Machines) != int(fleet.ended.Load()) || !specs[0].Quarantined {
		t.Errorf("%d machines ended, recorded as %+v", fleet.ended.Load(), specs)
	}
}

// TestSameBodyOnAnotherPathRuns: the path is a part of what a request is.
func TestSameBodyOnAnotherPathRuns(t *testing.T) {
	fleet := newCrashFleet(t, 1, 6, v1.RouteStream, 1)
	fleet.askCulprit(0, "k")
	fleet.askCulprit(0, "l")
	fleet.complete.Store(true)
	if got := fleet.routers[0].ask("POST", "/a/other", "m", crashBody); got.status != 200 {
		t.Errorf("the same body on another path is answered with %d %q", got.status, got.body)
	}
	if got := fleet.askCulprit(0, "n"); got.status != 503 {
		t.Errorf("the request itself is answered with %d %q", got.status, got.body)
	}
}

// TestRequestThatWaitsIsRefusedOnceQuarantined: it was let in before, and waits for a machine.
func TestRequestThatWaitsIsRefusedOnceQuarantined(t *testing.T) {
	fleet := newCrashFleet(t, 1, 4, v1.RouteStream, 1)
	waiting := newDeployment(t)
	waiting.log = fleet.log
	fleet.log.routers = append(fleet.log.routers, waiting)
	waiting.serve(v1.RouteStream, 1, 10*time.Second)
	answered := make(chan reply, 1)
	go func() { answered <- waiting.ask("POST", "/a/x", "waits", crashBody) }()
	<-waiting.waits
	fleet.askCulprit(0, "o")
	fleet.askCulprit(0, "p")
	machine := fleet.newMachine(t)
	waiting.revision = waiting.view.Revision()
	waiting.apply(waiting.machine("m9", machine.address))
	if got := <-answered; got.status != 503 || !strings.Contains(got.body, "/quarantined") {
		t.Errorf("answered with %d %q (%v)", got.status, got.body, got.err)
	}
	if seen := machine.requests(); len(seen) != 0 {
		t.Errorf("the machine got %d requests", len(seen))
	}
}
