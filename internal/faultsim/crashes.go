package faultsim

import (
	"time"

	"github.com/weldline/weldline/api/engine"
	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/ratelimit"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// A culprit's caller comes back after culpritSoonest to culpritLatest, to any router, and
	// sometimes to two at once, until culpritsEnd: well beyond the last fault, so that
	// what happens in calm is seen as well.
	culpritSoonest = 100 * time.Millisecond
	culpritLatest  = 1200 * time.Millisecond
	culpritsEnd    = 32 * time.Second
	// An engine ends after crashSoonest to crashLatest of running a culprit, and is back after
	// engineBackSoonest to engineBackLatest.
	crashSoonest      = 5 * time.Millisecond
	crashLatest       = 150 * time.Millisecond
	engineBackSoonest = time.Second
	engineBackLatest  = 4 * time.Second
	// resetInterval is between two resets of the connections of one engine, which goes on.
	resetInterval = 400 * time.Millisecond
	// innocentTries is how often the caller of another request comes back after its answer
	// broke off.
	innocentTries = 3
	// probeTimeout, probePause and examineTime are as in the ingress.
	probeTimeout = 150 * time.Millisecond
	probePause   = 100 * time.Millisecond
	examineTime  = 1500 * time.Millisecond
	recordPause  = 100 * time.Millisecond
	recordLimit  = time.Second
)

// content is what a request is, whichever router it comes to.
type content struct {
	identity quarantine.Identity
	model    string
	// culprit is set where the request ends each engine that runs it.
	culprit bool
	tries   int
}

func (w *world) newContent(name, model string, culprit bool) *content {
	return &content{identity: quarantine.Identify(quarantine.Content{Target: name}), model: model, culprit: culprit}
}

// sendCulprit lets a caller come back with a request that ends engines, again and again.
func (w *world) sendCulprit(target int) {
	w.culprits++
	culprit := w.newContent(numbered("culprit", w.culprits), numbered("model", target%modelCount), true)
	w.checks.culprits = append(w.checks.culprits, culprit)
	w.comeBack(culprit)
}

func (w *world) comeBack(culprit *content) {
	w.After(w.span(culpritSoonest, culpritLatest), func() {
		if w.Now() > culpritsEnd {
			return
		}
		copies := 1
		if w.random.IntN(4) == 0 {
			copies = 2
		}
		for range copies {
			w.sendContent(culprit)
		}
		w.comeBack(culprit)
	})
}

func (w *world) sendContent(sent *content) {
	router := w.routers[w.random.IntN(routerCount)]
	if router.up {
		router.run(router.epoch, func() { router.infer(sent) })
	}
}

// resetConnections breaks the connections of one engine after the other, for a while.
func (w *world) resetConnections(until time.Duration) {
	w.repeatUntil(resetInterval, until, func() { w.machines[w.random.IntN(machineCount)].reset() })
}

// reset breaks the connections of an engine that goes on.
func (m *machine) reset() {
	for _, sent := range m.breakRuns() {
		m.resets = append(m.resets, resetRun{sent: sent, at: m.world.Now()})
	}
}

// resetRun is a request whose connection was reset.
type resetRun struct {
	sent *content
	at   time.Duration
}

// noteEnd tells the checks under which requests the engine has ended. A router that learns
// late of a reset looks when the engine has ended.
func (m *machine) noteEnd() {
	for _, sent := range m.breakRuns() {
		m.world.checks.endedUnder(m.life(), sent)
	}
	for _, held := range m.engine.Replicas() {
		if held.Phase == engine.PhaseLoading {
			m.world.checks.truthOf(quarantine.LoadIdentity(held.Order.Version)).lives[m.life()] = true
		}
	}
	for _, version := range m.unseenEnds {
		m.world.checks.truthOf(quarantine.LoadIdentity(version)).near[m.life()] = true
	}
	for _, reset := range m.resets {
		if m.world.Now()-reset.at <= lateDelay+examineTime {
			m.world.checks.truthOf(reset.sent.identity).near[m.life()] = true
		}
	}
	m.resets = nil
}

// openRun is a request that an engine runs, and how its router learns of the end.
type openRun struct {
	sent  *content
	reply func(engineAnswer)
}

// engineAnswer is what a router gets from an engine: how the request ended, and what the engine states.
type engineAnswer struct {
	end   runEnd
	limit ratelimit.Limit
}

// runEnd is how a request ended at an engine.
type runEnd int

const (
	// runRefused: the engine does not take requests for the replica.
	runRefused runEnd = iota
	// runRejected: the engine is overloaded, and asks the router for a rest.
	runRejected
	// runWhole: the answer is whole.
	runWhole
	// runBroken: the connection broke before the end of the answer.
	runBroken
)

// life names one life of the machine's engine.
func (m *machine) life() string {
	return quarantine.InstanceName(m.name, m.incarnation)
}

// breakRuns breaks the connections of all that runs, and returns what that was.
func (m *machine) breakRuns() []*content {
	var broken []*content
	for _, run := range m.open {
		broken = append(broken, run.sent)
		run.reply(engineAnswer{end: runBroken})
	}
	m.open = nil
	return broken
}

// endUnder ends the engine because of what it runs.
func (m *machine) endUnder() {
	if !m.up {
		return
	}
	m.crashEngine()
	m.restart(m.world.span(engineBackSoonest, engineBackLatest))
}

// close ends a run whose answer is whole; false if its connection broke before.
func (m *machine) close(run *openRun) bool {
	for position, open := range m.open {
		if open == run {
			m.open = append(m.open[:position], m.open[position+1:]...)
			return true
		}
	}
	return false
}

// noteBroken takes a request whose answer from a machine broke off.
func (r *routerNode) noteBroken(machineName, life string, sent *content) {
	run := quarantine.BrokenRequest{Machine: machineName, Instance: life, Identity: sent.identity}
	switch r.crashes.AddBroken(r.wall(), run) {
	case quarantine.ActionProbe:
		r.examine(run, r.world.Now()+examineTime)
	case quarantine.ActionRecord:
		r.record([]quarantine.BrokenRequest{run})
	default:
	}
}

// examine looks at a machine until it is known what has become of it.
func (r *routerNode) examine(run quarantine.BrokenRequest, until time.Duration) {
	conclude := func(verdict quarantine.Verdict) {
		if runs := r.crashes.ApplyVerdict(r.wall(), run.Instance, verdict); len(runs) > 0 {
			r.record(runs)
		}
	}
	r.look(run, func(sign quarantine.Evidence) {
		if r.world.mutation == MutationResetCountsAsCrash && sign.Accepts {
			sign.Accepts, sign.Refuses = false, true
		}
		switch verdict := sign.Verdict(); {
		case verdict != quarantine.VerdictPending:
			conclude(verdict)
		case r.world.Now() >= until:
			conclude(quarantine.VerdictUnknown)
		default:
			r.after(probePause, func() { r.examine(run, until) })
		}
	})
}

// look takes what the view tells of a machine, and what its system does with a connection.
func (r *routerNode) look(run quarantine.BrokenRequest, done func(quarantine.Evidence)) {
	hit := r.world.machineNamed(run.Machine)
	sign := quarantine.Evidence{}
	if known, isKnown := r.view.Machine(run.Machine); isKnown {
		sign.Leaving = known.Status.Phase == v1.MachineLeaving || known.Status.Phase == v1.MachineGone
	}
	settled := false
	settle := func() {
		if !settled {
			settled = true
			done(sign)
		}
	}
	r.after(probeTimeout, settle)
	w := r.world
	if hit.gone || !w.reaches(&r.process, &hit.process) || w.random.Float64() < w.network.loss {
		return
	}
	w.After(2*baseDelay, func() {
		sign.Accepts = hit.up && hit.life() == run.Instance
		sign.Refuses = !hit.up
		sign.Replaced = hit.up && hit.life() != run.Instance
		r.run(r.epoch, settle)
	})
}

// record proposes a crash until it is in the log and in the view.
func (r *routerNode) record(runs []quarantine.BrokenRequest) {
	if r.world.mutation == MutationUnsharedCrashes {
		return
	}
	r.commit(quarantine.RecordCommand(runs[0].Instance, runs), func() { r.crashes.MarkRecorded(runs) })
}

// commit proposes a command until there is an answer, and goes on once the view holds it.
func (r *routerNode) commit(command *wirepb.Command, next func()) {
	upstream := r.world.controls[r.upstream%controlCount]
	call(&r.process, &upstream.process, recordLimit, func(reply func(outcome)) {
		upstream.submit(command, reply)
	}, func(answer outcome, answered bool) {
		if !answered || answer.err != nil {
			r.after(recordPause, func() { r.commit(command, next) })
			return
		}
		r.awaitRevision(answer.result.GetWrite().GetRevision(), next)
	})
}

func (r *routerNode) awaitRevision(revision uint64, next func()) {
	if r.view.Revision() >= revision {
		next()
		return
	}
	r.after(pollInterval, func() { r.awaitRevision(revision, next) })
}

// noteWhole takes a request that a machine has run to the end.
func (r *routerNode) noteWhole(sent *content) {
	if r.crashes.Complete(sent.identity, r.view.Suspect(sent.identity) != nil) {
		r.commit(quarantine.ClearCommand(sent.identity), func() { r.crashes.MarkCleared(sent.identity) })
	}
}

// forgetConvictions is what a leader does first under MutationForgetQuarantine.
func (c *controlNode) forgetConvictions() {
	if c.world.mutation != MutationForgetQuarantine {
		return
	}
	for _, object := range c.member.State.List(v1.KindSuspect) {
		if identity, err := quarantine.ParseIdentity(object.GetName()); err == nil {
			c.propose(quarantine.ClearCommand(identity), func(*wirepb.CommandResult, error) {})
		}
	}
}
