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
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	assignInterval = 500 * time.Millisecond
	requestTimeout = 2 * time.Second
	// transitionPoll is the pause between reports while a load or unload is
	// under way: it adds to every cold start.
	transitionPoll = 20 * time.Millisecond
	maxIdleConns   = 4
)

// Agent watches over the machines assigned to one node.
type Agent struct {
	node     string
	zone     string
	view     *nodeview.View
	logger   *slog.Logger
	client   *http.Client
	interval time.Duration
	nudge    func()

	mutex    sync.Mutex
	watchers map[string]*watcher
}

// watcher is the goroutine of one machine.
type watcher struct {
	agent   *Agent
	machine string
	cancel  context.CancelFunc
	client  *engineClient

	// report is the newest answer; observed is when it came.
	report   *wirepb.MachineReport
	observed time.Time
	refused  RefusedLoads
}

// New returns an agent; nudge asks for a report to the control plane soon.
func New(node, zone string, view *nodeview.View, logger *slog.Logger, interval time.Duration, nudge func()) *Agent {
	return &Agent{
		node: node, zone: zone, view: view, logger: logger, interval: interval, nudge: nudge,
		client: &http.Client{
			Timeout:   requestTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute},
		},
		watchers: map[string]*watcher{},
	}
}

// Run keeps one watcher for each assigned machine until ctx ends.
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
			a.pause(ctx)
		}
	}
}

// pause bounds how often a stream of changes makes the agent look.
func (a *Agent) pause(ctx context.Context) {
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
		if assignment.mayWatch(a.zone, zone) && assignment.AgentOf(name, zone) == a.node {
			assigned[name] = machine
		}
	})
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for name, held := range a.watchers {
		machine, still := assigned[name]
		if !still || machine.Spec.Endpoint != held.client.endpoint {
			held.cancel()
			delete(a.watchers, name)
		}
	}
	for name, machine := range assigned {
		if a.watchers[name] != nil {
			continue
		}
		watcherContext, cancel := context.WithCancel(ctx)
		started := &watcher{
			agent: a, machine: name, cancel: cancel, refused: RefusedLoads{},
			client: &engineClient{client: a.client, endpoint: machine.Spec.Endpoint},
		}
		a.watchers[name] = started
		workers.Go(func() { started.run(watcherContext) })
	}
}

// Reports returns the newest report on each assigned machine.
func (a *Agent) Reports(now time.Time) []*wirepb.MachineReport {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	reports := make([]*wirepb.MachineReport, 0, len(a.watchers))
	for _, held := range a.watchers {
		if held.report == nil {
			continue
		}
		held.report.AgeMs = uint32(now.Sub(held.observed).Milliseconds())
		reports = append(reports, CopyReport(held.report))
	}
	return reports
}

// CopyReport copies a report, whose parts must not be changed.
func CopyReport(report *wirepb.MachineReport) *wirepb.MachineReport {
	return &wirepb.MachineReport{
		Machine: report.GetMachine(), Incarnation: report.GetIncarnation(), Reachable: report.GetReachable(),
		Replicas: report.GetReplicas(), Checkpoints: report.GetCheckpoints(),
		Running: report.GetRunning(), Queued: report.GetQueued(), Fence: report.GetFence(), AgeMs: report.GetAgeMs(),
	}
}

func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		decided := w.agent.view.DecisionRevision(w.machine)
		pause := w.cycle(ctx)
		w.wait(ctx, pause, decided)
	}
}

// wait returns after a pause, or once something was decided for the machine.
// Changes that concern other machines don't end it: at the target size there
// are several a second, and each would cost a report from every engine.
func (w *watcher) wait(ctx context.Context, pause time.Duration, decided uint64) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		changed := w.agent.view.Changed()
		if w.agent.view.DecisionRevision(w.machine) != decided {
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

// cycle asks for a report, gives the orders that are due, and returns how
// long to wait before the next.
func (w *watcher) cycle(ctx context.Context) time.Duration {
	asked := time.Now()
	report, err := w.client.report(ctx)
	if err != nil {
		if ctx.Err() == nil {
			w.unreachable(asked)
		}
		return w.agent.interval
	}
	replicas, revision := w.agent.view.ReplicasOn(w.machine)
	orders := Orders(replicas, revision, report)
	if w.give(ctx, orders) > 0 {
		asked = time.Now()
		if again, err := w.client.report(ctx); err == nil {
			report = again
		}
	}
	w.publish(report, asked)
	return w.pauseFor(report)
}

// give sends orders one by one. One that got no answer ends the round: those
// behind it have higher fences and would shut it out.
func (w *watcher) give(ctx context.Context, orders []engine.Order) int {
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

// pauseFor asks again soon while something is under way, and at the end of a
// load that the engine can foresee.
func (w *watcher) pauseFor(report *engine.Report) time.Duration {
	pause := w.agent.interval
	for _, replica := range report.Replicas {
		switch replica.Phase {
		case engine.PhaseUnloading:
			pause = min(pause, transitionPoll)
		case engine.PhaseLoading:
			remaining := time.Duration(replica.RemainingMillis) * time.Millisecond
			pause = min(pause, max(remaining, transitionPoll))
		}
	}
	return pause
}

func (w *watcher) unreachable(asked time.Time) {
	w.agent.mutex.Lock()
	defer w.agent.mutex.Unlock()
	w.report = &wirepb.MachineReport{Machine: w.machine}
	w.observed = asked
}

func (w *watcher) publish(report *engine.Report, asked time.Time) {
	message := MachineReport(w.machine, report, w.refused, asked)
	w.agent.mutex.Lock()
	urgent := differs(w.report, message)
	w.report = message
	w.observed = asked
	w.agent.mutex.Unlock()
	if urgent {
		w.agent.nudge()
	}
}
