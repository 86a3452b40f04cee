package ingress_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// Guards against a queued request that a stopping router sends to a machine just before it ends, and against one that waits in vain.
func TestStoppingRouterRefusesQueuedRequest(t *testing.T) {
	d := newDeployment(t)
	d.serve(v1.RouteUnrepeatable, 1, long)
	answered := make(chan reply)
	go func() { answered <- d.send(http.MethodPost, "/a/x", "queued", "body") }()
	<-d.queued
	d.handler.Drain()
	d.handler.EndSending(time.Now())
	got := <-answered
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "stopping") || !strings.Contains(got.body, "not-run") || got.header.Get("Retry-After") == "" {
		t.Errorf("got %d %q, Retry-After %q (%v)", got.status, got.body, got.header.Get("Retry-After"), got.err)
	}
}

// Guards against refusing what a stopping router can still serve: a request whose deadline comes first.
func TestStoppingRouterServesShortRequest(t *testing.T) {
	machine := newRawMachine(t, respondOK)
	d := newDeployment(t)
	d.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	d.handler.Drain()
	d.handler.EndSending(time.Now().Add(2 * long))
	if got := d.send(http.MethodPost, "/a/x", "short", "body"); got.status != http.StatusOK {
		t.Errorf("got %d %q (%v)", got.status, got.body, got.err)
	}
	d.handler.EndSending(time.Now().Add(long / 2))
	if got := d.send(http.MethodPost, "/a/x", "long", "body"); got.status != http.StatusServiceUnavailable {
		t.Errorf("got %d %q (%v)", got.status, got.body, got.err)
	}
	if count := len(machine.requests()); count != 1 {
		t.Errorf("the machine got %d requests", count)
	}
}

// Guards against a retry that a stopping router begins just before it ends.
func TestStoppingRouterDoesNotRetry(t *testing.T) {
	d := newDeployment(t)
	fail := func(receivedRequest, int, net.Conn) bool {
		d.handler.EndSending(time.Now())
		return false
	}
	first, second := newRawMachine(t, fail), newRawMachine(t, fail)
	d.serve(v1.RouteRepeatable, 2, long, first.address, second.address)
	got := d.send(http.MethodPost, "/a/x", "id", "body")
	if got.status != http.StatusBadGateway || !strings.Contains(got.body, "unknown") {
		t.Errorf("got %d %q (%v)", got.status, got.body, got.err)
	}
	if count := len(first.requests()) + len(second.requests()); count != 1 {
		t.Errorf("the machines got %d requests", count)
	}
}

// Guards against a request that a stopping router refuses although another one would serve it.
func TestRequestForwardedToStoppingRouterGoesOn(t *testing.T) {
	machine := newRawMachine(t, respondOK)
	cut, stopping, other := newCutRouter(t, "cut"), newDeployment(t), newDeployment(t)
	for _, router := range []*deployment{cut, stopping, other} {
		router.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	}
	cut.knowRouters("stopping z "+stopping.acceptForwards(), "other z "+other.acceptForwards())
	stopping.handler.EndSending(time.Now())
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		if got := cut.send(http.MethodPost, "/a/x", id, "body"); got.status != http.StatusOK {
			t.Errorf("%s got %d %q (%v)", id, got.status, got.body, got.err)
		}
	}
}
