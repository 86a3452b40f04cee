package ingress

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/weldline/weldline/internal/clock"
	"github.com/weldline/weldline/internal/crashwatch"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/dispatcher"
	"github.com/weldline/weldline/internal/drainlog"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/quota"
	"github.com/weldline/weldline/internal/retrybudget"
	"github.com/weldline/weldline/internal/signal"
	"github.com/weldline/weldline/internal/upstream"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	dialTimeout     = 500 * time.Millisecond
	idleTimeout     = 8 * time.Second
	retainInterval  = 2 * time.Second
	defaultBodySize = 4 << 20
	// assumedRouters is how many routers are taken to share the bounds before
	// the leader has said so.
	assumedRouters = 16
	// rebuildRest is how many times as long as a rebuild took the next one waits: rebuilds
	// take a fifth of the time at most.
	rebuildRest = 4
	// maxRebuildPause bounds that. It is a tenth of the time in which a change has to be in
	// force everywhere.
	maxRebuildPause = 250 * time.Millisecond
)

// Options are what an Ingress needs.
type Options struct {
	View       *nodeview.View
	Logger     *slog.Logger
	Metrics    *Metrics
	Translator Translator
	MaxWaiting int
	Budget     retrybudget.Config
	// Quota is by how much tenants may exceed their limits, and Sharing how nodes share
	// these.
	Quota   quota.Bound
	Sharing quota.Sharing
	// RequestReport asks for a report of demand to the control plane soon.
	RequestReport func()
	// Propose carries a command to the leader. An error leaves open whether it was carried out.
	Propose feed.ProposeFunc
	// Permit asks the leader whether one request may be sent to a machine that warms up, or that
	// names a limit.
	Permit feed.PermitFunc
	// Now is a clock that counts the sleep of the machine, clock.Now by default.
	Now func() time.Duration
	// Suspended returns for how long the machine has slept in all, like clock.Slept, which it is by
	// default.
	Suspended func() time.Duration
}

// Ingress is the callers' HTTP handler of one node.
type Ingress struct {
	options    Options
	started    time.Time
	table      atomic.Pointer[Table]
	dispatcher *dispatcher.Dispatcher
	upstream   *upstream.Pool

	quotas      *quotas
	permits     *permitGuard
	crashes     *crashwatch.Watcher
	drains      *drainlog.Log
	constraints *constraints
	waiting     *waitingJobs

	budgetMutex sync.Mutex
	budgets     map[string]*retrybudget.Budget

	inFlight atomic.Int64
	stopping atomic.Bool
	// ending is over once whoever is left must be answered at once.
	ending context.Context
	end    context.CancelFunc
	// serving is set once the routes of a current view are in force.
	serving       atomic.Bool
	servingChange *signal.Broadcast
}

// New returns an ingress; Run must be running for it to work.
func New(options Options) *Ingress {
	config := dispatch.Config{MaxWaiting: options.MaxWaiting, SharedSlots: true, PlacedAdapters: true, LeastWork: true, Seed: rand.Uint64()}
	ending, end := context.WithCancel(context.Background())
	if options.Suspended == nil {
		options.Suspended = clock.Slept
	}
	if options.Now == nil {
		options.Now = clock.Now
	}
	pool := upstream.NewPool(upstream.Config{DialTimeout: dialTimeout, MaxIdle: maxIdle(options.View), IdleTimeout: idleTimeout})
	routing := dispatcher.New(config, options.RequestReport)
	return &Ingress{
		ending: ending, end: end, quotas: newQuotas(options.Quota, options.Sharing),
		options: options, started: time.Now(), budgets: map[string]*retrybudget.Budget{},
		dispatcher: routing, servingChange: signal.New(),
		upstream: pool, crashes: newCrashWatcher(options, pool), permits: newPermitGuard(options, routing.SetLimited),
		drains:      drainlog.New(options.Logger, options.Metrics.drained),
		constraints: newConstraints(), waiting: newWaitingJobs(),
	}
}

func newCrashWatcher(options Options, pool *upstream.Pool) *crashwatch.Watcher {
	return crashwatch.New(crashwatch.Options{
		View: options.View, Logger: options.Logger, Propose: options.Propose, Probe: crashwatch.ProbeWithDial(pool.Dial),
		OnVerdict: options.Metrics.observeExamined,
	})
}

// Run keeps the routes and targets in step with the view until ctx ends.
func (i *Ingress) Run(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	workers.Go(func() { i.dispatcher.Tick(ctx) })
	workers.Go(func() { i.dispatcher.FollowDigests(ctx, i.options.View) })
	workers.Go(func() { i.followDigests(ctx) })
	workers.Go(func() { i.quotas.follow(ctx, i.options.View, i.options.RequestReport) })
	workers.Go(func() { i.crashes.Run(ctx) })
	workers.Go(func() { i.retainConnections(ctx) })
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

// rebuildPause is how long changes are gathered after a rebuild that took so long: with
// thousands of routes or machines and tens of changes a second, a router would do nothing
// else.
func rebuildPause(took time.Duration) time.Duration {
	return min(rebuildRest*took, maxRebuildPause)
}

// rebuild takes over the view's routes and targets. Only once those of a
// current view are in force does the node serve: a table that is behind the view
// would deny routes that are declared.
func (i *Ingress) rebuild() {
	current := i.options.View.Current() && i.options.View.Declaration() != nil
	if routes, changed := i.options.View.TakeRoutes(); changed {
		i.table.Store(NewTable(routes, i.table.Load()))
		i.logRoutes(len(routes))
	}
	drains := i.options.View.ZoneDrains()
	i.dispatcher.SetWarming(i.permits.warming.machines())
	i.dispatcher.ChangeTargets(time.Now(), i.options.View.TakeTargetChanges())
	i.drains.InForce(time.Now(), drains)
	i.waiting.each((*job).rebind)
	if current && !i.serving.Swap(true) {
		i.servingChange.Notify()
		i.options.Logger.Info("serving", "version", i.options.View.Declaration().Version, "revision", i.options.View.Revision())
	}
}

// logRoutes tells which routes are in force from now on, and how far the view was behind the
// leader's newest digest.
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
			i.permits.limits.retain(i.isKnown)
			i.dispatcher.Retain(i.isKnown)
			i.options.Metrics.leaving.Set(float64(len(i.LeavingMachines())))
			i.options.Metrics.resting.Set(float64(i.dispatcher.RestingMachines()))
		}
	}
}

func (i *Ingress) isKnown(machine string) bool {
	_, known := i.options.View.Machine(machine)
	return known
}

// Resumed drops, after a sleep of this machine, the kept connections, as machines close such as have
// rested for longer than they allow, and what was known of machines that warm up.
func (i *Ingress) Resumed() {
	i.permits.warming.forget()
	i.upstream.Retain(func(string) bool { return false })
}

// Ready reports whether callers should come here.
func (i *Ingress) Ready() bool {
	return !i.stopping.Load() && i.IsConfigured()
}

// IsConfigured reports whether the configuration is at least as new as any that was
// accepted before this node started.
func (i *Ingress) IsConfigured() bool {
	return i.serving.Load()
}

// Drain makes every further answer ask its caller to use another connection.
func (i *Ingress) Drain() {
	i.stopping.Store(true)
}

// Abort answers all that wait, and breaks off what runs: the node is about to be
// gone, and an answer is better than a closed connection.
func (i *Ingress) Abort() {
	i.end()
}

// InFlight returns how many requests have not been answered.
func (i *Ingress) InFlight() int64 {
	return i.inFlight.Load()
}

// Demand returns what this node asks of each model version.
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

// Answers counts how machines have answered this node, for reports.
func (i *Ingress) Answers() map[string]dispatch.ResponseCounts {
	return i.dispatcher.Answers()
}

// LeavingMachines returns the listed machines that stated that they are leaving, for reports.
func (i *Ingress) LeavingMachines() []string {
	return slices.DeleteFunc(i.dispatcher.Leaving(), func(machine string) bool { return !i.isKnown(machine) })
}

// Unreachable returns the machines that this node can't connect to at present.
func (i *Ingress) Unreachable(now time.Time) []string {
	return i.dispatcher.Unreachable(now)
}

func (i *Ingress) routers() int {
	return routersOf(i.options.View)
}

func routersOf(view *nodeview.View) int {
	if routers := view.Digest().GetRouters(); routers > 0 {
		return int(routers)
	}
	return assumedRouters
}

// countFirst counts a request that is sent to a pool for the first time.
func (i *Ingress) countFirst(pool string) {
	i.budgetMutex.Lock()
	defer i.budgetMutex.Unlock()
	i.budget(pool).CountFirstSend(time.Since(i.started))
}

// maySendAgain reports whether a request may be sent to a pool once more.
func (i *Ingress) maySendAgain(pool string) bool {
	i.budgetMutex.Lock()
	defer i.budgetMutex.Unlock()
	return i.budget(pool).Spend(time.Since(i.started), i.routers())
}

func (i *Ingress) budget(pool string) *retrybudget.Budget {
	held := i.budgets[pool]
	if held == nil {
		held = retrybudget.New(i.options.Budget, 0)
		i.budgets[pool] = held
	}
	return held
}

// ServeHTTP implements http.Handler. The path is taken as the caller wrote it:
// a router that cleans paths would change what the machine sees.
func (i *Ingress) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	entry := i.newJob(writer, request)
	i.inFlight.Add(1)
	defer i.inFlight.Add(-1)
	if i.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	entry.serve()
}
