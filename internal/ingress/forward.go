package ingress

import (
	"context"
	"encoding/base64"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/forwarding"
	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/upstream"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// headerForward carries the wirepb.ForwardedRequest of a request to another router, and
	// headerForwardResult the wirepb.ForwardedResult of its response, in base64.
	headerForward       = "Weldline-Forward"
	headerForwardResult = "Weldline-Forward-Result"
	// maxForwards bounds the routers that a request is sent to until one serves it. One without a path answers
	// within about a millisecond.
	maxForwards = 8
	// retryAfterIsolated is the Retry-After if neither this router nor another one has a path. Paths are
	// probed as often.
	retryAfterIsolated = 500 * time.Millisecond
)

// forward has other routers serve a request that this one has no path for. served is false if they
// provably did not run it; it may then still be sent to a machine.
func (j *job) forward(ctx context.Context) (outcome attemptOutcome, served bool) {
	for range maxForwards {
		if j.refuseIfStopping(ctx) {
			return outcomeNotRun, true
		}
		router, found := j.ingress.forwarder.begin(j.version, j.allowedRegions(), j.triedRouters)
		if !found {
			break
		}
		outcome, result := j.tryRouter(ctx, router, "forward_attempt")
		j.triedRouters = append(j.triedRouters, forwarding.Attempt{Router: router, Result: result})
		switch {
		case outcome.isResponse():
			return outcome, true
		case ctx.Err() != nil || outcome != outcomeNotConnected && !j.mayRetry(ctx, outcome, 0):
			j.answerFailure(ctx, outcome)
			return outcome, true
		}
	}
	if j.ingress.forwarder.markIfUnservable(j.version, j.allowedRegions(), j.triedRouters) {
		j.log("unservable", "version", j.version, "routers", len(j.triedRouters))
	}
	return j.forwardAsLastResort(ctx)
}

// forwardAsLastResort has a router that is not isolated serve a request for which none has a path, as the request of a
// client of its own: it tries machines that may be restarting, and waits for one. Without this the clients of an
// isolated router would be refused while those of others are served.
func (j *job) forwardAsLastResort(ctx context.Context) (outcome attemptOutcome, served bool) {
	if !j.ingress.paths.isIsolated() {
		return outcomeNotConnected, false
	}
	router, found := j.ingress.forwarder.beginLastResort(j.allowedRegions())
	if !found {
		return outcomeNotConnected, false
	}
	j.lastResort = true
	outcome, _ = j.tryRouter(ctx, router, "forward_last_resort")
	switch {
	case outcome.isResponse():
		return outcome, true
	case outcome == outcomeNotConnected && ctx.Err() == nil:
		return outcome, false
	}
	j.answerFailure(ctx, outcome)
	return outcome, true
}

// tryRouter has a chosen router serve the request, and records and logs the result as an event.
func (j *job) tryRouter(ctx context.Context, router forwarding.Router, event string) (attemptOutcome, forwarding.Result) {
	outcome, result := j.forwardTo(ctx, router)
	j.ingress.forwarder.end(router.Node, result)
	j.log(event, "router", router.Node, "zone", router.Zone, "end", outcome.String(), "isolated", result == forwarding.ResultIsolated, "sent", j.sent)
	j.ingress.options.Metrics.forwards.WithLabelValues(outcome.String()).Inc()
	return outcome, result
}

// forwardTo sends the request to another router and relays its response.
func (j *job) forwardTo(ctx context.Context, router forwarding.Router) (attemptOutcome, forwarding.Result) {
	attemptCtx, cancel := j.attemptContext(ctx)
	defer cancel()
	maxSent := j.maxSentAt(router)
	j.log("forwarded", "router", router.Node, "nearness", router.Proximity.String(), "remains_ms", j.remaining().Milliseconds(), "max_sent", maxSent)
	response, failure, err := j.ingress.forwarder.pool.Do(attemptCtx, j.forwardRequest(router, maxSent))
	if failure != upstream.FailureNone {
		return j.forwardFailure(attemptCtx, router, maxSent, failure, err)
	}
	defer response.Close()
	result, err := decodeHeader(response.Header.Get(headerForwardResult), &wirepb.ForwardedResult{})
	if err != nil {
		j.countUnknownSends(maxSent)
		j.log("forward_no_answer", "router", router.Node, "failure", "invalid", "error", fault.Message(err))
		return outcomeFailed, forwarding.ResultFailed
	}
	response.Header.Del(headerForwardResult)
	j.sent, j.firstSendCounted = int(result.GetSent()), j.firstSendCounted || result.GetFirstSendCounted()
	switch result.GetOutcome() {
	case wirepb.ForwardedResult_OUTCOME_NOT_RUN:
		response.Discard()
		j.ingress.forwarder.refer(result.GetRouters())
		switch {
		case result.GetNotServing():
			return outcomeNotConnected, forwarding.ResultFailed
		case result.GetUnreachable() && result.GetIsolated():
			return outcomeNotConnected, forwarding.ResultIsolated
		case result.GetUnreachable():
			return outcomeNotConnected, forwarding.ResultUnreachable
		}
		return outcomeNotRun, forwarding.ResultServed
	case wirepb.ForwardedResult_OUTCOME_ANSWERED:
		j.mayHaveRun = true
		// An earlier attempt of this router may have recorded another version, here and at keepers that the other
		// router does not copy to.
		j.recordOriginAt(result.GetSoftware(), j.sent-1)
		framing := framingOf(response)
		if result.GetEndUnmarked() {
			framing = unmarkedEnd
		}
		return j.relay(ctx, response, framing, routerConnection{}), forwarding.ResultServed
	}
	response.Discard()
	j.mayHaveRun = true
	return outcomeFailed, forwarding.ResultServed
}

// forwardFailure returns the outcome of an exchange with another router that got no response.
func (j *job) forwardFailure(ctx context.Context, router forwarding.Router, maxSent int, failure upstream.Failure, err error) (attemptOutcome, forwarding.Result) {
	result := forwarding.ResultFailed
	if ctx.Err() != nil || fault.Is(err, fault.Late) {
		result = forwarding.ResultCanceled // It says nothing about the other router.
	}
	j.log("forward_no_answer", "router", router.Node, "failure", failure.String(), "error", err.Error())
	if failure == upstream.FailureConnect {
		return outcomeNotConnected, result
	}
	j.countUnknownSends(maxSent)
	if ctx.Err() != nil {
		return outcomeTimedOut, result
	}
	return outcomeFailed, result
}

// maxSentAt returns how many attempts may have been made in all when another router responds. One is kept for a further router,
// if there is one, in case the response is lost: all that the other router may have made count then.
func (j *job) maxSentAt(router forwarding.Router) int {
	maxAttempts := j.route.Spec.MaxAttempts
	tried := append(slices.Clone(j.triedRouters), forwarding.Attempt{Router: router, Result: forwarding.ResultFailed})
	if !j.lastResort && j.ingress.forwarder.canForward(j.version, j.allowedRegions(), tried, false) {
		maxAttempts--
	}
	return max(j.sent+1, maxAttempts)
}

// countUnknownSends counts all attempts that another router may have made, as it did not say what it did. It cancels what it
// has begun.
func (j *job) countUnknownSends(maxSent int) {
	j.mayHaveRun, j.firstSendCounted = true, true
	j.sent = maxSent
}

func (j *job) forwardRequest(router forwarding.Router, maxSent int) *upstream.Request {
	return &upstream.Request{
		Machine: router.Node, Address: router.Address, Method: j.request.Method, Target: j.request.RequestURI, Host: j.request.Host,
		Header: upstream.EndToEndHeaders(j.request.Header), Body: j.body,
		Prepare: func(header http.Header) error {
			encoded, err := encodeHeader(&wirepb.ForwardedRequest{
				Router: j.ingress.options.Node, Configuration: j.configuration, Tenant: j.tenant.name, Pool: j.pool,
				RemainingMs: uint32(max(0, j.remaining()).Milliseconds()), Sent: uint32(j.sent), FirstSendCounted: j.firstSendCounted, LastResort: j.lastResort,
				MaxSent: uint32(maxSent),
			})
			header.Set(headerForward, encoded)
			j.endReservation(true) // The other router sends it without a reservation of its own.
			return err
		},
	}
}

// routerConnection observes a connection to another router, which says nothing about paths to machines.
type routerConnection struct{}

func (routerConnection) received() {}

func (routerConnection) broke(error) {}

func encodeHeader(message proto.Message) (string, error) {
	encoded, err := proto.Marshal(message)
	if err != nil {
		return "", fault.Protocol.Wrap(err, "encoding a header of a forwarded request")
	}
	return base64.StdEncoding.EncodeToString(encoded), nil
}

func decodeHeader[Message proto.Message](value string, message Message) (Message, error) {
	if value == "" {
		return message, fault.Protocol.New("the header of a forwarded request is missing")
	}
	decoded, err := base64.StdEncoding.DecodeString(value)
	if err != nil {
		return message, fault.Protocol.Wrap(err, "decoding a header of a forwarded request")
	}
	if err := proto.Unmarshal(decoded, message); err != nil {
		return message, fault.Protocol.Wrap(err, "decoding a header of a forwarded request")
	}
	return message, nil
}

// refuseUnreachable forwards a request that this router has no path for, or refuses it at once. done is false
// if it should be sent to a machine after all.
func (j *job) refuseUnreachable(ctx context.Context) (outcome attemptOutcome, done bool) {
	if j.dispatchRequest.Forwardable {
		if outcome, served := j.forward(ctx); served {
			return outcome, true
		}
		j.dispatchRequest.Forwardable = false
		if !j.ingress.paths.isIsolated() && !j.unreachable {
			return outcomeNotConnected, false // The path may be up again.
		}
	}
	j.unreachable = true
	if j.mayHaveRun || j.forwarded != nil {
		j.answerFailure(ctx, outcomeNotConnected)
		return outcomeNotConnected, true
	}
	detail := string(dispatch.RefusedUnreachable) + ": neither this router nor another one has a path to a machine"
	j.fail(problem.New(problem.TypeUnavailable, http.StatusServiceUnavailable, detail), retryAfterIsolated)
	return outcomeNotRun, true
}
