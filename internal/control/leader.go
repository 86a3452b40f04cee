package control

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/weldline/weldline/api/platform"
	"github.com/weldline/weldline/internal/controller"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/keepalive"
	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/upstream"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	reconcileInterval = 100 * time.Millisecond
	// minPause bounds the rate of passes under continuous wakeups.
	minPause = 5 * time.Millisecond
	// pausePerWork is the pause after a pass as a multiple of its duration. It bounds passes and
	// order dispatch to a quarter of a processor each, which leaves time to send heartbeats: a pass
	// over 3,000 machines takes some 70 ms of half a core, and without the pause heartbeats came too
	// late to keep the lease.
	pausePerWork = 3
	// maxPause keeps a pass that was held up by something else from delaying the next one for long.
	maxPause        = 500 * time.Millisecond
	commitTimeout   = 3 * time.Second
	listReadTimeout = 2 * time.Second
	// maxMachineListBytes is some hundred bytes for each of 100,000 machines.
	maxMachineListBytes = 32 << 20
	// registeredSettleTime is how long a new leader that polls machines itself waits for reports.
	registeredSettleTime = 600 * time.Millisecond
)

// leader runs the controller for one term and proposes its decisions.
type leader struct {
	node       *Node
	controller *controller.Controller
	list       *atomic.Pointer[platform.MachineList]
	// dispatcher sends orders to machines that registered themselves.
	dispatcher *orderDispatcher
	permits    *termPermits
	// commitWait is the time that the current pass has waited for commits.
	commitWait time.Duration
	load       passLoad
}

// runLeader runs the controller while this node is leader.
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
		case <-n.leaderWakeup:
		}
		status := n.status.Load()
		if current != nil && !status.LeadsIn(current.controller.Term()) {
			current.stop()
			current = nil
		}
		if !status.LeaseHeld(n.now()) {
			continue
		}
		if current == nil {
			current = n.newLeader(ctx, status.Term, list)
		}
		sleepContext(ctx, max(pauseAfter(current.timedPass(ctx)), minPause))
	}
}

// pauseAfter returns the pause after a pass of the given duration.
func pauseAfter(duration time.Duration) time.Duration {
	return min(pausePerWork*duration, maxPause)
}

// sleepContext waits for a duration or until ctx is done.
func sleepContext(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// timedPass runs a pass and returns its duration, excluding waits for commits.
func (l *leader) timedPass(ctx context.Context) time.Duration {
	l.commitWait = 0
	started := time.Now()
	l.pass(ctx)
	duration := time.Since(started)
	l.load.add(duration, l.commitWait)
	l.load.log(l.node, time.Now())
	return duration - l.commitWait
}

// timeCommit adds the duration of a call to the time waited for commits.
func (l *leader) timeCommit(call func()) {
	started := time.Now()
	call()
	l.commitWait += time.Since(started)
}

func (l *leader) stop() {
	if l != nil {
		l.dispatcher.stop()
	}
}

func (n *Node) newLeader(ctx context.Context, term uint64, list *atomic.Pointer[platform.MachineList]) *leader {
	platformSettings := n.settings.Platform
	history, historyAge := n.recentDemand()
	n.logger.Info("term_begun", "term", term, "versions_known", len(history), "history_age_ms", historyAge.Milliseconds())
	config := controller.Config{
		Node: n.settings.Node, Term: term, MachineTimeout: n.settings.Policy.MachineTimeout,
		Places: n.settings.Location().Zones, Quota: n.settings.Quota.Bound(), Routers: int(n.digest.Load().GetRouters()),
		Planner: placement.Config{
			Speeds:               placement.DefaultTierSpeeds,
			StoreLoadsPerSecond:  platformSettings.StoreLoadsPerSecond,
			StoreConcurrentLoads: platformSettings.StoreConcurrentLoads,
			KeepAlive:            keepalive.New(n.settings.Policy.Name),
			History:              history,
		},
	}
	if n.engines != nil {
		config.SettleTime = registeredSettleTime
	}
	n.reports.ForgetMachines()
	permits := newTermPermits(term, n.now())
	n.permits.Store(permits)
	return &leader{
		node: n, controller: controller.New(n.now(), config, n.reports), list: list, dispatcher: newOrderDispatcher(ctx, n, term),
		permits: permits,
	}
}

// pass runs every controller once, each on a state that includes the outcome of the previous one.
// The state lock is held only while reading: controllers may take long in large clusters, and the
// log can't apply entries or send heartbeats while it is held.
func (l *leader) pass(ctx context.Context) {
	l.node.Read(l.controller.Observe)
	l.write(ctx, l.controller.MachineWrites(l.node.now(), l.list.Load()))
	l.load.timePart(partFollow, func() { l.dispatcher.syncMachines(ctx, l) })
	l.load.timePart(partPlace, func() { l.placeReplicas(ctx) })
	l.dispatcher.setWork(l.controller.Work())
	l.dispatcher.wake()
	l.sweepClaims(ctx)
	l.repairMembership(ctx)
	l.raiseLevel(ctx)
	l.controller.SetControl(l.node.members())
	l.load.timePart(partDigest, l.publishDigest)
}

// publishDigest sends the soft state to all nodes if it is due. The warming states refer to the
// revision in the digest, so both are read together.
func (l *leader) publishDigest() {
	var revision uint64
	l.node.Read(func(machine *state.Machine) {
		l.controller.Observe(machine)
		revision = machine.Revision()
	})
	l.observeWarming()
	l.controller.SetLimits(l.node.limitSnapshot())
	digest := l.controller.Digest(l.node.now(), revision)
	if digest == nil {
		return
	}
	l.load.digests++
	l.node.receiveDigest(digest)
	l.node.peers.broadcastDigest(digest)
}

func (l *leader) observeWarming() {
	news := l.controller.ObserveWarming(l.node.now(), l.node.instances.Entries)
	l.permits.empty(l.node.now(), news.LeftWarm)
	for _, change := range news.Changes {
		l.node.logger.Info("machine_warming", "machine", change.Machine, "remaining_ms", change.Remaining.Milliseconds())
	}
}

func (l *leader) placeReplicas(ctx context.Context) {
	started := time.Now()
	l.node.Read(l.controller.Observe)
	decision := l.controller.DecideReplicas(l.node.now(), started)
	l.node.metrics.decideSeconds.Observe(time.Since(started).Seconds())
	for _, command := range decision.Commands {
		if !l.recordLoad(ctx, command) {
			return // The next pass retries, since the replica records remain.
		}
	}
	for _, action := range decision.Actions {
		l.logAction(action)
	}
	l.dispatcher.prepare(ctx, machinesToOrder(decision.Actions))
	l.write(ctx, l.dispatcher.withAdapters(decision.Writes))
}

// machinesToOrder returns the machines that actions will send orders to, each once, since a
// connection and a grant serve all orders to a machine.
func machinesToOrder(actions []placement.Action) []string {
	var machines []string
	for _, action := range actions {
		switch action.Kind {
		case placement.ActionLoad:
			machines = append(machines, action.Spec.Machine)
		case placement.ActionUnload:
			machines = append(machines, action.Replica.Spec.Machine)
		}
	}
	slices.Sort(machines)
	return slices.Compact(machines)
}

// recordLoad commits the outcome of a load and reports whether the log has processed it.
func (l *leader) recordLoad(ctx context.Context, command *wirepb.Command) bool {
	var result *wirepb.CommandResult
	var err error
	l.timeCommit(func() { result, err = l.commit(ctx, command) })
	if err != nil {
		l.node.logger.Warn("load_not_recorded", "error", fault.Message(err))
		return false
	}
	if result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
		l.node.logger.Warn("load_not_recorded", "error", result.GetMessage())
		return true // Rejected by the state machine; a retry would be rejected as well.
	}
	crash := command.GetRecordCrash()
	l.node.logger.Info("load_recorded", "machine", crash.GetMachine(), "ended", crash != nil, "revision", result.GetWrite().GetRevision())
	return true
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

// write proposes writes in one command. If it is rejected, each write is proposed separately, so
// that one invalid decision does not block the others.
func (l *leader) write(ctx context.Context, writes []*wirepb.ObjectWrite) {
	if len(writes) == 0 {
		return
	}
	command := &wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: writes}}}
	var result *wirepb.CommandResult
	var err error
	l.timeCommit(func() { result, err = l.commit(ctx, command) })
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

func (l *leader) commit(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return l.node.proposeLocally(ctx, command)
}

func (l *leader) sweepClaims(ctx context.Context) {
	due := false
	l.node.Read(func(machine *state.Machine) { due = l.controller.SweepDue(l.node.now(), machine) })
	if !due {
		return
	}
	command := &wirepb.Command{Body: &wirepb.Command_ClaimSweep{ClaimSweep: &wirepb.ClaimSweep{}}}
	if _, err := l.commit(ctx, command); err != nil {
		l.node.logger.Warn("claim_sweep_failed", "error", fault.Message(err))
	}
}

// repairMembership proposes the next membership change, if one is needed.
func (l *leader) repairMembership(ctx context.Context) {
	target := 0
	for _, entry := range l.node.settings.Control.Members {
		if !entry.Learner {
			target++
		}
	}
	node := l.node
	l.runOnLoop(ctx, func() {
		raftNode := node.member.Raft
		next := controller.NextMembership(raftNode.Status(), raftNode.Peers(), target, node.settings.Control.ReplaceAfter)
		if node.settings.Formation.UsesSeeds() {
			next = node.nextMembership(raftNode)
		}
		if next == nil {
			return
		}
		err := raftNode.ProposeMembership(node.now(), next)
		if err == nil {
			node.logger.Info("membership_changed", "voters", next.GetVoters(), "learners", next.GetLearners())
		} else if !fault.Is(err, fault.Conflict) {
			node.logger.Warn("membership_refused", "error", fault.Message(err))
		}
	})
}

// runOnLoop runs an action on the goroutine that owns the member, unless ctx ends first.
func (l *leader) runOnLoop(ctx context.Context, action func()) {
	select {
	case l.node.actions <- action:
	case <-ctx.Done():
	}
}

// readMachineList polls the platform's machine list. If a read fails, the previous list stays in
// use.
func (n *Node) readMachineList(ctx context.Context, list *atomic.Pointer[platform.MachineList]) {
	if n.settings.Platform.MachineList == "" {
		return
	}
	client := newMachineListClient(listReadTimeout)
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

func newMachineListClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: upstream.NewTransport(nil)}
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
		return nil, fault.Unavailable.New("the machine list URL returned status %d", response.StatusCode)
	}
	read := &platform.MachineList{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxMachineListBytes)).Decode(read); err != nil {
		return nil, fault.Protocol.Wrap(err, "decoding the machine list")
	}
	return read, nil
}
