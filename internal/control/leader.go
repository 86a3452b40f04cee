package control

import (
	"context"
	"encoding/json"
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
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	reconcileInterval = 100 * time.Millisecond
	// reconcilePause keeps a stream of nudges from using up the processor.
	reconcilePause = 5 * time.Millisecond
	// restPerWork is how many times as long as it worked a loop of the leader rests. Passes and
	// orders look at all machines: with 3,000 of them a pass takes some 70 ms of half a core,
	// and without a rest heartbeats came too late to keep the lease. With this a quarter of the
	// processor goes to each of the two at most.
	restPerWork = 3
	// maxRest bounds the rest, so that a pass that was held up by something else does not
	// hold up the next for long.
	maxRest         = 500 * time.Millisecond
	commitTimeout   = 3 * time.Second
	listReadTimeout = 2 * time.Second
	// registeredSettleTime is how long a new leader waits for reports where it
	// asks the machines itself, and uses none that it has not heard of.
	registeredSettleTime = 600 * time.Millisecond
)

// leader runs the controller for one term and proposes what it decides.
type leader struct {
	node       *Node
	controller *controller.Controller
	list       *atomic.Pointer[platform.MachineList]
	// fleet gives orders to the machines that registered by themselves.
	fleet   *fleet
	permits *termPermits
	// committing is how long the present pass has waited for the log.
	committing time.Duration
	// load is what passes took since it was last logged.
	load passLoad
}

// runLeader runs the controller whenever this node leads.
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
		pause(ctx, max(restAfter(current.timedPass(ctx)), reconcilePause))
	}
}

// restAfter is how long a loop rests that has worked so long.
func restAfter(worked time.Duration) time.Duration {
	return min(restPerWork*worked, maxRest)
}

// pause waits for a while, or until ctx ends.
func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// timedPass runs a pass and returns how long it worked: waiting for the log is no work.
func (l *leader) timedPass(ctx context.Context) time.Duration {
	l.committing = 0
	started := time.Now()
	l.pass(ctx)
	took := time.Since(started)
	l.load.add(took, l.committing)
	l.load.log(l.node, time.Now())
	return took - l.committing
}

// awaitLog counts the time of a call as waiting for the log.
func (l *leader) awaitLog(call func()) {
	started := time.Now()
	call()
	l.committing += time.Since(started)
}

func (l *leader) stop() {
	if l != nil {
		l.fleet.stop()
	}
}

func (n *Node) newLeader(ctx context.Context, term uint64, list *atomic.Pointer[platform.MachineList]) *leader {
	platformSettings := n.settings.Platform
	history, historyAge := n.pastDemand()
	n.logger.Info("term_begun", "term", term, "versions_known", len(history), "history_age_ms", historyAge.Milliseconds())
	config := controller.Config{
		Node: n.settings.Node, Term: term, MachineTimeout: n.settings.Policy.MachineTimeout,
		Places: n.settings.Position().Zones, Quota: n.settings.Quota.Bound(), Routers: int(n.digest.Load().GetRouters()),
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
		node: n, controller: controller.New(n.now(), config, n.reports), list: list, fleet: newFleet(ctx, n, term),
		permits: permits,
	}
}

// pass runs every controller once. Each decides on a state that holds the
// outcome of the one before. The state is held while it is read, and not while
// controllers decide: the log can't apply anything meanwhile, nor send heartbeats, and with
// thousands of machines a leader lost its followers in one pass.
func (l *leader) pass(ctx context.Context) {
	l.node.Read(l.controller.Observe)
	l.write(ctx, l.controller.MachineWrites(l.node.now(), l.list.Load()))
	l.load.time(partFollow, func() { l.fleet.follow(ctx, l) })
	l.load.time(partPlace, func() { l.placeReplicas(ctx) })
	l.fleet.setWork(l.controller.Work())
	l.fleet.wake()
	l.sweep(ctx)
	l.repairMembership(ctx)
	l.raiseLevel(ctx)
	l.controller.SetControl(l.node.members())
	l.load.time(partDigest, l.spreadDigest)
}

// spreadDigest tells everyone the soft state, if that is due. What it says of machines that warm
// up holds as of its revision, so both are read together.
func (l *leader) spreadDigest() {
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
	l.node.takeDigest(digest)
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
			return // The records of the replicas stay, and tell the next pass.
		}
	}
	for _, action := range decision.Actions {
		l.logAction(action)
	}
	l.fleet.prepare(ctx, ordered(decision.Actions))
	l.write(ctx, l.fleet.withAdapters(decision.Writes))
}

// ordered returns the machines that actions mean orders for, each once: one connection and one
// grant serve all orders to a machine.
func ordered(actions []placement.Action) []string {
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

// recordLoad commits what came of a load, and reports whether it is in the log.
func (l *leader) recordLoad(ctx context.Context, command *wirepb.Command) bool {
	var result *wirepb.CommandResult
	var err error
	l.awaitLog(func() { result, err = l.commit(ctx, command) })
	if err != nil {
		l.node.logger.Warn("load_not_recorded", "error", fault.Message(err))
		return false
	}
	if result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
		l.node.logger.Warn("load_not_recorded", "error", result.GetMessage())
		return true // The log refuses it, and would again.
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

// write proposes the writes together. Where one of them is refused, each is
// proposed alone, so that one bad decision does not hold up the others.
func (l *leader) write(ctx context.Context, writes []*wirepb.ObjectWrite) {
	if len(writes) == 0 {
		return
	}
	command := &wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: writes}}}
	var result *wirepb.CommandResult
	var err error
	l.awaitLog(func() { result, err = l.commit(ctx, command) })
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

func (l *leader) sweep(ctx context.Context) {
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

// repairMembership lets a standby take the place of a voter that is lost.
func (l *leader) repairMembership(ctx context.Context) {
	target := 0
	for _, entry := range l.node.settings.Control.Members {
		if !entry.Learner {
			target++
		}
	}
	node := l.node
	l.onLoop(ctx, func() {
		raftNode := node.member.Raft
		next := controller.NextMembership(raftNode.Status(), raftNode.Peers(), target, node.settings.Control.ReplaceAfter)
		if node.settings.Formation.Forms() {
			next = node.nextFormed(raftNode)
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

// onLoop runs an action on the goroutine that owns the member, unless that
// stops first.
func (l *leader) onLoop(ctx context.Context, action func()) {
	select {
	case l.node.actions <- action:
	case <-ctx.Done():
	}
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
