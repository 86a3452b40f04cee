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

	mutex   sync.Mutex
	tracker *paths.Tracker
	silence paths.Silence
}

func newPathMonitor(options Options, pool *upstream.Pool) *pathMonitor {
	return &pathMonitor{options: options, pool: pool, tracker: paths.NewTracker()}
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
	m.silence.Sent(time.Now())
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
	m.options.Metrics.setPaths(len(m.tracker.Down()), m.tracker.IsIsolated())
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
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, machine := range m.startProbes() {
			probes.Go(func() { m.probe(ctx, machine) })
		}
	}
}

func (m *pathMonitor) startProbes() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.tracker.StartProbes(time.Now())
}

// probe opens a connection to a machine and records the result.
func (m *pathMonitor) probe(ctx context.Context, machine string) {
	started := time.Now()
	err := m.connect(ctx, machine)
	if ctx.Err() != nil {
		return
	}
	m.update(machine, func(now time.Time) paths.Change { return m.tracker.EndProbe(now, machine, started, err == nil) })
}

func (m *pathMonitor) connect(ctx context.Context, machine string) error {
	listed, known := m.options.View.Machine(machine)
	if !known {
		return fault.Unavailable.New("machine %s is not listed", machine)
	}
	return m.pool.Probe(ctx, machine, upstream.AddressOf(listed.Spec.Endpoint))
}
