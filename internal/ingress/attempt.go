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

// firstTryShare is the share of the time left that a machine gets for a request
// that may be tried elsewhere afterwards.
const firstTryShare = 0.5

// attemptEnd is how an attempt ended.
type attemptEnd int

const (
	// endAnswered: the caller has the whole answer.
	endAnswered attemptEnd = iota
	// endBroken: the answer broke off after its head had gone to the caller.
	endBroken
	// endNotConnected: nothing reached the machine.
	endNotConnected
	// endNotPermitted: nothing was sent, as the permit to do so was over by then.
	endNotPermitted
	// endBackedOff: nothing was sent, as the machine had asked for a rest, or was leaving, by then.
	endBackedOff
	// endNotRun: the machine said that it did not run the request.
	endNotRun
	// endElsewhere: it did not since it is not the right one.
	endElsewhere
	// endFailed: the machine may have run it; there is no answer.
	endFailed
	// endSilent: the same, since the time for the attempt was over.
	endSilent
	// endError: the machine ran it and failed; the route allows repeating.
	endError
	// endWithheld: nothing reached the machine, for it may not serve the request.
	endWithheld
	// endErrorAnswered: the caller has the machine's own failure, whole.
	endErrorAnswered
)

// String names the end in logs and metrics.
func (e attemptEnd) String() string {
	return [...]string{
		"answered", "broken", "not_connected", "not_permitted", "backed_off", "not_run", "elsewhere", "failed", "silent", "error", "withheld", "error_answered",
	}[e]
}

// health is what the end says about the machine.
func (e attemptEnd) health() dispatch.Result {
	switch e {
	case endAnswered:
		return dispatch.ResultOK
	case endError, endErrorAnswered:
		return dispatch.ResultError
	case endSilent:
		return dispatch.ResultTimedOut
	case endNotRun:
		return dispatch.ResultRejected
	case endNotConnected:
		return dispatch.ResultUnreachable
	case endNotPermitted, endBackedOff, endWithheld:
		return dispatch.ResultNotSent
	}
	return dispatch.ResultFailed
}

// attempt sends the request to one machine and passes its answer on.
func (j *job) attempt(ctx context.Context, grant *dispatch.Grant) attemptEnd {
	j.ingress.options.Metrics.observeSent(grant.Target.Nearness)
	j.log("sent", "machine", grant.Target.Machine, "nearness", grant.Target.Nearness.String(), "waited", grant.Waited, "remains_ms", j.remaining().Milliseconds())
	tryCtx, cancel := j.tryContext(ctx)
	defer cancel()
	outgoing := j.outgoing(grant)
	answer, failure, err := j.ingress.upstream.Do(tryCtx, outgoing)
	if failure == upstream.FailureConnect {
		return j.endUnwritten(grant, err)
	}
	j.sent++
	if failure != upstream.FailureNone {
		j.mayHaveRun = true
		j.log("no_answer", "machine", grant.Target.Machine, "failure", failure.String(), "error", err.Error())
		if tryCtx.Err() != nil {
			return endSilent
		}
		return endFailed
	}
	defer answer.Close()
	return j.pass(ctx, answer, grant)
}

// endUnwritten is how an attempt ended that wrote nothing to its machine.
func (j *job) endUnwritten(grant *dispatch.Grant, err error) attemptEnd {
	switch {
	case fault.Is(err, fault.Refused):
		return endWithheld
	case errors.Is(err, errNoPermit):
		j.ingress.options.Metrics.observePermit(permitExpired)
		return endNotPermitted
	case errors.Is(err, errBackedOff):
		return endBackedOff
	}
	j.log("not_connected", "machine", grant.Target.Machine, "error", err.Error())
	return endNotConnected
}

// tryContext gives a machine a part of the time where another may be tried
// after it.
func (j *job) tryContext(ctx context.Context) (context.Context, context.CancelFunc) {
	spec := j.route.Spec
	if spec.Kind != v1.RouteRepeatable || j.sent+1 >= spec.MaxAttempts {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(float64(j.remaining())*firstTryShare))
}

func addressOf(grant *dispatch.Grant) string {
	return upstream.AddressOf(grant.Target.Endpoint)
}

func (j *job) outgoing(grant *dispatch.Grant) *upstream.Request {
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

// prepareWrite is what is done once a connection stands, just before anything is written to the
// machine. An error ends the attempt as not sent.
func (j *job) prepareWrite(header http.Header, grant *dispatch.Grant) error {
	if !j.ingress.permits.allows(j.pool, grant.Target.Machine, j.permit) {
		return errNoPermit
	}
	if !j.ingress.dispatcher.MayWrite(grant) {
		return errBackedOff
	}
	j.permit = permit{} // It is good for one send.
	j.ingress.options.Translator.Prepare(header, Attempt{
		Machine: grant.Target.Machine, Remaining: j.remaining(), Priority: j.priority(), Tenant: j.tenant.name,
	})
	if err := j.checkWithheld(grant); err != nil {
		return err
	}
	if !j.counted {
		// Once for each request that is written: what was tried and not sent earns no retries.
		j.counted = true
		j.ingress.countFirst(j.pool)
	}
	j.written = j.ingress.options.Now()
	return nil
}
