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
	// verdictLifetime is how long a verdict on a machine is kept for requests whose ends are
	// noticed later, on other connections.
	verdictLifetime = 10 * time.Second
	// recordTimeout bounds one try to record a crash, and recordPause is before the next one:
	// a leader changes within a second or two.
	recordTimeout = time.Second
	recordPause   = 100 * time.Millisecond
	// maxExamined bounds the machines that are looked at, or remembered, at a time. Beyond it
	// crashes go unrecorded; a router has requests at so many machines only where all of them
	// end at once, which one request does not do.
	maxExamined = 256
	// maxPerCrash bounds the requests recorded of one crash.
	maxPerCrash = 256
	// quarantineRetryAfter is when the caller of a quarantined request is told to come back.
	// Only an operator lets the request run again, so soon is of no use.
	quarantineRetryAfter = 10 * time.Minute
)

// proposeFunc carries a command to the leader.
type proposeFunc func(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error)

// prober tells whether a machine takes connections, or refuses them.
type prober func(ctx context.Context, machine, address string) (refused bool, err error)

// brokenRun is a request whose answer broke off, or did not come.
type brokenRun struct {
	machine, address string
	identity         quarantine.Identity
	route, tenant    string
}

// verdict is what has become of a machine whose answers broke off.
type verdict int

const (
	// verdictNone: it is not known yet.
	verdictNone verdict = iota
	// verdictEnded: its process ended, and nobody planned that.
	verdictEnded
	// verdictAlive: it takes connections, so only those that stood have broken.
	verdictAlive
	// verdictPlanned: it was leaving.
	verdictPlanned
	// verdictUnknown: it neither takes nor refuses connections: it is cut off, or dark.
	verdictUnknown
)

// String names the verdict in logs and metrics.
func (v verdict) String() string {
	return [...]string{"none", "ended", "alive", "planned", "unknown"}[v]
}

// examination is what is found out about one machine.
type examination struct {
	verdict verdict
	// until is when the verdict is forgotten.
	until time.Time
	runs  []brokenRun
}

// crashWatch finds out which machines ended under requests, has that recorded, and tells which
// requests must not run any more. It is safe for concurrent use.
type crashWatch struct {
	view    *nodeview.View
	logger  *slog.Logger
	metrics *Metrics
	probe   prober
	propose proposeFunc

	mutex    sync.Mutex
	examined map[string]*examination
	// own are the crashes that the view may not hold yet: the machines, by request.
	own map[quarantine.Identity]map[string]bool
	// clearing are the requests whose records are being dropped.
	clearing map[quarantine.Identity]bool
	tasks    chan func(ctx context.Context)
}

func newCrashWatch(options Options, probe prober) *crashWatch {
	return &crashWatch{
		view: options.View, logger: options.Logger, metrics: options.Metrics, probe: probe, propose: options.Propose,
		examined: map[string]*examination{}, own: map[quarantine.Identity]map[string]bool{},
		clearing: map[quarantine.Identity]bool{}, tasks: make(chan func(ctx context.Context), maxExamined),
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
func (w *crashWatch) broken(run brokenRun) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.forgetVerdicts()
	held := w.examined[run.machine]
	switch {
	case held == nil && len(w.examined) < maxExamined:
		held = &examination{runs: []brokenRun{run}}
		if w.start(func(ctx context.Context) { w.examine(ctx, run.machine, run.address) }) {
			w.examined[run.machine] = held
		}
	case held == nil:
		w.logger.Warn("crash_not_examined", "machine", run.machine, "examined", len(w.examined))
	case held.verdict == verdictNone && len(held.runs) < maxPerCrash:
		held.runs = append(held.runs, run)
	case held.verdict == verdictEnded:
		w.recordLocked(run.machine, []brokenRun{run})
	}
}

// forgetVerdicts drops verdicts whose time has passed; the mutex must be held.
func (w *crashWatch) forgetVerdicts() {
	now := time.Now()
	for machine, held := range w.examined {
		if held.verdict != verdictNone && now.After(held.until) {
			delete(w.examined, machine)
		}
	}
}

// examine finds out what has become of a machine, and records a crash.
func (w *crashWatch) examine(ctx context.Context, machine, address string) {
	found := w.judge(ctx, machine, address)
	w.metrics.crashes.WithLabelValues(found.String()).Inc()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	held := w.examined[machine]
	runs := held.runs
	held.verdict, held.until, held.runs = found, time.Now().Add(verdictLifetime), nil
	w.logger.Info("machine_examined", "machine", machine, "verdict", found.String(), "requests", len(runs))
	if found == verdictEnded {
		w.recordLocked(machine, runs)
	}
}

// judge tells what has become of a machine whose answers broke off. A process that has ended
// refuses connections, or another one registers at its address; one whose connections were
// reset takes new ones; one that is cut off does neither.
func (w *crashWatch) judge(ctx context.Context, machine, address string) verdict {
	ctx, cancel := context.WithTimeout(ctx, examineTime)
	defer cancel()
	for {
		known, isKnown := w.view.Machine(machine)
		switch {
		case isKnown && w.view.Replaced(machine, known.Spec.Endpoint):
			return verdictEnded
		case isKnown && (known.Status.Phase == v1.MachineLeaving || known.Status.Phase == v1.MachineGone):
			return verdictPlanned
		}
		refused, err := w.probe(ctx, machine, address)
		switch {
		case err == nil:
			return verdictAlive
		case refused:
			return verdictEnded
		}
		select {
		case <-ctx.Done():
			return verdictUnknown
		case <-time.After(examinePause):
		}
	}
}

// recordLocked has a crash recorded; the mutex must be held. This router heeds it at once.
func (w *crashWatch) recordLocked(machine string, runs []brokenRun) {
	command := &wirepb.RecordCrashCommand{Machine: machine}
	for _, run := range runs {
		if w.own[run.identity] == nil {
			w.own[run.identity] = map[string]bool{}
		}
		w.own[run.identity][machine] = true
		command.Requests = append(command.Requests, &wirepb.SuspectRequest{
			Identity: run.identity[:], Route: run.route, Tenant: run.tenant,
		})
	}
	w.start(func(ctx context.Context) {
		w.record(ctx, command)
		w.forgetOwn(machine, runs)
	})
}

// record proposes a crash until it is in the log, however long there is no leader: what is
// forgotten costs the machines of the next tries.
func (w *crashWatch) record(ctx context.Context, command *wirepb.RecordCrashCommand) {
	failed := func(reason string) {
		w.logger.Warn("crash_not_recorded", "machine", command.GetMachine(), "requests", len(command.GetRequests()), "error", reason)
	}
	revision, recorded := w.commit(ctx, &wirepb.Command{Body: &wirepb.Command_RecordCrash{RecordCrash: command}}, failed)
	if !recorded {
		return
	}
	w.logger.Info("crash_recorded", "machine", command.GetMachine(), "requests", len(command.GetRequests()), "revision", revision)
	w.awaitRevision(ctx, revision)
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

// forgetOwn drops a crash that the view holds by now.
func (w *crashWatch) forgetOwn(machine string, runs []brokenRun) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, run := range runs {
		delete(w.own[run.identity], machine)
		if len(w.own[run.identity]) == 0 {
			delete(w.own, run.identity)
		}
	}
}

// suspects reports whether machines have ended under any request.
func (w *crashWatch) suspects() bool {
	w.mutex.Lock()
	own := len(w.own)
	w.mutex.Unlock()
	return own > 0 || w.view.HasSuspects()
}

// crashed returns the machines that ended under a request, as far as this router knows, and
// whether it must not run any more.
func (w *crashWatch) crashed(identity quarantine.Identity) (machines []string, quarantined bool) {
	if held := w.view.Suspect(identity); held != nil {
		machines, quarantined = append(machines, held.Machines...), held.Quarantined
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	seen := map[string]bool{}
	for _, machine := range machines {
		seen[machine] = true
	}
	for machine := range w.own[identity] {
		if !seen[machine] {
			machines = append(machines, machine)
		}
	}
	return machines, quarantined || len(machines) >= quarantine.CrashesToQuarantine
}

// completed takes a request that a machine has run to the end: a machine that ended under it
// ended for another reason.
func (w *crashWatch) completed(identity quarantine.Identity) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.own, identity)
	if w.view.Suspect(identity) == nil || w.clearing[identity] {
		return
	}
	w.clearing[identity] = true
	command := &wirepb.Command{Body: &wirepb.Command_ClearSuspects{ClearSuspects: &wirepb.ClearSuspectsCommand{Identities: [][]byte{identity[:]}}}}
	if !w.start(func(ctx context.Context) { w.clear(ctx, identity, command) }) {
		delete(w.clearing, identity)
	}
}

func (w *crashWatch) clear(ctx context.Context, identity quarantine.Identity, command *wirepb.Command) {
	failed := func(reason string) {
		w.logger.Warn("suspect_not_cleared", "identity", identity.String(), "error", reason)
	}
	if revision, committed := w.commit(ctx, command, failed); committed {
		w.logger.Info("suspect_cleared", "identity", identity.String(), "revision", revision)
		w.awaitRevision(ctx, revision)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.clearing, identity)
}
