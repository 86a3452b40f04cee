package ingress_test

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/ingress"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// threeRegions has one zone in each of three regions; the router is in the first.
var threeRegions = places.Location{Zone: "za", Zones: places.NewZoneMap(map[string]string{"za": "a", "zb": "b", "zc": "c"})}

// regional is a deployment with one machine in each zone.
type regional struct {
	*deployment
	machines map[string]*rawMachine
}

func newRegional(t *testing.T, respond responseScript, change func(options *ingress.Options), zones ...string) *regional {
	created := &regional{deployment: newDeploymentAt(t, threeRegions, change), machines: map[string]*rawMachine{}}
	for _, zone := range zones {
		created.machines[zone] = newRawMachine(t, respond)
	}
	return created
}

func defaultOptions(*ingress.Options) {}

// routeIn returns a route restricted to the regions.
func (r *regional) routeIn(kind v1.RouteKind, attempts int, regions ...string) *wirepb.WatchEvent {
	return r.object(v1.KindRoute, "r", &v1.RouteSpec{
		Host: "shop.example", PathPrefix: "/a/", Kind: kind, Timeout: v1.Duration(long), AllowedRegions: regions,
		Targets: []v1.RouteTarget{{Pool: "pool", Weight: 1}}, MaxAttempts: attempts,
	}, nil)
}

func (r *regional) machineIn(zone string, slots int) *wirepb.WatchEvent {
	return r.object(v1.KindMachine, "m-"+zone,
		&v1.MachineSpec{Endpoint: "http://" + r.machines[zone].address, Zone: zone, Pool: "pool", Slots: slots}, &v1.MachineStatus{Phase: v1.MachineLive})
}

// declare declares the route and all machines, and makes the view current.
func (r *regional) declare(route *wirepb.WatchEvent, slots int) {
	events := append(r.declaration(), route)
	for zone := range r.machines {
		events = append(events, r.machineIn(zone, slots))
	}
	r.apply(events...)
	r.view.Confirm(r.revision)
}

// served returns the zones whose machines got requests.
func (r *regional) served() string {
	var zones []string
	for _, zone := range []string{"za", "zb", "zc", "nowhere"} {
		if machine := r.machines[zone]; machine != nil && len(machine.requests()) > 0 {
			zones = append(zones, zone)
		}
	}
	return strings.Join(zones, " ")
}

// kindOf returns the type and the outcome of a problem document.
func kindOf(t *testing.T, got reply) (kind, outcome string) {
	t.Helper()
	document := struct{ Type, Outcome string }{}
	if err := json.Unmarshal([]byte(got.body), &document); err != nil {
		t.Fatalf("%d %q: %v", got.status, got.body, err)
	}
	return document.Type[strings.LastIndex(document.Type, "/")+1:], document.Outcome
}

func (r *regional) expectNoRegion(got reply, hasRetryAfter bool) {
	r.t.Helper()
	kind, outcome := kindOf(r.t, got)
	if got.status != http.StatusServiceUnavailable || kind != "no-allowed-region" || outcome != "not-run" {
		r.t.Errorf("%d %s %s", got.status, kind, outcome)
	}
	if told := got.header.Get("Retry-After") != ""; told != hasRetryAfter {
		r.t.Errorf("Retry-After present: %t", told)
	}
}

// TestRouteAndTenantRegionsIntersect checks that a request goes only to regions that both its route and its
// tenant allow.
func TestRouteAndTenantRegionsIntersect(t *testing.T) {
	tests := []struct {
		name          string
		route, tenant []string
		machines      []string
		served        string
		hasRetryAfter bool
	}{
		{name: "nothing declared", machines: []string{"za"}, served: "za"},
		{name: "nothing declared, place not known", machines: []string{"nowhere"}, served: "nowhere"},
		{name: "route", route: []string{"b"}, machines: []string{"za", "zb", "zc", "nowhere"}, served: "zb"},
		{name: "tenant", tenant: []string{"c"}, machines: []string{"za", "zb", "zc", "nowhere"}, served: "zc"},
		{name: "both", route: []string{"a", "b"}, tenant: []string{"b", "c"}, machines: []string{"za", "zb", "zc", "nowhere"}, served: "zb"},
		{name: "nothing in common", route: []string{"a"}, tenant: []string{"b"}, machines: []string{"za", "zb"}},
		{name: "no machine there", route: []string{"c"}, machines: []string{"za", "zb", "nowhere"}, hasRetryAfter: true},
		{name: "a region that no zone is in", route: []string{"d"}, machines: []string{"za", "nowhere"}, hasRetryAfter: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRegional(t, respondOK, defaultOptions, test.machines...)
			tenant := r.tenant("blue", nil, "key")
			tenant.spec.AllowedRegions = test.tenant
			r.declareTenants(tenant)
			r.declare(r.routeIn(v1.RouteUnrepeatable, 1, test.route...), 4)
			for range 12 {
				got := r.send(http.MethodPost, "/a/x", "id", "body", headerKey, "key")
				if test.served == "" {
					r.expectNoRegion(got, test.hasRetryAfter)
				} else if got.status != http.StatusOK {
					t.Fatalf("%d %s", got.status, got.body)
				}
			}
			if served := r.served(); served != test.served {
				t.Errorf("served by %q, not %q", served, test.served)
			}
		})
	}
}

// TestRetriesStayInAllowedRegions checks that retries stay in the allowed regions.
func TestRetriesStayInAllowedRegions(t *testing.T) {
	for _, failure := range []struct {
		name    string
		respond responseScript
	}{
		{"reset", func(_ receivedRequest, _ int, connection net.Conn) bool { return reset(connection) }},
		{"own failure", func(request receivedRequest, _ int, connection net.Conn) bool {
			return write(connection, "HTTP/1.1 500 Failed\r\n"+headerID+": "+request.header.Get(headerID)+"\r\nContent-Length: 0\r\n\r\n")
		}},
		{"not run", func(request receivedRequest, _ int, connection net.Conn) bool {
			return write(connection, "HTTP/1.1 503 Busy\r\n"+headerID+": "+request.header.Get(headerID)+"\r\n"+headerNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
		}},
	} {
		t.Run(failure.name, func(t *testing.T) {
			r := newRegional(t, failure.respond, defaultOptions, "za", "zb", "nowhere")
			r.declare(r.routeIn(v1.RouteRepeatable, 3, "a"), 4)
			if got := r.send(http.MethodPost, "/a/x", "id", "body", headerWait, "2s"); got.status < 500 {
				t.Errorf("%d %s", got.status, got.body)
			}
			if served := r.served(); served != "za" {
				t.Errorf("tried in %q", served)
			}
		})
	}
	t.Run("not connected", func(t *testing.T) {
		r := newRegional(t, respondOK, defaultOptions, "za", "zb")
		r.machines["za"].refuseConnections()
		r.declare(r.routeIn(v1.RouteRepeatable, 3, "a"), 4)
		if got := r.send(http.MethodPost, "/a/x", "id", "body", headerWait, "2s"); got.status != http.StatusServiceUnavailable {
			t.Errorf("%d %s", got.status, got.body)
		}
		if served := r.served(); served != "" {
			t.Errorf("served by %q", served)
		}
	})
}

// blockingScript returns a script that responds after release is closed, and sends to begun for each
// request.
func blockingScript() (respond responseScript, begun chan struct{}, release chan struct{}) {
	begun, release = make(chan struct{}, 10), make(chan struct{})
	return func(request receivedRequest, _ int, connection net.Conn) bool {
		begun <- struct{}{}
		<-release
		return write(connection, ok(request, "done"))
	}, begun, release
}

// TestRegionsNarrowedWhileQueued narrows the allowed regions of a queued request. It must not go to the
// machine that it was queued for.
func TestRegionsNarrowedWhileQueued(t *testing.T) {
	tests := []struct {
		name          string
		route, tenant []string
		served        string
	}{
		{"route, to a free machine", []string{"b"}, nil, "za zb"},
		{"tenant, to a free machine", []string{"a", "b"}, []string{"b"}, "za zb"},
		{"nothing in common any more", []string{"a"}, []string{"b"}, "za"},
		{"no machine in what is left", []string{"c"}, nil, "za"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answer, begun, release := blockingScript()
			r := newRegional(t, answer, defaultOptions, "za", "zb")
			declare := func(regions []string) {
				tenant := r.tenant("blue", nil, "key")
				tenant.spec.AllowedRegions = regions
				r.declareTenants(tenant)
			}
			declare(nil)
			r.declare(r.routeIn(v1.RouteUnrepeatable, 1, "a"), 1)
			answers := make(chan reply, 2)
			ask := func(id string) { answers <- r.send(http.MethodPost, "/a/x", id, "body", headerKey, "key") }
			go ask("first")
			<-begun
			go ask("second")
			<-r.queued
			r.apply(r.routeIn(v1.RouteUnrepeatable, 1, test.route...))
			declare(test.tenant)
			close(release)
			first, second := <-answers, <-answers
			if second.status == http.StatusOK && first.status != http.StatusOK {
				first, second = second, first
			}
			if first.status != http.StatusOK {
				t.Fatalf("%d %s", first.status, first.body)
			}
			if served := r.served(); served != test.served {
				t.Errorf("served by %q, not %q", served, test.served)
			}
			if len(r.machines["za"].requests()) != 1 {
				t.Error("a machine got a request that it may no longer serve")
			}
			if test.served == "za" {
				if kind, outcome := kindOf(t, second); kind != "no-allowed-region" || outcome != "not-run" {
					t.Errorf("%s %s", kind, outcome)
				}
			}
		})
	}
}

// TestRegionChangeAppliesToQueuedRequests checks that a change which allows another machine, or none, takes
// effect on a queued request while the machine that it was queued for stays busy.
func TestRegionChangeAppliesToQueuedRequests(t *testing.T) {
	gone := func(r *regional) *wirepb.WatchEvent {
		return r.object(v1.KindMachine, "m-za", &v1.MachineSpec{
			Endpoint: "http://" + r.machines["za"].address, Zone: "za", Pool: "pool", Slots: 1,
		}, &v1.MachineStatus{Phase: v1.MachineGone})
	}
	route := func(regions ...string) func(r *regional) *wirepb.WatchEvent {
		return func(r *regional) *wirepb.WatchEvent { return r.routeIn(v1.RouteUnrepeatable, 1, regions...) }
	}
	tests := []struct {
		name   string
		change func(r *regional) *wirepb.WatchEvent
		served string
	}{
		{"another region", route("b"), "za zb"},
		{"a further region", route("a", "b"), "za zb"},
		{"all regions", route(), "za zb"},
		{"a region without machines", route("c"), "za"},
		{"its last machine goes", gone, "za"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answer, begun, release := blockingScript()
			r := newRegional(t, answer, defaultOptions, "za", "zb")
			r.declare(r.routeIn(v1.RouteUnrepeatable, 1, "a"), 1)
			answers := make(chan reply, 2)
			ask := func(id string) { answers <- r.send(http.MethodPost, "/a/x", id, "body") }
			go ask("first")
			<-begun
			go ask("second")
			<-r.queued
			r.apply(test.change(r))
			if test.served == "za" {
				r.expectNoRegion(<-answers, true)
			} else {
				<-begun
			}
			if served := r.served(); served != test.served {
				t.Errorf("served by %q, not %q", served, test.served)
			}
			close(release)
			if got := <-answers; got.status != http.StatusOK {
				t.Errorf("%d %s", got.status, got.body)
			}
		})
	}
}

// TestChecksBeforeWrite changes the machine's location or address, or the allowed regions,
// after the connection is established. Nothing may be written.
func TestChecksBeforeWrite(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *regional) *wirepb.WatchEvent
	}{
		{"the machine is elsewhere", func(r *regional) *wirepb.WatchEvent {
			return r.object(v1.KindMachine, "m-za", &v1.MachineSpec{
				Endpoint: "http://" + r.machines["za"].address, Zone: "zc", Pool: "pool", Slots: 4,
			}, &v1.MachineStatus{Phase: v1.MachineLive})
		}},
		{"its zone is in no region", func(r *regional) *wirepb.WatchEvent {
			return r.object(v1.KindMachine, "m-za", &v1.MachineSpec{
				Endpoint: "http://" + r.machines["za"].address, Zone: "nowhere", Pool: "pool", Slots: 4,
			}, &v1.MachineStatus{Phase: v1.MachineLive})
		}},
		{"its address is another's", func(r *regional) *wirepb.WatchEvent {
			return r.object(v1.KindMachine, "other", &v1.MachineSpec{
				Endpoint: "http://" + r.machines["za"].address, Zone: "zc", Pool: "pool", Slots: 4,
			}, &v1.MachineStatus{Phase: v1.MachineLive})
		}},
		{"the route allows less", func(r *regional) *wirepb.WatchEvent { return r.routeIn(v1.RouteUnrepeatable, 1, "b") }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRegional(t, respondOK, defaultOptions, "za")
			r.declare(r.routeIn(v1.RouteUnrepeatable, 1, "a", "b"), 4)
			change := func() { r.apply(test.change(r)) }
			r.beforeSend.Store(&change)
			got := r.send(http.MethodPost, "/a/x", "id", "body", headerWait, "300ms")
			if _, outcome := kindOf(t, got); got.status != http.StatusServiceUnavailable || outcome != "not-run" {
				t.Errorf("%d %s", got.status, outcome)
			}
			if served := r.served(); served != "" {
				t.Errorf("served by %q", served)
			}
		})
	}
}

// TestRestrictedRequestDoesNotBlockQueue checks that a request queued for a busy region doesn't block
// the requests behind it.
func TestRestrictedRequestDoesNotBlockQueue(t *testing.T) {
	answer, begun, release := blockingScript()
	r := newRegional(t, answer, defaultOptions, "za", "zb")
	free := r.object(v1.KindRoute, "free", &v1.RouteSpec{
		Host: "shop.example", PathPrefix: "/free/", Kind: v1.RouteUnrepeatable, Timeout: v1.Duration(long),
		Targets: []v1.RouteTarget{{Pool: "pool", Weight: 1}}, MaxAttempts: 1,
	}, nil)
	r.apply(free)
	r.declare(r.routeIn(v1.RouteUnrepeatable, 1, "a"), 1)
	answers := make(chan reply, 3)
	ask := func(path, id string) { answers <- r.send(http.MethodPost, path, id, "body") }
	go ask("/a/x", "first")
	<-begun
	go ask("/a/x", "second")
	<-r.queued
	go ask("/free/x", "third")
	<-begun
	if served := r.served(); served != "za zb" {
		t.Errorf("served by %q", served)
	}
	close(release)
	for range 3 {
		if got := <-answers; got.status != http.StatusOK {
			t.Errorf("%d %s", got.status, got.body)
		}
	}
	if len(r.machines["zb"].requests()) != 1 {
		t.Error("the restricted request did not wait for its region")
	}
}
