package control

import (
	"sync"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/ratelimit"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// machineLimits holds the rate limits of machines that this control node knows. It is safe for
// concurrent use. Followers learn limits from digests and from the reports that they forward, so that a
// new leader starts with them.
type machineLimits struct {
	mutex  sync.Mutex
	limits *ratelimit.Limits
}

func newMachineLimits() *machineLimits {
	return &machineLimits{limits: ratelimit.New()}
}

func (m *machineLimits) merge(now time.Duration, observed ratelimit.Observation) ratelimit.Change {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.limits.Merge(now, observed)
}

func (m *machineLimits) of(machine string) ratelimit.Limit {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.limits.Get(machine)
}

// snapshot returns the observations of the listed machines, and forgets the others.
func (m *machineLimits) snapshot(now time.Duration, isListed func(machine string) bool) []ratelimit.Observation {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.limits.Retain(isListed)
	return m.limits.Snapshot(now)
}

// mergeLimits records the observations of a router or a leader. The token bucket of a machine whose limit is
// new starts empty, as it has received requests without permits until now.
func (n *Node) mergeLimits(messages []*wirepb.MachineLimit, source string) {
	for _, observed := range nodeview.LimitObservations(messages) {
		change := n.limits.merge(n.now(), observed)
		if !change.Changed() {
			continue
		}
		if term := n.permits.Load(); term != nil && !change.Before.IsSet {
			term.empty(n.now(), []string{change.Machine})
		}
		n.logger.Info("machine_limit", change.LogFields(source)...)
		n.wakeLeader()
	}
}

// limitSnapshot returns the limits of the declared machines.
func (n *Node) limitSnapshot() (observed []ratelimit.Observation) {
	n.Read(func(machine *state.Machine) {
		observed = n.limits.snapshot(n.now(), func(name string) bool { return machine.Spec(v1.KindMachine, name) != nil })
	})
	return observed
}
