package ingress

import (
	"sync"
	"time"

	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/ratelimit"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// machineLimits are the limits of machines as far as this node knows.
type machineLimits struct {
	options Options

	// onChange is called with the limits in force where one has changed.
	onChange func(map[string]ratelimit.Limit)

	mutex  sync.Mutex
	limits *ratelimit.Limits
}

func newMachineLimits(options Options, onChange func(map[string]ratelimit.Limit)) *machineLimits {
	return &machineLimits{options: options, onChange: onChange, limits: ratelimit.New()}
}

// of returns what is known of a machine's limit, where it names one.
func (m *machineLimits) of(machine string) (told ratelimit.Told, isLimited bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	told, known := m.limits.Tell(m.options.Now(), machine)
	return told, known && told.Limit.IsSet
}

// MachineLimits are what this node knows of the limits of machines, for reports.
func (i *Ingress) MachineLimits() []*wirepb.MachineLimit {
	known := i.permits.limits
	known.mutex.Lock()
	defer known.mutex.Unlock()
	return nodeview.LimitMessages(known.limits.TellAll(known.options.Now()))
}

// takeDigest takes what a leader's digest tells of machines' limits.
func (m *machineLimits) takeDigest(digest *wirepb.ClusterDigest) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.options.Now()
	for _, told := range nodeview.ToldLimits(digest.GetLimits()) {
		m.note(m.limits.TakeTold(now, told), "digest")
	}
}

// take takes what a machine said in an answer to a request that was sent at a time.
// It reports whether that is news.
func (m *machineLimits) take(machine string, limit ratelimit.Limit, sent time.Duration) (isNews bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	change := m.limits.Take(machine, ratelimit.Statement{Limit: limit, Sent: sent, Heard: m.options.Now()})
	m.note(change, "answer")
	return change.IsNews()
}

// retain forgets the machines that are gone.
func (m *machineLimits) retain(isListed func(machine string) bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.limits.Retain(isListed)
	m.publish()
}

// publish tells of the limits in force; the mutex must be held.
func (m *machineLimits) publish() {
	set := m.limits.Set()
	m.options.Metrics.limited.Set(float64(len(set)))
	m.onChange(set)
}

// note tells of a change; the mutex must be held.
func (m *machineLimits) note(change ratelimit.Change, by string) {
	if !change.IsNews() {
		return
	}
	m.publish()
	m.options.Logger.Info("machine_limit", change.LogFields(by)...)
}
