package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/weldline/weldline/internal/bodymemory"
	"github.com/weldline/weldline/internal/claims"
	"github.com/weldline/weldline/internal/crashwatch"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/dispatcher"
	"github.com/weldline/weldline/internal/drainlog"
	"github.com/weldline/weldline/internal/earlyresponse"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/limits"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/upstream"
)

const (
	engineDialTimeout = time.Second
	maxIdlePerEngine  = 512
	idleConnTimeout   = 90 * time.Second
	drainPollInterval = 10 * time.Millisecond
)

// Options configure a Gateway.
type Options struct {
	Node         string
	View         *nodeview.View
	Logger       *slog.Logger
	Metrics      *Metrics
	Propose      feed.ProposeFunc
	MaxWaiting   int
	MaxBodyBytes int64
	// MemoryBytes is the memory of this node, part of which may hold the bodies of responses; no bound if it is 0.
	MemoryBytes int64
	// RequestReport requests an early demand report to the control plane.
	RequestReport func()
}

// Gateway is the HTTP handler for client requests of one router.
type Gateway struct {
	options    Options
	router     *mux.Router
	dispatcher *dispatcher.Dispatcher
	services   *dispatcher.Dispatcher
	limits     *limits.Enforcer
	claims     *claims.Client
	budget     *retryBudget
	crashes    *crashwatch.Watcher
	drains     *drainlog.Log
	// bodies bounds the bodies of responses that are held at the same time.
	bodies  *bodymemory.Budget
	engines *http.Client
	// singleUse sends unrepeatable requests, each on a new connection, so that a
	// failed dial proves that nothing was sent.
	singleUse *http.Client

	// inFlight includes responses that are still to be recorded.
	inFlight atomic.Int64
	draining atomic.Bool
	sequence atomic.Uint64
}

// New returns a Gateway. It serves requests only while Run is running.
func New(options Options) *Gateway {
	dialer := &net.Dialer{Timeout: engineDialTimeout}
	engines, singleUse := upstream.NewTransport(dialer.DialContext), upstream.NewTransport(dialer.DialContext)
	engines.MaxIdleConnsPerHost, engines.IdleConnTimeout = maxIdlePerEngine, idleConnTimeout
	singleUse.DisableKeepAlives = true
	gateway := &Gateway{
		options: options, router: mux.NewRouter(), limits: limits.New(),
		drains: drainlog.New(options.Logger, options.Metrics.drained),
		bodies: bodymemory.New(options.MemoryBytes), claims: claims.NewClient(options.Propose), budget: newRetryBudget(),
		crashes: crashwatch.New(crashwatch.Options{
			View: options.View, Logger: options.Logger, Propose: options.Propose, Probe: crashwatch.ProbeWithDial(
				func(ctx context.Context, _, address string) (net.Conn, error) {
					return dialer.DialContext(ctx, "tcp", address)
				}),
		}),
		engines: &http.Client{Transport: engines}, singleUse: &http.Client{Transport: singleUse},
	}
	gateway.dispatcher = dispatcher.New(dispatch.Config{MaxWaiting: options.MaxWaiting}, options.RequestReport)
	gateway.services = dispatcher.New(dispatch.Config{MaxWaiting: options.MaxWaiting}, func() {})
	gateway.route()
	return gateway
}

func (g *Gateway) route() {
	g.router.HandleFunc("/v1/models", g.track(g.serveModels)).Methods(http.MethodGet)
	g.router.HandleFunc("/v1/completions", g.track(g.serveInference)).Methods(http.MethodPost)
	g.router.HandleFunc("/v1/chat/completions", g.track(g.serveInference)).Methods(http.MethodPost)
	g.router.HandleFunc("/v1/services/{service}/{path:.*}", g.track(g.serveService))
	g.router.NotFoundHandler = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		g.refuse(writer, "", problem.New(problem.TypeNotFound, http.StatusNotFound, "no such path"))
	})
	g.router.MethodNotAllowedHandler = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		g.refuse(writer, "", problem.New(problem.TypeInvalid, http.StatusMethodNotAllowed, "the path does not take this method"))
	})
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	earlyresponse.Handler{Next: g.router, Logger: g.options.Logger}.ServeHTTP(writer, request)
}

// track counts a request as in flight. It refuses the request before the
// configuration is current and while the router is draining.
func (g *Gateway) track(handle http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		g.inFlight.Add(1)
		defer g.inFlight.Add(-1)
		if g.draining.Load() {
			document := problem.New(problem.TypeStopping, http.StatusServiceUnavailable, "this router is stopping; use another")
			document.RetryAfter = time.Second
			g.refuse(writer, "", document)
			return
		}
		if !g.options.View.Current() {
			document := problem.New(problem.TypeUnavailable, http.StatusServiceUnavailable, "this router has not got the present configuration yet")
			document.RetryAfter = time.Second
			g.refuse(writer, "", document)
			return
		}
		handle(writer, request)
	}
}

// refuse writes a problem for a request that did not run.
func (g *Gateway) refuse(writer http.ResponseWriter, requestID string, document *problem.Document) {
	document.Outcome = problem.OutcomeNotRun
	g.fail(writer, requestID, document)
}

func (g *Gateway) fail(writer http.ResponseWriter, requestID string, document *problem.Document) {
	document.RequestID = requestID
	g.options.Metrics.problems.WithLabelValues(document.Kind(), string(document.Outcome)).Inc()
	document.Write(writer)
}

// Run updates the dispatchers from the view until ctx is done.
func (g *Gateway) Run(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	workers.Go(func() { g.claims.Run(ctx) })
	workers.Go(func() { g.crashes.Run(ctx) })
	workers.Go(func() { g.dispatcher.RunTicks(ctx) })
	workers.Go(func() { g.services.RunTicks(ctx) })
	workers.Go(func() { g.dispatcher.FollowDigests(ctx, g.options.View) })
	for {
		changed := g.options.View.Changed()
		now := time.Now()
		drains := g.options.View.ZoneDrains()
		g.dispatcher.ChangeTargets(now, g.options.View.AllReplicaTargets())
		g.services.SetTargets(now, g.options.View.ServiceTargets())
		g.drains.Update(now, drains)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Drain refuses new requests and waits for those in flight, including responses
// that are still to be recorded. It reports whether all ended before ctx.
func (g *Gateway) Drain(ctx context.Context) bool {
	g.draining.Store(true)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for g.inFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Draining reports whether the gateway refuses new requests.
func (g *Gateway) Draining() bool {
	return g.draining.Load()
}

// modelList is the response of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (g *Gateway) serveModels(writer http.ResponseWriter, _ *http.Request) {
	names := g.options.View.Models()
	sort.Strings(names)
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range names {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "weldline"})
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(list)
}

// Demand returns the demand of this router for each model version.
func (g *Gateway) Demand(now time.Time) []dispatch.Demand {
	return g.dispatcher.Demand(now)
}
