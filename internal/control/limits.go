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

// machineLimits are the limits of machines as far as this control node knows, for concurrent use. A
// node that does not lead learns of them, too, by digests and by the reports that it passes on: the
// next leader should not begin without them.
type machineLimits struct {
	mutex  sync.Mutex
	limits *ratelimit.Limits
}

func newMachineLimits() *machineLimits {
	return &machineLimits{limits: ratelimit.New()}
}

func (m *machineLimits) takeTold(now time.Duration, told ratelimit.Told) ratelimit.Change {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.limits.TakeTold(now, told)
}

func (m *machineLimits) of(machine string) ratelimit.Limit {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.limits.Of(machine)
}

// tellAll returns what other nodes are to hear of the machines that are listed, and forgets the
// others.
func (m *machineLimits) tellAll(now time.Duration, isListed func(machine string) bool) []ratelimit.Told {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.limits.Retain(isListed)
	return m.limits.TellAll(now)
}

// takeLimits takes what a router, or a leader, tells of machines' limits. A machine whose limit is new
// got requests without permits until now.
func (n *Node) takeLimits(messages []*wirepb.MachineLimit, by string) {
	for _, told := range nodeview.ToldLimits(messages) {
		change := n.limits.takeTold(n.now(), told)
		if !change.IsNews() {
			continue
		}
		if term := n.permits.Load(); term != nil && !change.Before.IsSet {
			term.empty(n.now(), []string{change.Machine})
		}
		n.logger.Info("machine_limit", change.LogFields(by)...)
		n.wakeLeader()
	}
}

// tellLimits returns what is known of the limits of the machines that are declared.
func (n *Node) tellLimits() (told []ratelimit.Told) {
	n.Read(func(machine *state.Machine) {
		told = n.limits.tellAll(n.now(), func(name string) bool { return machine.Spec(v1.KindMachine, name) != nil })
	})
	return told
}
