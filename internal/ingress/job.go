package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/forwarding"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// queueTimeShare is the share of its timeout that a request may spend in the queue. It
	// leaves the client time to retry at another node.
	queueTimeShare = 0.45
	// firstByteQueueShare is the share of the first-byte limit that a request may spend in the queue.
	firstByteQueueShare = 0.7
	// maxConnectFailures bounds the attempts that end before the request is written.
	maxConnectFailures = 4
	// maxStartWait bounds the wait for the first configuration of a starting node.
	maxStartWait    = 2 * time.Second
	retryAfterBusy  = 150 * time.Millisecond
	retryAfterStart = 300 * time.Millisecond
)

// job is the state of one client request.
type job struct {
	ingress    *Ingress
	writer     http.ResponseWriter
	request    *http.Request
	arrived    time.Time
	attributes Attributes
	route      *Route
	// tenant has a nil spec if the route accepts anonymous requests.
	tenant      tenantIdentity
	chargedCost float64
	pool        string
	version     string
	body        []byte
	// bodyBytes is the memory reserved for the body.
	bodyBytes int64
	deadline  time.Time
	// suspendedAtArrival is the host's total suspended time when the request arrived.
	suspendedAtArrival time.Duration
	// sent is the number of attempts that were written to a machine.
	sent int
	// firstSendCounted is set once the retry budget has counted the first send.
	firstSendCounted bool
	// retryReservedAt is the value of sent for which a retry has been reserved in the budget of reservedPool, which is empty
	// once it has been sent.
	retryReservedAt int
	reservedPool    string
	// noRetry is the reason why the request was not retried, for logs.
	noRetry string
	// mayHaveRun is set once a machine may have run the request.
	mayHaveRun bool
	// headerSent is set once a response header has been sent to the client.
	headerSent      bool
	dispatchRequest *dispatch.Request
	// written is the time of the last write to a machine, by Options.Now.
	written time.Duration
	// permit is held for the next attempt.
	permit         permit
	cachedIdentity *quarantine.Identity
	// configuration is the version of the configuration that the route was found in, or an earlier one.
	configuration uint64
	// notServing is set if this node refuses all forwarded requests.
	notServing bool
	// forwarded is set if another router forwarded the request to this one.
	forwarded *wirepb.ForwardedRequest
	// triedRouters are the routers that the request was forwarded to.
	triedRouters []forwarding.Attempt
	// lastResort is set once the request is forwarded although no router has a path to a machine for it.
	lastResort bool
	// unreachable is set if the last attempt at a machine could not connect.
	unreachable bool
	// sentToSoftware is the version of the software of the last machine that the request was sent to.
	sentToSoftware string
	// software is the version of the software that must serve the request; empty for any.
	software string
	// relayed describes the last response that was relayed.
	relayed relayedResponse
	// resetsOnClose is set while a close of the client's connection would reset it.
	resetsOnClose bool
	// savedError is a machine's error response, for the case that no retry succeeds.
	savedError *errorResponse
}

func (i *Ingress) newJob(writer http.ResponseWriter, request *http.Request) *job {
	return &job{
		ingress: i, writer: writer, request: request, arrived: time.Now(), suspendedAtArrival: i.options.Suspended(),
		attributes: i.options.Translator.Describe(request.Header),
	}
}

func (j *job) serve() {
	defer j.refundUnlessRun()
	defer j.endReservation(false)
	prepare := j.prepare
	if j.forwarded != nil {
		prepare = j.prepareForwarded
	}
	if document, retryAfter := prepare(); document != nil {
		j.fail(document, retryAfter)
		return
	}
	ctx, cancel := context.WithDeadline(j.request.Context(), j.deadline)
	defer cancel()
	defer context.AfterFunc(j.ingress.requestsCtx, cancel)()
	if j.run(ctx) == outcomeBroken {
		// Closes the connection, which tells the client that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// prepare finds the route, authenticates and admits the request, and reads its
// body. It returns the problem to answer with, if any.
func (j *job) prepare() (*problem.Document, time.Duration) {
	if !j.awaitConfiguration() {
		return problem.New(problem.TypeUnavailable, http.StatusServiceUnavailable, "this node has not got the present configuration yet"), retryAfterStart
	}
	j.configuration = j.ingress.configuration.Load()
	j.route = j.ingress.table.Load().Find(j.request.Host, j.request.URL.EscapedPath())
	if j.route == nil {
		return problem.New(problem.TypeNotFound, http.StatusNotFound, "no route matches host and path"), 0
	}
	if document := j.authenticate(); document != nil {
		return document, 0
	}
	if document := j.noRegionProblem(j.allowedRegions()); document != nil {
		return document, 0
	}
	if document := j.promptPartProblem(); document != nil {
		return document, document.RetryAfter
	}
	if document, retryAfter := j.charge(); document != nil {
		return document, retryAfter
	}
	if document := j.readContent(); document != nil {
		return document, document.RetryAfter
	}
	wait := time.Duration(j.route.Spec.Timeout)
	if j.attributes.Timeout > 0 {
		wait = min(wait, j.attributes.Timeout)
	}
	j.deadline = j.arrived.Add(wait)
	j.pool = j.route.NextPool()
	return j.resolveTarget()
}

// readContent reads the body and returns the problem of a request that must not run because of what it asks for.
func (j *job) readContent() *problem.Document {
	if document := j.readBody(); document != nil {
		return document
	}
	return j.quarantineProblem()
}

// resolveTarget resolves which machines of the request's pool may serve it. It returns the problem to answer
// with, if any.
func (j *job) resolveTarget() (*problem.Document, time.Duration) {
	if document := j.resolveOrigin(); document != nil {
		return document, document.RetryAfter
	}
	if document := j.unservableProblem(j.allowedRegions()); document != nil {
		return document, document.RetryAfter
	}
	return j.findVersion(), 0
}

// awaitConfiguration waits for the first configuration of a starting node, for a
// bounded time. It reports whether the node serves. Most nodes can within a second of their start, and a
// client that is rejected may have no further attempt; one that would wait longer does better elsewhere.
func (j *job) awaitConfiguration() bool {
	if j.ingress.IsConfigured() {
		return true
	}
	wait := maxStartWait
	if j.attributes.Timeout > 0 {
		wait = min(wait, time.Duration(float64(j.attributes.Timeout)*queueTimeShare))
	}
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for !j.ingress.IsConfigured() {
		changed := j.ingress.servingChange.Wait()
		if j.ingress.IsConfigured() {
			break
		}
		select {
		case <-changed:
		case <-limit.C:
			return false
		case <-j.ingress.requestsCtx.Done():
			return false
		case <-j.request.Context().Done():
			return false
		}
	}
	return true
}

// findVersion resolves the model version that the request needs in its pool.
func (j *job) findVersion() *problem.Document {
	pool := j.ingress.options.View.Pool(j.pool)
	if pool == nil || pool.Engine == nil || j.attributes.Model == "" {
		j.version = nodeview.PoolVersion(j.pool)
		return nil
	}
	target, found := j.ingress.options.View.Resolve(nodeview.ModelName(j.pool, j.attributes.Model))
	if !found {
		return problem.New(problem.TypeNotLoadable, http.StatusServiceUnavailable, "the pool has no such model")
	}
	j.version = target.Version
	return nil
}

// run sends the request to machines until one has answered it or no further
// attempt is allowed. It returns the outcome of the last attempt.
func (j *job) run(ctx context.Context) attemptOutcome {
	j.dispatchRequest = &dispatch.Request{
		Version: j.version, Adapter: j.attributes.Adapter, Priority: j.priority(), PrefixHash: j.attributes.Prefix,
		Arrived: j.arrived, Deadline: j.deadline, Work: j.work(), PrefixWork: j.attributes.SharedTokens,
		CrossRegionPenalty: j.remoteCost(),
		TTFTTarget:         time.Duration(j.route.Spec.TargetLatency),
		QueueDeadline:      j.arrived.Add(j.maxQueueTime()), Allowed: j.allowedRegions(),
		Software: j.software, Forwardable: j.mayForward(), Forwarded: j.refusesWithoutPath(),
	}
	for failures := 0; ; {
		if j.refuseIfStopping(ctx) {
			return outcomeNotRun
		}
		if j.isCutOff() {
			outcome, _ := j.refuseUnreachable(ctx)
			return outcome
		}
		grant, refusal := j.acquire(ctx)
		if refusal != nil && refusal.Reason == dispatch.RefusedUnreachable {
			if outcome, done := j.refuseUnreachable(ctx); done {
				return outcome
			}
			continue
		}
		if refusal != nil {
			j.refuse(ctx, refusal)
			return outcomeNotRun
		}
		outcome, checked := j.attemptGrant(ctx, grant)
		if checked == checkAnswered {
			return outcomeNotRun
		}
		if checked == checkReselect {
			continue
		}
		j.ingress.dispatcher.Release(grant, j.attemptResult(ctx, outcome))
		j.logAttempt(grant, outcome)
		if outcome == outcomeNotPermitted || outcome == outcomeBackedOff {
			if failures++; failures < maxConnectFailures {
				continue
			}
			j.answerFailure(ctx, outcome)
			return outcome
		}
		j.recordRun(ctx, grant, outcome)
		j.dispatchRequest.TriedMachines = append(j.dispatchRequest.TriedMachines, grant.Target.Machine)
		if outcome.isResponse() {
			return outcome
		}
		j.unreachable = outcome == outcomeNotConnected
		if j.unreachable || outcome == outcomeLate {
			failures++
		}
		if j.unreachable {
			j.ingress.permits.warming.recordFailure(grant.Target.Machine)
			j.ingress.options.RequestReport()
		}
		if !j.mayRetry(ctx, outcome, failures) {
			if j.unreachable && !j.mayHaveRun && j.dispatchRequest.Forwardable && ctx.Err() == nil {
				outcome, _ := j.refuseUnreachable(ctx)
				return outcome
			}
			j.answerFailure(ctx, outcome)
			return outcome
		}
	}
}

// mayForward reports whether other routers may serve the request. A forwarded request is not forwarded
// again.
func (j *job) mayForward() bool {
	return j.forwarded == nil && j.ingress.forwarder.canForward(j.version, j.allowedRegions(), j.triedRouters, j.ingress.paths.isIsolated())
}

// refusesWithoutPath reports whether the router that forwarded the request may try others if this one has no path.
func (j *job) refusesWithoutPath() bool {
	return j.forwarded != nil && (!j.forwarded.GetLastResort() || j.ingress.paths.isIsolated())
}

// isCutOff reports whether no path seems to work and none of the known routers can serve the request.
// Sending it anyway would risk that it can't be repeated.
func (j *job) isCutOff() bool {
	return j.forwarded == nil && !j.dispatchRequest.Forwardable && j.ingress.paths.isIsolated() && j.ingress.forwarder.hasRouters()
}

// rejectBeforeSend answers a request that was quarantined, whose deadline passed or whose node began to stop while it waited
// for its grant or permit. It reports whether it did.
func (j *job) rejectBeforeSend(ctx context.Context) bool {
	if j.refuseIfStopping(ctx) {
		return true
	}
	document := j.quarantineProblem()
	switch {
	case document != nil && !j.mayHaveRun:
		j.fail(document, document.RetryAfter)
	case document != nil:
		j.answerFailure(ctx, outcomeFailed)
	case j.remaining() <= 0:
		// Timers don't run while the host is suspended.
		j.answerFailure(ctx, outcomeNotRun)
	default:
		return false
	}
	return true
}

// remaining returns the time to the deadline, less the time that the host was suspended, which
// the monotonic clock does not include.
func (j *job) remaining() time.Duration {
	return time.Until(j.deadline) - (j.ingress.options.Suspended() - j.suspendedAtArrival)
}

// maxQueueTime returns the maximum time in the queue: a share of the timeout and of
// the first-byte limit.
func (j *job) maxQueueTime() time.Duration {
	queueTime := time.Duration(float64(j.deadline.Sub(j.arrived)) * queueTimeShare)
	if limit := time.Duration(j.route.Spec.FirstByteLimit); limit > 0 {
		queueTime = min(queueTime, time.Duration(float64(limit)*firstByteQueueShare))
	}
	return queueTime
}

const (
	// plainWork is the work of a request without tokens.
	plainWork = 1000
	// plainRemoteCost is the extra work that another region counts for in a request without tokens:
	// the round trips take longer than a few such requests in the nearest machine's queue.
	plainRemoteCost = 3 * plainWork
	// tokenRemoteCost is lower, since network latency is a small part of an engine's response time.
	tokenRemoteCost = 300
)

// remoteCost returns the extra work that a machine in another region counts for. It is 0 if this
// node's region is unknown, as all zones would then count as remote.
func (j *job) remoteCost() float64 {
	if j.ingress.options.View.Region() == "" {
		return 0
	}
	if j.attributes.PromptTokens+j.attributes.OutputTokens > 0 {
		return tokenRemoteCost
	}
	return plainRemoteCost
}

func (j *job) work() float64 {
	if work := j.attributes.PromptTokens + j.attributes.OutputTokens; work > 0 {
		return work
	}
	return plainWork
}

// attemptResult returns the result that counts for the machine's health. An attempt
// that the client canceled doesn't count.
func (j *job) attemptResult(ctx context.Context, outcome attemptOutcome) dispatch.Result {
	switch {
	case outcome == outcomeNotPermitted || outcome == outcomeBackedOff || outcome == outcomeLate:
		return dispatch.ResultNotSent
	case j.request.Context().Err() != nil:
		return dispatch.ResultNotRun
	case outcome == outcomeBroken && ctx.Err() != nil:
		return dispatch.ResultTimedOut
	}
	return outcome.result()
}

// mayRetry reports whether the request may be retried at another machine.
func (j *job) mayRetry(ctx context.Context, outcome attemptOutcome, connectFailures int) bool {
	switch {
	case ctx.Err() != nil || j.headerSent:
		return false
	case outcome == outcomeNotConnected || outcome == outcomeLate:
		return connectFailures < maxConnectFailures && len(j.triedRouters) == 0
	case j.mayHaveRun && !j.route.Spec.Repeatable():
		j.noRetry = "not repeatable"
		return false
	case j.quarantineProblem() != nil:
		j.noRetry = "quarantined"
		return false
	}
	return j.reserveRetry()
}

// maxAttempts returns how many attempts may be made in all. A router that forwards a request may allow fewer than the route.
func (j *job) maxAttempts() int {
	if limit := int(j.forwarded.GetMaxSent()); limit > 0 {
		return min(limit, j.route.Spec.MaxAttempts)
	}
	return j.route.Spec.MaxAttempts
}

// reserveRetry reports whether the attempt limit and the retry budget allow one
// more attempt. Repeated calls between two sends take one retry from the budget.
func (j *job) reserveRetry() bool {
	if j.sent >= j.maxAttempts() {
		j.noRetry = "max attempts"
		return false
	}
	if j.retryReservedAt != j.sent {
		if !j.ingress.reserveRetry(j.pool) {
			j.noRetry = "retry budget"
			return false
		}
		j.retryReservedAt, j.reservedPool = j.sent, j.pool
	}
	return true
}

// endReservation counts the reserved retry, if there is one, as sent, or gives it back.
func (j *job) endReservation(sent bool) {
	if j.reservedPool != "" {
		j.ingress.endReservation(j.reservedPool, sent)
		j.reservedPool = ""
	}
}

// logAttempt logs the outcome of an attempt. If the machine may have crashed, the line has what other requests
// may share with this one: its identity, which is the same across retries and routers, and the parts of its
// prompt. bytes is how much of the body came first.
func (j *job) logAttempt(grant *dispatch.Grant, outcome attemptOutcome) {
	fields := []any{"machine", grant.Target.Machine, "end", outcome.String(), "sent", j.sent}
	if outcome == outcomeBroken || outcome == outcomeFailed {
		fields = append(fields, "identity", j.identity().String(), "prompt_parts", j.attributes.PromptParts, "bytes", j.relayed.bytes)
	}
	j.log("attempt", fields...)
}

func (j *job) log(event string, arguments ...any) {
	route := ""
	if j.route != nil {
		route = j.route.Name
	}
	fields := append([]any{
		"id", j.attributes.ID, "route", route, "pool", j.pool, "tenant", j.tenant.name, "model", j.attributes.Model, "adapter", j.attributes.Adapter,
		"age_ms", time.Since(j.arrived).Milliseconds(),
	}, arguments...)
	j.ingress.options.Logger.Info("request_"+event, fields...)
}
