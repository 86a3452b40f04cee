package ingress_test

import (
	"net"
	"strconv"
	"testing"

	v1 "github.com/weldline/weldline/api/v1"
)

// TestRequestsWithoutTokensPreferNearestMachine checks that requests without tokens go to the nearest
// machine, as the network latency to another region would exceed their run time.
func TestRequestsWithoutTokensPreferNearestMachine(t *testing.T) {
	answer := func(request receivedRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, "fine"))
	}
	const calls = 20
	near, far := newRawMachine(t, answer), newRawMachine(t, answer)
	created := newDeployment(t)
	events := append(created.declaration(), created.route(v1.RouteUnrepeatable, 1, long))
	created.apply(append(events, created.machineIn("far", "a", far.address), created.machineIn("z", "b", near.address))...)
	created.view.Confirm(created.revision)
	for call := range calls {
		if answered := created.send("POST", "/a/b", "id-"+strconv.Itoa(call), "x"); answered.status != 200 {
			t.Fatalf("%+v", answered)
		}
	}
	if here, there := len(near.requests()), len(far.requests()); here != calls || there != 0 {
		t.Errorf("%d requests went to the near machine and %d to the far one", here, there)
	}
}
