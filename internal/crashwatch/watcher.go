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
	// unmarkedProbeDelay is the time after the end of a response by which a crash at its end shows: the process
	// may accept connections while it ends.
	unmarkedProbeDelay = 500 * time.Millisecond
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

// Request is what the watcher has to know of a request.
type Request struct {
	// Identity computes the request's identity. It is called only while there are suspects, and may be nil before
	// the body has been read.
	Identity func() quarantine.Identity
	// PromptParts are the IDs of the parts of its prompt that other requests may share.
	PromptParts []string
}

// suspects returns the request and its prompt parts.
func (r Request) suspects() []quarantine.Suspect {
	parts := quarantine.PartSuspects(r.PromptParts)
	if r.Identity == nil {
		return parts
	}
	return append([]quarantine.Suspect{{Identity: r.Identity()}}, parts...)
}

// ReportBroken reports a request whose response was interrupted or missing.
func (w *Watcher) ReportBroken(request quarantine.BrokenRequest) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	request = w.tracker.WithoutRecent(now, request)
	switch w.tracker.AddBroken(now, request) {
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

// ReportUnmarked reports a response that ended without an error, although nothing marked its end: the machine may
// have crashed at that moment. If parts of the prompt have records, the machine is examined a little later. That
// it is alive clears these parts, though not the request, whose response may have been cut off.
func (w *Watcher) ReportUnmarked(request quarantine.BrokenRequest) {
	if !w.hasRecord(Request{PromptParts: request.PromptParts}) {
		return
	}
	w.startTask(func(ctx context.Context) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(unmarkedProbeDelay):
		}
		switch verdict := w.awaitVerdict(ctx, request); verdict {
		case quarantine.VerdictAlive:
			w.ReportCompleted(Request{PromptParts: request.PromptParts})
		case quarantine.VerdictEnded:
			w.ReportBroken(request)
		default:
			w.options.Logger.Info("unmarked_response_not_judged", "machine", request.Instance, "verdict", verdict.String())
		}
	})
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

// logQuarantined logs which of the recorded requests, and of their prompt parts, are now quarantined.
func (w *Watcher) logQuarantined(requests []quarantine.BrokenRequest) {
	for _, request := range requests {
		for _, suspect := range request.Suspects() {
			record := w.options.View.Suspect(suspect.Identity)
			if record == nil || !record.Quarantined {
				continue
			}
			w.options.Logger.Warn("request_quarantined", "identity", suspect.Identity.String(), "prompt_part", suspect.Part, "route", request.Route,
				"tenant", request.Tenant, "machines", record.Machines)
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

// hasSuspects reports whether there are any suspects. It saves hashing every request while there are none.
func (w *Watcher) hasSuspects() bool {
	w.mutex.Lock()
	local := w.tracker.HasSuspects()
	w.mutex.Unlock()
	return local || w.options.View.HasSuspects()
}

// Refusal returns the response to a request that is quarantined or waits for probes, by itself or because of
// a part of its prompt, and so is not run; nil for any other.
func (w *Watcher) Refusal(request Request) *problem.Document {
	if !w.hasSuspects() {
		return nil
	}
	var pending *problem.Document
	for _, suspect := range request.suspects() {
		switch machines, status := w.statusOf(suspect, request); status {
		case statusQuarantined:
			return quarantinedProblem(suspect, machines)
		case statusPending:
			pending = pendingProblem(suspect)
		case statusClear:
		}
	}
	return pending
}

// suspectStatus is whether requests with a suspect may run.
type suspectStatus int

const (
	statusClear suspectStatus = iota
	statusPending
	statusQuarantined
)

// statusOf returns whether a request may run as far as a suspect is concerned, and the machines that crashed
// under the suspect.
func (w *Watcher) statusOf(suspect quarantine.Suspect, request Request) ([]string, suspectStatus) {
	recorded := w.options.View.Suspect(suspect.Identity)
	now := time.Now()
	w.mutex.Lock()
	machines, quarantined := w.tracker.Crashes(suspect, recorded)
	pending := !quarantined && w.tracker.IsPending(now, suspect, recorded)
	completed := quarantined && suspect.Part == "" && w.tracker.CompletedRecently(now, suspect)
	w.mutex.Unlock()
	switch {
	case completed: // It completed at this router, while others recorded crashes.
		w.clearSuspects([]quarantine.Suspect{suspect})
		return machines, statusClear
	case quarantined && suspect.Part != "" && quarantine.IsExplained(machines, w.options.View.CrashesOfOtherParts(request.PromptParts)):
		return machines, statusClear
	case quarantined:
		return machines, statusQuarantined
	case pending:
		return machines, statusPending
	}
	return machines, statusClear
}

func quarantinedProblem(suspect quarantine.Suspect, machines []string) *problem.Document {
	subject := "request " + suspect.Identity.String() + " is"
	if suspect.Part != "" {
		subject = "requests with prompt part " + suspect.Part + " are"
	}
	detail := subject + " not run any more, since these machines crashed under it: " + strings.Join(machines, ", ")
	document := problem.New(problem.TypeQuarantined, http.StatusServiceUnavailable, detail)
	document.RetryAfter = quarantine.RetryAfter
	return document
}

func pendingProblem(suspect quarantine.Suspect) *problem.Document {
	detail := "request " + suspect.Identity.String() + " is not run until it is known what has become of the machines that broke its answers off"
	if suspect.Part != "" {
		detail = "requests with prompt part " + suspect.Part + " are not run until it is known what has become of the machines that broke off answers to them"
	}
	document := problem.New(problem.TypeUnavailable, http.StatusServiceUnavailable, detail)
	document.RetryAfter = pendingRetryAfter
	return document
}

// hasRecord reports whether a request or a part of its prompt has a record of crashes.
func (w *Watcher) hasRecord(request Request) bool {
	if !w.hasSuspects() {
		return false
	}
	for _, suspect := range request.suspects() {
		if w.options.View.Suspect(suspect.Identity) != nil {
			return true
		}
	}
	return false
}

// ReportCompleted reports a request that ran to completion on a machine.
func (w *Watcher) ReportCompleted(request Request) {
	if request.Identity != nil {
		request.Identity = sync.OnceValue(request.Identity) // It hashes the body.
	}
	w.rememberCompleted(request)
	if !w.hasSuspects() {
		return
	}
	w.clearSuspects(request.suspects())
}

// clearSuspects clears the records of suspects that did not crash a machine.
func (w *Watcher) clearSuspects(suspects []quarantine.Suspect) {
	recorded := make([]bool, len(suspects))
	for position, suspect := range suspects {
		recorded[position] = w.options.View.Suspect(suspect.Identity) != nil
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var cleared []quarantine.Identity
	for position, suspect := range suspects {
		if w.tracker.Complete(suspect.Identity, recorded[position]) {
			cleared = append(cleared, suspect.Identity)
		}
	}
	if len(cleared) > 0 && !w.startTask(func(ctx context.Context) { w.clear(ctx, cleared) }) {
		w.markCleared(cleared)
	}
}

func (w *Watcher) rememberCompleted(request Request) {
	var identity quarantine.Identity
	if request.Identity != nil {
		identity = request.Identity() // Hashes the body, so not under the mutex.
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	w.tracker.RememberCompleted(now, request.PromptParts)
	if request.Identity != nil {
		w.tracker.RememberRequest(now, identity)
	}
}

// clear proposes to clear the records of suspects.
func (w *Watcher) clear(ctx context.Context, identities []quarantine.Identity) {
	onFailure := func(reason string) {
		w.options.Logger.Warn("suspect_not_cleared", "identities", identityNames(identities), "error", reason)
	}
	if revision, committed := w.commit(ctx, quarantine.ClearCommand(identities...), onFailure); committed {
		w.options.Logger.Info("suspect_cleared", "identities", identityNames(identities), "revision", revision)
		w.awaitRevision(ctx, revision)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.markCleared(identities)
}

// markCleared ends the clearing of records. The mutex must be held.
func (w *Watcher) markCleared(identities []quarantine.Identity) {
	for _, identity := range identities {
		w.tracker.MarkCleared(identity)
	}
}

func identityNames(identities []quarantine.Identity) []string {
	names := make([]string, 0, len(identities))
	for _, identity := range identities {
		names = append(names, identity.String())
	}
	return names
}

// IsIdle reports whether all detected crashes have been recorded.
func (w *Watcher) IsIdle() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.tracker.IsIdle() && len(w.tasks) == 0
}
