package ingress

import (
	"context"
	"log/slog"
	"sync"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// A request that ends the machines that run it comes again from its caller, at any router.
// So what was at a machine when its process ended is recorded in the replicated log, which
// every router follows, and a request under which machines ended again and again is refused
// by all of them. One of four routers that knew only its own crashes let 10 of 12 machines
// end (TestRequestThatEndsMachinesIsRefusedByAllRouters).

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
	// maxTasks bounds what waits to be found out or recorded.
	maxTasks = 256
	// quarantineRetryAfter is when the caller of a quarantined request is told to come back.
	// Only an operator lets the request run again, so soon is of no use.
	quarantineRetryAfter = 10 * time.Minute
)

// proposeFunc carries a command to the leader.
type proposeFunc func(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error)

// prober tells whether a machine takes connections, or refuses them.
type prober func(ctx context.Context, machine, address string) (refused bool, err error)

// crashWatch finds out which machines ended under requests, has that recorded, and tells which
// requests must not run any more. It is safe for concurrent use.
type crashWatch struct {
	view    *nodeview.View
	logger  *slog.Logger
	metrics *Metrics
	probe   prober
	propose proposeFunc

	mutex sync.Mutex
	watch *quarantine.Watch
	tasks chan func(ctx context.Context)
}

func newCrashWatch(options Options, probe prober) *crashWatch {
	return &crashWatch{
		view: options.View, logger: options.Logger, metrics: options.Metrics, probe: probe, propose: options.Propose,
		watch: quarantine.NewWatch(), tasks: make(chan func(ctx context.Context), maxTasks),
	}
}

// run carries out what requests have asked for until ctx ends.
func (w *crashWatch) run(ctx context.Context) {
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
func (w *crashWatch) start(task func(ctx context.Context)) bool {
	select {
	case w.tasks <- task:
		return true
	default:
		w.logger.Warn("crash_task_dropped", "tasks", len(w.tasks))
		return false
	}
}

// broken takes a request whose answer broke off, or did not come.
func (w *crashWatch) broken(run quarantine.Run) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch w.watch.Broken(time.Now(), run) {
	case quarantine.NextExamine:
		if !w.start(func(ctx context.Context) { w.examine(ctx, run.Machine, run.Address) }) {
			w.watch.Forget(run.Machine)
		}
	case quarantine.NextRecord:
		w.startRecording(run.Machine, []quarantine.Run{run})
	case quarantine.NextDropped:
		w.logger.Warn("crash_not_examined", "machine", run.Machine)
	case quarantine.NextNothing:
	}
}

// examine finds out what has become of a machine, and has a crash recorded.
func (w *crashWatch) examine(ctx context.Context, machine, address string) {
	verdict := w.judge(ctx, machine, address)
	w.metrics.crashes.WithLabelValues(verdict.String()).Inc()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	runs := w.watch.Judged(time.Now(), machine, verdict)
	w.logger.Info("machine_examined", "machine", machine, "verdict", verdict.String(), "requests", len(runs))
	if len(runs) > 0 {
		w.startRecording(machine, runs)
	}
}

// judge looks at a machine until it is known what has become of it, or the time is over.
func (w *crashWatch) judge(ctx context.Context, machine, address string) quarantine.Verdict {
	ctx, cancel := context.WithTimeout(ctx, examineTime)
	defer cancel()
	for {
		if verdict := w.look(ctx, machine, address).Judge(); verdict != quarantine.VerdictNone {
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
func (w *crashWatch) look(ctx context.Context, machine, address string) quarantine.Sign {
	sign := quarantine.Sign{}
	if known, isKnown := w.view.Machine(machine); isKnown {
		sign.Replaced = w.view.Replaced(machine, known.Spec.Endpoint)
		sign.Leaving = known.Status.Phase == v1.MachineLeaving || known.Status.Phase == v1.MachineGone
	}
	if sign.Judge() != quarantine.VerdictNone {
		return sign
	}
	refused, err := w.probe(ctx, machine, address)
	sign.Accepts, sign.Refuses = err == nil, refused
	return sign
}

// startRecording has runs recorded; the mutex must be held.
func (w *crashWatch) startRecording(machine string, runs []quarantine.Run) {
	w.start(func(ctx context.Context) {
		w.record(ctx, machine, runs)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.watch.Recorded(runs)
	})
}

// record proposes a crash until it is in the log, however long there is no leader: what is
// forgotten costs the machines of the next tries.
func (w *crashWatch) record(ctx context.Context, machine string, runs []quarantine.Run) {
	failed := func(reason string) {
		w.logger.Warn("crash_not_recorded", "machine", machine, "requests", len(runs), "error", reason)
	}
	if revision, recorded := w.commit(ctx, quarantine.RecordCommand(machine, runs), failed); recorded {
		w.logger.Info("crash_recorded", "machine", machine, "requests", len(runs), "revision", revision)
		w.awaitRevision(ctx, revision)
	}
}

// commit proposes a command until there is an answer to it. Failed is told of a refusal, and
// of the first try without an answer.
func (w *crashWatch) commit(ctx context.Context, command *wirepb.Command, failed func(reason string)) (revision uint64, committed bool) {
	for tries := 1; ctx.Err() == nil; tries++ {
		limited, cancel := context.WithTimeout(ctx, recordTimeout)
		result, err := w.propose(limited, command)
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
func (w *crashWatch) awaitRevision(ctx context.Context, revision uint64) {
	for {
		changed := w.view.Changed()
		if w.view.Revision() >= revision {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// suspects reports whether machines have ended under any request.
func (w *crashWatch) suspects() bool {
	w.mutex.Lock()
	own := w.watch.Suspects()
	w.mutex.Unlock()
	return own || w.view.HasSuspects()
}

// crashed returns the machines that ended under a request, as far as this router knows, and
// whether it must not run any more.
func (w *crashWatch) crashed(identity quarantine.Identity) (machines []string, quarantined bool) {
	held := w.view.Suspect(identity)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.watch.Crashed(identity, held)
}

// completed takes a request that a machine has run to the end.
func (w *crashWatch) completed(identity quarantine.Identity) {
	recorded := w.view.Suspect(identity) != nil
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.watch.Completed(identity, recorded) {
		return
	}
	if !w.start(func(ctx context.Context) { w.clear(ctx, identity) }) {
		w.watch.Cleared(identity)
	}
}

func (w *crashWatch) clear(ctx context.Context, identity quarantine.Identity) {
	failed := func(reason string) {
		w.logger.Warn("suspect_not_cleared", "identity", identity.String(), "error", reason)
	}
	if revision, committed := w.commit(ctx, quarantine.ClearCommand(identity), failed); committed {
		w.logger.Info("suspect_cleared", "identity", identity.String(), "revision", revision)
		w.awaitRevision(ctx, revision)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.watch.Cleared(identity)
}
