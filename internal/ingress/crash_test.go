package ingress_test

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// maxCrashes is the number of machines that one request may crash.
const maxCrashes = 3

// crashBody is the body of the request that crashes machines.
const crashBody = "culprit"

// crashPart is the part of a prompt that crashes machines.
const crashPart = "poison"

// crashFleet is several routers in front of the same machines. A machine crashes when it runs
// the request with crashBody or one with crashPart in its prompt: the response breaks off and new connections
// are refused.
type crashFleet struct {
	routers []*deployment
	log     *replicatedLog
	// crashed counts crashed machines.
	crashed atomic.Int64
	// breakOnly makes machines break the connection without crashing.
	breakOnly atomic.Bool
	// complete makes machines run the request with crashBody without crashing, and fail makes
	// them send an error response to it.
	complete, fail atomic.Bool
	// unframed makes responses end with their connection.
	unframed atomic.Bool
	// noEvent makes machines crash after the header of an unframed response.
	noEvent atomic.Bool
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

// settle waits until all routers know of all crashes, so that the result doesn't depend on how
// fast the client retries.
func (f *crashFleet) settle() {
	for _, router := range f.routers {
		for !router.handler.CrashesSettled() {
			time.Sleep(time.Millisecond)
		}
	}
}

// newMachine starts a machine that crashes when it runs the request with crashBody.
func (f *crashFleet) newMachine(t *testing.T) *rawMachine {
	t.Helper()
	var machine *rawMachine
	machine = newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
		crashes := request.body == crashBody || slices.Contains(strings.Fields(request.header.Get(headerParts)), crashPart)
		if f.unframed.Load() && (!crashes || f.complete.Load()) {
			write(connection, framedResponse(request, "200 OK", framedByClose, eventStream, "data: whole\n\n"))
			return false
		}
		if !crashes || f.complete.Load() {
			return write(connection, ok(request, "whole"))
		}
		if f.fail.Load() {
			return write(connection, "HTTP/1.1 504 Late\r\n"+headerID+": "+request.header.Get(headerID)+"\r\nContent-Length: 0\r\n\r\n")
		}
		if !f.breakOnly.Load() {
			f.crashed.Add(1)
			machine.refuseConnections()
		}
		if f.unframed.Load() {
			event := "data: who"
			if f.noEvent.Load() {
				event = ""
			}
			write(connection, framedResponse(request, "200 OK", framedByClose, eventStream, event))
			return false
		}
		head := "HTTP/1.1 200 OK\r\n" + headerID + ": " + request.header.Get(headerID) + "\r\n" + headerSeal + ": s\r\nTransfer-Encoding: chunked\r\n\r\n"
		write(connection, head+"5\r\nfirst\r\n")
		return false
	})
	return machine
}

// TestCrashingRequestRefusedByAllRouters resends the request with another ID and through another
// router each time.
func TestCrashingRequestRefusedByAllRouters(t *testing.T) {
	for _, kind := range []v1.RouteKind{v1.RouteUnrepeatable, v1.RouteStream} {
		t.Run(string(kind), func(t *testing.T) {
			fleet := newCrashFleet(t, 4, 12, kind, 1)
			for try := range 12 {
				router := fleet.routers[try%len(fleet.routers)]
				router.send("POST", "/a/x", fmt.Sprintf("culprit-%d", try), crashBody)
				fleet.settle()
			}
			if ended := fleet.crashed.Load(); ended > maxCrashes {
				t.Errorf("one request crashed %d machines, more than %d", ended, maxCrashes)
			}
			for position, router := range fleet.routers {
				if got := router.send("POST", "/a/x", "innocent-"+strconv.Itoa(position), "innocent"); got.status != 200 || got.body != "whole" {
					t.Errorf("router %d answers another request with %d %q (%v)", position, got.status, got.body, got.err)
				}
			}
		})
	}
}

// suspects returns the suspects in the log.
func (f *crashFleet) suspects() []v1.SuspectSpec {
	f.log.mutex.Lock()
	defer f.log.mutex.Unlock()
	var specs []v1.SuspectSpec
	for _, object := range f.log.state.List(v1.KindSuspect) {
		specs = append(specs, *f.log.state.Spec(v1.KindSuspect, object.GetName()).(*v1.SuspectSpec))
	}
	return specs
}

func (f *crashFleet) sendCrashing(position int, id string) reply {
	got := f.routers[position%len(f.routers)].send("POST", "/a/x", id, crashBody)
	f.settle()
	return got
}

func TestQuarantinedRequestRefusedAsNotRun(t *testing.T) {
	fleet := newCrashFleet(t, 3, 6, v1.RouteStream, 1)
	for try := range 2 {
		fleet.sendCrashing(try, "a"+strconv.Itoa(try))
	}
	got := fleet.sendCrashing(2, "b")
	if got.status != 503 || !strings.Contains(got.body, "/quarantined") || !strings.Contains(got.body, `"outcome":"not-run"`) {
		t.Errorf("answered with %d %q", got.status, got.body)
	}
	if seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err != nil || seconds < 60 {
		t.Errorf("Retry-After is %q", got.header.Get("Retry-After"))
	}
	specs := fleet.suspects()
	if len(specs) != 1 || !specs[0].Quarantined || len(specs[0].Machines) != 2 || specs[0].Route != "r" {
		t.Errorf("recorded as %+v", specs)
	}
}

// TestRetriesOfCrashingRequestBounded checks that a router's own retries don't exceed the
// bound.
func TestRetriesOfCrashingRequestBounded(t *testing.T) {
	fleet := newCrashFleet(t, 3, 8, v1.RouteRepeatable, 4)
	for try := range 6 {
		fleet.sendCrashing(try, "c"+strconv.Itoa(try))
	}
	if ended := fleet.crashed.Load(); ended > maxCrashes {
		t.Errorf("one request crashed %d machines, more than %d", ended, maxCrashes)
	}
}

// TestBrokenConnectionIsNotACrash checks that a machine which accepts new connections is not
// recorded as crashed.
func TestBrokenConnectionIsNotACrash(t *testing.T) {
	fleet := newCrashFleet(t, 2, 3, v1.RouteStream, 1)
	fleet.breakOnly.Store(true)
	for try := range 6 {
		fleet.sendCrashing(try, "d"+strconv.Itoa(try))
	}
	if specs := fleet.suspects(); len(specs) != 0 {
		t.Errorf("recorded as %+v", specs)
	}
	fleet.complete.Store(true)
	if got := fleet.sendCrashing(0, "e"); got.status != 200 {
		t.Errorf("answered with %d %q", got.status, got.body)
	}
}

// TestPlannedShutdownIsNotACrash checks that a machine which announced its shutdown is not recorded as
// crashed.
func TestPlannedShutdownIsNotACrash(t *testing.T) {
	fleet := newCrashFleet(t, 1, 1, v1.RouteStream, 1)
	router := fleet.routers[0]
	var machine *rawMachine
	machine = newRawMachine(t, func(_ receivedRequest, _ int, _ net.Conn) bool {
		router.apply(router.object(v1.KindMachine, "m0",
			&v1.MachineSpec{Endpoint: "http://" + machine.address, Zone: "z", Pool: "pool", Slots: 4}, &v1.MachineStatus{Phase: v1.MachineLeaving}))
		machine.refuseConnections()
		return false
	})
	router.apply(router.machine("m0", machine.address))
	router.send("POST", "/a/x", "f", "any")
	fleet.settle()
	if specs := fleet.suspects(); len(specs) != 0 {
		t.Errorf("recorded as %+v", specs)
	}
}

// TestCompletedRunClearsSuspicion checks that a completed run removes the suspicion.
func TestCompletedRunClearsSuspicion(t *testing.T) {
	fleet := newCrashFleet(t, 2, 4, v1.RouteStream, 1)
	fleet.sendCrashing(0, "g")
	if specs := fleet.suspects(); len(specs) != 1 || specs[0].Quarantined {
		t.Fatalf("after one crash recorded as %+v", specs)
	}
	fleet.complete.Store(true)
	if got := fleet.sendCrashing(1, "h"); got.status != 200 {
		t.Errorf("answered with %d %q", got.status, got.body)
	}
	// The router records the run after the client has got the response.
	for len(fleet.suspects()) != 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestErrorResponseKeepsSuspicion checks that an error response, which doesn't prove that the
// request ran, keeps the suspicion.
func TestErrorResponseKeepsSuspicion(t *testing.T) {
	fleet := newCrashFleet(t, 2, 6, v1.RouteStream, 1)
	fleet.sendCrashing(0, "q")
	fleet.fail.Store(true)
	if got := fleet.sendCrashing(1, "r"); got.status != 504 {
		t.Errorf("answered with %d %q", got.status, got.body)
	}
	fleet.fail.Store(false)
	fleet.sendCrashing(1, "s")
	if specs := fleet.suspects(); len(specs) != 1 || !specs[0].Quarantined {
		t.Errorf("recorded as %+v", specs)
	}
}

// TestStreamCutOffByCrashIsRecorded guards against taking a stream that ended with its connection, as its machine
// crashed, for a completed run.
func TestStreamCutOffByCrashIsRecorded(t *testing.T) {
	fleet := newCrashFleet(t, 2, 6, v1.RouteStream, 1)
	fleet.unframed.Store(true)
	fleet.sendCrashing(0, "a")
	fleet.complete.Store(true)
	if got := fleet.sendCrashing(1, "b"); got.status != 200 || got.err != nil {
		t.Errorf("answered with %d %q (%v)", got.status, got.body, got.err)
	}
	fleet.complete.Store(false)
	// The response in between does not prove that the request completed.
	fleet.sendCrashing(1, "c")
	if specs := fleet.suspects(); len(specs) != 1 || !specs[0].Quarantined {
		t.Errorf("recorded as %+v", specs)
	}
}

// TestCrashProposalRetried checks that proposals that fail are retried.
func TestCrashProposalRetried(t *testing.T) {
	fleet := newCrashFleet(t, 2, 6, v1.RouteStream, 1)
	fleet.log.mutex.Lock()
	fleet.log.failNext = 4
	fleet.log.mutex.Unlock()
	fleet.routers[0].send("POST", "/a/x", "i", crashBody)
	fleet.routers[0].send("POST", "/a/x", "j", crashBody)
	fleet.settle()
	specs := fleet.suspects()
	if len(specs) != 1 || len(specs[0].Machines) != int(fleet.crashed.Load()) || !specs[0].Quarantined {
		t.Errorf("%d machines crashed, recorded as %+v", fleet.crashed.Load(), specs)
	}
}

// TestSameBodyOnAnotherPathNotQuarantined checks that the path is part of a request's identity.
func TestSameBodyOnAnotherPathNotQuarantined(t *testing.T) {
	fleet := newCrashFleet(t, 1, 6, v1.RouteStream, 1)
	fleet.sendCrashing(0, "k")
	fleet.sendCrashing(0, "l")
	fleet.complete.Store(true)
	if got := fleet.routers[0].send("POST", "/a/other", "m", crashBody); got.status != 200 {
		t.Errorf("the same body on another path is answered with %d %q", got.status, got.body)
	}
	if got := fleet.sendCrashing(0, "n"); got.status != 503 {
		t.Errorf("the request itself is answered with %d %q", got.status, got.body)
	}
}

// TestQueuedRequestRefusedOnceQuarantined quarantines a request while it is queued.
func TestQueuedRequestRefusedOnceQuarantined(t *testing.T) {
	fleet := newCrashFleet(t, 1, 4, v1.RouteStream, 1)
	waiting := newDeployment(t)
	waiting.log = fleet.log
	fleet.log.routers = append(fleet.log.routers, waiting)
	waiting.serve(v1.RouteStream, 1, 10*time.Second)
	answered := make(chan reply, 1)
	go func() { answered <- waiting.send("POST", "/a/x", "waits", crashBody) }()
	<-waiting.queued
	fleet.sendCrashing(0, "o")
	fleet.sendCrashing(0, "p")
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
