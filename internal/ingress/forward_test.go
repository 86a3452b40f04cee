package ingress_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/ingress"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	headerForward       = "Weldline-Forward"
	headerForwardResult = "Weldline-Forward-Result"
	headerStreamOrigins = "Weldline-Stream-Origins"
)

// newCutRouter returns a router that can't connect to any machine.
func newCutRouter(t *testing.T, node string) *deployment {
	t.Helper()
	return newCutRouterWith(t, node, func(*ingress.Options) {})
}

func newCutRouterWith(t *testing.T, node string, change func(options *ingress.Options)) *deployment {
	t.Helper()
	location := places.Location{Zone: "z", Zones: places.NewZoneMap(map[string]string{"z": "north", "far": "south"})}
	return newDeploymentAt(t, location, func(options *ingress.Options) {
		options.Node = node
		options.Dial = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		}
		change(options)
	})
}

// acceptForwards returns the address on which a router accepts forwarded requests.
func (d *deployment) acceptForwards() string {
	server := httptest.NewServer(d.handler.ForwardHandler())
	d.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// knowRouters adds other routers to a router, at "node zone address".
func (d *deployment) knowRouters(routers ...string) {
	var entries []*wirepb.RouterEntry
	for _, router := range routers {
		fields := strings.Fields(router)
		entries = append(entries, &wirepb.RouterEntry{Node: fields[0], Zone: fields[1], Address: fields[2]})
	}
	d.view.ApplyDigest(&wirepb.ClusterDigest{Term: 1, Sequence: 1, Revision: d.revision, RosterSequence: 1, Roster: &wirepb.Roster{Routers: entries}})
	for !d.handler.KnowsRouters(len(routers)) {
		time.Sleep(time.Millisecond)
	}
}

// TestForwardedResponseIsUnchanged checks that a request reaches the machine and its response the client as
// without the hop between them.
func TestForwardedResponseIsUnchanged(t *testing.T) {
	machine := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
		head := "HTTP/1.1 200 OK\r\n" + headerID + ": " + request.header.Get(headerID) + "\r\n" + headerSeal + ": s\r\nTransfer-Encoding: chunked\r\n\r\n"
		return write(connection, head+"5\r\nfirst\r\n") && write(connection, "6\r\nsecond\r\n0\r\n\r\n")
	})
	cut, other := newCutRouter(t, "cut"), newDeployment(t)
	for _, router := range []*deployment{cut, other} {
		router.serve(v1.RouteUnrepeatable, 1, long, machine.address)
		router.declareTenants(router.tenant("blue", priorityOf(7), "b1"))
	}
	cut.knowRouters("other z " + other.acceptForwards())
	for number := range 3 {
		id := "id-" + strconv.Itoa(number)
		got := cut.send(http.MethodPost, "/a/b?c=d", id, "body", headerKey, "b1")
		if got.err != nil || got.status != 200 || got.body != "firstsecond" || got.header.Get(headerSeal) != "s" || got.header.Get(headerForwardResult) != "" {
			t.Errorf("got %+v", got)
		}
		seen := machine.requests()[number]
		if seen.method != http.MethodPost || seen.target != "/a/b?c=d" || seen.host != "shop.example" || seen.body != "body" || seen.header.Get(headerID) != id {
			t.Errorf("the machine got %+v", seen)
		}
		if seen.header.Get(headerTenant) != "blue" || seen.header.Get(headerPriority) != "7" || seen.header.Get(headerForward) != "" {
			t.Errorf("the machine got headers %v", seen.header)
		}
		wait, err := time.ParseDuration(seen.header.Get(headerWait))
		if err != nil || wait <= 0 || wait > long {
			t.Errorf("the machine is told to answer within %s", wait)
		}
	}
}

// TestMachinesCannotPoseAsRouters guards against a machine's response that replaces the result of its router.
func TestMachinesCannotPoseAsRouters(t *testing.T) {
	machine := newRawMachine(t, func(request receivedRequest, _ int, connection net.Conn) bool {
		return write(connection, strings.Replace(ok(request, "fine"), headerSeal, headerForwardResult+": bm9uZQ==\r\n"+headerSeal, 1))
	})
	cut, other := newCutRouter(t, "cut"), newDeployment(t)
	cut.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	other.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	cut.knowRouters("other z " + other.acceptForwards())
	for position, router := range []*deployment{cut, other} {
		got := router.send(http.MethodPost, "/a/b", "id-"+strconv.Itoa(position), "body")
		if got.status != http.StatusOK || got.body != "fine" || got.header.Get(headerForwardResult) != "" {
			t.Errorf("router %d answers %+v", position, got)
		}
	}
}

// TestCallersCannotPoseAsRouters guards against a caller that skips authentication with the header of
// forwarded requests.
func TestCallersCannotPoseAsRouters(t *testing.T) {
	machine := newRawMachine(t, respondOK)
	cut, router := newCutRouter(t, "cut"), newDeployment(t)
	var stolen string
	thief := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		stolen = request.Header.Get(headerForward)
		writer.WriteHeader(http.StatusTeapot)
	}))
	defer thief.Close()
	for _, each := range []*deployment{cut, router} {
		each.serve(v1.RouteUnrepeatable, 1, long, machine.address)
		each.declareTenants(each.tenant("blue", nil, "b1"))
	}
	cut.knowRouters("thief z " + strings.TrimPrefix(thief.URL, "http://"))
	cut.send(http.MethodPost, "/a/b", "id-1", "body", headerKey, "b1")
	if stolen == "" {
		t.Fatal("the cut router forwards nothing")
	}
	if got := router.send(http.MethodPost, "/a/b", "id-2", "body", headerForward, stolen); got.status != http.StatusUnauthorized {
		t.Errorf("a caller without a key gets %d", got.status)
	}
	if got := router.send(http.MethodPost, "/a/b", "id-3", "body", headerForward, stolen, headerKey, "b1"); got.status != 200 {
		t.Errorf("a caller with a key gets %d", got.status)
	}
	for _, seen := range machine.requests() {
		if seen.header.Get(headerForward) != "" {
			t.Error("the header is passed on to the machine")
		}
	}
}

// TestCallersCannotRecordOrigins guards against a caller whose request, forwarded by its router, is taken for a message
// about the origins of streams.
func TestCallersCannotRecordOrigins(t *testing.T) {
	machine := newRawMachine(t, respondOK)
	cut, other := newCutRouter(t, "cut"), newDeployment(t)
	cut.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	other.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	cut.knowRouters("other z " + other.acceptForwards())
	for position, router := range []*deployment{cut, other} {
		if got := router.send(http.MethodPost, "/a/b", "id-"+strconv.Itoa(position), "body", headerStreamOrigins, "1"); got.status != http.StatusOK {
			t.Errorf("router %d answers %+v", position, got)
		}
	}
	for _, seen := range machine.requests() {
		if seen.header.Get(headerStreamOrigins) != "" {
			t.Error("the header is passed on to the machine")
		}
	}
}

// TestForwardHandlerRejectsOtherRequests checks that the listener for routers serves nothing else.
func TestForwardHandlerRejectsOtherRequests(t *testing.T) {
	machine := newRawMachine(t, respondOK)
	d := newDeployment(t)
	d.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	address := d.acceptForwards()
	for _, header := range []string{"", "not base64!", "bm90IGEgbWVzc2FnZQ=="} {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/a/b", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "shop.example"
		if header != "" {
			request.Header.Set(headerForward, header)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusBadRequest {
			t.Errorf("header %q: %d", header, response.StatusCode)
		}
	}
	if seen := machine.requests(); len(seen) > 0 {
		t.Errorf("the machine got %d requests", len(seen))
	}
}

// TestForwardedRequestIsNotForwardedAgain guards against requests that wander between routers that all
// believe another one has a path.
func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	machine := newRawMachine(t, respondOK)
	first, second, third := newCutRouter(t, "first"), newCutRouter(t, "second"), newDeployment(t)
	for _, router := range []*deployment{first, second, third} {
		router.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	}
	first.knowRouters("second z " + second.acceptForwards())
	second.knowRouters("third z "+third.acceptForwards(), "first z "+first.acceptForwards())
	got := first.send(http.MethodPost, "/a/b", "id-1", "body")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got %+v", got)
	}
	if seen := machine.requests(); len(seen) > 0 {
		t.Errorf("the request was forwarded twice: the machine got %d", len(seen))
	}
	if got := second.send(http.MethodPost, "/a/b", "id-2", "body"); got.status != 200 {
		t.Errorf("a client of the second router gets %d", got.status)
	}
}

// TestBrokenHop checks that a request is "unknown" once it was written to a router that did not respond, and
// is forwarded again only if it may be repeated.
func TestBrokenHop(t *testing.T) {
	for _, test := range []struct {
		kind   v1.RouteKind
		status int
		sends  int
	}{
		{v1.RouteUnrepeatable, http.StatusBadGateway, 0},
		{v1.RouteRepeatable, http.StatusOK, 1},
	} {
		t.Run(string(test.kind), func(t *testing.T) {
			machine := newRawMachine(t, respondOK)
			breaks := newRawMachine(t, func(_ receivedRequest, _ int, connection net.Conn) bool { return reset(connection) })
			alone, other := newCutRouter(t, "alone"), newDeployment(t)
			alone.serve(test.kind, 2, long, machine.address)
			other.serve(test.kind, 2, long, machine.address)
			alone.knowRouters("breaks z " + breaks.address)
			got := alone.send(http.MethodPost, "/a/b", "id-0", "body")
			if got.status != http.StatusBadGateway || got.header.Get("Retry-After") != "" {
				t.Errorf("with a broken hop alone: %+v", got)
			}
			address, broken := other.acceptForwards(), len(breaks.requests())
			// A router that has learned which of two works does not try the other one, so each attempt takes a new one.
			for number := 1; len(breaks.requests()) == broken; number++ {
				cut := newCutRouter(t, "cut-"+strconv.Itoa(number))
				cut.serve(test.kind, 2, long, machine.address)
				cut.knowRouters("breaks z "+breaks.address, "other far "+address)
				before := len(machine.requests())
				got = cut.send(http.MethodPost, "/a/b", "id-"+strconv.Itoa(number), "body")
				if len(breaks.requests()) > broken && (got.status != test.status || len(machine.requests())-before != test.sends) {
					t.Errorf("got %d, %d sends", got.status, len(machine.requests())-before)
				}
			}
		})
	}
}

// TestAttemptsCountOverBothRouters guards against a request that gets its attempts anew at each router.
func TestAttemptsCountOverBothRouters(t *testing.T) {
	machines := newResettingMachines(t, 3)
	addresses := addressesOf(machines)
	cut, other := newCutRouter(t, "cut"), newDeployment(t)
	cut.serve(v1.RouteRepeatable, 2, long, addresses...)
	other.serve(v1.RouteRepeatable, 2, long, addresses...)
	again := newDeployment(t)
	again.serve(v1.RouteRepeatable, 2, long, addresses...)
	cut.knowRouters("other z "+other.acceptForwards(), "again z "+again.acceptForwards())
	if got := cut.send(http.MethodPost, "/a/b", "id-1", "body"); got.status != http.StatusBadGateway {
		t.Errorf("got %d", got.status)
	}
	if sends := countRequests(machines); sends != 2 {
		t.Errorf("%d machines got the request, 2 may", sends)
	}
}

// TestCancellationCrossesHop checks that a client's disconnect ends the request at the machine.
func TestCancellationCrossesHop(t *testing.T) {
	ended := make(chan struct{})
	machine := newRawMachine(t, func(_ receivedRequest, _ int, connection net.Conn) bool {
		_, _ = io.Copy(io.Discard, connection)
		close(ended)
		return false
	})
	cut, other := newCutRouter(t, "cut"), newDeployment(t)
	cut.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	other.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	cut.knowRouters("other z " + other.acceptForwards())
	disconnect := cut.sendAndDisconnect("/a/b", "id-1")
	for len(machine.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	disconnect()
	<-ended
}

// TestBodiesStayInAllowedRegions guards against forwarding a request to a router outside of the regions that
// its route allows.
func TestBodiesStayInAllowedRegions(t *testing.T) {
	machine := newRawMachine(t, respondOK)
	outside := newRawMachine(t, func(_ receivedRequest, _ int, connection net.Conn) bool { return reset(connection) })
	cut, other := newCutRouter(t, "cut"), newDeployment(t)
	for _, router := range []*deployment{cut, other} {
		router.serveRoute(router.object(v1.KindRoute, "r", &v1.RouteSpec{
			Host: "shop.example", PathPrefix: "/a/", Kind: v1.RouteUnrepeatable, Timeout: v1.Duration(long), AllowedRegions: []string{"north"},
			Targets: []v1.RouteTarget{{Pool: "pool", Weight: 1}}, MaxAttempts: 1,
		}, nil), machine.address)
	}
	cut.knowRouters("outside far " + outside.address)
	if got := cut.send(http.MethodPost, "/a/b", "id-1", "body"); got.status != http.StatusServiceUnavailable {
		t.Errorf("without a router in the region: %d", got.status)
	}
	if seen := outside.requests(); len(seen) > 0 {
		t.Error("the request left its region")
	}
}

// TestForwardRequiresCurrentConfiguration guards against a request that is handled by an older configuration
// than that of the router that the client reached. Other changes need not have reached the second router.
func TestForwardRequiresCurrentConfiguration(t *testing.T) {
	machine := newRawMachine(t, respondOK)
	cut, behind := newCutRouter(t, "cut"), newDeployment(t)
	cut.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	behind.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	cut.apply()
	cut.knowRouters("behind z " + behind.acceptForwards())
	if got := cut.send(http.MethodPost, "/a/b", "id-1", "body"); got.status != 200 {
		t.Errorf("got %d from a router that lacks a change of something else", got.status)
	}
	declare := func(router *deployment) {
		spec := &v1.DeclarationSpec{Version: 2, MaxBodyBytes: 1000}
		router.apply(router.object(v1.KindDeclaration, state.DeclarationName, spec, nil))
		for router.handler.ConfigurationInUse() < 2 {
			time.Sleep(time.Millisecond)
		}
	}
	declare(cut)
	if got := cut.send(http.MethodPost, "/a/b", "id-2", "body"); got.status != http.StatusServiceUnavailable {
		t.Errorf("got %d from a router that is behind", got.status)
	}
	declare(behind)
	if got := cut.send(http.MethodPost, "/a/b", "id-3", "body"); got.status != 200 {
		t.Errorf("got %d from a router that has caught up", got.status)
	}
}

// TestRunningStreamDoesNotKeepRequestsHere guards against refusing a request after four failed connections because a
// stream on an old connection shows that some path works.
func TestRunningStreamDoesNotKeepRequestsHere(t *testing.T) {
	const streamID, replicas = "stream", 7
	ended := make(chan struct{})
	respond := func(request receivedRequest, number int, connection net.Conn) bool {
		if request.header.Get(headerID) != streamID {
			return respondOK(request, number, connection)
		}
		head := "HTTP/1.1 200 OK\r\n" + headerID + ": " + streamID + "\r\n" + headerSeal + ": s\r\nTransfer-Encoding: chunked\r\n\r\n"
		for written := write(connection, head); written; written = write(connection, "5\r\nevent\r\n") {
			select {
			case <-ended:
				return write(connection, "0\r\n\r\n")
			case <-time.After(time.Millisecond):
			}
		}
		return false
	}
	var addresses []string
	var machines []*rawMachine
	for range replicas {
		machine := newRawMachine(t, respond)
		machines, addresses = append(machines, machine), append(addresses, machine.address)
	}
	var refuses atomic.Bool
	cut := newDeploymentAt(t, places.Location{Zone: "z", Zones: places.NewZoneMap(map[string]string{"z": "north"})}, func(options *ingress.Options) {
		options.Node = "cut"
		options.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if !refuses.Load() {
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			time.Sleep(20 * time.Millisecond)
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
	})
	other := newDeployment(t)
	cut.serve(v1.RouteStream, 1, long, addresses...)
	other.serve(v1.RouteStream, 1, long, addresses...)
	cut.knowRouters("other z " + other.acceptForwards())
	streamed := make(chan reply)
	go func() { streamed <- cut.send(http.MethodPost, "/a/b", streamID, "body") }()
	for running := 0; running == 0; time.Sleep(time.Millisecond) {
		for _, machine := range machines {
			running += len(machine.requests())
		}
	}
	refuses.Store(true)
	for number := range 3 {
		if got := cut.send(http.MethodPost, "/a/b", "id-"+strconv.Itoa(number), "body"); got.status != http.StatusOK {
			t.Errorf("request %d: %+v", number, got)
		}
	}
	close(ended)
	if got := <-streamed; got.status != http.StatusOK || got.err != nil {
		t.Errorf("the stream: %+v", got)
	}
}

// newRouterOfRestartingMachine returns a router that can't connect to machines as long as restarting is set.
func newRouterOfRestartingMachine(t *testing.T) (router *deployment, restarting *atomic.Bool) {
	t.Helper()
	restarting = &atomic.Bool{}
	restarting.Store(true)
	return newDeploymentAt(t, places.Location{Zone: "z", Zones: places.NewZoneMap(map[string]string{"z": "north"})}, func(options *ingress.Options) {
		options.Node = "other"
		options.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if restarting.Load() {
				return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
	}), restarting
}

// TestForwardedRequestIsServedLikeOthers guards against refusing the requests of an isolated router while a machine
// restarts, although the routers that have paths go on trying it for their own clients.
func TestForwardedRequestIsServedLikeOthers(t *testing.T) {
	machine := newRawMachine(t, respondOK)
	other, restarting := newRouterOfRestartingMachine(t)
	cut := newCutRouter(t, "cut")
	other.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	cut.serve(v1.RouteUnrepeatable, 1, long, machine.address, reservePort(t))
	cut.knowRouters("other z " + other.acceptForwards())
	// The failures make the other router probe the machine rarely.
	for number := range 6 {
		if got := other.send(http.MethodPost, "/a/b", "before-"+strconv.Itoa(number), "body"); got.status != http.StatusServiceUnavailable {
			t.Fatalf("while the machine restarts: %+v", got)
		}
	}
	for number := 0; !cut.handler.IsIsolated(); number++ {
		if got := cut.send(http.MethodPost, "/a/b", "cut-"+strconv.Itoa(number), "body"); got.status != http.StatusServiceUnavailable {
			t.Fatalf("while the machine restarts: %+v", got)
		}
	}
	restarting.Store(false)
	for position, router := range []*deployment{cut, other} {
		if got := router.send(http.MethodPost, "/a/b", "after-"+strconv.Itoa(position), "body"); got.status != http.StatusOK {
			t.Errorf("router %d: %+v", position, got)
		}
	}
}

// TestStoppingRouterIsNoLastResort guards against handing a request to a router that is stopping, since it responded, while
// another one that has no path at the moment would try the machine.
func TestStoppingRouterIsNoLastResort(t *testing.T) {
	machine := newRawMachine(t, respondOK)
	other, restarting := newRouterOfRestartingMachine(t)
	cut, stopping := newCutRouter(t, "cut"), newDeployment(t)
	other.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	stopping.serve(v1.RouteUnrepeatable, 1, long, machine.address)
	cut.serve(v1.RouteUnrepeatable, 1, long, machine.address, reservePort(t))
	stopping.handler.Drain()
	cut.knowRouters("other z "+other.acceptForwards(), "stopping z "+stopping.acceptForwards())
	for number := range 6 {
		if got := other.send(http.MethodPost, "/a/b", "before-"+strconv.Itoa(number), "body"); got.status != http.StatusServiceUnavailable {
			t.Fatalf("while the machine restarts: %+v", got)
		}
	}
	for number := 0; !cut.handler.IsIsolated(); number++ {
		cut.send(http.MethodPost, "/a/b", "cut-"+strconv.Itoa(number), "body")
	}
	restarting.Store(false)
	const requests = 10
	for number := range requests {
		if got := cut.send(http.MethodPost, "/a/b", "after-"+strconv.Itoa(number), "body"); got.status != http.StatusOK {
			t.Errorf("request %d: %+v", number, got)
		}
	}
}
