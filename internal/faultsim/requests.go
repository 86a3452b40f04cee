package faultsim

import (
	"strconv"
	"time"

	"github.com/weldline/weldline/internal/claims"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/forwarding"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	holdInterval    = 150 * time.Millisecond
	holdDeadline    = 3 * time.Second
	maxHoldAttempts = 4
	claimTimeout    = 1500 * time.Millisecond
	claimRetry      = 50 * time.Millisecond
	// responseGrace is added to a request's deadline when checking that the request has ended.
	responseGrace = 200 * time.Millisecond
)

// callerOutcome is the outcome that is reported to a client.
type callerOutcome string

const (
	outcomeAnswered callerOutcome = "answered"
	outcomeNotRun   callerOutcome = "not-run"
	outcomeUnknown  callerOutcome = "unknown"
)

func (s *simulation) startTraffic() {
	s.repeatUntil(s.shape.RequestInterval, trafficEnd, s.sendInference)
	s.repeatUntil(holdInterval, trafficEnd, s.sendHold)
}

func (s *simulation) repeatUntil(interval, end time.Duration, action func()) {
	s.After(s.randomDuration(interval/2, interval*3/2), func() {
		if s.Now() < end {
			action()
			s.repeatUntil(interval, end, action)
		}
	})
}

// inference is an inference request at one router.
type inference struct {
	router  *routerNode
	id      string
	content *requestContent
	request *dispatch.Request
	arrived time.Duration
	ended   bool
	// reply is set if another router forwarded the request; it replaces the report to the client.
	reply func(callerOutcome)
	// triedRouters are the routers that the request was forwarded to.
	triedRouters []forwarding.Attempt
	// isLastResort is set once the request was forwarded although no router has a path to an engine for it.
	isLastResort bool
}

func (s *simulation) sendInference() {
	router := s.routers[s.random.IntN(s.shape.Routers)]
	if !router.up {
		return
	}
	s.inferenceCount++
	content := s.newRequestContent(numbered("inference", s.inferenceCount), numbered("model", s.random.IntN(s.shape.Models)))
	router.run(router.epoch, func() { router.handleInference(content) })
}

func (r *routerNode) handleInference(content *requestContent) {
	r.requests++
	entry := &inference{router: r, id: r.requestID(), content: content, arrived: r.sim.Now()}
	deadline := r.sim.randomDuration(2*time.Second, 8*time.Second)
	target, known := r.view.Resolve(content.model)
	if !r.serving() || !known || r.isQuarantined(content) {
		entry.end(outcomeNotRun)
		return
	}
	entry.request = &dispatch.Request{
		ID: r.requests, Version: target.Version, Arrived: r.wall(), Deadline: r.wall().Add(deadline),
		Priority: int32(r.sim.random.IntN(3)),
	}
	r.expectOutcome(entry, deadline+responseGrace)
	r.waiting[entry.request.ID] = entry
	r.applyOutcome(r.core.Submit(r.wall(), entry.request))
}

func (r *routerNode) requestID() string {
	return r.name + "/" + strconv.FormatUint(r.incarnation, 10) + "/" + strconv.FormatUint(r.requests, 10)
}

// expectOutcome checks that a request ends in time. The time during which the router is frozen does
// not count.
func (r *routerNode) expectOutcome(entry *inference, allowed time.Duration) {
	r.after(allowed, func() {
		r.after(responseGrace, func() {
			if !entry.ended {
				r.sim.checks.violate(CheckDropped, "%s ended without an outcome", entry.id)
			}
		})
	})
}

func (entry *inference) end(result callerOutcome) {
	if entry.ended {
		return
	}
	entry.ended = true
	if entry.reply != nil {
		entry.reply(result)
		return
	}
	entry.router.sim.checks.recordPathRequest(entry, result)
	entry.router.sim.checks.recordOutcome(entry.id, result)
}

// applyOutcome carries out the decisions of the dispatcher.
func (r *routerNode) applyOutcome(outcome dispatch.Outcome) {
	for _, grant := range outcome.Grants {
		entry := r.waiting[grant.Request.ID]
		delete(r.waiting, grant.Request.ID)
		switch {
		case entry == nil:
		case r.isQuarantined(entry.content):
			// The request was quarantined while it was queued.
			entry.end(outcomeNotRun)
			r.applyOutcome(r.core.Release(r.wall(), grant, dispatch.ResultNotRun))
		default:
			r.sendWithPermit(entry, grant)
		}
	}
	for _, refusal := range outcome.Refusals {
		entry := r.waiting[refusal.Request.ID]
		delete(r.waiting, refusal.Request.ID)
		switch {
		case entry == nil:
		case refusal.Reason == dispatch.RefusedUnreachable && entry.request.Forwardable:
			r.forward(entry)
		default:
			entry.end(outcomeNotRun)
		}
	}
}

func (r *routerNode) sendToEngine(entry *inference, grant dispatch.Grant) {
	if r.pathCut != pathsWork {
		r.refuseConnection(entry, grant)
		return
	}
	target, opened := r.sim.machineNamed(grant.Target.Machine), r.wall()
	left := grant.Request.Deadline.Sub(r.wall())
	took := r.sim.randomDuration(20*time.Millisecond, 800*time.Millisecond)
	sentAt := r.clock()
	instance := r.view.InstanceName(grant.Target.Machine, grant.Target.Replica)
	call(&r.process, &target.process, max(left, 0), func(reply func(engineResponse)) {
		target.handleRequest(r, entry, grant.Target.Replica, took, reply)
	}, func(answer engineResponse, answered bool) {
		end := answer.result
		if answered {
			r.applyPathChange(r.paths.tracker.Contact(r.wall(), target.name, opened))
		}
		if answered && end != runBroken {
			r.observeLimit(target, answer.limit, sentAt)
		}
		switch {
		case !answered:
			r.applyOutcome(r.core.Release(r.wall(), grant, dispatch.ResultFailed))
			entry.end(outcomeUnknown)
		case end == runBroken:
			r.applyOutcome(r.core.Release(r.wall(), grant, dispatch.ResultFailed))
			entry.end(outcomeUnknown)
			r.handleBroken(target.name, instance, entry.content)
			r.sim.retryAsClient(entry.content)
		case end == runCompleted:
			r.applyOutcome(r.core.Release(r.wall(), grant, dispatch.ResultOK))
			entry.end(outcomeAnswered)
			r.handleCompleted(entry.content)
		case end == runRejected:
			r.handleRejection(entry, grant, target)
		default:
			r.resubmit(entry, grant, dispatch.ResultNotRun)
		}
	})
}

// retryAsClient resends a request whose connection broke.
func (s *simulation) retryAsClient(content *requestContent) {
	content.attempts++
	if content.poison == nil && content.attempts < maxAttempts {
		s.After(s.randomDuration(minRetryInterval, maxRetryInterval), func() { s.sendRequest(content) })
	}
}

// resubmit resubmits a request that did not run, avoiding the previous replica.
func (r *routerNode) resubmit(entry *inference, grant dispatch.Grant, result dispatch.Result) {
	r.applyOutcome(r.core.Release(r.wall(), grant, result))
	entry.request.Avoid = grant.Target.Replica
	r.after(claimRetry, func() {
		if entry.ended {
			return
		}
		r.waiting[entry.request.ID] = entry
		r.applyOutcome(r.core.Resubmit(r.wall(), entry.request))
	})
}

func (s *simulation) machineNamed(name string) *machine {
	for _, candidate := range s.machines {
		if candidate.name == name {
			return candidate
		}
	}
	return nil
}

// ledger is a backend whose requests must not run twice.
type ledger struct {
	process
	runs map[string][]string
}

func newLedger(s *simulation) *ledger {
	created := &ledger{process: s.newProcess("ledger", zones[0]), runs: map[string][]string{}}
	created.markUp()
	return created
}

// placeHold executes a hold, which is a non-idempotent request, or reports that it did not run.
func (l *ledger) placeHold(key, owner string, reply func(claims.SendOutcome)) {
	if l.sim.random.IntN(10) == 0 {
		reply(claims.SendNotRun)
		return
	}
	l.runs[key] = append(l.runs[key], owner)
	l.sim.checks.checkSingleRun(key, l.runs[key])
	l.sim.checks.recordRun(owner, nil, nil)
	l.after(l.sim.randomDuration(10*time.Millisecond, 300*time.Millisecond), func() { reply(claims.SendAnswered) })
}

// sendHold starts a client that sends one non-idempotent request and resends it to random routers
// until it is answered.
func (s *simulation) sendHold() {
	s.checks.holdCount++
	s.tryHold(numbered("hold", s.checks.holdCount), 1)
}

func (s *simulation) tryHold(key string, attempt int) {
	if attempt > maxHoldAttempts {
		return
	}
	retry := func() {
		s.After(s.randomDuration(50*time.Millisecond, time.Second), func() { s.tryHold(key, attempt+1) })
	}
	router := s.routers[s.random.IntN(s.shape.Routers)]
	if !router.up {
		retry()
		return
	}
	settled := false
	reply := func(result callerOutcome) {
		if !settled && result != outcomeAnswered {
			retry()
		}
		settled = true
	}
	s.After(holdDeadline+time.Second, func() { reply(outcomeUnknown) })
	router.run(router.epoch, func() { router.handleHold(key, reply) })
	if s.random.IntN(8) == 0 {
		retry() // Resends before the response, so that both copies run concurrently.
	}
}

// holdAttempt is one attempt of a hold at one router.
type holdAttempt struct {
	claims.Attempt
	router    *routerNode
	key       string
	owner     string
	deadline  time.Duration
	sendCount int
	reply     func(callerOutcome)
}

func (r *routerNode) handleHold(key string, reply func(callerOutcome)) {
	if !r.serving() {
		reply(outcomeNotRun)
		return
	}
	r.requests++
	entry := &holdAttempt{router: r, key: key, owner: r.requestID(), deadline: r.sim.Now() + holdDeadline, reply: reply}
	entry.open()
}

func (h *holdAttempt) command(operation wirepb.ClaimCommand_Operation) *wirepb.ClaimCommand {
	return &wirepb.ClaimCommand{
		Operation: operation, Key: h.key, Fingerprint: 1, Owner: h.owner,
		DeadlineUnixMs: h.router.wall().Add(h.deadline - h.router.sim.Now()).UnixMilli(),
		Answer:         &wirepb.RecordedAnswer{Status: 200, Body: []byte(h.key)},
	}
}

func (h *holdAttempt) open() {
	h.apply(h.command(wirepb.ClaimCommand_OPERATION_OPEN), h.deadline, func(result *wirepb.ClaimResult, err error) {
		if result.GetState() == wirepb.ClaimState_CLAIM_STATE_OPEN && h.router.sim.Now() < h.deadline {
			h.router.after(claimRetry, h.open)
			return
		}
		h.execute(h.Claimed(result.GetState(), err), result)
	})
}

// apply proposes a claim operation until it is answered or the time is up.
func (h *holdAttempt) apply(claim *wirepb.ClaimCommand, until time.Duration, done func(*wirepb.ClaimResult, error)) {
	r := h.router
	if r.sim.Now() >= until {
		done(nil, fault.Deadline.New("claim not resolved before the deadline"))
		return
	}
	upstream := r.sim.controls[r.upstream%controlCount]
	command := &wirepb.Command{Body: &wirepb.Command_Claims{Claims: &wirepb.ClaimBatch{Claims: []*wirepb.ClaimCommand{claim}}}}
	call(&r.process, &upstream.process, claimTimeout, func(reply func(commandReply)) {
		upstream.submit(command, reply)
	}, func(answer commandReply, answered bool) {
		if answered && answer.err == nil && len(answer.result.GetClaims()) == 1 {
			done(answer.result.GetClaims()[0], nil)
			return
		}
		r.after(claimRetry, func() { h.apply(claim, until, done) })
	})
}

// execute carries out the next step of the attempt.
func (h *holdAttempt) execute(next claims.Step, result *wirepb.ClaimResult) {
	switch next {
	case claims.StepSend:
		h.send()
	case claims.StepCloseNotRun:
		h.closeNotRun()
	case claims.StepAnswer:
		h.record(wirepb.ClaimCommand_OPERATION_COMPLETE)
		h.reportOutcome(outcomeAnswered)
	case claims.StepReplay:
		if string(result.GetAnswer().GetBody()) != h.key {
			h.router.sim.checks.violate(CheckWrongAnswer, "%s got the response to %s", h.key, result.GetAnswer().GetBody())
		}
		h.reportOutcome(outcomeAnswered)
	case claims.StepRecordUnknown:
		h.record(wirepb.ClaimCommand_OPERATION_UNKNOWN)
		h.reportOutcome(outcomeUnknown)
	case claims.StepAnswerNotRun:
		h.reportOutcome(outcomeNotRun)
	default:
		h.reportOutcome(outcomeUnknown)
	}
}

func (h *holdAttempt) reportOutcome(result callerOutcome) {
	h.router.sim.checks.recordOutcome(h.owner, result)
	h.router.sim.send(&h.router.process, &h.router.process, func() { h.reply(result) })
}

// send sends the request to the ledger, if it is available.
func (h *holdAttempt) send() {
	r := h.router
	h.sendCount++
	left := h.deadline - r.sim.Now()
	if left <= 0 || h.sendCount > 3 || r.sim.random.IntN(8) == 0 {
		h.execute(h.Refused(), nil)
		return
	}
	ledger := r.sim.ledger
	call(&r.process, &ledger.process, left, func(reply func(claims.SendOutcome)) {
		ledger.placeHold(h.key, h.owner, reply)
	}, func(end claims.SendOutcome, answered bool) {
		if !answered {
			end = claims.SendUnknown
		}
		h.execute(h.Sent(end), nil)
	})
}

func (h *holdAttempt) closeNotRun() {
	if h.router.sim.mutation == MutationEarlyNotRun {
		h.reportOutcome(outcomeNotRun)
		ledger := h.router.sim.ledger
		h.router.sim.send(&h.router.process, &ledger.process, func() {
			ledger.placeHold(h.key, h.owner, func(claims.SendOutcome) {})
		})
		return
	}
	until := h.router.sim.Now() + 10*time.Second
	h.apply(h.command(wirepb.ClaimCommand_OPERATION_NOT_RUN), until, func(result *wirepb.ClaimResult, err error) {
		if err == nil && result.GetState() != wirepb.ClaimState_CLAIM_STATE_NOT_RUN {
			err = fault.Conflict.New("claim was closed with a different outcome")
		}
		h.execute(h.Closed(err), nil)
	})
}

func (h *holdAttempt) record(operation wirepb.ClaimCommand_Operation) {
	h.apply(h.command(operation), h.router.sim.Now()+10*time.Second, func(*wirepb.ClaimResult, error) {})
}
