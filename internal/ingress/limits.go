package ingress

import (
	"sync"
	"time"

	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/ratelimit"
)

// machineLimits are the limits of machines as far as this node knows.
type machineLimits struct {
	options Options

	mutex  sync.Mutex
	limits *ratelimit.Limits
}

func newMachineLimits(options Options) *machineLimits {
	return &machineLimits{options: options, limits: ratelimit.New()}
}

// take takes what a machine said in an answer to a request that was sent at a time.
func (m *machineLimits) take(machine string, limit ratelimit.Limit, sent time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.note(m.limits.Take(machine, ratelimit.Statement{Limit: limit, Sent: sent, Heard: m.options.Now()}), "answer")
}

// retain forgets the machines that are gone.
func (m *machineLimits) retain(isListed func(machine string) bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.limits.Retain(isListed)
	m.options.Metrics.limited.Set(float64(len(m.limits.Set())))
}

// note tells of a change; the mutex must be held.
func (m *machineLimits) note(change ratelimit.Change, by string) {
	if !change.IsNews() {
		return
	}
	m.options.Metrics.limited.Set(float64(len(m.limits.Set())))
	m.options.Logger.Info("machine_limit", "machine", change.Machine, "limited", change.After.IsSet, "per_second", change.After.PerSecond,
		"was_limited", change.Before.IsSet, "per_second_before", change.Before.PerSecond, "by", by)
}

// noteLimit takes what the head of an answer says of the machine's limit. An answer that is not the
// machine's own, or not to this request, says nothing of it.
func (j *job) noteLimit(grant *dispatch.Grant, verdict Verdict) {
	if !verdict.Own || !verdict.Genuine && !verdict.NotRun {
		return
	}
	if verdict.LimitError != nil {
		// It stands no longer than an answer without a limit would let it.
		j.ingress.options.Metrics.invalidLimits.Inc()
		j.log("invalid_limit", "machine", grant.Target.Machine, "error", fault.Message(verdict.LimitError))
	}
	j.ingress.limits.take(grant.Target.Machine, verdict.Limit, j.written)
}
