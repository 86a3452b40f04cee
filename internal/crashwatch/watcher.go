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

// Prober tells whether a machine takes connections (no error), or refuses them.
type Prober func(ctx context.Context, machine, address string) (refused bool, err error)

// ProbeBy returns a prober that connects by a function.
func ProbeBy(dial func(ctx context.Context, machine, address string) (net.Conn, error)) Prober {
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
	Probe   Prober
	// Examined is told of each verdict; may be nil.
	Examined func(verdict quarantine.Verdict)
}

// Watcher watches the machines of one router. It is safe for concurrent use.
type Watcher struct {
	options Options

	mutex sync.Mutex
	watch *quarantine.Watch
	tasks chan func(ctx context.Context)
}

// New returns a watcher; Run must be running for it to work.
func New(options Options) *Watcher {
	return &Watcher{options: options, watch: quarantine.NewWatch(), tasks: make(chan func(ctx context.Context), maxTasks)}
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

// Broken takes a request whose answer broke off, or did not come.
func (w *Watcher) Broken(run quarantine.Run) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch w.watch.Broken(time.Now(), run) {
	case quarantine.NextExamine:
		if !w.start(func(ctx context.Context) { w.examine(ctx, run) }) {
			w.watch.Forget(run.Life)
		}
	case quarantine.NextRecord:
		w.startRecording([]quarantine.Run{run})
	case quarantine.NextDropped:
		w.options.Logger.Warn("crash_not_examined", "machine", run.Machine)
	case quarantine.NextNothing:
	}
}

// examine finds out what has become of a machine, and has a crash recorded.
func (w *Watcher) examine(ctx context.Context, run quarantine.Run) {
	verdict := w.judge(ctx, run)
	if w.options.Examined != nil {
		w.options.Examined(verdict)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	runs := w.watch.Judged(time.Now(), run.Life, verdict)
	w.options.Logger.Info("machine_examined", "machine", run.Life, "verdict", verdict.String(), "requests", len(runs))
	if len(runs) > 0 {
		w.startRecording(runs)
	}
}

// judge looks at a machine until it is known what has become of it, or the time is over.
func (w *Watcher) judge(ctx context.Context, run quarantine.Run) quarantine.Verdict {
	ctx, cancel := context.WithTimeout(ctx, examineTime)
	defer cancel()
	for {
		if verdict := w.look(ctx, run).Judge(); verdict != quarantine.VerdictNone {
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
func (w *Watcher) look(ctx context.Context, run quarantine.Run) quarantine.Sign {
	sign := quarantine.Sign{}
	if known, isKnown := w.options.View.Machine(run.Machine); isKnown {
		sign.Replaced = w.options.View.IsReplaced(run.Machine, known.Spec.Endpoint) ||
			quarantine.LifeOf(run.Machine, known.Status.Incarnation) != run.Life
		sign.Leaving = known.Status.Phase == v1.MachineLeaving || known.Status.Phase == v1.MachineGone
	}
	if sign.Judge() != quarantine.VerdictNone {
		return sign
	}
	refused, err := w.options.Probe(ctx, run.Machine, run.Address)
	sign.Accepts, sign.Refuses = err == nil, refused
	return sign
}

// startRecording has runs at one life of a machine recorded; the mutex must be held.
func (w *Watcher) startRecording(runs []quarantine.Run) {
	w.start(func(ctx context.Context) {
		w.record(ctx, runs[0].Life, runs)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.watch.Recorded(runs)
	})
}

// record proposes a crash until it is in the log, however long there is no leader: what is
// forgotten costs the machines of the next tries.
func (w *Watcher) record(ctx context.Context, life string, runs []quarantine.Run) {
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
func (w *Watcher) logQuarantined(runs []quarantine.Run) {
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
	own := w.watch.Suspects()
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
	machines, quarantined := w.watch.Crashed(identity, held)
	doubted := !quarantined && w.watch.Doubted(identity, held)
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

// Completed takes a request that a machine has run to the end.
func (w *Watcher) Completed(identityOf func() quarantine.Identity) {
	if !w.suspects() {
		return
	}
	identity := identityOf()
	recorded := w.options.View.Suspect(identity) != nil
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.watch.Completed(identity, recorded) {
		return
	}
	if !w.start(func(ctx context.Context) { w.clear(ctx, identity) }) {
		w.watch.Cleared(identity)
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
	w.watch.Cleared(identity)
}

// Settled reports whether all that is known of crashes has been recorded.
func (w *Watcher) Settled() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.watch.Settled() && len(w.tasks) == 0
}
