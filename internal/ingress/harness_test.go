package ingress_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/clock"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/httpconn"
	"github.com/weldline/weldline/internal/ingress"
	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/quota"
	"github.com/weldline/weldline/internal/ratelimit"
	"github.com/weldline/weldline/internal/retrybudget"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// The headers of the test translator.
const (
	headerID       = "Test-Id"
	headerWait     = "Test-Wait"
	headerTarget   = "Test-Target"
	headerNotRun   = "Test-Not-Run"
	headerSeal     = "Test-Seal"
	headerModel    = "Test-Model"
	headerKey      = "Test-Key"
	headerTenant   = "Test-Tenant"
	headerPriority = "Test-Priority"
	headerLimit    = "Test-Limit"
	headerBackOff  = "Test-Back-Off"
	// headerLeaving announces a shutdown, whatever its value.
	headerLeaving = "Test-Leaving"
	headerResumes = "Test-Resumes"
	// headerParts lists the parts of the prompt that other requests may share.
	headerParts     = "Test-Parts"
	headerLastEvent = "Test-Last-Event"
)

// translator is a fake of a platform's Translator.
type translator struct {
	// beforeSend is called once, if set, right before the next request is written to a machine.
	beforeSend *atomic.Pointer[func()]
}

func (translator) Describe(header http.Header) ingress.Attributes {
	wait, _ := time.ParseDuration(header.Get(headerWait))
	return ingress.Attributes{
		ID: header.Get(headerID), Timeout: wait, Model: header.Get(headerModel), Key: header.Get(headerKey),
		Resumes: header.Get(headerResumes), LastEvent: header.Get(headerLastEvent), PromptParts: strings.Fields(header.Get(headerParts)),
	}
}

const probeTarget = "/probe"

func (translator) ProbeTarget() string { return probeTarget }

func (t translator) Prepare(header http.Header, attempt ingress.Attempt) {
	if call := t.beforeSend.Swap(nil); call != nil {
		(*call)()
	}
	header.Set(headerTarget, attempt.Machine)
	header.Set(headerTenant, attempt.Tenant)
	header.Set(headerPriority, strconv.Itoa(int(attempt.Priority)))
	header.Set(headerWait, attempt.Remaining.String())
}

func (translator) Interpret(status int, response http.Header, id string) ingress.Verdict {
	succeeded := status >= 200 && status < 300
	return ingress.Verdict{
		ForRequest:   response.Get(headerID) == "" || response.Get(headerID) == id,
		Genuine:      !succeeded || response.Get(headerSeal) != "",
		NotRun:       response.Get(headerNotRun) != "",
		WrongMachine: status == http.StatusMisdirectedRequest,
		Statement:    ingress.Statement{Limit: limitOf(response), BackOff: backOffOf(response), Leaving: response.Get(headerLeaving) != ""},
	}
}

func limitOf(response http.Header) ratelimit.Limit {
	perSecond, err := strconv.ParseFloat(response.Get(headerLimit), 64)
	if err != nil {
		return ratelimit.Unlimited
	}
	return ratelimit.NewLimit(perSecond)
}

func backOffOf(response http.Header) time.Duration {
	backOff, _ := time.ParseDuration(response.Get(headerBackOff))
	return backOff
}

// deployment is an ingress with the objects that a test declares.
type deployment struct {
	t        *testing.T
	view     *nodeview.View
	server   *httptest.Server
	handler  *ingress.Ingress
	revision uint64
	// queued receives a value for each requested report, such as when a request is queued.
	queued chan struct{}
	// suspended is the suspended time of the router's host, in nanoseconds.
	suspended atomic.Int64
	// beforeSend is passed to the translator.
	beforeSend atomic.Pointer[func()]
	// permit replies to permit requests; nil means that there is no leader.
	permit atomic.Pointer[feed.PermitFunc]
	// confirm replies to requests for the leader's revision; nil means that there was no change since the newest digest.
	confirm atomic.Pointer[feed.ConfirmFunc]
	// log receives commands; nil means that there is no control plane.
	log *replicatedLog
}

// replicatedLog is a fake control plane: it applies each command and sends the changes to
// its routers.
type replicatedLog struct {
	mutex   sync.Mutex
	state   *state.Machine
	routers []*deployment
	// failNext is the number of commands that fail next.
	failNext int
}

func newReplicatedLog() *replicatedLog {
	log := &replicatedLog{state: state.New()}
	// A command can't fail here: the log has no routers yet, and failNext is 0.
	_, _ = log.propose(&wirepb.Command{Body: &wirepb.Command_RaiseLevel{RaiseLevel: &wirepb.RaiseLevelCommand{Level: uint32(level.Supported)}}})
	return log
}

func (l *replicatedLog) propose(command *wirepb.Command) (*wirepb.CommandResult, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failNext > 0 {
		l.failNext--
		return nil, fault.Unavailable.New("there is no leader")
	}
	before := l.state.Revision()
	encoded, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	result := l.state.Apply(encoded)
	events, err := l.state.EventsAfter(before)
	if err != nil {
		return nil, err
	}
	for _, router := range l.routers {
		router.view.Apply(feed.Changes{Events: events, Revision: l.state.Revision()})
	}
	return result, nil
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	return newDeploymentWith(t, slog.New(slog.DiscardHandler))
}

func newDeploymentWith(t *testing.T, logger *slog.Logger) *deployment {
	t.Helper()
	location := places.Location{Zone: "z", Zones: places.NewZoneMap(map[string]string{"z": "north", "far": "south"})}
	return newDeploymentAt(t, location, func(options *ingress.Options) { options.Logger = logger })
}

// newDeploymentAt returns a deployment whose router is at the given location. The test may change
// its options.
func newDeploymentAt(t *testing.T, location places.Location, change func(options *ingress.Options)) *deployment {
	t.Helper()
	created := &deployment{t: t, view: nodeview.NewAt(location), queued: make(chan struct{}, 100)}
	options := ingress.Options{
		View: created.view, Logger: slog.New(slog.DiscardHandler), Metrics: ingress.NewMetrics(prometheus.NewRegistry()),
		Translator: translator{beforeSend: &created.beforeSend}, MaxWaiting: 100,
		// With so short a window the whole slack is available at once.
		Budget: retrybudget.Config{Ratio: 1, Slack: 1000, Window: time.Nanosecond}, RequestReport: func() { created.queued <- struct{}{} },
		Quota: quota.Bound{Window: 8 * time.Second}, Sharing: quota.SharingEqual,
		Suspended: func() time.Duration { return time.Duration(created.suspended.Load()) },
		Now:       func() time.Duration { return clock.Now() + time.Duration(created.suspended.Load()) },
		Permit: func(ctx context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
			if permit := created.permit.Load(); permit != nil {
				return (*permit)(ctx, request)
			}
			return nil, fault.Unavailable.New("there is no leader")
		},
		Confirm: func(ctx context.Context) (uint64, error) {
			if confirm := created.confirm.Load(); confirm != nil {
				return (*confirm)(ctx)
			}
			return created.view.Digest().GetRevision(), nil
		},
		Propose: func(_ context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
			if created.log == nil {
				return nil, fault.Unavailable.New("there is no control plane")
			}
			return created.log.propose(command)
		},
	}
	change(&options)
	handler := ingress.New(options)
	ctx, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	workers.Go(func() { handler.Run(ctx) })
	created.handler = handler
	created.server = httptest.NewUnstartedServer(handler)
	created.server.Config.ConnContext = httpconn.ConnContext
	created.server.Start()
	t.Cleanup(func() {
		created.server.CloseClientConnections()
		created.server.Close()
		cancel()
		workers.Wait()
	})
	return created
}

func encode(t *testing.T, value any) []byte {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// object returns an event that declares an object.
func (d *deployment) object(kind v1.Kind, name string, spec, status any) *wirepb.WatchEvent {
	object := &wirepb.Object{Kind: string(kind), Name: name, Revision: d.revision + 1, Spec: encode(d.t, spec)}
	if status != nil {
		object.Status = encode(d.t, status)
	}
	return &wirepb.WatchEvent{Object: object}
}

func (d *deployment) apply(events ...*wirepb.WatchEvent) {
	d.revision++
	d.view.Apply(feed.Changes{Events: events, Revision: d.revision})
}

func (d *deployment) route(kind v1.RouteKind, attempts int, timeout time.Duration) *wirepb.WatchEvent {
	return d.object(v1.KindRoute, "r", &v1.RouteSpec{
		Host: "shop.example", PathPrefix: "/a/", Kind: kind, Timeout: v1.Duration(timeout),
		Targets: []v1.RouteTarget{{Pool: "pool", Weight: 1}}, MaxAttempts: attempts,
	}, nil)
}

func (d *deployment) machine(name, address string) *wirepb.WatchEvent {
	return d.machineIn("z", name, address)
}

func (d *deployment) machineIn(zone, name, address string) *wirepb.WatchEvent {
	return d.object(v1.KindMachine, name,
		&v1.MachineSpec{Endpoint: "http://" + address, Zone: zone, Pool: "pool", Slots: 4}, &v1.MachineStatus{Phase: v1.MachineLive})
}

func (d *deployment) declaration() []*wirepb.WatchEvent {
	return []*wirepb.WatchEvent{
		d.object(v1.KindDeclaration, state.DeclarationName, &v1.DeclarationSpec{Version: 1, MaxBodyBytes: 1000}, nil),
		d.object(v1.KindPool, "pool", &v1.PoolSpec{}, nil),
	}
}

// serve declares a route and machines at the addresses, and makes the view current.
func (d *deployment) serve(kind v1.RouteKind, attempts int, timeout time.Duration, addresses ...string) {
	d.serveRoute(d.route(kind, attempts, timeout), addresses...)
}

// serveRoute is like serve, but declares the given route. All objects are declared at once, as the
// node serves as soon as the view is current.
func (d *deployment) serveRoute(route *wirepb.WatchEvent, addresses ...string) {
	events := append(d.declaration(), route)
	for position, address := range addresses {
		events = append(events, d.machine("m"+strconv.Itoa(position), address))
	}
	d.apply(events...)
	d.view.Confirm(d.revision)
}

// reply is the response that a client got.
type reply struct {
	status int
	header http.Header
	body   string
	// err is set if there was no complete response.
	err error
}

func (d *deployment) send(method, path, id, body string, headers ...string) reply {
	d.t.Helper()
	request, err := http.NewRequest(method, d.server.URL+path, stringReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	request.Host = "shop.example"
	request.Header.Set(headerID, id)
	for position := 0; position+1 < len(headers); position += 2 {
		request.Header.Set(headers[position], headers[position+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(content), err: err}
}

// sendAndDisconnect sends a request and returns a function that closes its connection.
func (d *deployment) sendAndDisconnect(path, id string) (disconnect func()) {
	d.t.Helper()
	connection, err := net.Dial("tcp", d.server.Listener.Addr().String())
	if err != nil {
		d.t.Fatal(err)
	}
	write(connection, "POST "+path+" HTTP/1.1\r\nHost: shop.example\r\n"+headerID+": "+id+"\r\nContent-Length: 1\r\n\r\nx")
	return func() { _ = connection.Close() }
}

// rawMachine is a machine whose responses are written byte for byte by a script.
type rawMachine struct {
	address  string
	listener net.Listener
	// probe responds to probes, which are not recorded. By default they are answered at once.
	probe    atomic.Pointer[responseScript]
	mutex    sync.Mutex
	received []receivedRequest
}

type receivedRequest struct {
	method, target, host, body string
	header                     http.Header
}

// responseScript writes the response to the n-th request of the machine. It returns false to close
// the connection.
type responseScript func(request receivedRequest, number int, connection net.Conn) bool

// reservePort returns a loopback address whose port stays bound until the end of the test. A port
// that is freed when its listener closes may be given to another test process, whose listener then
// accepts connections that the test expects to fail.
func reservePort(t *testing.T) (address string) {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	// The test's listener shares the port; both sockets have to set this option.
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*syscall.SockaddrInet4).Port))
}

func newRawMachine(t *testing.T, respond responseScript) *rawMachine {
	t.Helper()
	listener, err := net.Listen("tcp", reservePort(t))
	if err != nil {
		t.Fatal(err)
	}
	created := &rawMachine{address: listener.Addr().String(), listener: listener}
	var connections sync.WaitGroup
	connections.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Go(func() { created.serve(connection, respond) })
			t.Cleanup(func() { _ = connection.Close() })
		}
	})
	t.Cleanup(func() { _ = listener.Close() })
	return created
}

func (m *rawMachine) serve(connection net.Conn, respond responseScript) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		seen := receivedRequest{
			method: request.Method, target: request.RequestURI, host: request.Host, body: string(body), header: request.Header,
		}
		if seen.target == probeTarget {
			respondToProbe := respondOK
			if script := m.probe.Load(); script != nil {
				respondToProbe = *script
			}
			if !respondToProbe(seen, 0, connection) {
				return
			}
			continue
		}
		m.mutex.Lock()
		m.received = append(m.received, seen)
		number := len(m.received)
		m.mutex.Unlock()
		if !respond(seen, number, connection) {
			return
		}
	}
}

// refuseConnections makes the machine refuse new connections.
func (m *rawMachine) refuseConnections() {
	_ = m.listener.Close()
}

func (m *rawMachine) requests() []receivedRequest {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]receivedRequest(nil), m.received...)
}

// write returns true if the text was written.
func write(connection net.Conn, text string) bool {
	_, err := io.WriteString(connection, text)
	return err == nil
}

// ok returns a complete response to a request.
func ok(request receivedRequest, body string) string {
	return "HTTP/1.1 200 OK\r\n" + headerID + ": " + request.header.Get(headerID) + "\r\n" + headerSeal + ": s\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// reset makes the connection end with a TCP reset once it is closed.
func reset(connection net.Conn) bool {
	if tcp, isTCP := connection.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	return false
}
