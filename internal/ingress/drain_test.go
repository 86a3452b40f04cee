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

// drain is an event that drains a zone, or takes that back.
func (d *deployment) drain(zone string, drained bool) *wirepb.WatchEvent {
	return d.object(v1.KindZoneDrain, zone, &v1.ZoneDrainSpec{Drained: drained}, &v1.ZoneDrainStatus{OrderedAt: time.Now()})
}

func answering(t *testing.T, body string) *rawMachine {
	return newRawMachine(t, func(request seenRequest, _ int, connection net.Conn) bool {
		return write(connection, ok(request, body))
	})
}

// TestDrainedZoneGetsNothing: requests go elsewhere, are refused at once where there is no
// elsewhere, and go there again once the drain is over.
func TestDrainedZoneGetsNothing(t *testing.T) {
	left, right := answering(t, "left"), answering(t, "right")
	d := newDeployment(t)
	d.apply(append(d.declaration(), d.route(v1.RouteUnrepeatable, 1, time.Minute),
		d.machineIn("a", "m0", left.address), d.machineIn("b", "m1", right.address), d.drain("a", true))...)
	d.view.Confirm(d.revision)
	for range 20 {
		if got := d.ask(http.MethodPost, "/a/x", "id", "x"); got.status != 200 || got.body != "right" {
			t.Fatalf("with one zone drained: %d %q", got.status, got.body)
		}
	}
	d.apply(d.drain("b", true))
	for range 20 {
		got := d.ask(http.MethodPost, "/a/x", "id", "x")
		if got.status != 503 || !strings.Contains(got.body, "zone drained") || got.header.Get("Retry-After") == "" {
			t.Fatalf("with all zones drained: %d %q", got.status, got.body)
		}
	}
	if seen := len(left.requests()); seen != 0 {
		t.Errorf("the zone that was drained all the time got %d requests", seen)
	}
	if seen := len(right.requests()); seen != 20 {
		t.Errorf("the other zone got %d requests, want those before its drain", seen)
	}
	d.apply(d.drain("a", false))
	d.eventuallyAnswers("left")
}

// eventuallyAnswers asks until the answer is right: an undrain is in force after a moment.
func (d *deployment) eventuallyAnswers(body string) {
	d.t.Helper()
	for range 500 {
		if got := d.ask(http.MethodPost, "/a/x", "id", "x"); got.status == 200 && got.body == body {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.t.Fatalf("never answered by %s", body)
}

// TestWaitingRequestIsNotSentToADrainedZone: it was let in before the drain.
func TestWaitingRequestIsNotSentToADrainedZone(t *testing.T) {
	d := newDeployment(t)
	d.serve(v1.RouteUnrepeatable, 1, time.Minute)
	answered := make(chan reply, 1)
	go func() { answered <- d.ask(http.MethodPost, "/a/x", "waits", "x") }()
	<-d.waits
	machine := answering(t, "drained")
	d.apply(d.drain("a", true))
	d.apply(d.machineIn("a", "m0", machine.address))
	if got := <-answered; got.status != 503 || !strings.Contains(got.body, "zone drained") {
		t.Errorf("answered with %d %q", got.status, got.body)
	}
	if seen := machine.requests(); len(seen) != 0 {
		t.Errorf("the machine got %d requests", len(seen))
	}
}

// TestGrantedRequestIsNotSentToADrainedZone: the drain came after the grant, and after there was
// a connection. The request goes elsewhere, though its route allows one attempt only.
func TestGrantedRequestIsNotSentToADrainedZone(t *testing.T) {
	drained, other := answering(t, "drained"), answering(t, "other")
	d := newDeployment(t)
	d.apply(append(d.declaration(), d.route(v1.RouteUnrepeatable, 1, time.Minute), d.machineIn("a", "m0", drained.address))...)
	d.view.Confirm(d.revision)
	drainNow := func() { d.apply(d.drain("a", true), d.machineIn("b", "m1", other.address)) }
	d.beforeSend.Store(&drainNow)
	if got := d.ask(http.MethodPost, "/a/x", "id", "x"); got.status != 200 || got.body != "other" {
		t.Errorf("got %d %q", got.status, got.body)
	}
	if seen := drained.requests(); len(seen) != 0 {
		t.Errorf("the drained zone got %d requests", len(seen))
	}
}
