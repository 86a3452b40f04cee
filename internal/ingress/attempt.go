package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/upstream"
)

// retriableAttemptShare is the share of the remaining time that an attempt gets if it may
// be followed by another.
const retriableAttemptShare = 0.5

type attemptOutcome int

const (
	// outcomeAnswered: the complete response was sent to the client.
	outcomeAnswered attemptOutcome = iota
	// outcomeBroken: the response broke off after its header was sent to the client.
	outcomeBroken
	// outcomeNotConnected: the machine could not be connected to.
	outcomeNotConnected
	// outcomeNotPermitted: the permit had expired before the request was written.
	outcomeNotPermitted
	// outcomeBackedOff: the machine asked to back off, or announced its shutdown, before the request
	// was written.
	outcomeBackedOff
	// outcomeLate: this node was late to open a connection, which says nothing about the machine.
	outcomeLate
	// outcomeNotRun: the machine rejected the request without running it.
	outcomeNotRun
	// outcomeWrongMachine: the request reached the wrong machine, which did not run it.
	outcomeWrongMachine
	// outcomeFailed: there was no valid response; the machine may have run the request.
	outcomeFailed
	// outcomeTimedOut: the attempt timed out; the machine may have run the request.
	outcomeTimedOut
	// outcomeRetriableError: the machine responded with a server error, and the request may be retried.
	outcomeRetriableError
	// outcomeDisallowed: the machine was no longer allowed to serve the request before it was written.
	outcomeDisallowed
	// outcomeErrorAnswered: the machine's error response was sent to the client.
	outcomeErrorAnswered
	// outcomeUnmarked: a response whose end is not marked was sent to the client. It may have been cut off.
	outcomeUnmarked
)

// String returns the name used in logs and metrics.
func (o attemptOutcome) String() string {
	return [...]string{
		"answered", "broken", "not_connected", "not_permitted", "backed_off", "late", "not_run", "elsewhere", "failed", "silent", "error", "withheld", "error_answered", "unmarked",
	}[o]
}

// isResponse reports whether a response, or a part of it, was sent to the client.
func (o attemptOutcome) isResponse() bool {
	switch o {
	case outcomeAnswered, outcomeErrorAnswered, outcomeUnmarked, outcomeBroken:
		return true
	}
	return false
}

// result returns the result that counts for the machine's health.
func (o attemptOutcome) result() dispatch.Result {
	switch o {
	case outcomeAnswered, outcomeUnmarked:
		return dispatch.ResultOK
	case outcomeRetriableError, outcomeErrorAnswered:
		return dispatch.ResultError
	case outcomeTimedOut:
		return dispatch.ResultTimedOut
	case outcomeNotRun:
		return dispatch.ResultRejected
	case outcomeNotConnected:
		return dispatch.ResultUnreachable
	case outcomeNotPermitted, outcomeBackedOff, outcomeLate, outcomeDisallowed:
		return dispatch.ResultNotSent
	}
	return dispatch.ResultFailed
}

// attempt sends the request to one machine and relays its response.
func (j *job) attempt(ctx context.Context, grant *dispatch.Grant) attemptOutcome {
	j.ingress.options.Metrics.observeSent(grant.Target.Proximity)
	fields := []any{
		"machine", grant.Target.Machine, "software", grant.Target.Software, "nearness", grant.Target.Proximity.String(),
		"waited", grant.Waited, "remains_ms", j.remaining().Milliseconds(),
	}
	if j.attributes.LastEvent != "" {
		fields = append(fields, "resumes", j.attributes.Resumes, "last_event", j.attributes.LastEvent)
	}
	j.log("sent", fields...)
	attemptCtx, cancel := j.attemptContext(ctx)
	defer cancel()
	outgoing := j.upstreamRequest(grant)
	response, failure, err := j.ingress.upstream.Do(attemptCtx, outgoing)
	if failure == upstream.FailureConnect {
		return j.unwrittenOutcome(attemptCtx, grant, err)
	}
	defer j.ingress.paths.ended()
	j.sent++
	if failure != upstream.FailureNone {
		j.mayHaveRun = true
		j.recordBreak(attemptCtx, grant, err)
		j.log("no_answer", "machine", grant.Target.Machine, "failure", failure.String(), "error", err.Error())
		if attemptCtx.Err() != nil {
			return outcomeTimedOut
		}
		return outcomeFailed
	}
	defer response.Close()
	j.ingress.paths.observe(grant.Target.Machine, response).received()
	return j.handleResponse(ctx, response, grant)
}

// recordBreak records that a connection broke, unless the attempt was ended from this side.
func (j *job) recordBreak(ctx context.Context, grant *dispatch.Grant, err error) {
	if ctx.Err() == nil {
		j.ingress.paths.broke(grant.Target.Machine, err)
	}
}

// unwrittenOutcome returns the outcome of an attempt that wrote nothing to its machine.
func (j *job) unwrittenOutcome(ctx context.Context, grant *dispatch.Grant, err error) attemptOutcome {
	switch {
	case fault.Is(err, fault.Refused):
		return outcomeDisallowed
	case errors.Is(err, errNoPermit):
		j.ingress.options.Metrics.observePermit(permitExpired)
		return outcomeNotPermitted
	case errors.Is(err, errBackedOff):
		return outcomeBackedOff
	}
	j.log("not_connected", "machine", grant.Target.Machine, "error", err.Error())
	if fault.Is(err, fault.Late) {
		return outcomeLate
	}
	if ctx.Err() == nil {
		j.ingress.paths.notConnected(grant.Target.Machine)
	}
	return outcomeNotConnected
}

// attemptContext limits the attempt to a share of the remaining time if another
// attempt may follow.
func (j *job) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	spec := j.route.Spec
	if spec.Kind != v1.RouteRepeatable || j.sent+1 >= j.maxAttempts() {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(float64(j.remaining())*retriableAttemptShare))
}

func addressOf(grant *dispatch.Grant) string {
	return upstream.AddressOf(grant.Target.Endpoint)
}

func (j *job) upstreamRequest(grant *dispatch.Grant) *upstream.Request {
	header := upstream.EndToEndHeaders(j.request.Header)
	return &upstream.Request{
		Machine: grant.Target.Machine, Address: addressOf(grant),
		Method: j.request.Method, Target: j.request.RequestURI, Host: j.request.Host, Header: header, Body: j.body,
		Prepare: func(header http.Header) error { return j.prepareWrite(header, grant) },
		Matches: func(header http.Header) bool {
			return j.ingress.options.Translator.Interpret(0, header, j.attributes.ID).ForRequest
		},
	}
}

// prepareWrite runs once the connection is established, right before the request is written. It
// checks again that the machine may get the request; an error ends the attempt unsent.
func (j *job) prepareWrite(header http.Header, grant *dispatch.Grant) error {
	if !j.ingress.permits.allows(j.pool, grant.Target.Machine, j.permit) {
		return errNoPermit
	}
	if !j.ingress.dispatcher.MayWrite(grant) {
		return errBackedOff
	}
	j.permit = permit{}
	j.ingress.options.Translator.Prepare(header, Attempt{
		Machine: grant.Target.Machine, Remaining: j.remaining(), Priority: j.priority(), Tenant: j.tenant.name,
	})
	if err := j.checkAllowed(grant); err != nil {
		return err
	}
	if !j.firstSendCounted {
		// Attempts that write nothing don't add to the retry budget.
		j.firstSendCounted = true
		j.ingress.countFirstSend(j.pool)
	}
	j.endReservation(true)
	j.recordOrigin(grant)
	j.written = j.ingress.options.Now()
	j.ingress.paths.sent()
	return nil
}
