package control

import (
	"context"
	"sync"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/permits"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// termPermits are the permits of one term, for concurrent use.
type termPermits struct {
	term    uint64
	mutex   sync.Mutex
	buckets *permits.Buckets
}

func newTermPermits(term uint64, now time.Duration) *termPermits {
	return &termPermits{term: term, buckets: permits.New(now)}
}

func (t *termPermits) take(now time.Duration, machine string, pace permits.BucketConfig) permits.Decision {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.buckets.Take(now, machine, pace)
}

func (t *termPermits) empty(now time.Duration, machines []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, machine := range machines {
		t.buckets.Empty(now, machine)
	}
}

// Permit implements feed.Backend: it carries the question to the leader. It does not wait for
// one: a permit that comes late is of no use.
func (n *Node) Permit(ctx context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
	status := n.status.Load()
	if status.Leader == status.ID {
		return n.localPermit(request)
	}
	link := n.peers.link(status.Leader)
	if link == nil {
		return nil, fault.Unavailable.New("there is no leader")
	}
	answer, err := link.call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_PermitRequest{PermitRequest: request}})
	if err != nil {
		return nil, err
	}
	return answer.GetPermitReply(), nil
}

// localPermit answers as leader. The lease is checked after the token was taken: had another
// leader begun to give out permits before, the check would fail.
func (n *Node) localPermit(request *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
	term := n.permits.Load()
	if term == nil {
		return nil, errNoLease()
	}
	pace, isPaced := n.paceOf(request)
	if !isPaced {
		return &wirepb.PermitReply{Granted: true}, nil
	}
	decision := term.take(n.now(), request.GetMachine(), pace)
	if status := n.status.Load(); status.Term != term.term || !status.LeaseHeld(n.now()) {
		return nil, errNoLease()
	}
	n.metrics.observePermit(decision.Granted)
	return &wirepb.PermitReply{Granted: decision.Granted, RetryAfterMs: uint32(decision.RetryAfter.Milliseconds())}, nil
}

// paceOf returns the pace of the machine that a permit is asked for. There is none where its limit,
// for which alone the router asks, has ended by what this node was told since.
func (n *Node) paceOf(request *wirepb.PermitRequest) (pace permits.BucketConfig, isPaced bool) {
	machine := request.GetMachine()
	if limit := request.GetLimit(); limit != nil {
		n.mergeLimits([]*wirepb.MachineLimit{limit}, "permit")
	}
	limit := n.limits.of(machine)
	if request.GetLimitOnly() {
		return limit.BucketConfig(), limit.IsSet
	}
	pace = n.settings.Warming.Bound().BucketConfig(n.rateWhileWarming(machine))
	if limit.IsSet {
		pace = pace.Min(limit.BucketConfig())
	}
	return pace, true
}

// permitLocally is localPermit as a feed.PermitFunc, for control nodes that pass a question on.
func (n *Node) permitLocally(_ context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
	return n.localPermit(request)
}

func errNoLease() error {
	return fault.Unavailable.New("this node holds no lease")
}

// rateWhileWarming returns how many requests a second a machine bears while it warms up, by its
// pool. It is 0, for which nothing is permitted, where the log has no such machine or pool (any
// more). That is a refusal and no error: after an error a router asks for no machine for a while.
func (n *Node) rateWhileWarming(name string) (perSecond float64) {
	n.Read(func(machine *state.Machine) {
		spec, known := machine.Spec(v1.KindMachine, name).(*v1.MachineSpec)
		if !known {
			return
		}
		pool, known := machine.Spec(v1.KindPool, spec.Pool).(*v1.PoolSpec)
		if known && pool.Warming != nil {
			perSecond = pool.Warming.RequestsPerSecond
		}
	})
	return perSecond
}
