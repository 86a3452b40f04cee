package ingress_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/ingress"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// serveVersions declares a resumable stream route and machines of the given versions of their software.
func (d *deployment) serveVersions(address string, versions ...string) {
	route := &v1.RouteSpec{
		Host: "shop.example", PathPrefix: "/a/", Kind: v1.RouteStream, Resumable: true, Timeout: v1.Duration(long),
		Targets: []v1.RouteTarget{{Pool: "pool", Weight: 1}}, MaxAttempts: 2,
	}
	events := append(d.declaration(), d.object(v1.KindRoute, "r", route, nil))
	for _, version := range versions {
		spec := &v1.MachineSpec{Endpoint: "http://" + address, Zone: "z", Pool: "pool", Slots: 4, Software: version}
		events = append(events, d.object(v1.KindMachine, "m-"+version, spec, &v1.MachineStatus{Phase: v1.MachineLive}))
	}
	d.apply(events...)
	d.view.Confirm(d.revision)
}

// TestForwardedStreamReplacesItsOrigin guards against resuming a stream at the version of a machine that the request was
// sent to first and that did not answer, although another router had it served by a machine of another version.
func TestForwardedStreamReplacesItsOrigin(t *testing.T) {
	silent := newRawMachine(t, func(receivedRequest, int, net.Conn) bool { return false })
	machine := newRawMachine(t, respondOK)
	location := places.Location{Zone: "z", Zones: places.NewZoneMap(map[string]string{"z": "north"})}
	var dials atomic.Int64
	first := newDeploymentAt(t, location, func(options *ingress.Options) {
		options.Node = "first"
		options.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if dials.Add(1) > 1 {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
	})
	other := newDeployment(t)
	first.serveVersions(silent.address, "v2", "v3", "v4")
	other.serveVersions(machine.address, "v1")
	first.knowRouters("other z " + other.acceptForwards())
	if got := first.send(http.MethodPost, "/a/b", "attempt", "body"); got.status != http.StatusOK {
		t.Fatalf("got %d %s", got.status, got.body)
	}
	if len(silent.requests()) != 1 || len(machine.requests()) != 1 {
		t.Errorf("the machines got %d and %d requests", len(silent.requests()), len(machine.requests()))
	}
	for name, router := range map[string]*deployment{"first": first, "other": other} {
		if origin := router.handler.OriginOf("attempt"); origin != "v1" {
			t.Errorf("at router %s the stream began at %q", name, origin)
		}
	}
}

// TestStaleDigestDoesNotProveOneVersion guards against resuming a stream at another version since the leader's last
// digest is older than the first machine of a new version.
func TestStaleDigestDoesNotProveOneVersion(t *testing.T) {
	for _, test := range []struct {
		name     string
		versions []string
		status   int
	}{
		{"one version", []string{"v1"}, http.StatusOK},
		{"another version has just registered", []string{"v1", "v2"}, http.StatusServiceUnavailable},
		{"a machine of unknown version", []string{"v1", ""}, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			machine := newRawMachine(t, respondOK)
			d := newDeployment(t)
			d.serveVersions(machine.address, test.versions...)
			d.view.ApplyDigest(&wirepb.ClusterDigest{
				Term: 1, Sequence: 1, Revision: 1, SoftwareKnown: true,
				Software: []*wirepb.PoolSoftware{{Pool: "pool", InUse: []string{"v1"}, Uniform: true, Only: "v1"}},
			})
			for !d.handler.KnowsSoftware() {
				time.Sleep(time.Millisecond)
			}
			got := d.send(http.MethodPost, "/a/b", "id-1", "body", headerResumes, "unknown", headerLastEvent, "3")
			if got.status != test.status {
				t.Errorf("got %d %s", got.status, got.body)
			}
		})
	}
}

// Guards against streams that go on at another version through a router that has just started, or while versions are not
// recorded: it took both for streams that may go on anywhere.
func TestStreamIsNotResumedBeforeVersionsAreKnown(t *testing.T) {
	for _, test := range []struct {
		name   string
		digest *wirepb.ClusterDigest
	}{
		{"no leader was heard", nil},
		{"versions are not recorded", &wirepb.ClusterDigest{Term: 1, Sequence: 1, Revision: 1, Routers: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			machine := newRawMachine(t, respondOK)
			d := newDeployment(t)
			d.serveVersions(machine.address, "v1", "v2")
			if test.digest != nil {
				d.view.ApplyDigest(test.digest)
			}
			got := d.send(http.MethodPost, "/a/b", "id-1", "body", headerResumes, "before", headerLastEvent, "3")
			if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || len(machine.requests()) > 0 {
				t.Errorf("got %d %s, Retry-After %q, and the machines got %d requests", got.status, got.body, got.header.Get("Retry-After"), len(machine.requests()))
			}
			if got := d.send(http.MethodPost, "/a/b", "id-2", "body"); got.status != http.StatusOK {
				t.Errorf("a new stream got %d %s", got.status, got.body)
			}
		})
	}
}

// oneVersion returns a digest that says that all machines of the pool run v1.
func oneVersion(sequence, revision uint64) *wirepb.ClusterDigest {
	return &wirepb.ClusterDigest{
		Term: 1, Sequence: sequence, Revision: revision, SoftwareKnown: true,
		Software: []*wirepb.PoolSoftware{{Pool: "pool", InUse: []string{"v1"}, Uniform: true, Only: "v1"}},
	}
}

// Guards against streams that go on at another version through a router that is out of step: it has a recent digest that says that
// there is one version only, and has not heard of a machine of a new version, where another router began the stream.
func TestRouterOutOfStepDoesNotResume(t *testing.T) {
	const registered = 7 // the revision at which the new machine registered
	for _, test := range []struct {
		name    string
		confirm feed.ConfirmFunc
		// later is the digest that arrives while the router waits for one.
		later  *wirepb.ClusterDigest
		status int
	}{
		{
			name: "cut off from the leader and other routers",
			confirm: func(context.Context) (uint64, error) {
				return 0, fault.Unavailable.New("the leader could not be reached")
			},
			status: http.StatusServiceUnavailable,
		},
		{
			name: "silent leader",
			confirm: func(ctx context.Context) (uint64, error) {
				<-ctx.Done()
				return 0, fault.Unavailable.New("the leader did not reply")
			},
			status: http.StatusServiceUnavailable,
		},
		{
			name:    "suspended while the machine registered, then reads digests from before",
			confirm: func(context.Context) (uint64, error) { return registered, nil },
			later:   oneVersion(2, registered-1),
			status:  http.StatusServiceUnavailable,
		},
		{
			name:    "a digest of both versions comes late",
			confirm: func(context.Context) (uint64, error) { return registered, nil },
			later: &wirepb.ClusterDigest{
				Term: 1, Sequence: 2, Revision: registered, SoftwareKnown: true,
				Software: []*wirepb.PoolSoftware{{Pool: "pool", InUse: []string{"v1", "v2"}}},
			},
			status: http.StatusServiceUnavailable,
		},
		{
			name:    "a digest of one version comes late",
			confirm: func(context.Context) (uint64, error) { return registered, nil },
			later:   oneVersion(2, registered),
			status:  http.StatusOK,
		},
		{
			name:    "the leader had changes that no digest has",
			confirm: func(context.Context) (uint64, error) { return registered, nil },
			status:  http.StatusServiceUnavailable,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			machine := newRawMachine(t, respondOK)
			d := newDeployment(t)
			d.serveVersions(machine.address, "v1")
			first := oneVersion(1, 1)
			first.Roster = &wirepb.Roster{Keepers: []*wirepb.RouterEntry{{Node: "keeper", Zone: "z", Address: reservePort(t)}}}
			d.view.ApplyDigest(first)
			for !d.handler.KnowsSoftware() {
				time.Sleep(time.Millisecond)
			}
			confirm := feed.ConfirmFunc(func(ctx context.Context) (uint64, error) {
				if test.later != nil {
					go d.view.ApplyDigest(test.later)
				}
				return test.confirm(ctx)
			})
			d.confirm.Store(&confirm)
			got := d.send(http.MethodPost, "/a/b", "id-1", "body", headerResumes, "began-elsewhere", headerLastEvent, "3")
			if got.status != test.status {
				t.Errorf("got %d %s", got.status, got.body)
			}
			if test.status != http.StatusOK && (len(machine.requests()) > 0 || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, "not-run")) {
				t.Errorf("the machine got %d requests; Retry-After %q, %s", len(machine.requests()), got.header.Get("Retry-After"), got.body)
			}
		})
	}
}
