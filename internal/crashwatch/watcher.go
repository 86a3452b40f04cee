// Package crashwatch detects crashes of machines with broken requests, records them in the
// replicated log, and refuses quarantined requests.
//
// It carries out the decisions of package quarantine: a Watcher probes machines, proposes
// commands, and looks up requests in the router's view of the log.
package crashwatch

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/tcpopt"
	"github.com/weldline/weldline/internal/upstream"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// probeTimeout bounds the detection of a crash. It exceeds the time of a connection whose
	// first packet was lost, and is well below the time after which every router has to refuse the
	// request.
	probeTimeout  = 1500 * time.Millisecond
	probeInterval = 100 * time.Millisecond
	// recordTimeout bounds one attempt to record a crash, and recordRetryInterval separates
	// attempts; a change of leader takes a second or two.
	recordTimeout       = time.Second
	recordRetryInterval = 100 * time.Millisecond
	// pendingRetryAfter is the Retry-After of requests that wait for probes, which usually take a
	// few round trips.
	pendingRetryAfter = 150 * time.Millisecond
	maxTasks          = 256
	// maxWitnesses bounds the other machines that are tried to distinguish a crash from a lost path.
	maxWitnesses = 3
)

// ProbeFunc connects to a machine. refused is set if the machine actively refused the connection.
type ProbeFunc func(ctx context.Context, machine, address string) (refused bool, err error)

// ProbeWithDial returns a probe that uses a dial function.
func ProbeWithDial(dial func(ctx context.Context, machine, address string) (net.Conn, error)) ProbeFunc {
	return func(ctx context.Context, machine, address string) (bool, error) {
		connection, err := dial(ctx, machine, address)
		if err != nil {
			return tcpopt.IsConnectionRefused(err), fault.Unavailable.Wrap(err, "connecting to machine %s", machine)
		}
		_ = connection.Close()
		return false, nil
	}
}

// Options configures a Watcher.
type Options struct {
	View    *nodeview.View
	Logger  *slog.Logger
	Propose feed.ProposeFunc
	Probe   ProbeFunc
	// OnVerdict, if set, is called with each verdict.
	OnVerdict func(verdict quarantine.Verdict)
}

// Watcher tracks the machines of one router. It is safe for concurrent use.
type Watcher struct {
	options Options

	mutex   sync.Mutex
	tracker *quarantine.Tracker
	tasks   chan func(ctx context.Context)
}

// New returns a watcher. It works only while Run is running.
func New(options Options) *Watcher {
	return &Watcher{options: options, tracker: quarantine.NewTracker(), tasks: make(chan func(ctx context.Context), maxTasks)}
}

// Run carries out tasks until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-w.tasks:
			workers.Go(func() { task(ctx) })
		}
	}
}

// startTask queues a task and returns whether there was room.
func (w *Watcher) startTask(task func(ctx context.Context)) bool {
	select {
	case w.tasks <- task:
		return true
	default:
		w.options.Logger.Warn("crash_task_dropped", "tasks", len(w.tasks))
		return false
	}
}

// ReportBroken reports a request whose response was interrupted or missing.
func (w *Watcher) ReportBroken(request quarantine.BrokenRequest) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch w.tracker.AddBroken(time.Now(), request) {
	case quarantine.ActionProbe:
		if !w.startTask(func(ctx context.Context) { w.probeMachine(ctx, request) }) {
			w.tracker.Forget(request.Instance)
		}
	case quarantine.ActionRecord:
		w.startRecording([]quarantine.BrokenRequest{request})
	case quarantine.ActionDropped:
		w.options.Logger.Warn("crash_not_examined", "machine", request.Machine)
	case quarantine.ActionNone:
	}
}

// probeMachine determines whether a machine crashed, and has the crash recorded.
func (w *Watcher) probeMachine(ctx context.Context, request quarantine.BrokenRequest) {
	verdict := w.awaitVerdict(ctx, request)
	if w.options.OnVerdict != nil {
		w.options.OnVerdict(verdict)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	requests := w.tracker.ApplyVerdict(time.Now(), request.Instance, verdict)
	w.options.Logger.Info("machine_examined", "machine", request.Instance, "verdict", verdict.String(), "requests", len(requests))
	if len(requests) > 0 {
		w.startRecording(requests)
	}
}

// awaitVerdict gathers evidence until there is a verdict, or probeTimeout is over.
func (w *Watcher) awaitVerdict(ctx context.Context, request quarantine.BrokenRequest) quarantine.Verdict {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for {
		if verdict := w.gatherEvidence(ctx, request).Verdict(); verdict != quarantine.VerdictPending {
			return verdict
		}
		select {
		case <-ctx.Done():
			return quarantine.VerdictUnknown
		case <-time.After(probeInterval):
		}
	}
}

// gatherEvidence uses the view, and connects to the machine if that is not conclusive.
func (w *Watcher) gatherEvidence(ctx context.Context, request quarantine.BrokenRequest) quarantine.Evidence {
	evidence := quarantine.Evidence{}
	if machine, isKnown := w.options.View.Machine(request.Machine); isKnown {
		evidence.Replaced = w.options.View.IsReplaced(request.Machine, machine.Spec.Endpoint) ||
			quarantine.InstanceName(request.Machine, machine.Status.Incarnation) != request.Instance
		evidence.Leaving = machine.Status.Phase == v1.MachineLeaving || machine.Status.Phase == v1.MachineGone
	}
	if evidence.Verdict() != quarantine.VerdictPending {
		return evidence
	}
	refused, err := w.options.Probe(ctx, request.Machine, request.Address)
	evidence.Accepts, evidence.Refuses = err == nil, refused
	if refused {
		evidence.OthersReachable = w.reachesOther(ctx, request.Machine)
	}
	return evidence
}

// reachesOther reports whether a connection to another live machine than the given one succeeds, or there
// is no other.
func (w *Watcher) reachesOther(ctx context.Context, machine string) bool {
	addresses := map[string]string{}
	w.options.View.EachMachine(func(name string, other nodeview.Machine) {
		if name != machine && other.Status.Phase == v1.MachineLive && len(addresses) < maxWitnesses {
			addresses[name] = upstream.AddressOf(other.Spec.Endpoint)
		}
	})
	for name, address := range addresses {
		if _, err := w.options.Probe(ctx, name, address); err == nil {
			return true
		}
	}
	return len(addresses) == 0
}

// startRecording starts to record requests on a crashed instance. The mutex must be held.
func (w *Watcher) startRecording(requests []quarantine.BrokenRequest) {
	w.startTask(func(ctx context.Context) {
		w.record(ctx, requests[0].Instance, requests)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.tracker.MarkRecorded(requests)
	})
}

// record proposes a crash until it is in the log or refused, however long there is no leader. Without
// the record, the requests could crash further machines.
func (w *Watcher) record(ctx context.Context, instance string, requests []quarantine.BrokenRequest) {
	onFailure := func(reason string) {
		w.options.Logger.Warn("crash_not_recorded", "machine", instance, "requests", len(requests), "error", reason)
	}
	if revision, recorded := w.commit(ctx, quarantine.RecordCommand(instance, requests), onFailure); recorded {
		w.options.Logger.Info("crash_recorded", "machine", instance, "requests", len(requests), "revision", revision)
		w.awaitRevision(ctx, revision)
		w.logQuarantined(requests)
	}
}

// logQuarantined logs which of the recorded requests are now quarantined.
func (w *Watcher) logQuarantined(requests []quarantine.BrokenRequest) {
	for _, request := range requests {
		if suspect := w.options.View.Suspect(request.Identity); suspect != nil && suspect.Quarantined {
			w.options.Logger.Warn("request_quarantined", "identity", request.Identity.String(), "route", request.Route, "tenant", request.Tenant, "machines", suspect.Machines)
		}
	}
}

// commit proposes a command until there is a result. onFailure is called on a refusal, and on the
// first attempt without a result.
func (w *Watcher) commit(ctx context.Context, command *wirepb.Command, onFailure func(reason string)) (revision uint64, committed bool) {
	for attempt := 1; ctx.Err() == nil; attempt++ {
		attemptCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		result, err := w.options.Propose(attemptCtx, command)
		cancel()
		if err == nil {
			if result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
				onFailure(result.GetMessage())
				return 0, false
			}
			return result.GetWrite().GetRevision(), true
		}
		if attempt == 1 {
			onFailure(fault.Message(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(recordRetryInterval):
		}
	}
	return 0, false
}

// awaitRevision waits until the view has reached a revision.
func (w *Watcher) awaitRevision(ctx context.Context, revision uint64) {
	for {
		changed := w.options.View.Changed()
		if w.options.View.Revision() >= revision {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// hasSuspects reports whether there are any suspect requests. It saves hashing every request while
// there are none.
func (w *Watcher) hasSuspects() bool {
	w.mutex.Lock()
	local := w.tracker.HasSuspects()
	w.mutex.Unlock()
	return local || w.options.View.HasSuspects()
}

// Refusal returns the response to a request that is quarantined or waits for probes, and so is not
// run; nil for any other.
func (w *Watcher) Refusal(identityOf func() quarantine.Identity) *problem.Document {
	if !w.hasSuspects() {
		return nil
	}
	identity := identityOf()
	suspect := w.options.View.Suspect(identity)
	w.mutex.Lock()
	machines, quarantined := w.tracker.Crashes(identity, suspect)
	pending := !quarantined && w.tracker.IsPending(identity, suspect)
	w.mutex.Unlock()
	switch {
	case !quarantined && !pending:
		return nil
	case !quarantined:
		detail := "request " + identity.String() + " is not run until it is known what has become of the machines that broke its answers off"
		document := problem.New(problem.TypeUnavailable, http.StatusServiceUnavailable, detail)
		document.RetryAfter = pendingRetryAfter
		return document
	}
	detail := "request " + identity.String() + " is not run any more, since these machines ended under it: " + strings.Join(machines, ", ")
	document := problem.New(problem.TypeQuarantined, http.StatusServiceUnavailable, detail)
	document.RetryAfter = quarantine.RetryAfter
	return document
}

// ReportCompleted reports a request that ran to completion on a machine.
func (w *Watcher) ReportCompleted(identityOf func() quarantine.Identity) {
	if !w.hasSuspects() {
		return
	}
	identity := identityOf()
	recorded := w.options.View.Suspect(identity) != nil
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.tracker.Complete(identity, recorded) {
		return
	}
	if !w.startTask(func(ctx context.Context) { w.clear(ctx, identity) }) {
		w.tracker.MarkCleared(identity)
	}
}

func (w *Watcher) clear(ctx context.Context, identity quarantine.Identity) {
	onFailure := func(reason string) {
		w.options.Logger.Warn("suspect_not_cleared", "identity", identity.String(), "error", reason)
	}
	if revision, committed := w.commit(ctx, quarantine.ClearCommand(identity), onFailure); committed {
		w.options.Logger.Info("suspect_cleared", "identity", identity.String(), "revision", revision)
		w.awaitRevision(ctx, revision)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.tracker.MarkCleared(identity)
}

// IsIdle reports whether all detected crashes have been recorded.
func (w *Watcher) IsIdle() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.tracker.IsIdle() && len(w.tasks) == 0
}
