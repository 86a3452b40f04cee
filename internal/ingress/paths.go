package ingress

import (
	"context"
	"slices"
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
	// askRouters returns those of some machines that respond to another router.
	askRouters func(ctx context.Context, machines []string) (responding []string)
	// wake ends the monitor's rest.
	wake chan struct{}

	mutex   sync.Mutex
	tracker *paths.Tracker
	silence paths.Silence
}

func newPathMonitor(options Options, pool *upstream.Pool, publish func(unreachable map[string]bool, isolated bool), askRouters func(context.Context, []string) []string) *pathMonitor {
	return &pathMonitor{options: options, pool: pool, publish: publish, askRouters: askRouters, tracker: paths.NewTracker(), wake: make(chan struct{}, 1)}
}

// isIsolated reports whether no path seems to work.
func (m *pathMonitor) isIsolated() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.tracker.IsIsolated()
}

// status reports whether no path seems to work, and whether one is known to.
func (m *pathMonitor) status() (isolated, connected bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.tracker.IsIsolated(), m.tracker.IsConnected(time.Now())
}

// listed returns up to count random machines.
func (m *pathMonitor) listed(count int) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.tracker.Listed(count)
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
	return m.silence.InFlight() > 0 || m.tracker.IsIsolated() || m.tracker.IsInDoubt() || m.tracker.AnyDown()
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
	wasInDoubt := m.tracker.IsInDoubt()
	change := apply(time.Now())
	if !wasInDoubt && m.tracker.IsInDoubt() || m.tracker.IsSuspected() {
		m.wakeUp()
	}
	if change == (paths.Change{}) {
		return
	}
	m.logChange(machine, change)
	unreachable := m.tracker.Down()
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
	if !m.tracker.IsIsolated() && m.silence.StartCheck(now, m.tracker.IsInDoubt()) {
		silent = m.tracker.Sample()
	}
	return due, silent, time.After(monitorInterval)
}

// probeResult is what a probe found.
type probeResult int

const (
	// probeUnconnected: no connection could be opened.
	probeUnconnected probeResult = iota
	// probeUnanswered: a connection was opened, and nothing came back on it; or this node was late to open it.
	probeUnanswered
	probeAnswered
)

// checkSilence probes one machine and, if that fails, the others. Machines that accept connections and don't
// respond may be paused, or the paths to them carry nothing; if another router gets responses from them it is
// the paths.
func (m *pathMonitor) checkSilence(ctx context.Context, machines []string) {
	started := time.Now()
	if m.probeSilent(ctx, machines[0], started) == probeAnswered {
		return
	}
	unanswered := []string{machines[0]}
	var mutex sync.Mutex
	var others sync.WaitGroup
	for _, machine := range machines[1:] {
		others.Go(func() {
			if m.probeSilent(ctx, machine, started) != probeAnswered {
				mutex.Lock()
				defer mutex.Unlock()
				unanswered = append(unanswered, machine)
			}
		})
	}
	others.Wait()
	if len(unanswered) < len(machines) || ctx.Err() != nil {
		return
	}
	// The machines may have been paused until just now, so what responds elsewhere is probed once more.
	elsewhere := m.askRouters(ctx, unanswered)
	here := m.responding(ctx, elsewhere)
	if ctx.Err() != nil {
		return
	}
	for _, machine := range elsewhere {
		if !slices.Contains(here, machine) {
			m.recordProbe(ctx, machine, started, probeUnconnected)
		}
	}
}

// probeSilent probes a machine and records the result, unless only its response is missing.
func (m *pathMonitor) probeSilent(ctx context.Context, machine string, started time.Time) probeResult {
	result := m.exchange(ctx, machine)
	if result != probeUnanswered {
		m.recordProbe(ctx, machine, started, result)
	}
	return result
}

// probe probes the path to a machine that is down, and records the result.
func (m *pathMonitor) probe(ctx context.Context, machine string) {
	started := time.Now()
	m.recordProbe(ctx, machine, started, m.exchange(ctx, machine))
}

// recordProbe records the result of a probe, unless it was ended from this side.
func (m *pathMonitor) recordProbe(ctx context.Context, machine string, started time.Time, result probeResult) {
	if ctx.Err() != nil {
		return
	}
	m.update(machine, func(now time.Time) paths.Change {
		return m.tracker.EndProbe(now, machine, started, result == probeAnswered)
	})
}

// probeTimeout bounds a probe, including its connection.
const probeTimeout = 400 * time.Millisecond

// exchange sends a probe to a machine.
func (m *pathMonitor) exchange(ctx context.Context, machine string) probeResult {
	listed, known := m.options.View.Machine(machine)
	if !known {
		return probeUnconnected
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	connected, err := m.pool.Probe(ctx, machine, upstream.AddressOf(listed.Spec.Endpoint), m.options.Translator.ProbeTarget())
	switch {
	case err == nil:
		return probeAnswered
	case connected || fault.Is(err, fault.Late):
		return probeUnanswered
	}
	return probeUnconnected
}
