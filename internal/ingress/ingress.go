package ingress

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/weldline/weldline/internal/bodymemory"
	"github.com/weldline/weldline/internal/clock"
	"github.com/weldline/weldline/internal/crashwatch"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/dispatcher"
	"github.com/weldline/weldline/internal/drainlog"
	"github.com/weldline/weldline/internal/earlyresponse"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/link"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/quota"
	"github.com/weldline/weldline/internal/retrybudget"
	"github.com/weldline/weldline/internal/signal"
	"github.com/weldline/weldline/internal/tcpopt"
	"github.com/weldline/weldline/internal/upstream"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	dialTimeout         = 500 * time.Millisecond
	idleTimeout         = 8 * time.Second
	retainInterval      = 2 * time.Second
	defaultMaxBodyBytes = 4 << 20
	// defaultRouters is used until a leader's digest tells the number of routers.
	defaultRouters = 16
	// rebuildPauseFactor times the duration of a rebuild is the delay before the next, up to
	// maxRebuildPause.
	rebuildPauseFactor = 4
	maxRebuildPause    = 250 * time.Millisecond
)

// Options configure an Ingress.
type Options struct {
	// Node is the name of this node.
	Node       string
	View       *nodeview.View
	Logger     *slog.Logger
	Metrics    *Metrics
	Translator Translator
	MaxWaiting int
	Budget     retrybudget.Config
	// Quota bounds by how much tenants may exceed their limits.
	Quota quota.Bound
	// Sharing is how nodes divide the limits of tenants.
	Sharing quota.Sharing
	// RequestReport requests an early report to the control plane.
	RequestReport func()
	// Propose sends a command to the leader. After an error the command may or may not have
	// been applied.
	Propose feed.ProposeFunc
	// Permit asks the leader for permission to send one request to a machine that is warming
	// up or has a rate limit.
	Permit feed.PermitFunc
	// Confirm returns a revision that includes everything committed before the call, as reported by the leader.
	Confirm feed.ConfirmFunc
	// Dial opens connections to machines. It defaults to a net.Dialer with the options of package tcpopt.
	Dial upstream.DialFunc
	// DialRouter opens connections to other routers. It defaults like Dial.
	DialRouter upstream.DialFunc
	// Link measures the traffic of this node. It defaults to a meter for a link of unknown rate.
	Link *link.Meter
	// MemoryBytes is the memory of this node, part of which may hold bodies; no bound if it is 0.
	MemoryBytes int64
	// Now is a monotonic clock that includes time suspended. It defaults to clock.Now.
	Now func() time.Duration
	// Suspended returns the total time that this host has been suspended. It defaults to
	// clock.TotalSuspended.
	Suspended func() time.Duration
}

// Ingress is the HTTP handler for client requests of one node.
type Ingress struct {
	options   Options
	forwarder *forwarder
	origins   *originKeeper
	table     atomic.Pointer[Table]
	// configuration is the version of the configuration that the table is at least as new as; rebuilt is
	// notified after each update.
	configuration atomic.Uint64
	rebuilt       *signal.Broadcast
	dispatcher    *dispatcher.Dispatcher
	upstream      *upstream.Pool
	paths         *pathMonitor
	brittle       *brittleMachines

	quotas      *quotas
	permits     *permitClient
	crashes     *crashwatch.Watcher
	drains      *drainlog.Log
	constraints *constraintCache
	queued      *queuedJobs
	bodies      *bodymemory.Budget

	budgetMutex sync.Mutex
	budgets     map[string]*retrybudget.Budget
	// divisor is among how many routers the slack of the budgets is divided.
	divisor *retrybudget.Divisor
	// loggedDivisor is the divisor last logged.
	loggedDivisor int

	inFlight atomic.Int64
	stopping atomic.Bool
	// sendingEnd is set by EndSending.
	sendingEnd atomic.Pointer[time.Time]
	// requestsCtx is canceled by End.
	requestsCtx    context.Context
	cancelRequests context.CancelFunc
	// serving is set once the routes of an up-to-date view are in use.
	serving       atomic.Bool
	servingChange *signal.Broadcast
}

// New returns an Ingress. It serves requests only while Run is running.
func New(options Options) *Ingress {
	config := dispatch.Config{MaxWaiting: options.MaxWaiting, SharedSlots: true, PlacedAdapters: true, LeastWork: true, Seed: rand.Uint64()}
	requestsCtx, cancelRequests := context.WithCancel(context.Background())
	if options.Suspended == nil {
		options.Suspended = clock.TotalSuspended
	}
	if options.Now == nil {
		options.Now = clock.Now
	}
	if options.Link == nil {
		options.Link = link.NewMeter(0)
	}
	pool := upstream.NewPool(upstream.Config{
		DialTimeout: dialTimeout, MaxIdle: maxIdle(options.View), IdleTimeout: idleTimeout, Dial: meteredDial(options.Link, options.Dial),
		OnDial: observeDials(options, toMachine), LinkDelay: linkDelay(options.Link),
	})
	routing := dispatcher.New(config, options.RequestReport)
	others := newForwarder(options)
	publishPaths := func(unreachable map[string]bool, isolated bool) {
		routing.SetPaths(unreachable, isolated)
		others.setIsolated(isolated)
	}
	return &Ingress{
		options: options, servingChange: signal.New(), rebuilt: signal.New(),
		requestsCtx: requestsCtx, cancelRequests: cancelRequests,
		dispatcher:  routing,
		upstream:    pool,
		forwarder:   others,
		origins:     newOriginKeeper(options, others.pool),
		paths:       newPathMonitor(options, pool, publishPaths, others.checkPaths),
		brittle:     newBrittleMachines(options, routing.SetBrittle),
		crashes:     newCrashWatcher(options, pool),
		permits:     newPermitClient(options, routing.SetLimited),
		quotas:      newQuotas(options.Quota, options.Sharing),
		budgets:     map[string]*retrybudget.Budget{},
		divisor:     retrybudget.NewDivisor(options.Budget.Window, 0),
		drains:      drainlog.New(options.Logger, options.Metrics.drained),
		constraints: newConstraintCache(),
		queued:      newQueuedJobs(),
		bodies:      bodymemory.New(options.MemoryBytes),
	}
}

// observeDials returns a function that records the times that connections to peers of a kind take.
func observeDials(options Options, kind peerKind) func(peer string, elapsed time.Duration, err error) {
	return func(peer string, elapsed time.Duration, err error) {
		options.Metrics.observeDial(kind, elapsed, err)
		if err == nil {
			options.Link.Connected(time.Now(), peer, elapsed)
		}
	}
}

func linkDelay(meter *link.Meter) func() time.Duration {
	return func() time.Duration { return meter.Load(time.Now()).Delay() }
}

// meteredDial counts the traffic of the connections that another function opens.
func meteredDial(meter *link.Meter, dial upstream.DialFunc) upstream.DialFunc {
	if dial == nil {
		dial = tcpopt.Dialer().DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return meter.Conn(connection), nil
	}
}

func newCrashWatcher(options Options, pool *upstream.Pool) *crashwatch.Watcher {
	return crashwatch.New(crashwatch.Options{
		View: options.View, Logger: options.Logger, Propose: options.Propose, Probe: crashwatch.ProbeWithDial(pool.Dial),
		OnVerdict: options.Metrics.observeExamined,
	})
}

// Run updates the routes and targets from the view until ctx is done.
func (i *Ingress) Run(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	workers.Go(func() { i.dispatcher.RunTicks(ctx) })
	workers.Go(func() { i.dispatcher.FollowDigests(ctx, i.options.View) })
	workers.Go(func() { i.followDigests(ctx) })
	workers.Go(func() { i.quotas.followDigests(ctx, i.options.View, i.options.RequestReport) })
	workers.Go(func() { i.crashes.Run(ctx) })
	workers.Go(func() { i.retainConnections(ctx) })
	workers.Go(func() { i.paths.run(ctx) })
	workers.Go(func() { i.forwarder.followDigests(ctx, i.options.View) })
	workers.Go(func() { i.forwarder.run(ctx) })
	workers.Go(func() { i.origins.followDigests(ctx) })
	workers.Go(func() { i.origins.run(ctx) })
	for {
		changed := i.options.View.Changed()
		started := time.Now()
		i.rebuild()
		select {
		case <-ctx.Done():
			return
		case <-time.After(rebuildPause(time.Since(started))):
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// rebuildPause returns the delay after a rebuild during which changes are batched. Without it
// a large fleet with frequent changes would keep a router rebuilding all the time.
func rebuildPause(took time.Duration) time.Duration {
	return min(rebuildPauseFactor*took, maxRebuildPause)
}

// rebuild applies the view's routes and targets. The node starts to serve only
// after the routes of an up-to-date view are in use; an older table would answer
// 404 for declared routes.
func (i *Ingress) rebuild() {
	declaration := i.options.View.Declaration()
	current := i.options.View.Current() && declaration != nil
	if routes, changed := i.options.View.TakeRoutes(); changed {
		i.table.Store(NewTable(routes, i.table.Load()))
		i.logRoutes(len(routes))
	}
	if declaration != nil {
		i.configuration.Store(declaration.Version)
	}
	i.rebuilt.Notify()
	drains := i.options.View.ZoneDrains()
	i.dispatcher.SetWarming(i.permits.warming.machines())
	i.dispatcher.ChangeTargets(time.Now(), i.options.View.TakeTargetChanges())
	i.paths.setMachines(i.dispatcher.Machines())
	i.brittle.refresh()
	i.drains.Update(time.Now(), drains)
	i.queued.each((*job).updateConstraints)
	if current && !i.serving.Swap(true) {
		i.servingChange.Notify()
		i.options.Logger.Info("serving", "version", i.options.View.Declaration().Version, "revision", i.options.View.Revision())
	}
}

// logRoutes logs the revision of the routes now in use and that of the leader's newest digest.
func (i *Ingress) logRoutes(routes int) {
	view := i.options.View
	version := uint64(0)
	if declaration := view.Declaration(); declaration != nil {
		version = declaration.Version
	}
	i.options.Logger.Info("routes_in_force", "version", version, "routes", routes, "revision", view.Revision(),
		"leader_term", view.Digest().GetTerm(), "leader_revision", view.Digest().GetRevision())
}

func (i *Ingress) retainConnections(ctx context.Context) {
	ticker := time.NewTicker(retainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			i.upstream.Retain(i.isKnown)
			i.retainRouterConnections()
			i.permits.limits.retain(i.isKnown)
			i.dispatcher.Retain(i.isKnown)
			i.options.Metrics.leaving.Set(float64(len(i.LeavingMachines())))
			i.options.Metrics.backedOff.Set(float64(i.dispatcher.BackoffCount()))
		}
	}
}

// retainRouterConnections closes the connections to routers that are no longer listed, and expired ones.
func (i *Ingress) retainRouterConnections() {
	listed := i.forwarder.nodes()
	i.origins.addKeepers(listed)
	i.forwarder.pool.Retain(func(node string) bool { return listed[node] })
}

func (i *Ingress) isKnown(machine string) bool {
	_, known := i.options.View.Machine(machine)
	return known
}

// Resumed is to be called after this host resumes from suspension. It drops idle connections, which
// machines may have timed out meanwhile, and the outdated warm-up state of machines.
func (i *Ingress) Resumed() {
	i.permits.warming.reset()
	i.upstream.DropIdle()
}

// Ready reports whether clients should be routed to this node.
func (i *Ingress) Ready() bool {
	return !i.stopping.Load() && i.IsConfigured()
}

// IsConfigured reports whether this node's configuration is at least as new as any that
// was accepted before the node started.
func (i *Ingress) IsConfigured() bool {
	return i.serving.Load()
}

// Drain ends the node's readiness, has other routers use other connections, and hands the origins of streams over to them.
func (i *Ingress) Drain() {
	i.stopping.Store(true)
	i.origins.handOver()
}

// Abort cancels all requests before the node shuts down: those without a response
// get an error response, the others are broken off.
func (i *Ingress) Abort() {
	i.cancelRequests()
}

// InFlight returns the number of requests in flight.
func (i *Ingress) InFlight() int64 {
	return i.inFlight.Load()
}

// Demand returns the demand of this node for each model version.
func (i *Ingress) Demand(now time.Time) []dispatch.Demand {
	return i.dispatcher.Demand(now)
}

// Loads returns the requests in flight by machine, for reports.
func (i *Ingress) Loads() []*wirepb.MachineLoad {
	loads, work := i.dispatcher.Loads(), i.dispatcher.Work()
	messages := make([]*wirepb.MachineLoad, 0, len(loads))
	for machine, running := range loads {
		messages = append(messages, &wirepb.MachineLoad{Machine: machine, Running: uint32(running), Work: uint32(work[machine])})
	}
	return messages
}

// Answers returns the counts of responses by machine, for reports.
func (i *Ingress) Answers() map[string]dispatch.ResponseCounts {
	return i.dispatcher.ResponseCounts()
}

// LeavingMachines returns the known machines that announced their shutdown, for reports.
func (i *Ingress) LeavingMachines() []string {
	return slices.DeleteFunc(i.dispatcher.LeavingMachines(), func(machine string) bool { return !i.isKnown(machine) })
}

// Unreachable returns the machines that this node currently can't connect to.
func (i *Ingress) Unreachable(now time.Time) []string {
	if i.paths.isIsolated() {
		return nil // The paths are down, not the machines.
	}
	return i.dispatcher.UnreachableMachines(now)
}

func routersOf(view *nodeview.View) int {
	if routers := view.Digest().GetRouters(); routers > 0 {
		return int(routers)
	}
	return defaultRouters
}

// countFirstSend counts a first send to a pool in its retry budget.
func (i *Ingress) countFirstSend(pool string) {
	i.budgetMutex.Lock()
	defer i.budgetMutex.Unlock()
	i.budget(pool).CountFirstSend(i.Uptime())
}

// observeRouters records the number of routers that a leader published.
func (i *Ingress) observeRouters(routers int) {
	i.budgetMutex.Lock()
	defer i.budgetMutex.Unlock()
	now := i.Uptime()
	i.divisor.Observe(now, routers)
	i.divisorAt(now)
}

// reserveRetry reserves one retry in a pool's budget, if there is one left.
func (i *Ingress) reserveRetry(pool string) bool {
	i.budgetMutex.Lock()
	defer i.budgetMutex.Unlock()
	now := i.Uptime()
	if !i.budget(pool).Reserve(now, i.divisorAt(now)) {
		i.options.Metrics.observeRetry(retryRefused)
		return false
	}
	i.options.Metrics.observeRetry(retryReserved)
	return true
}

// divisorAt returns the divisor of the slack, and logs changes. The mutex must be held.
func (i *Ingress) divisorAt(now time.Duration) int {
	routers := i.divisor.Routers(now)
	if routers != i.loggedDivisor {
		i.loggedDivisor = routers
		i.options.Metrics.retryRouters.Set(float64(routers))
		i.options.Logger.Info("retry_share", "routers", routers, "counted", i.options.View.Digest().GetRouters())
	}
	return routers
}

// endReservation counts a reserved retry as sent, or gives it back.
func (i *Ingress) endReservation(pool string, sent bool) {
	i.budgetMutex.Lock()
	defer i.budgetMutex.Unlock()
	if sent {
		i.budget(pool).CountRetry(i.Uptime())
		i.options.Metrics.observeRetry(retrySent)
		return
	}
	i.budget(pool).Release()
	i.options.Metrics.observeRetry(retryReleased)
}

func (i *Ingress) budget(pool string) *retrybudget.Budget {
	held := i.budgets[pool]
	if held == nil {
		held = retrybudget.New(i.options.Budget, 0)
		i.budgets[pool] = held
	}
	return held
}

// ServeHTTP implements http.Handler. Unlike http.ServeMux it does not clean the
// path, which machines must get unchanged.
func (i *Ingress) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	i.answerEarly(i.serveClient).ServeHTTP(writer, request)
}

// answerEarly lets a handler answer requests before it has read their bodies.
func (i *Ingress) answerEarly(handle http.HandlerFunc) http.Handler {
	return earlyresponse.Handler{Next: handle, Logger: i.options.Logger}
}

func (i *Ingress) serveClient(writer http.ResponseWriter, request *http.Request) {
	// Only other routers may set these, on their own listener.
	request.Header.Del(headerForward)
	request.Header.Del(headerStreamOrigins)
	request.Header.Del(headerPathCheck)
	i.handle(i.newJob(writer, request))
}

func (i *Ingress) handle(j *job) {
	i.inFlight.Add(1)
	defer i.inFlight.Add(-1)
	defer func() { i.bodies.Release(j.bodyBytes) }()
	if j.forwarded != nil && i.stopping.Load() {
		j.writer.Header().Set("Connection", "close")
	}
	j.serve()
}
