package agent

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/weldline/weldline/api/engine"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/upstream"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	assignInterval = 500 * time.Millisecond
	requestTimeout = 2 * time.Second
	// transitionPoll is the poll interval while a load or unload is in
	// progress. It adds to the latency of every cold start.
	transitionPoll = 20 * time.Millisecond
	maxIdleConns   = 4
)

// Agent manages the machines assigned to one node.
type Agent struct {
	node          string
	zone          string
	view          *nodeview.View
	logger        *slog.Logger
	client        *http.Client
	interval      time.Duration
	requestReport func()

	mutex    sync.Mutex
	watchers map[string]*watcher
}

// watcher polls one machine and sends it orders, on its own goroutine.
type watcher struct {
	agent   *Agent
	machine string
	cancel  context.CancelFunc
	client  *engineClient

	// report and observed are guarded by the agent's mutex. observed is when
	// the report was requested.
	report   *wirepb.MachineReport
	observed time.Time
	refused  RefusedLoads
}

// New returns an agent. It calls requestReport when a change should reach the
// control plane before the next periodic report.
func New(node, zone string, view *nodeview.View, logger *slog.Logger, interval time.Duration, requestReport func()) *Agent {
	transport := upstream.NewTransport(nil)
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = maxIdleConns, time.Minute
	return &Agent{
		node: node, zone: zone, view: view, logger: logger, interval: interval, requestReport: requestReport,
		client:   &http.Client{Timeout: requestTimeout, Transport: transport},
		watchers: map[string]*watcher{},
	}
}

// Run keeps one watcher running per assigned machine until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	ticker := time.NewTicker(assignInterval)
	defer ticker.Stop()
	for {
		changed := a.view.Changed()
		a.assign(ctx, &workers)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
			a.debounce(ctx)
		}
	}
}

// debounce limits how often a burst of view changes triggers a reassignment.
func (a *Agent) debounce(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(transitionPoll):
	}
}

func (a *Agent) assign(ctx context.Context, workers *sync.WaitGroup) {
	assignment := NewAssignment(a.view.Digest().GetRoster().GetNodes())
	assigned := map[string]nodeview.Machine{}
	a.view.EachMachine(func(name string, machine nodeview.Machine) {
		zone := machine.Spec.Zone
		if assignment.mayManage(a.zone, zone) && assignment.AgentOf(name, zone) == a.node {
			assigned[name] = machine
		}
	})
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for name, existing := range a.watchers {
		machine, isAssigned := assigned[name]
		if !isAssigned || machine.Spec.Endpoint != existing.client.endpoint {
			existing.cancel()
			delete(a.watchers, name)
		}
	}
	for name, machine := range assigned {
		if a.watchers[name] != nil {
			continue
		}
		watcherContext, cancel := context.WithCancel(ctx)
		created := &watcher{
			agent: a, machine: name, cancel: cancel, refused: RefusedLoads{},
			client: &engineClient{client: a.client, endpoint: machine.Spec.Endpoint},
		}
		a.watchers[name] = created
		workers.Go(func() { created.run(watcherContext) })
	}
}

// Reports returns the latest report of each assigned machine.
func (a *Agent) Reports(now time.Time) []*wirepb.MachineReport {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	reports := make([]*wirepb.MachineReport, 0, len(a.watchers))
	for _, existing := range a.watchers {
		if existing.report == nil {
			continue
		}
		existing.report.AgeMs = uint32(now.Sub(existing.observed).Milliseconds())
		reports = append(reports, CopyReport(existing.report))
	}
	return reports
}

// CopyReport returns a shallow copy of a report. Its slices are shared and must
// not be modified.
func CopyReport(report *wirepb.MachineReport) *wirepb.MachineReport {
	return &wirepb.MachineReport{
		Machine: report.GetMachine(), Incarnation: report.GetIncarnation(), Reachable: report.GetReachable(),
		Replicas: report.GetReplicas(), Checkpoints: report.GetCheckpoints(),
		Running: report.GetRunning(), Queued: report.GetQueued(), Fence: report.GetFence(), AgeMs: report.GetAgeMs(),
	}
}

func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		revision := w.agent.view.DecisionRevision(w.machine)
		delay := w.reconcile(ctx)
		w.wait(ctx, delay, revision)
	}
}

// wait returns after a delay, or earlier when a decision for this machine
// changes. Changes for other machines are ignored, since reacting to each would
// poll every engine in the cluster.
func (w *watcher) wait(ctx context.Context, delay time.Duration, revision uint64) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		changed := w.agent.view.Changed()
		if w.agent.view.DecisionRevision(w.machine) != revision {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

// reconcile polls the engine, sends the orders that are due, and returns the
// delay until the next call.
func (w *watcher) reconcile(ctx context.Context) time.Duration {
	requestedAt := time.Now()
	report, err := w.client.report(ctx)
	if err != nil {
		if ctx.Err() == nil {
			w.publishUnreachable(requestedAt)
		}
		return w.agent.interval
	}
	replicas, revision := w.agent.view.ReplicasOn(w.machine)
	orders := Orders(replicas, revision, report)
	if w.sendOrders(ctx, orders) > 0 {
		requestedAt = time.Now()
		if updated, err := w.client.report(ctx); err == nil {
			report = updated
		}
	}
	w.publish(report, requestedAt)
	return w.nextDelay(report)
}

// sendOrders sends orders one at a time and returns how many were accepted. It
// stops at the first one without an answer: later orders have higher fences, and
// accepting them would make the engine refuse a retry of this one.
func (w *watcher) sendOrders(ctx context.Context, orders []engine.Order) int {
	accepted := 0
	for _, order := range orders {
		if w.refused.Contains(order) {
			continue
		}
		result, err := w.client.order(ctx, order)
		if err != nil {
			w.agent.logger.Warn("order_unanswered", "machine", w.machine, "replica", order.Replica, "error", fault.Message(err))
			return accepted
		}
		if result.Accepted {
			accepted++
			continue
		}
		w.agent.logger.Warn("order_refused", "machine", w.machine, "replica", order.Replica,
			"kind", string(order.Kind), "reason", result.Reason)
		w.refused.Record(order, time.Now())
	}
	return accepted
}

// nextDelay returns the report interval, shortened while the engine loads or
// unloads a replica. A load is polled again when its estimated time has passed.
func (w *watcher) nextDelay(report *engine.Report) time.Duration {
	delay := w.agent.interval
	for _, replica := range report.Replicas {
		switch replica.Phase {
		case engine.PhaseUnloading:
			delay = min(delay, transitionPoll)
		case engine.PhaseLoading:
			remaining := time.Duration(replica.RemainingMillis) * time.Millisecond
			delay = min(delay, max(remaining, transitionPoll))
		}
	}
	return delay
}

func (w *watcher) publishUnreachable(requestedAt time.Time) {
	w.agent.mutex.Lock()
	defer w.agent.mutex.Unlock()
	w.report = &wirepb.MachineReport{Machine: w.machine}
	w.observed = requestedAt
}

func (w *watcher) publish(report *engine.Report, requestedAt time.Time) {
	message := MachineReport(w.machine, report, w.refused, requestedAt)
	w.agent.mutex.Lock()
	isUrgent := needsImmediateReport(w.report, message)
	w.report = message
	w.observed = requestedAt
	w.agent.mutex.Unlock()
	if isUrgent {
		w.agent.requestReport()
	}
}
