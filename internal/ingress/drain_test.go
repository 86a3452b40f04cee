package ingress_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// drain returns an event that drains a zone or ends its drain.
func (d *deployment) drain(zone string, drained bool) *wirepb.WatchEvent {
	return d.object(v1.KindZoneDrain, zone, &v1.ZoneDrainSpec{Drained: drained}, &v1.ZoneDrainStatus{OrderedAt: time.Now()})
}

func newAnsweringMachine(t *testing.T, body string) *rawMachine {
	return newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, body))
	})
}

// TestDrainedZoneGetsNoRequests checks that requests go to other zones, are refused if there is no
// other zone, and go to the zone again after the drain.
func TestDrainedZoneGetsNoRequests(t *testing.T) {
	left, right := newAnsweringMachine(t, "left"), newAnsweringMachine(t, "right")
	d := newDeployment(t)
	d.apply(append(d.declaration(), d.route(v1.RouteUnrepeatable, 1, time.Minute),
		d.machineIn("a", "m0", left.address), d.machineIn("b", "m1", right.address), d.drain("a", true))...)
	d.view.Confirm(d.revision)
	for range 20 {
		if got := d.send(http.MethodPost, "/a/x", "id", "x"); got.status != 200 || got.body != "right" {
			t.Fatalf("with one zone drained: %d %q", got.status, got.body)
		}
	}
	d.apply(d.drain("b", true))
	for range 20 {
		got := d.send(http.MethodPost, "/a/x", "id", "x")
		if got.status != 503 || !strings.Contains(got.body, "zone drained") || got.header.Get("Retry-After") == "" {
			t.Fatalf("with all zones drained: %d %q", got.status, got.body)
		}
	}
	if seen := len(left.requests()); seen != 0 {
		t.Errorf("the zone that was drained throughout got %d requests", seen)
	}
	if seen := len(right.requests()); seen != 20 {
		t.Errorf("the other zone got %d requests, want those before its drain", seen)
	}
	d.apply(d.drain("a", false))
	d.eventuallyAnswers("left")
}

// eventuallyAnswers sends requests until one gets the body.
func (d *deployment) eventuallyAnswers(body string) {
	d.t.Helper()
	for range 500 {
		if got := d.send(http.MethodPost, "/a/x", "id", "x"); got.status == 200 && got.body == body {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.t.Fatalf("never answered by %s", body)
}

// TestQueuedRequestNotSentToDrainedZone drains the zone while the request is queued.
func TestQueuedRequestNotSentToDrainedZone(t *testing.T) {
	d := newDeployment(t)
	d.serve(v1.RouteUnrepeatable, 1, time.Minute)
	answered := make(chan reply, 1)
	go func() { answered <- d.send(http.MethodPost, "/a/x", "waits", "x") }()
	<-d.queued
	machine := newAnsweringMachine(t, "drained")
	d.apply(d.drain("a", true))
	d.apply(d.machineIn("a", "m0", machine.address))
	if got := <-answered; got.status != 503 || !strings.Contains(got.body, "zone drained") {
		t.Errorf("answered with %d %q", got.status, got.body)
	}
	if seen := machine.requests(); len(seen) != 0 {
		t.Errorf("the machine got %d requests", len(seen))
	}
}

// TestGrantedRequestNotSentToDrainedZone drains the zone after the connection is established.
// The request goes to another zone, which doesn't count as a second attempt.
func TestGrantedRequestNotSentToDrainedZone(t *testing.T) {
	drained, other := newAnsweringMachine(t, "drained"), newAnsweringMachine(t, "other")
	d := newDeployment(t)
	d.apply(append(d.declaration(), d.route(v1.RouteUnrepeatable, 1, time.Minute), d.machineIn("a", "m0", drained.address))...)
	d.view.Confirm(d.revision)
	drainNow := func() { d.apply(d.drain("a", true), d.machineIn("b", "m1", other.address)) }
	d.beforeSend.Store(&drainNow)
	if got := d.send(http.MethodPost, "/a/x", "id", "x"); got.status != 200 || got.body != "other" {
		t.Errorf("got %d %q", got.status, got.body)
	}
	if seen := drained.requests(); len(seen) != 0 {
		t.Errorf("the drained zone got %d requests", len(seen))
	}
}
