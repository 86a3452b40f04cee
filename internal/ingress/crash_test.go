package ingress_test

import (
	"fmt"
	"net"
	"strconv"
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
	ended   atomic.Int64
}

func newCrashFleet(t *testing.T, routers, machines int, kind v1.RouteKind, attempts int) *crashFleet {
	t.Helper()
	fleet := &crashFleet{}
	addresses := make([]string, machines)
	for position := range addresses {
		addresses[position] = fleet.newMachine(t).address
	}
	for range routers {
		router := newDeployment(t)
		router.serve(kind, attempts, 10*time.Second, addresses...)
		fleet.routers = append(fleet.routers, router)
	}
	return fleet
}

// newMachine starts a machine that ends when it runs the culprit.
func (f *crashFleet) newMachine(t *testing.T) *rawMachine {
	t.Helper()
	var machine *rawMachine
	machine = newRawMachine(t, func(request seenRequest, _ int, connection net.Conn) bool {
		if request.body != crashBody {
			return write(connection, ok(request, "whole"))
		}
		f.ended.Add(1)
		machine.end()
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
