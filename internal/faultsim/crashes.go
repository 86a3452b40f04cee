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
	// The client of a poison request resends it to random routers, sometimes to two at once, until
	// poisonEnd. That is well after the last fault, to cover fault-free operation.
	minRetryInterval = 100 * time.Millisecond
	maxRetryInterval = 1200 * time.Millisecond
	poisonEnd        = 32 * time.Second
	// A poison request crashes its engine after minCrashDelay to maxCrashDelay. The engine restarts
	// after minEngineRestart to maxEngineRestart.
	minCrashDelay    = 5 * time.Millisecond
	maxCrashDelay    = 150 * time.Millisecond
	minEngineRestart = time.Second
	maxEngineRestart = 4 * time.Second
	// resetInterval is the mean time between connection resets; the engine keeps running.
	resetInterval = 400 * time.Millisecond
	// maxAttempts limits the sends of an ordinary request whose response was cut off.
	maxAttempts = 3
	// The probe timings match the ingress.
	probeTimeout     = 150 * time.Millisecond
	probeInterval    = 100 * time.Millisecond
	probeWindow      = 1500 * time.Millisecond
	recordRetryDelay = 100 * time.Millisecond
	recordTimeout    = time.Second
	// Consecutive requests are subjectStep apart in the list of subjects, which is coprime to their number.
	subjectCount = 24
	subjectStep  = 7
)

// requestContent is a request independently of the router that handles it.
type requestContent struct {
	identity quarantine.Identity
	model    string
	// parts are the parts of the prompt that other requests share.
	parts []string
	// poison is what crashes every engine that runs the request: the request itself or a part of its prompt. It
	// is nil for an ordinary request.
	poison   *quarantine.Suspect
	attempts int
}

// newRequestContent returns an ordinary request. The first part of its prompt is common to all requests, the second
// one to few.
func (s *simulation) newRequestContent(name, model string) *requestContent {
	content := &requestContent{identity: quarantine.Identify(quarantine.Content{Target: name}), model: model}
	if s.hasPoisonPart {
		content.parts = []string{"head", numbered("subject", s.inferenceCount*subjectStep%subjectCount)}
	}
	return content
}

// suspects returns the request and the parts of its prompt.
func (content *requestContent) suspects() []quarantine.Suspect {
	return append([]quarantine.Suspect{{Identity: content.identity}}, quarantine.PartSuspects(content.parts)...)
}

// startPoisonRequest starts a client that keeps resending a request that crashes engines.
func (s *simulation) startPoisonRequest(target int) {
	s.poisonCount++
	content := s.newRequestContent(numbered("culprit", s.poisonCount), numbered("model", target%s.shape.Models))
	content.poison = &quarantine.Suspect{Identity: content.identity}
	s.checks.poisons = append(s.checks.poisons, *content.poison)
	s.repeatPoison(func() *requestContent { return content })
}

// startPoisonPart starts a client that sends requests for all models that share a part of their prompts, and
// nothing else that is harmful.
func (s *simulation) startPoisonPart() {
	s.poisonCount++
	part := numbered("harmful", s.poisonCount)
	poison := quarantine.PartSuspects([]string{part})[0]
	s.checks.poisons = append(s.checks.poisons, poison)
	sent := 0
	s.repeatPoison(func() *requestContent {
		sent++
		content := s.newRequestContent(numbered(part+"-request", sent), numbered("model", s.random.IntN(s.shape.Models)))
		content.parts = append(content.parts, part)
		content.poison = &poison
		return content
	})
}

// repeatPoison sends harmful requests to random routers.
func (s *simulation) repeatPoison(next func() *requestContent) {
	s.After(s.randomDuration(minRetryInterval, maxRetryInterval), func() {
		if s.Now() > poisonEnd {
			return
		}
		copies := 1
		if s.random.IntN(4) == 0 {
			copies = 2
		}
		for range copies {
			s.sendRequest(next())
		}
		s.repeatPoison(next)
	})
}

func (s *simulation) sendRequest(content *requestContent) {
	router := s.routers[s.random.IntN(s.shape.Routers)]
	if router.up {
		router.run(router.epoch, func() { router.handleInference(content) })
	}
}

// resetConnections periodically resets the connections of a random engine.
func (s *simulation) resetConnections(until time.Duration) {
	s.repeatUntil(resetInterval, until, func() { s.machines[s.random.IntN(s.shape.Machines)].resetConnections() })
}

// resetConnections breaks the connections of the engine without stopping it.
func (m *machine) resetConnections() {
	for _, content := range m.breakRequests() {
		m.resets = append(m.resets, resetRequest{content: content, at: m.sim.Now()})
	}
}

// resetRequest is a request whose connection was reset.
type resetRequest struct {
	content *requestContent
	at      time.Duration
}

// recordCrash records which requests and loads the engine was running when it crashed. Routers may
// learn late of a reset and then find the engine crashed, so recently reset requests count as possible
// causes.
func (m *machine) recordCrash() {
	for _, content := range m.breakRequests() {
		m.sim.checks.recordCrash(m.instanceName(), content)
	}
	for _, replica := range m.engine.Replicas() {
		if replica.Phase == engine.PhaseLoading {
			m.sim.checks.crashRecordOf(quarantine.LoadIdentity(replica.Order.Version)).instances[m.instanceName()] = true
		}
	}
	for _, version := range m.unreportedLoads {
		m.sim.checks.crashRecordOf(quarantine.LoadIdentity(version)).possibleInstances[m.instanceName()] = true
	}
	for _, reset := range m.resets {
		if m.sim.Now()-reset.at > maxLateDelay+probeWindow {
			continue
		}
		for _, suspect := range reset.content.suspects() {
			m.sim.checks.crashRecordOf(suspect.Identity).possibleInstances[m.instanceName()] = true
		}
	}
	m.resets = nil
}

type runningRequest struct {
	content *requestContent
	reply   func(engineResponse)
}

// engineResponse is the result of a request and the rate limit that the engine advertises.
type engineResponse struct {
	result runResult
	limit  ratelimit.Limit
}

// runResult is how a request ended at an engine.
type runResult int

const (
	// runRefused: the replica does not accept requests.
	runRefused runResult = iota
	// runRejected: the engine is overloaded and requests a backoff.
	runRejected
	// runCompleted: the response is complete.
	runCompleted
	// runBroken: the connection broke before the end of the response.
	runBroken
)

// instanceName identifies the current engine process of the machine.
func (m *machine) instanceName() string {
	return quarantine.InstanceName(m.name, m.incarnation)
}

// breakRequests breaks the connections of all running requests and returns the requests.
func (m *machine) breakRequests() []*requestContent {
	var broken []*requestContent
	for _, run := range m.running {
		broken = append(broken, run.content)
		run.reply(engineResponse{result: runBroken})
	}
	m.running = nil
	return broken
}

func (m *machine) crashAndRestart() {
	if !m.up {
		return
	}
	m.crashEngine()
	m.restart(m.sim.randomDuration(minEngineRestart, maxEngineRestart))
}

// finishRequest removes a completed request; false if its connection broke before.
func (m *machine) finishRequest(run *runningRequest) bool {
	for position, open := range m.running {
		if open == run {
			m.running = append(m.running[:position], m.running[position+1:]...)
			return true
		}
	}
	return false
}

// handleBroken handles a request whose response was cut off.
func (r *routerNode) handleBroken(machineName, instance string, content *requestContent) {
	run := quarantine.BrokenRequest{Machine: machineName, Instance: instance, Identity: content.identity, PromptParts: r.suspectedParts(content)}
	run = r.crashes.WithoutRecent(r.wall(), run)
	switch r.crashes.AddBroken(r.wall(), run) {
	case quarantine.ActionProbe:
		r.probe(run, r.sim.Now()+probeWindow)
	case quarantine.ActionRecord:
		r.recordCrash([]quarantine.BrokenRequest{run})
	default:
	}
}

// probe examines a machine repeatedly until it is clear whether its engine crashed or the time is up.
func (r *routerNode) probe(run quarantine.BrokenRequest, until time.Duration) {
	conclude := func(verdict quarantine.Verdict) {
		if runs := r.crashes.ApplyVerdict(r.wall(), run.Instance, verdict); len(runs) > 0 {
			r.recordCrash(runs)
		}
	}
	r.collectEvidence(run, func(evidence quarantine.Evidence) {
		if r.sim.mutation == MutationResetCountsAsCrash && evidence.Accepts {
			evidence.Accepts, evidence.Refuses = false, true
		}
		switch verdict := evidence.Verdict(); {
		case verdict != quarantine.VerdictPending:
			conclude(verdict)
		case r.sim.Now() >= until:
			conclude(quarantine.VerdictUnknown)
		default:
			r.after(probeInterval, func() { r.probe(run, until) })
		}
	})
}

// collectEvidence combines the machine's phase in the view with the result of a connection attempt.
func (r *routerNode) collectEvidence(run quarantine.BrokenRequest, done func(quarantine.Evidence)) {
	target := r.sim.machineNamed(run.Machine)
	evidence := quarantine.Evidence{}
	if known, isKnown := r.view.Machine(run.Machine); isKnown {
		evidence.Leaving = known.Status.Phase == v1.MachineLeaving || known.Status.Phase == v1.MachineGone
	}
	settled := false
	settle := func() {
		if !settled {
			settled = true
			done(evidence)
		}
	}
	r.after(probeTimeout, settle)
	s := r.sim
	if target.removed || !s.canReach(&r.process, &target.process) || s.random.Float64() < s.network.loss {
		return
	}
	s.After(2*baseDelay, func() {
		evidence.Accepts = target.up && target.instanceName() == run.Instance
		evidence.Refuses = !target.up
		evidence.OthersReachable = r.reachesOther(target)
		evidence.Replaced = target.up && target.instanceName() != run.Instance
		r.run(r.epoch, settle)
	})
}

// reachesOther reports whether the router reaches another machine that is up, or there is no other.
func (r *routerNode) reachesOther(target *machine) bool {
	others := 0
	for _, other := range r.sim.machines {
		if other == target || other.removed {
			continue
		}
		others++
		if other.up && r.sim.canReach(&r.process, &other.process) {
			return true
		}
	}
	return others == 0
}

// recordCrash proposes crash records until the view contains them.
func (r *routerNode) recordCrash(runs []quarantine.BrokenRequest) {
	if r.sim.mutation == MutationUnsharedCrashes {
		return
	}
	r.commit(quarantine.RecordCommand(runs[0].Instance, runs), func() { r.crashes.MarkRecorded(runs) })
}

// commit proposes a command until it is answered, and calls next once the view contains it.
func (r *routerNode) commit(command *wirepb.Command, next func()) {
	upstream := r.sim.controls[r.upstream%controlCount]
	call(&r.process, &upstream.process, recordTimeout, func(reply func(commandReply)) {
		upstream.submit(command, reply)
	}, func(answer commandReply, answered bool) {
		if !answered || answer.err != nil {
			r.after(recordRetryDelay, func() { r.commit(command, next) })
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

// suspectedParts returns the parts of a prompt that the router takes into account.
func (r *routerNode) suspectedParts(content *requestContent) []string {
	if r.sim.mutation == MutationIgnorePromptParts {
		return nil
	}
	return content.parts
}

// handleCompleted clears the suspicion of a request that an engine has completed, and of its prompt parts.
func (r *routerNode) handleCompleted(content *requestContent) {
	suspects := content.suspects()
	if r.sim.mutation == MutationKeepPartSuspicion {
		suspects = suspects[:1]
	} else {
		r.crashes.RememberCompleted(r.wall(), content.parts)
		r.crashes.RememberRequest(r.wall(), content.identity)
	}
	var cleared []quarantine.Identity
	for _, suspect := range suspects {
		if r.crashes.Complete(suspect.Identity, r.view.Suspect(suspect.Identity) != nil) {
			cleared = append(cleared, suspect.Identity)
		}
	}
	if len(cleared) == 0 {
		return
	}
	r.commit(quarantine.ClearCommand(cleared...), func() {
		for _, identity := range cleared {
			r.crashes.MarkCleared(identity)
		}
	})
}

// isQuarantined reports whether a request must currently not be sent to any engine.
func (r *routerNode) isQuarantined(content *requestContent) bool {
	refused := false
	for _, suspect := range content.suspects() {
		recorded := r.view.Suspect(suspect.Identity)
		machines, quarantined := r.crashes.Crashes(suspect, recorded)
		if quarantined && suspect.Part != "" && r.sim.mutation != MutationKeepPartSuspicion {
			quarantined = !quarantine.IsExplained(machines, r.view.CrashesOfOtherParts(content.parts))
		}
		completed := suspect.Part == "" && r.crashes.CompletedRecently(r.wall(), suspect)
		refused = refused || quarantined && !completed || r.crashes.IsPending(r.wall(), suspect, recorded)
	}
	r.sim.checks.recordAdmission(r, content, refused)
	return refused
}

// clearQuarantines deletes all suspect records under MutationForgetQuarantine.
func (c *controlNode) clearQuarantines() {
	if c.sim.mutation != MutationForgetQuarantine {
		return
	}
	for _, object := range c.member.State.List(v1.KindSuspect) {
		if identity, err := quarantine.ParseIdentity(object.GetName()); err == nil {
			c.propose(quarantine.ClearCommand(identity), func(*wirepb.CommandResult, error) {})
		}
	}
}
