package ingress_test

import (
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// Guards against a router that takes itself to be isolated because several machines ended together, and turns away the requests of
// other routers, although the machines that it did not try would respond.
func TestMachinesThatEndTogetherDontIsolateRouter(t *testing.T) {
	logged := &lockedBuffer{}
	d := newDeploymentWith(t, slog.New(slog.NewTextHandler(logged, nil)))
	events := append(d.declaration(), d.route(v1.RouteUnrepeatable, 1, 500*time.Millisecond), d.object(v1.KindPool, "others", &v1.PoolSpec{}, nil))
	for number := range 3 {
		events = append(events, d.machine("ended-"+strconv.Itoa(number), reservePort(t)))
	}
	var probes atomic.Int32
	respondToProbe := responseScript(func(request receivedRequest, number int, connection net.Conn) bool {
		probes.Add(1)
		return respondOK(request, number, connection)
	})
	for number := range 3 {
		other := newRawMachine(t, respondOK)
		other.probe.Store(&respondToProbe)
		spec := &v1.MachineSpec{Endpoint: "http://" + other.address, Zone: "z", Pool: "others", Slots: 4}
		events = append(events, d.object(v1.KindMachine, "other-"+strconv.Itoa(number), spec, &v1.MachineStatus{Phase: v1.MachineLive}))
	}
	d.apply(events...)
	d.view.Confirm(d.revision)
	if got := d.send(http.MethodPost, "/a/b", "id-1", "body"); got.status != http.StatusServiceUnavailable {
		t.Errorf("got %d", got.status)
	}
	for probes.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	// The machines that ended are probed again and again.
	for strings.Count(logged.String(), "request_sent") < 12 {
		d.send(http.MethodPost, "/a/b", "id-2", "body")
	}
	if text := logged.String(); strings.Count(text, "machine_unreachable") < 3 || strings.Contains(text, "router_isolated") || d.handler.IsIsolated() {
		t.Errorf("the router takes itself to be isolated: %s", text)
	}
}
