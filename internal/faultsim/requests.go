package faultsim

import (
	"strconv"
	"time"

	"github.com/weldline/weldline/internal/claims"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	inferenceInterval = 60 * time.Millisecond
	holdInterval      = 150 * time.Millisecond
	holdDeadline      = 3 * time.Second
	maxHoldTries      = 4
	claimTimeout      = 1500 * time.Millisecond
	claimRetry        = 50 * time.Millisecond
	// answerGrace is how long after its deadline a request must have ended.
	answerGrace = 200 * time.Millisecond
)

// verdict is what a caller is told.
type verdict string

const (
	verdictAnswered verdict = "answered"
	verdictNotRun   verdict = "not-run"
	verdictUnknown  verdict = "unknown"
)

func (w *world) startTraffic() {
	w.repeatUntil(inferenceInterval, trafficEnd, w.sendInference)
	w.repeatUntil(holdInterval, trafficEnd, w.sendHold)
}

func (w *world) repeatUntil(interval, end time.Duration, action func()) {
	w.After(w.span(interval/2, interval*3/2), func() {
		if w.Now() < end {
			action()
			w.repeatUntil(interval, end, action)
		}
	})
}

// inference is a request for a model at one router.
type inference struct {
	router  *routerNode
	id      string
	sent    *content
	request *dispatch.Request
	ended   bool
}

func (w *world) sendInference() {
	router := w.routers[w.random.IntN(routerCount)]
	if !router.up {
		return
	}
	w.inferences++
	sent := w.newContent(numbered("inference", w.inferences), numbered("model", w.random.IntN(modelCount)), false)
	router.run(router.epoch, func() { router.infer(sent) })
}

func (r *routerNode) infer(sent *content) {
	r.requests++
	entry := &inference{router: r, id: r.requestID(), sent: sent}
	deadline := r.world.span(2*time.Second, 8*time.Second)
	target, known := r.view.Resolve(sent.model)
	if !r.serving() || !known || r.isQuarantined(sent) {
		entry.end(verdictNotRun)
		return
	}
	entry.request = &dispatch.Request{
		ID: r.requests, Version: target.Version, Arrived: r.wall(), Deadline: r.wall().Add(deadline),
		Priority: int32(r.world.random.IntN(3)),
	}
	r.expectEnd(entry, deadline+answerGrace)
	r.waiting[entry.request.ID] = entry
	r.deliver(r.core.Submit(r.wall(), entry.request))
}

// isQuarantined reports whether a request must not be sent to any engine, for now at least.
func (r *routerNode) isQuarantined(sent *content) bool {
	held := r.view.Suspect(sent.identity)
	_, quarantined := r.crashes.Crashes(sent.identity, held)
	refused := quarantined || r.crashes.IsPending(sent.identity, held)
	if refused && !sent.culprit {
		r.world.checks.innocentsRefused++
	}
	return refused
}

func (r *routerNode) requestID() string {
	return r.name + "/" + strconv.FormatUint(r.incarnation, 10) + "/" + strconv.FormatUint(r.requests, 10)
}

// expectEnd checks that a request has ended in time; a frozen router gets as
// much time more as it was frozen.
func (r *routerNode) expectEnd(entry *inference, allowed time.Duration) {
	r.after(allowed, func() {
		r.after(answerGrace, func() {
			if !entry.ended {
				r.world.checks.violate(CheckDropped, "%s got no outcome", entry.id)
			}
		})
	})
}

func (entry *inference) end(result verdict) {
	if entry.ended {
		return
	}
	entry.ended = true
	entry.router.world.checks.told(entry.id, result)
}

// deliver carries out what the dispatch core decided.
func (r *routerNode) deliver(outcome dispatch.Outcome) {
	for _, grant := range outcome.Grants {
		entry := r.waiting[grant.Request.ID]
		delete(r.waiting, grant.Request.ID)
		switch {
		case entry == nil:
		case r.isQuarantined(entry.sent):
			// It was let in before, and has waited for a place meanwhile.
			entry.end(verdictNotRun)
			r.deliver(r.core.Release(r.wall(), grant, dispatch.ResultNotRun))
		default:
			r.sendPermitted(entry, grant)
		}
	}
	for _, refusal := range outcome.Refusals {
		entry := r.waiting[refusal.Request.ID]
		delete(r.waiting, refusal.Request.ID)
		if entry != nil {
			entry.end(verdictNotRun)
		}
	}
}

func (r *routerNode) sendToEngine(entry *inference, grant dispatch.Grant) {
	target := r.world.machineNamed(grant.Target.Machine)
	left := grant.Request.Deadline.Sub(r.wall())
	took := r.world.span(20*time.Millisecond, 800*time.Millisecond)
	sentAt := r.clock()
	life := r.view.InstanceName(grant.Target.Machine, grant.Target.Replica)
	call(&r.process, &target.process, max(left, 0), func(reply func(engineAnswer)) {
		target.serve(r, entry, grant.Target.Replica, took, reply)
	}, func(answer engineAnswer, answered bool) {
		end := answer.end
		if answered && end != runBroken {
			r.observeLimit(target, answer.limit, sentAt)
		}
		switch {
		case !answered:
			r.deliver(r.core.Release(r.wall(), grant, dispatch.ResultFailed))
			entry.end(verdictUnknown)
		case end == runBroken:
			r.deliver(r.core.Release(r.wall(), grant, dispatch.ResultFailed))
			entry.end(verdictUnknown)
			r.noteBroken(target.name, life, entry.sent)
			r.world.tryAgain(entry.sent)
		case end == runWhole:
			r.deliver(r.core.Release(r.wall(), grant, dispatch.ResultOK))
			entry.end(verdictAnswered)
			r.noteWhole(entry.sent)
		case end == runRejected:
			r.rejected(entry, grant, target)
		default:
			r.again(entry, grant, dispatch.ResultNotRun)
		}
	})
}

// tryAgain lets the caller of a request that broke off come back, as callers do.
func (w *world) tryAgain(sent *content) {
	sent.tries++
	if !sent.culprit && sent.tries < innocentTries {
		w.After(w.span(culpritSoonest, culpritLatest), func() { w.sendContent(sent) })
	}
}

// again looks for another replica for a request that proved not to have run.
func (r *routerNode) again(entry *inference, grant dispatch.Grant, result dispatch.Result) {
	r.deliver(r.core.Release(r.wall(), grant, result))
	entry.request.Avoid = grant.Target.Replica
	r.after(claimRetry, func() {
		if entry.ended {
			return
		}
		r.waiting[entry.request.ID] = entry
		r.deliver(r.core.Resubmit(r.wall(), entry.request))
	})
}

func (w *world) machineNamed(name string) *machine {
	for _, candidate := range w.machines {
		if candidate.name == name {
			return candidate
		}
	}
	return nil
}

// ledger is a back end whose requests may not be repeated.
type ledger struct {
	process
	runs map[string][]string
}

func newLedger(w *world) *ledger {
	created := &ledger{process: w.newProcess("ledger", zones[0]), runs: map[string][]string{}}
	created.begin()
	return created
}

// hold places a hold, unless the ledger says that it did not.
func (l *ledger) hold(key, owner string, reply func(claims.SendOutcome)) {
	if l.world.random.IntN(10) == 0 {
		reply(claims.SendNotRun)
		return
	}
	l.runs[key] = append(l.runs[key], owner)
	l.world.checks.held(key, l.runs[key])
	l.world.checks.ran(owner, nil, nil)
	l.after(l.world.span(10*time.Millisecond, 300*time.Millisecond), func() { reply(claims.SendAnswered) })
}

// sendHold sends one unrepeatable request and resends it, to any router,
// until it is answered.
func (w *world) sendHold() {
	w.checks.holds++
	w.tryHold(numbered("hold", w.checks.holds), 1)
}

func (w *world) tryHold(key string, try int) {
	if try > maxHoldTries {
		return
	}
	again := func() { w.After(w.span(50*time.Millisecond, time.Second), func() { w.tryHold(key, try+1) }) }
	router := w.routers[w.random.IntN(routerCount)]
	if !router.up {
		again()
		return
	}
	settled := false
	reply := func(result verdict) {
		if !settled && result != verdictAnswered {
			again()
		}
		settled = true
	}
	w.After(holdDeadline+time.Second, func() { reply(verdictUnknown) })
	router.run(router.epoch, func() { router.hold(key, reply) })
	if w.random.IntN(8) == 0 {
		again() // An impatient caller: both copies are under way at once.
	}
}

// holdAttempt is one attempt at one router.
type holdAttempt struct {
	claims.Attempt
	router   *routerNode
	key      string
	owner    string
	deadline time.Duration
	sends    int
	reply    func(verdict)
}

func (r *routerNode) hold(key string, reply func(verdict)) {
	if !r.serving() {
		reply(verdictNotRun)
		return
	}
	r.requests++
	entry := &holdAttempt{router: r, key: key, owner: r.requestID(), deadline: r.world.Now() + holdDeadline, reply: reply}
	entry.open()
}

func (h *holdAttempt) command(operation wirepb.ClaimCommand_Operation) *wirepb.ClaimCommand {
	return &wirepb.ClaimCommand{
		Operation: operation, Key: h.key, Fingerprint: 1, Owner: h.owner,
		DeadlineUnixMs: h.router.wall().Add(h.deadline - h.router.world.Now()).UnixMilli(),
		Answer:         &wirepb.RecordedAnswer{Status: 200, Body: []byte(h.key)},
	}
}

func (h *holdAttempt) open() {
	h.apply(h.command(wirepb.ClaimCommand_OPERATION_OPEN), h.deadline, func(result *wirepb.ClaimResult, err error) {
		if result.GetState() == wirepb.ClaimState_CLAIM_STATE_OPEN && h.router.world.Now() < h.deadline {
			h.router.after(claimRetry, h.open)
			return
		}
		h.step(h.Claimed(result.GetState(), err), result)
	})
}

// apply proposes a claim operation until it is answered or time is up.
func (h *holdAttempt) apply(claim *wirepb.ClaimCommand, until time.Duration, done func(*wirepb.ClaimResult, error)) {
	r := h.router
	if r.world.Now() >= until {
		done(nil, fault.Deadline.New("no claim before the deadline"))
		return
	}
	upstream := r.world.controls[r.upstream%controlCount]
	command := &wirepb.Command{Body: &wirepb.Command_Claims{Claims: &wirepb.ClaimBatch{Claims: []*wirepb.ClaimCommand{claim}}}}
	call(&r.process, &upstream.process, claimTimeout, func(reply func(outcome)) {
		upstream.submit(command, reply)
	}, func(answer outcome, answered bool) {
		if answered && answer.err == nil && len(answer.result.GetClaims()) == 1 {
			done(answer.result.GetClaims()[0], nil)
			return
		}
		r.after(claimRetry, func() { h.apply(claim, until, done) })
	})
}

// step carries out what the attempt decided.
func (h *holdAttempt) step(next claims.Step, result *wirepb.ClaimResult) {
	switch next {
	case claims.StepSend:
		h.send()
	case claims.StepCloseNotRun:
		h.closeNotRun()
	case claims.StepAnswer:
		h.record(wirepb.ClaimCommand_OPERATION_COMPLETE)
		h.tell(verdictAnswered)
	case claims.StepReplay:
		if string(result.GetAnswer().GetBody()) != h.key {
			h.router.world.checks.violate(CheckWrongAnswer, "%s got the answer to %s", h.key, result.GetAnswer().GetBody())
		}
		h.tell(verdictAnswered)
	case claims.StepRecordUnknown:
		h.record(wirepb.ClaimCommand_OPERATION_UNKNOWN)
		h.tell(verdictUnknown)
	case claims.StepAnswerNotRun:
		h.tell(verdictNotRun)
	default:
		h.tell(verdictUnknown)
	}
}

func (h *holdAttempt) tell(result verdict) {
	h.router.world.checks.told(h.owner, result)
	h.router.world.send(&h.router.process, &h.router.process, func() { h.reply(result) })
}

// send sends the request once, if a back end can be had.
func (h *holdAttempt) send() {
	r := h.router
	h.sends++
	left := h.deadline - r.world.Now()
	if left <= 0 || h.sends > 3 || r.world.random.IntN(8) == 0 {
		h.step(h.Refused(), nil)
		return
	}
	ledger := r.world.ledger
	call(&r.process, &ledger.process, left, func(reply func(claims.SendOutcome)) {
		ledger.hold(h.key, h.owner, reply)
	}, func(end claims.SendOutcome, answered bool) {
		if !answered {
			end = claims.SendUnknown
		}
		h.step(h.Sent(end), nil)
	})
}

func (h *holdAttempt) closeNotRun() {
	if h.router.world.mutation == MutationEarlyNotRun {
		h.tell(verdictNotRun)
		ledger := h.router.world.ledger
		h.router.world.send(&h.router.process, &ledger.process, func() {
			ledger.hold(h.key, h.owner, func(claims.SendOutcome) {})
		})
		return
	}
	until := h.router.world.Now() + 10*time.Second
	h.apply(h.command(wirepb.ClaimCommand_OPERATION_NOT_RUN), until, func(result *wirepb.ClaimResult, err error) {
		if err == nil && result.GetState() != wirepb.ClaimState_CLAIM_STATE_NOT_RUN {
			err = fault.Conflict.New("the claim was closed otherwise")
		}
		h.step(h.Closed(err), nil)
	})
}

func (h *holdAttempt) record(operation wirepb.ClaimCommand_Operation) {
	h.apply(h.command(operation), h.router.world.Now()+10*time.Second, func(*wirepb.ClaimResult, error) {})
}
