package control

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/weldline/weldline/api/platform"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/keepalive"
	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	reconcileInterval = 100 * time.Millisecond
	// reconcilePause keeps a stream of nudges from using up the processor.
	reconcilePause  = 5 * time.Millisecond
	digestInterval  = 500 * time.Millisecond
	sweepInterval   = 2 * time.Second
	commitTimeout   = 3 * time.Second
	listReadTimeout = 2 * time.Second
	// settleTime is how long a new leader waits for reports before it takes
	// silence as a sign.
	settleTime = 1500 * time.Millisecond
)

// leader runs the controllers for one term.
type leader struct {
	node    *Node
	term    uint64
	since   time.Duration
	planner *placement.Planner
	list    *atomic.Pointer[platform.MachineList]

	estimates      []placement.Estimate
	digestSequence uint64
	lastDigest     time.Duration
	lastSweep      time.Duration
}

// runLeader runs the controllers whenever this node leads.
func (n *Node) runLeader(ctx context.Context) {
	list := &atomic.Pointer[platform.MachineList]{}
	go n.readMachineList(ctx, list)
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	var current *leader
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.nudge:
		}
		if !n.leads() {
			current = nil
			continue
		}
		if term := n.status.Load().Term; current == nil || current.term != term {
			current = n.newLeader(term, list)
		}
		current.pass(ctx)
		time.Sleep(reconcilePause)
	}
}

func (n *Node) newLeader(term uint64, list *atomic.Pointer[platform.MachineList]) *leader {
	platformSettings := n.settings.Platform
	return &leader{
		node: n, term: term, since: n.now(), list: list,
		planner: placement.NewPlanner(placement.Config{
			Speeds:               placement.DefaultTierSpeeds,
			StoreLoadsPerSecond:  platformSettings.StoreLoadsPerSecond,
			StoreConcurrentLoads: platformSettings.StoreConcurrentLoads,
			KeepAlive:            keepalive.New(n.settings.Policy.Name),
		}),
	}
}

// pass runs every controller once. Each decides on the state that holds the
// outcome of the one before.
func (l *leader) pass(ctx context.Context) {
	nodes, machines := l.node.reports.snapshot()
	view := l.node.leaderView(nodes, machines)
	if writes := l.reconcileMachines(view); len(writes) > 0 {
		l.write(ctx, writes)
		view = l.node.leaderView(nodes, machines)
	}
	if l.node.now()-l.since > settleTime {
		l.placeReplicas(ctx, view)
	}
	l.maybeSweep(ctx)
	l.maybeDigest(nodes, machines)
}

func (l *leader) placeReplicas(ctx context.Context, view *clusterView) {
	started := time.Now()
	decision := l.planner.Decide(view.placementInput(started))
	l.node.metrics.decideSeconds.Observe(time.Since(started).Seconds())
	changed := !sameEstimates(l.estimates, decision.Estimates)
	l.estimates = decision.Estimates
	if changed {
		l.lastDigest = 0
	}
	if len(decision.Actions) == 0 {
		return
	}
	for _, action := range decision.Actions {
		l.logAction(action)
	}
	l.write(ctx, replicaWrites(view.revision, decision.Actions))
}

func (l *leader) logAction(action placement.Action) {
	l.node.metrics.decisions.WithLabelValues(string(action.Kind)).Inc()
	if action.Replica != nil {
		l.node.logger.Info("replica_"+string(action.Kind), "replica", action.Replica.Name, "reason", action.Reason)
		return
	}
	l.node.logger.Info("replica_load", "version", action.Spec.Version, "machine", action.Spec.Machine,
		"tier", action.Spec.Tier, "reason", action.Reason)
}

// write proposes the writes together. Where one of them is refused, each is
// proposed alone, so that one bad decision does not hold up the others.
func (l *leader) write(ctx context.Context, writes []*wirepb.ObjectWrite) {
	result, err := l.commit(ctx, writes)
	if err != nil {
		l.node.logger.Warn("write_not_committed", "error", fault.Message(err))
		return
	}
	if result.GetCode() == wirepb.ResultCode_RESULT_CODE_OK {
		return
	}
	l.node.logger.Warn("write_refused", "code", result.GetCode().String(), "message", result.GetMessage(), "writes", len(writes))
	if len(writes) == 1 {
		return
	}
	for _, write := range writes {
		l.write(ctx, []*wirepb.ObjectWrite{write})
	}
}

func (l *leader) commit(ctx context.Context, writes []*wirepb.ObjectWrite) (*wirepb.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	command := &wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: writes}}}
	return l.node.proposeLocally(ctx, command)
}

// maybeSweep closes abandoned claims. It stands behind the owners' own
// resolution; see the state package.
func (l *leader) maybeSweep(ctx context.Context) {
	if l.node.now()-l.lastSweep < sweepInterval {
		return
	}
	l.lastSweep = l.node.now()
	if !l.node.hasClaims() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	command := &wirepb.Command{Body: &wirepb.Command_ClaimSweep{ClaimSweep: &wirepb.ClaimSweep{}}}
	if _, err := l.node.proposeLocally(ctx, command); err != nil {
		l.node.logger.Warn("claim_sweep_failed", "error", fault.Message(err))
	}
}

func (n *Node) hasClaims() bool {
	n.stateMutex.RLock()
	defer n.stateMutex.RUnlock()
	held, _ := n.member.State.OpenClaims()
	return held > 0
}

func sameEstimates(left, right []placement.Estimate) bool {
	if len(left) != len(right) {
		return false
	}
	known := make(map[string]placement.Estimate, len(left))
	for _, estimate := range left {
		known[estimate.Version] = estimate
	}
	for _, estimate := range right {
		other, found := known[estimate.Version]
		if !found || other.Refused != estimate.Refused {
			return false
		}
	}
	return true
}

// readMachineList polls the platform's list. A failed read keeps the last.
func (n *Node) readMachineList(ctx context.Context, list *atomic.Pointer[platform.MachineList]) {
	if n.settings.Platform.MachineList == "" {
		return
	}
	client := &http.Client{Timeout: listReadTimeout}
	ticker := time.NewTicker(n.settings.Platform.MachineListInterval)
	defer ticker.Stop()
	for {
		if read, err := fetchMachineList(ctx, client, n.settings.Platform.MachineList); err == nil {
			list.Store(read)
		} else if ctx.Err() == nil {
			n.logger.Warn("machine_list_unreadable", "error", fault.Message(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func fetchMachineList(ctx context.Context, client *http.Client, url string) (*platform.MachineList, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fault.Invalid.Wrap(err, "machine list URL")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fault.Unavailable.Wrap(err, "reading the machine list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fault.Unavailable.New("the machine list answered %d", response.StatusCode)
	}
	read := &platform.MachineList{}
	if err := json.NewDecoder(response.Body).Decode(read); err != nil {
		return nil, fault.Protocol.Wrap(err, "decoding the machine list")
	}
	return read, nil
}
