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

// termPermits holds the token buckets of one term, for concurrent use.
type termPermits struct {
	term    uint64
	mutex   sync.Mutex
	buckets *permits.Buckets
}

func newTermPermits(term uint64, now time.Duration) *termPermits {
	return &termPermits{term: term, buckets: permits.New(now)}
}

func (t *termPermits) take(now time.Duration, machine string, bucket permits.BucketConfig) permits.Decision {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.buckets.Take(now, machine, bucket)
}

func (t *termPermits) empty(now time.Duration, machines []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, machine := range machines {
		t.buckets.Empty(now, machine)
	}
}

// Permit implements feed.Backend: it forwards the request to the leader. It does not wait for a
// leader to be elected, since a late permit is useless.
func (n *Node) Permit(ctx context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
	status := n.status.Load()
	if status.Leader == status.ID {
		return n.localPermit(request)
	}
	link := n.peers.link(status.Leader)
	if link == nil {
		return nil, fault.Unavailable.New("there is no leader")
	}
	reply, err := link.call(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_PermitRequest{PermitRequest: request}})
	if err != nil {
		return nil, err
	}
	return reply.GetPermitReply(), nil
}

// localPermit replies as leader. It checks the lease after taking the token: had another leader
// begun to grant permits before, the check would fail.
func (n *Node) localPermit(request *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
	term := n.permits.Load()
	if term == nil {
		return nil, errNoLease()
	}
	bucket, isRequired := n.bucketConfigOf(request)
	if !isRequired {
		return &wirepb.PermitReply{Granted: true}, nil
	}
	decision := term.take(n.now(), request.GetMachine(), bucket)
	if status := n.status.Load(); status.Term != term.term || !status.LeaseHeld(n.now()) {
		return nil, errNoLease()
	}
	n.metrics.observePermit(decision.Granted)
	return &wirepb.PermitReply{Granted: decision.Granted, RetryAfterMs: uint32(decision.RetryAfter.Milliseconds())}, nil
}

// bucketConfigOf returns the token bucket that limits the requests to the machine. isRequired is false if the permit
// was requested only for a limit, and that limit has ended.
func (n *Node) bucketConfigOf(request *wirepb.PermitRequest) (bucket permits.BucketConfig, isRequired bool) {
	machine := request.GetMachine()
	if limit := request.GetLimit(); limit != nil {
		n.mergeLimits([]*wirepb.MachineLimit{limit}, "permit")
	}
	limit := n.limits.of(machine)
	if request.GetLimitOnly() {
		return limit.BucketConfig(), limit.IsSet
	}
	bucket = n.settings.Warming.Bound().BucketConfig(n.rateWhileWarming(machine))
	if limit.IsSet {
		bucket = bucket.Min(limit.BucketConfig())
	}
	return bucket, true
}

// permitLocally is localPermit as a feed.PermitFunc, for requests forwarded by other control nodes.
func (n *Node) permitLocally(_ context.Context, request *wirepb.PermitRequest) (*wirepb.PermitReply, error) {
	return n.localPermit(request)
}

func errNoLease() error {
	return fault.Unavailable.New("this node holds no lease")
}

// rateWhileWarming returns the request rate that a machine's pool allows while it warms up. It is 0
// if the machine or pool is unknown, so that the permit is refused: an error would make the router
// suspend permit requests for all machines.
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
