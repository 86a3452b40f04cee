// Package crashwatch finds out which machines ended under a router's requests, has that
// recorded in the replicated log, and tells which requests must not run any more.
//
// The problem: a request that ends the machines that run it comes again from its caller, at
// any router. One of four routers that knew only its own crashes let 10 of 12 machines end.
//
// The mechanism: package quarantine decides; a Watcher connects to machines whose answers broke
// off, proposes what it found, and looks up requests in the router's view of the log.
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
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// examineTime is how long a router tries to find out whether a machine ended: longer than
	// a connection takes whose first packet was lost, and well below the time after which
	// every router has to refuse.
	examineTime = 1500 * time.Millisecond
	// examinePause is between two looks at a machine that says nothing.
	examinePause = 100 * time.Millisecond
	// recordTimeout bounds one try to record a crash, and recordPause is before the next one:
	// a leader changes within a second or two.
	recordTimeout = time.Second
	recordPause   = 100 * time.Millisecond
	// retryAfterDoubt is when a request comes back whose machines are looked at: mostly that is
	// known within a few round trips.
	retryAfterDoubt = 150 * time.Millisecond
	// maxTasks bounds what waits to be found out or recorded.
	maxTasks = 256
)

// ProbeFunc tells whether a machine takes connections (no error), or refuses them.
type ProbeFunc func(ctx context.Context, machine, address string) (refused bool, err error)

// ProbeWithDial returns a prober that connects by a function.
func ProbeWithDial(dial func(ctx context.Context, machine, address string) (net.Conn, error)) ProbeFunc {
	return func(ctx context.Context, machine, address string) (bool, error) {
		connection, err := dial(ctx, machine, address)
		if err != nil {
			return tcpopt.Refused(err), fault.Unavailable.Wrap(err, "connecting to machine %s", machine)
		}
		_ = connection.Close()
		return false, nil
	}
}

// Options are what a Watcher needs.
type Options struct {
	View    *nodeview.View
	Logger  *slog.Logger
	Propose feed.ProposeFunc
	Probe   ProbeFunc
	// OnVerdict is told of each verdict; may be nil.
	OnVerdict func(verdict quarantine.Verdict)
}

// Watcher watches the machines of one router. It is safe for concurrent use.
type Watcher struct {
	options Options

	mutex sync.Mutex
	watch *quarantine.Tracker
	tasks chan func(ctx context.Context)
}

// New returns a watcher; Run must be running for it to work.
func New(options Options) *Watcher {
	return &Watcher{options: options, watch: quarantine.NewTracker(), tasks: make(chan func(ctx context.Context), maxTasks)}
}

// Run carries out what requests have asked for until ctx ends.
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

// start has a task carried out. It returns whether there was room.
func (w *Watcher) start(task func(ctx context.Context)) bool {
	select {
	case w.tasks <- task:
		return true
	default:
		w.options.Logger.Warn("crash_task_dropped", "tasks", len(w.tasks))
		return false
	}
}

// ReportBroken takes a request whose answer broke off, or did not come.
func (w *Watcher) ReportBroken(run quarantine.BrokenRequest) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch w.watch.AddBroken(time.Now(), run) {
	case quarantine.ActionProbe:
		if !w.start(func(ctx context.Context) { w.examine(ctx, run) }) {
			w.watch.Forget(run.Instance)
		}
	case quarantine.ActionRecord:
		w.startRecording([]quarantine.BrokenRequest{run})
	case quarantine.ActionDropped:
		w.options.Logger.Warn("crash_not_examined", "machine", run.Machine)
	case quarantine.ActionNone:
	}
}

// examine finds out what has become of a machine, and has a crash recorded.
func (w *Watcher) examine(ctx context.Context, run quarantine.BrokenRequest) {
	verdict := w.judge(ctx, run)
	if w.options.OnVerdict != nil {
		w.options.OnVerdict(verdict)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	runs := w.watch.ApplyVerdict(time.Now(), run.Instance, verdict)
	w.options.Logger.Info("machine_examined", "machine", run.Instance, "verdict", verdict.String(), "requests", len(runs))
	if len(runs) > 0 {
		w.startRecording(runs)
	}
}

// judge looks at a machine until it is known what has become of it, or the time is over.
func (w *Watcher) judge(ctx context.Context, run quarantine.BrokenRequest) quarantine.Verdict {
	ctx, cancel := context.WithTimeout(ctx, examineTime)
	defer cancel()
	for {
		if verdict := w.look(ctx, run).Verdict(); verdict != quarantine.VerdictPending {
			return verdict
		}
		select {
		case <-ctx.Done():
			return quarantine.VerdictUnknown
		case <-time.After(examinePause):
		}
	}
}

// look takes what the view tells of a machine, and tries to connect if that does not suffice.
func (w *Watcher) look(ctx context.Context, run quarantine.BrokenRequest) quarantine.Evidence {
	sign := quarantine.Evidence{}
	if known, isKnown := w.options.View.Machine(run.Machine); isKnown {
		sign.Replaced = w.options.View.IsReplaced(run.Machine, known.Spec.Endpoint) ||
			quarantine.InstanceName(run.Machine, known.Status.Incarnation) != run.Instance
		sign.Leaving = known.Status.Phase == v1.MachineLeaving || known.Status.Phase == v1.MachineGone
	}
	if sign.Verdict() != quarantine.VerdictPending {
		return sign
	}
	refused, err := w.options.Probe(ctx, run.Machine, run.Address)
	sign.Accepts, sign.Refuses = err == nil, refused
	return sign
}

// startRecording has runs at one life of a machine recorded; the mutex must be held.
func (w *Watcher) startRecording(runs []quarantine.BrokenRequest) {
	w.start(func(ctx context.Context) {
		w.record(ctx, runs[0].Instance, runs)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.watch.MarkRecorded(runs)
	})
}

// record proposes a crash until it is in the log, however long there is no leader: what is
// forgotten costs the machines of the next tries.
func (w *Watcher) record(ctx context.Context, life string, runs []quarantine.BrokenRequest) {
	failed := func(reason string) {
		w.options.Logger.Warn("crash_not_recorded", "machine", life, "requests", len(runs), "error", reason)
	}
	if revision, recorded := w.commit(ctx, quarantine.RecordCommand(life, runs), failed); recorded {
		w.options.Logger.Info("crash_recorded", "machine", life, "requests", len(runs), "revision", revision)
		w.awaitRevision(ctx, revision)
		w.logQuarantined(runs)
	}
}

// logQuarantined tells which of the requests just recorded must not run any more.
func (w *Watcher) logQuarantined(runs []quarantine.BrokenRequest) {
	for _, run := range runs {
		if held := w.options.View.Suspect(run.Identity); held != nil && held.Quarantined {
			w.options.Logger.Warn("request_quarantined", "identity", run.Identity.String(), "route", run.Route, "tenant", run.Tenant, "machines", held.Machines)
		}
	}
}

// commit proposes a command until there is an answer to it. Failed is told of a refusal, and
// of the first try without an answer.
func (w *Watcher) commit(ctx context.Context, command *wirepb.Command, failed func(reason string)) (revision uint64, committed bool) {
	for tries := 1; ctx.Err() == nil; tries++ {
		limited, cancel := context.WithTimeout(ctx, recordTimeout)
		result, err := w.options.Propose(limited, command)
		cancel()
		if err == nil {
			if result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
				failed(result.GetMessage())
				return 0, false
			}
			return result.GetWrite().GetRevision(), true
		}
		if tries == 1 {
			failed(fault.Message(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(recordPause):
		}
	}
	return 0, false
}

// awaitRevision waits until the view holds a revision.
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

// suspects reports whether machines have ended under any request. While there are none, no
// identity is asked for: it takes a hash of the whole request.
func (w *Watcher) suspects() bool {
	w.mutex.Lock()
	own := w.watch.HasSuspects()
	w.mutex.Unlock()
	return own || w.options.View.HasSuspects()
}

// Refusal returns the answer to a request that must not run any more, or not for now, which is to say
// "not run"; nil for any other.
func (w *Watcher) Refusal(identityOf func() quarantine.Identity) *problem.Document {
	if !w.suspects() {
		return nil
	}
	identity := identityOf()
	held := w.options.View.Suspect(identity)
	w.mutex.Lock()
	machines, quarantined := w.watch.Crashes(identity, held)
	doubted := !quarantined && w.watch.IsPending(identity, held)
	w.mutex.Unlock()
	switch {
	case !quarantined && !doubted:
		return nil
	case !quarantined:
		detail := "request " + identity.String() + " is not run until it is known what has become of the machines that broke its answers off"
		document := problem.New(problem.TypeUnavailable, http.StatusServiceUnavailable, detail)
		document.RetryAfter = retryAfterDoubt
		return document
	}
	detail := "request " + identity.String() + " is not run any more, since these machines ended under it: " + strings.Join(machines, ", ")
	document := problem.New(problem.TypeQuarantined, http.StatusServiceUnavailable, detail)
	document.RetryAfter = quarantine.RetryAfter
	return document
}

// ReportCompleted takes a request that a machine has run to the end.
func (w *Watcher) ReportCompleted(identityOf func() quarantine.Identity) {
	if !w.suspects() {
		return
	}
	identity := identityOf()
	recorded := w.options.View.Suspect(identity) != nil
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.watch.Complete(identity, recorded) {
		return
	}
	if !w.start(func(ctx context.Context) { w.clear(ctx, identity) }) {
		w.watch.MarkCleared(identity)
	}
}

func (w *Watcher) clear(ctx context.Context, identity quarantine.Identity) {
	failed := func(reason string) {
		w.options.Logger.Warn("suspect_not_cleared", "identity", identity.String(), "error", reason)
	}
	if revision, committed := w.commit(ctx, quarantine.ClearCommand(identity), failed); committed {
		w.options.Logger.Info("suspect_cleared", "identity", identity.String(), "revision", revision)
		w.awaitRevision(ctx, revision)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.watch.MarkCleared(identity)
}

// IsIdle reports whether all that is known of crashes has been recorded.
func (w *Watcher) IsIdle() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.watch.IsIdle() && len(w.tasks) == 0
}
