package ingress_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/ingress"
	"github.com/weldline/weldline/internal/link"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/quota"
	"github.com/weldline/weldline/internal/retrybudget"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	linkMbps      = 10
	crowdMachines = 24
	// A call is for a stream with a long body, or for a short response.
	streamBodyBytes = 9200
	streamPieces    = 18
	pieceBytes      = 60
	pieceInterval   = 25 * time.Millisecond
	streamTimeout   = 5 * time.Second
	shortBodyBytes  = 200
	shortResponse   = 800
	shortTimeout    = time.Second
	serviceTime     = 30 * time.Millisecond
	calmTime        = 4 * time.Second
	crowdContact    = 4 * time.Second
	judgedTime      = 6 * time.Second
	// closeTime is how long connections take to close at the end.
	closeTime = time.Minute
	// maxCallAttempts bounds the attempts of a call until one is read.
	maxCallAttempts = 2
	// minCrowdShare of the share of calls that are served in calm must be served at the first attempt that is read.
	minCrowdShare = 3.0 / 4
)

// crowdPhase counts calls by what became of the first attempt that was read.
type crowdPhase struct{ calls, unread, served int }

func (p crowdPhase) read() int { return p.calls - p.unread }

func (p crowdPhase) String() string {
	return fmt.Sprintf("%d of %d that were read were served, %d not read", p.served, p.read(), p.unread)
}

// crowdedRouter is a router behind a link, with machines that have room for all requests. keptShare is the share of calls
// on connections that clients keep.
type crowdedRouter struct {
	host      *linkedHost
	handler   *ingress.Ingress
	keptShare float64
	kept      *http.Client
	random    *rand.Rand
	mutex     sync.Mutex
	phases    map[string]*crowdPhase
	sequence  int
}

func newCrowdedRouter(t *testing.T, keptShare float64) *crowdedRouter {
	t.Helper()
	host := newLinkedHost(linkMbps)
	created := &crowdedRouter{host: host, keptShare: keptShare, random: rand.New(rand.NewPCG(73, 1)), phases: map[string]*crowdPhase{}}
	created.kept = created.newClient(false)
	ctx, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	meter, metrics := link.NewMeter(linkMbps), ingress.NewMetrics(prometheus.NewRegistry())
	view := nodeview.NewAt(places.Location{Zone: "z", Zones: places.NewZoneMap(map[string]string{"z": "north"})})
	logger := slog.New(slog.DiscardHandler)
	started := time.Now()
	handler := ingress.New(ingress.Options{
		View: view, Logger: logger, Metrics: metrics, Translator: translator{beforeSend: &(&deployment{}).beforeSend}, MaxWaiting: 2000,
		Budget: retrybudget.Config{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, Quota: quota.Bound{Window: 8 * time.Second}, Sharing: quota.SharingEqual,
		RequestReport: func() {}, Dial: host.dialFrom, DialRouter: host.dialFrom, Link: meter,
		Suspended: func() time.Duration { return 0 }, Now: func() time.Duration { return time.Since(started) },
	})
	created.handler = handler
	workers.Go(func() { handler.Run(ctx) })
	server := ingress.NewServer(handler, view, logger, metrics, meter, handler.MeasureLink)
	workers.Go(func() {
		if err := server.Serve(ctx, host.listen()); err != nil {
			t.Error(err)
		}
	})
	created.declare(t, view)
	t.Cleanup(func() {
		created.kept.CloseIdleConnections()
		cancel()
		host.close()
		workers.Wait()
		time.Sleep(closeTime)
	})
	return created
}

// declare declares the machines, and a route for streams and one for short responses.
func (c *crowdedRouter) declare(t *testing.T, view *nodeview.View) {
	t.Helper()
	d := &deployment{t: t, view: view}
	events := []*wirepb.WatchEvent{
		d.object(v1.KindPool, "pool", &v1.PoolSpec{}, nil),
		d.object(v1.KindDeclaration, state.DeclarationName, &v1.DeclarationSpec{Version: 1, MaxBodyBytes: 1 << 20}, nil),
		d.object(v1.KindRoute, "streams", &v1.RouteSpec{
			Host: "shop.example", PathPrefix: "/stream/", Kind: v1.RouteStream, Timeout: v1.Duration(streamTimeout),
			Targets: []v1.RouteTarget{{Pool: "pool", Weight: 1}}, MaxAttempts: 1,
		}, nil),
		d.object(v1.KindRoute, "short", &v1.RouteSpec{
			Host: "shop.example", PathPrefix: "/short/", Kind: v1.RouteUnrepeatable, Timeout: v1.Duration(shortTimeout),
			Targets: []v1.RouteTarget{{Pool: "pool", Weight: 1}}, MaxAttempts: 1,
		}, nil),
	}
	for position := range crowdMachines {
		address := fmt.Sprintf("10.0.0.%d:80", position+1)
		c.startMachine(t, address)
		events = append(events, d.object(v1.KindMachine, fmt.Sprintf("m%d", position),
			&v1.MachineSpec{Endpoint: "http://" + address, Zone: "z", Pool: "pool", Slots: 64}, &v1.MachineStatus{Phase: v1.MachineLive}))
	}
	d.apply(events...)
	view.Confirm(d.revision)
}

// startMachine starts a machine that answers all requests.
func (c *crowdedRouter) startMachine(t *testing.T, address string) {
	t.Helper()
	listener := newMemoryListener()
	c.host.handlers[address] = listener
	server := &http.Server{Handler: http.HandlerFunc(serveCrowd)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
}

func serveCrowd(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	time.Sleep(serviceTime)
	writer.Header().Set(headerSeal, "1")
	writer.Header().Set(headerID, request.Header.Get(headerID))
	if request.Header.Get("Accept") == "" {
		_, _ = writer.Write(make([]byte, shortResponse))
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	piece := append(append([]byte("data: "), bytes.Repeat([]byte("x"), pieceBytes)...), '\n', '\n')
	for range streamPieces {
		if _, err := writer.Write(piece); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(pieceInterval)
	}
}

func (c *crowdedRouter) newClient(oneCall bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: oneCall, DisableCompression: true, MaxIdleConnsPerHost: 1000,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.host.dialTo(ctx, network, address)
		},
	}}
}

// run makes calls at a rate for a time, and returns when the last of them has been made.
func (c *crowdedRouter) run(calls *sync.WaitGroup, phase string, perSecond float64, span time.Duration) {
	for until := time.Now().Add(span); time.Now().Before(until); {
		c.sequence++
		id, isStream, isKept := fmt.Sprintf("c%d", c.sequence), c.random.IntN(2) == 0, c.random.Float64() < c.keptShare
		calls.Go(func() { c.call(phase, id, isStream, isKept) })
		time.Sleep(time.Duration(c.random.ExpFloat64() / perSecond * float64(time.Second)))
	}
}

// call sends one request until an attempt is read.
func (c *crowdedRouter) call(phase, id string, isStream, isKept bool) {
	client := c.kept
	if !isKept {
		client = c.newClient(true)
	}
	read, served := false, false
	for attempt := 0; attempt < maxCallAttempts && !read; attempt++ {
		read, served = send(client, id, isStream)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counted := c.phases[phase]
	if counted == nil {
		counted = &crowdPhase{}
		c.phases[phase] = counted
	}
	counted.calls++
	if !read {
		counted.unread++
	}
	if served {
		counted.served++
	}
}

func send(client *http.Client, id string, isStream bool) (read, served bool) {
	path, size, timeout := "/short/x", shortBodyBytes, shortTimeout
	if isStream {
		path, size, timeout = "/stream/x", streamBodyBytes, streamTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://shop.example"+path, bytes.NewReader(make([]byte, size)))
	if err != nil {
		panic(err)
	}
	request.Header.Set(headerID, id)
	request.Header.Set(headerWait, timeout.String())
	if isStream {
		request.Header.Set("Accept", "text/event-stream")
	}
	response, err := client.Do(request)
	if err != nil {
		return os.IsTimeout(err), false // Otherwise the connection was refused or closed.
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return true, err == nil && response.StatusCode == http.StatusOK
}

// TestRouterWithFullLinkServesWhatItReads guards against a router that reads more requests than its link carries, and
// takes the delay for lost paths, while most new connections go to it.
func TestRouterWithFullLinkServesWhatItReads(t *testing.T) {
	for _, test := range []struct {
		name      string
		perSecond float64
		keptShare float64
	}{
		{"twice what the link carries", 300, 0},
		{"four times", 600, 0},
		{"twice, half of it on kept connections", 300, 0.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				router := newCrowdedRouter(t, test.keptShare)
				time.Sleep(time.Second)
				var calls sync.WaitGroup
				router.run(&calls, "calm", 50, calmTime)
				router.run(&calls, "gathering", test.perSecond, crowdContact)
				router.run(&calls, "judged", test.perSecond, judgedTime)
				calls.Wait()
				calm, judged := router.phases["calm"], router.phases["judged"]
				t.Logf("calm: %s; gathering: %s; judged: %s", calm, router.phases["gathering"], judged)
				if calm.unread > 0 || calm.served < calm.calls {
					t.Errorf("in calm %s", calm)
				}
				if judged.served < calm.served*int(judgedTime/time.Second)/int(calmTime/time.Second) {
					t.Errorf("of the crowd fewer are served than in calm: %s", judged)
				}
				if float64(judged.served) < minCrowdShare*float64(judged.read()) {
					t.Errorf("of the crowd %s", judged)
				}
			})
		})
	}
}
