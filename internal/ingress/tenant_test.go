package ingress_test

import (
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// tenant returns a tenant with the keys.
func (d *deployment) tenant(name string, priority *int32, keys ...string) *tenantEvent {
	spec := &v1.TenantSpec{Priority: priority, Unit: v1.UnitRequests}
	for _, key := range keys {
		spec.KeyHashes = append(spec.KeyHashes, v1.HashKey(key).String())
	}
	return &tenantEvent{name: name, spec: spec}
}

type tenantEvent struct {
	name string
	spec *v1.TenantSpec
}

// declareTenants declares the tenants at one revision.
func (d *deployment) declareTenants(tenants ...*tenantEvent) {
	d.t.Helper()
	var events []*wirepb.WatchEvent
	for _, tenant := range tenants {
		events = append(events, d.object(v1.KindTenant, tenant.name, tenant.spec, nil))
	}
	d.apply(events...)
}

func respondOK(request receivedRequest, _ int, connection net.Conn) bool {
	return write(connection, ok(request, "done"))
}

func priorityOf(value int32) *int32 { return &value }

// TestAuthenticationByKey checks the authentication by key and the tenant and priority that
// the machine is sent. A tenant header sent by the client is ignored.
func TestAuthenticationByKey(t *testing.T) {
	machine := newRawMachine(t, respondOK)
	d := newDeployment(t)
	d.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	d.declareTenants(d.tenant("blue", priorityOf(7), "b1", "b2"), d.tenant("red", nil, "r1"), d.tenant("none", nil))
	tests := []struct {
		key, claimedTenant string
		status             int
		tenant, priority   string
	}{
		{key: "b1", status: 200, tenant: "blue", priority: "7"},
		{key: "b2", claimedTenant: "red", status: 200, tenant: "blue", priority: "7"},
		{key: "r1", claimedTenant: "blue", status: 200, tenant: "red", priority: "0"},
		{key: "unknown", claimedTenant: "blue", status: 401},
		{key: "", claimedTenant: "blue", status: 401},
		{key: "B1", status: 401},
	}
	for _, test := range tests {
		headers := []string{headerTenant, test.claimedTenant}
		if test.key != "" {
			headers = append(headers, headerKey, test.key)
		}
		before := len(machine.requests())
		got := d.send(http.MethodPost, "/a/b", "id-"+test.key, "body", headers...)
		if got.status != test.status {
			t.Errorf("key %q: %d, wanted %d", test.key, got.status, test.status)
		}
		seen := machine.requests()[before:]
		if test.status == 401 {
			if len(seen) > 0 {
				t.Errorf("key %q: the machine got the request", test.key)
			}
			continue
		}
		if len(seen) != 1 || seen[0].header.Get(headerTenant) != test.tenant || seen[0].header.Get(headerPriority) != test.priority {
			t.Errorf("key %q: the machine got %+v", test.key, seen)
		}
	}
}

// TestAnonymousRoutesNeedNoKey checks that anonymous routes accept requests without a valid key, and
// that a valid key still identifies its tenant.
func TestAnonymousRoutesNeedNoKey(t *testing.T) {
	machine := newRawMachine(t, respondOK)
	d := newDeployment(t)
	d.apply(d.object(v1.KindRoute, "open", &v1.RouteSpec{
		Host: "shop.example", PathPrefix: "/open/", Kind: v1.RouteUnrepeatable, Timeout: v1.Duration(long), Anonymous: true,
		Targets: []v1.RouteTarget{{Pool: "pool", Weight: 1}}, MaxAttempts: 1,
	}, nil))
	d.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	d.declareTenants(d.tenant("blue", nil, "b1"))
	for _, test := range []struct{ key, tenant string }{{"", ""}, {"unknown", ""}, {"b1", "blue"}} {
		got := d.send(http.MethodPost, "/open/x", "id", "body", headerKey, test.key, headerTenant, "forged")
		seen := machine.requests()
		if got.status != 200 || seen[len(seen)-1].header.Get(headerTenant) != test.tenant {
			t.Errorf("key %q: %d as tenant %q", test.key, got.status, seen[len(seen)-1].header.Get(headerTenant))
		}
	}
}

// TestKeyCheckedForEachRequest checks that a change of a key's tenant takes effect on the next
// request.
func TestKeyCheckedForEachRequest(t *testing.T) {
	machine := newRawMachine(t, respondOK)
	d := newDeployment(t)
	d.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	for step, test := range []struct {
		blue, red []string
		status    int
		tenant    string
	}{
		{blue: []string{"k"}, status: 200, tenant: "blue"},
		{red: []string{"k"}, status: 200, tenant: "red"},
		{blue: []string{"k"}, status: 200, tenant: "blue"},
		{status: 401},
		{red: []string{"k"}, status: 200, tenant: "red"},
	} {
		// The order of the events alternates.
		changes := []*tenantEvent{d.tenant("blue", nil, test.blue...), d.tenant("red", nil, test.red...)}
		d.declareTenants(changes[step%2], changes[1-step%2])
		got := d.send(http.MethodPost, "/a/b", "id", "body", headerKey, "k")
		if got.status != test.status {
			t.Errorf("step %d: %d, wanted %d", step, got.status, test.status)
		}
		if seen := machine.requests(); test.status == 200 && seen[len(seen)-1].header.Get(headerTenant) != test.tenant {
			t.Errorf("step %d: tenant %q, wanted %q", step, seen[len(seen)-1].header.Get(headerTenant), test.tenant)
		}
	}
}

// TestUnknownKeyRefusedBeforeBody checks that the response is sent before the body is read.
func TestUnknownKeyRefusedBeforeBody(t *testing.T) {
	d := newDeployment(t)
	d.serve(v1.RouteUnrepeatable, 1, long, newRawMachine(t, respondOK).address)
	d.declareTenants(d.tenant("blue", nil, "b1"))
	connection, err := net.Dial("tcp", d.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	write(connection, "POST /a/b HTTP/1.1\r\nHost: shop.example\r\n"+headerKey+": secret\r\nContent-Length: 900\r\n\r\nfirst bytes")
	head := make([]byte, 12)
	if _, err := connection.Read(head); err != nil || string(head) != "HTTP/1.1 401" {
		t.Errorf("got %q, %v", head, err)
	}
}

// TestKeysNotDisclosed checks that only fingerprints of keys are disclosed.
func TestKeysNotDisclosed(t *testing.T) {
	var log syncBuffer
	d := newDeploymentWith(t, slog.New(slog.NewJSONHandler(&log, nil)))
	d.serve(v1.RouteUnrepeatable, 1, long, newRawMachine(t, respondOK).address)
	d.declareTenants(d.tenant("blue", nil, "known-secret"))
	for _, key := range []string{"known-secret", "other-secret"} {
		got := d.send(http.MethodPost, "/a/b", "id", "body", headerKey, key)
		if strings.Contains(got.body, key) {
			t.Errorf("the response contains the key: %s", got.body)
		}
	}
	written := log.String()
	if strings.Contains(written, "secret") {
		t.Errorf("the log contains a key: %s", written)
	}
	if !strings.Contains(written, "request_unknown_key") || !strings.Contains(written, v1.HashKey("other-secret").Fingerprint()) || !strings.Contains(written, `"tenant":"blue"`) {
		t.Errorf("the log lacks the fingerprint or the tenant: %s", written)
	}
}

// BenchmarkIdentify measures the lookup of a key among 10,000.
func BenchmarkIdentify(b *testing.B) {
	view := viewWithKeys(b)
	key := keyName(57, 31)
	b.ReportAllocs()
	for b.Loop() {
		if _, spec := view.TenantOf(v1.HashKey(key)); spec == nil {
			b.Fatal("the key is not known")
		}
	}
}

const benchmarkTenants, keysPerTenant = 100, 100

func keyName(tenant, key int) string {
	return "key-" + strconv.Itoa(tenant) + "-" + strconv.Itoa(key)
}

// viewWithKeys returns a view with benchmarkTenants*keysPerTenant keys.
func viewWithKeys(b *testing.B) *nodeview.View {
	b.Helper()
	view := nodeview.New()
	var events []*wirepb.WatchEvent
	for tenant := range benchmarkTenants {
		spec := &v1.TenantSpec{Unit: v1.UnitRequests}
		for key := range keysPerTenant {
			spec.KeyHashes = append(spec.KeyHashes, v1.HashKey(keyName(tenant, key)).String())
		}
		encoded, err := json.Marshal(spec)
		if err != nil {
			b.Fatal(err)
		}
		object := &wirepb.Object{Kind: string(v1.KindTenant), Name: "tenant-" + strconv.Itoa(tenant), Revision: 1, Spec: encoded}
		events = append(events, &wirepb.WatchEvent{Object: object})
	}
	view.Apply(feed.Changes{Events: events, Revision: 1})
	return view
}

// syncBuffer is a writer that is safe for concurrent use.
type syncBuffer struct {
	mutex   sync.Mutex
	written strings.Builder
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.written.Write(data)
}

func (b *syncBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.written.String()
}

// TestTenantOverLimit checks that a tenant over its limit gets a Retry-After, that requests which
// did not run are not charged, and that other tenants are not affected.
func TestTenantOverLimit(t *testing.T) {
	var log syncBuffer
	machine := newRawMachine(t, respondOK)
	d := newDeploymentWith(t, slog.New(slog.NewJSONHandler(&log, nil)))
	d.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	limited, other := d.tenant("limited", nil, "k1"), d.tenant("other", nil, "k2")
	// The bucket holds 0.9 of the burst: two requests.
	limited.spec.Rate, limited.spec.Burst = 0.001, 20.0/9
	d.declareTenants(limited, other)
	tooLong := strings.Repeat("x", 2000)
	for range 5 {
		if got := d.send(http.MethodPost, "/a/b", "too-long", tooLong, headerKey, "k1"); got.status != http.StatusRequestEntityTooLarge {
			t.Fatalf("a body that is too long: %d", got.status)
		}
	}
	for _, want := range []int{200, 200, 429} {
		if got := d.send(http.MethodPost, "/a/b", "id-1", "body", headerKey, "k1"); got.status != want {
			t.Fatalf("%d, wanted %d", got.status, want)
		} else if seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); want == 429 && (err != nil || seconds <= 0) {
			t.Errorf("Retry-After is %q", got.header.Get("Retry-After"))
		}
	}
	if got := d.send(http.MethodPost, "/a/b", "id-2", "body", headerKey, "k2"); got.status != 200 {
		t.Errorf("another tenant gets %d", got.status)
	}
	if !strings.Contains(log.String(), "request_over_limit") {
		t.Error("the refusal is not logged")
	}
}
