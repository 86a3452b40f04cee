package ingress

import (
	"sync"
	"time"

	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/ratelimit"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// machineLimits holds the known rate limits of machines. It is safe for concurrent use.
type machineLimits struct {
	options Options

	// onChange is called with all limits after one has changed.
	onChange func(map[string]ratelimit.Limit)

	mutex  sync.Mutex
	limits *ratelimit.Limits
}

func newMachineLimits(options Options, onChange func(map[string]ratelimit.Limit)) *machineLimits {
	return &machineLimits{options: options, onChange: onChange, limits: ratelimit.New()}
}

// lookup returns a machine's limit, if it has one.
func (m *machineLimits) lookup(machine string) (observed ratelimit.Observation, isLimited bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	observed, known := m.limits.Lookup(m.options.Now(), machine)
	return observed, known && observed.Limit.IsSet
}

// MachineLimits returns the known rate limits of machines, for reports.
func (i *Ingress) MachineLimits() []*wirepb.MachineLimit {
	limits := i.permits.limits
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	return nodeview.LimitMessages(limits.limits.Snapshot(limits.options.Now()))
}

// applyDigest merges the limits of a leader's digest.
func (m *machineLimits) applyDigest(digest *wirepb.ClusterDigest) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.options.Now()
	for _, observed := range nodeview.LimitObservations(digest.GetLimits()) {
		m.recordChange(m.limits.Merge(now, observed), "digest")
	}
}

// observe records the limit in the response to a request sent at the given time. It reports whether
// the machine's limit has changed.
func (m *machineLimits) observe(machine string, limit ratelimit.Limit, sent time.Duration) (changed bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	change := m.limits.Observe(machine, ratelimit.Statement{Limit: limit, Sent: sent, Received: m.options.Now()})
	m.recordChange(change, "answer")
	return change.Changed()
}

// retain drops all machines that are not listed.
func (m *machineLimits) retain(isListed func(machine string) bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.limits.Retain(isListed)
	m.publish()
}

// publish reports the limits to the metrics and to onChange. The mutex must be held.
func (m *machineLimits) publish() {
	set := m.limits.Active()
	m.options.Metrics.limited.Set(float64(len(set)))
	m.onChange(set)
}

// recordChange publishes and logs a change. The mutex must be held.
func (m *machineLimits) recordChange(change ratelimit.Change, source string) {
	if !change.Changed() {
		return
	}
	m.publish()
	m.options.Logger.Info("machine_limit", change.LogFields(source)...)
}
