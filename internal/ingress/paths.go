package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/paths"
	"github.com/weldline/weldline/internal/tcpopt"
	"github.com/weldline/weldline/internal/upstream"
)

// pathMonitor tracks which machines this router can reach. It is safe for concurrent use.
type pathMonitor struct {
	options Options
	pool    *upstream.Pool
	// publish is called with the machines without a path, and whether no path works, after each change.
	publish func(unreachable map[string]bool, isolated bool)
	// wake ends the monitor's rest.
	wake chan struct{}

	mutex   sync.Mutex
	tracker *paths.Tracker
	silence paths.Silence
}

func newPathMonitor(options Options, pool *upstream.Pool, publish func(unreachable map[string]bool, isolated bool)) *pathMonitor {
	return &pathMonitor{options: options, pool: pool, publish: publish, tracker: paths.NewTracker(), wake: make(chan struct{}, 1)}
}

// isIsolated reports whether no path seems to work.
func (m *pathMonitor) isIsolated() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.tracker.IsIsolated()
}

func (m *pathMonitor) setMachines(listed map[string]bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.tracker.SetMachines(listed)
}

// sent records a request that is about to be written. It must be followed by a call of ended.
func (m *pathMonitor) sent() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.active() {
		m.wakeUp()
	}
	m.silence.Sent(time.Now())
}

// active reports whether the monitor has anything to watch. The mutex must be held.
func (m *pathMonitor) active() bool {
	return m.silence.InFlight() > 0 || m.tracker.IsIsolated() || m.tracker.AnyDown()
}

func (m *pathMonitor) ended() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.silence.Ended()
}

// notConnected records that no connection to a machine could be opened.
func (m *pathMonitor) notConnected(machine string) {
	m.update(machine, func(now time.Time) paths.Change { return m.tracker.Failed(now, machine, paths.FailureConnect) })
}

// broke records that a connection to a machine broke.
func (m *pathMonitor) broke(machine string, err error) {
	failure := paths.FailureBroken
	if tcpopt.IsUnacknowledged(err) {
		failure = paths.FailureConnect
	}
	m.update(machine, func(now time.Time) paths.Change { return m.tracker.Failed(now, machine, failure) })
}

// update applies an event and logs the transitions that it causes.
func (m *pathMonitor) update(machine string, apply func(now time.Time) paths.Change) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	change := apply(time.Now())
	if change == (paths.Change{}) {
		return
	}
	m.logChange(machine, change)
	unreachable := map[string]bool{}
	for _, down := range m.tracker.Down() {
		unreachable[down] = true
	}
	m.options.Metrics.setPaths(len(unreachable), m.tracker.IsIsolated())
	m.publish(unreachable, m.tracker.IsIsolated())
	if change.BecameIsolated {
		m.pool.DropIdle() // Requests on connections that died with the paths may not be repeated.
	}
	m.wakeUp()
}

func (m *pathMonitor) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *pathMonitor) logChange(machine string, change paths.Change) {
	logger := m.options.Logger
	if change.WentDown {
		logger.Warn("machine_unreachable", "machine", machine)
	}
	if change.CameUp {
		logger.Info("machine_reachable", "machine", machine, "after_ms", change.Duration.Milliseconds())
	}
	if change.BecameIsolated {
		logger.Warn("router_isolated", "unreachable", len(m.tracker.Down()))
	}
	if change.Reconnected {
		logger.Info("router_reconnected", "machine", machine, "after_ms", change.Duration.Milliseconds())
	}
}

// machineConnection observes a connection to a machine.
type machineConnection struct {
	monitor *pathMonitor
	machine string
	opened  time.Time
}

func (m *pathMonitor) observe(machine string, response *upstream.Response) connectionObserver {
	return machineConnection{monitor: m, machine: machine, opened: response.ConnectedAt}
}

func (c machineConnection) received() {
	c.monitor.update(c.machine, func(now time.Time) paths.Change {
		c.monitor.silence.Received(now)
		return c.monitor.tracker.Contact(now, c.machine, c.opened)
	})
}

func (c machineConnection) broke(err error) { c.monitor.broke(c.machine, err) }

// monitorInterval is the interval of checks for due probes and silence.
const monitorInterval = 100 * time.Millisecond

// run probes paths that are down or in doubt until ctx is done.
func (m *pathMonitor) run(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		due, silent, next := m.check(time.Now())
		for _, machine := range due {
			probes.Go(func() { m.probe(ctx, machine) })
		}
		if len(silent) > 0 {
			probes.Go(func() { m.checkSilence(ctx, silent) })
		}
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		case <-next:
		}
	}
}

// check returns the machines to probe now, those to try because all are silent, and when to check again;
// never if there is nothing to watch.
func (m *pathMonitor) check(now time.Time) (due, silent []string, next <-chan time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.active() {
		return nil, nil, nil
	}
	due = m.tracker.StartProbes(now)
	if !m.tracker.IsIsolated() && m.silence.StartCheck(now) {
		silent = m.tracker.Sample()
	}
	return due, silent, time.After(monitorInterval)
}

// checkSilence connects to one machine and, if that fails, to the others.
func (m *pathMonitor) checkSilence(ctx context.Context, machines []string) {
	if m.probe(ctx, machines[0]) {
		return
	}
	var others sync.WaitGroup
	for _, machine := range machines[1:] {
		others.Go(func() { m.probe(ctx, machine) })
	}
	others.Wait()
}

// probe opens a connection to a machine and records the result.
func (m *pathMonitor) probe(ctx context.Context, machine string) (connected bool) {
	started := time.Now()
	err := m.connect(ctx, machine)
	if ctx.Err() != nil {
		return false
	}
	m.update(machine, func(now time.Time) paths.Change { return m.tracker.EndProbe(now, machine, started, err == nil) })
	return err == nil
}

func (m *pathMonitor) connect(ctx context.Context, machine string) error {
	listed, known := m.options.View.Machine(machine)
	if !known {
		return fault.Unavailable.New("machine %s is not listed", machine)
	}
	return m.pool.Probe(ctx, machine, upstream.AddressOf(listed.Spec.Endpoint))
}
