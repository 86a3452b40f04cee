package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// maxConfigurationWait bounds the wait for the configuration that the forwarding router has. It exceeds
// maxRebuildPause.
const maxConfigurationWait = 300 * time.Millisecond

// ForwardHandler serves requests that other routers forward, and exchanges the origins of streams with them. It
// must be reachable for processes of the cluster only: it trusts their authentication of the client.
func (i *Ingress) ForwardHandler() http.Handler {
	return i.answerEarly(func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get(headerStreamOrigins) != "" {
			i.origins.serve(writer, request)
			return
		}
		if request.Header.Get(headerPathCheck) != "" {
			i.servePathCheck(writer, request)
			return
		}
		forwarded, err := decodeHeader(request.Header.Get(headerForward), &wirepb.ForwardedRequest{})
		if err != nil {
			i.options.Logger.Warn("forward_refused", "remote", request.RemoteAddr, "error", err.Error())
			problem.New(problem.TypeInvalid, http.StatusBadRequest, "the request is not a forwarded one").Write(writer)
			return
		}
		request.Header.Del(headerForward)
		j := i.newJob(writer, request)
		j.forwarded, j.sent, j.firstSendCounted, j.retryReservedAt = forwarded, int(forwarded.GetSent()), forwarded.GetFirstSendCounted(), int(forwarded.GetSent())
		i.handle(j)
	})
}

// prepareForwarded finds the route and reads the body of a forwarded request. It returns the problem to
// answer with, if any. The first router has authenticated the request and charged its tenant.
func (j *job) prepareForwarded() (*problem.Document, time.Duration) {
	if j.ingress.stopping.Load() {
		j.notServing = true
		return problem.New(problem.TypeUnavailable, http.StatusServiceUnavailable, "this node is stopping"), retryAfterStart
	}
	j.notServing = !j.awaitConfiguration()
	if j.notServing || !j.awaitVersion(j.forwarded.GetConfiguration()) {
		return problem.New(problem.TypeUnavailable, http.StatusServiceUnavailable, "this node has not got the present configuration yet"), retryAfterStart
	}
	j.route = j.ingress.table.Load().Find(j.request.Host, j.request.URL.EscapedPath())
	if j.route == nil {
		return problem.New(problem.TypeNotFound, http.StatusNotFound, "no route matches host and path"), 0
	}
	j.tenant = tenantIdentity{name: j.forwarded.GetTenant(), spec: j.ingress.options.View.Tenant(j.forwarded.GetTenant())}
	if document := j.readContent(); document != nil {
		return document, document.RetryAfter
	}
	j.deadline = j.arrived.Add(time.Duration(j.forwarded.GetRemainingMs()) * time.Millisecond)
	j.pool = j.forwarded.GetPool()
	return j.resolveTarget()
}

// awaitVersion waits a moment for a version of the configuration, and reports whether it is in use.
func (j *job) awaitVersion(version uint64) bool {
	ctx, cancel := context.WithTimeout(j.request.Context(), maxConfigurationWait)
	defer cancel()
	for {
		changed := j.ingress.rebuilt.Wait()
		if j.ingress.configuration.Load() >= version {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// forwardOutcome returns the outcome of a forwarded request that got no response of a machine.
func forwardOutcome(mayHaveRun bool) wirepb.ForwardedResult_Outcome {
	if mayHaveRun {
		return wirepb.ForwardedResult_OUTCOME_UNKNOWN
	}
	return wirepb.ForwardedResult_OUTCOME_NOT_RUN
}

// setForwardResult adds the result of a forwarded request to its response. endUnmarked is set if the response may
// have been cut off.
func (j *job) setForwardResult(outcome wirepb.ForwardedResult_Outcome, endUnmarked bool) {
	if j.forwarded == nil {
		return
	}
	result := &wirepb.ForwardedResult{
		Outcome: outcome, Sent: uint32(j.sent), FirstSendCounted: j.firstSendCounted, Unreachable: j.unreachable, EndUnmarked: endUnmarked, Software: j.sentToSoftware,
		NotServing: j.notServing,
	}
	if j.unreachable && j.ingress.paths.isIsolated() {
		result.Isolated, result.Routers = true, j.ingress.forwarder.referrals()
	}
	encoded, err := encodeHeader(result)
	if err != nil {
		j.log("forward_result_lost", "error", err.Error())
		return
	}
	j.writer.Header().Set(headerForwardResult, encoded)
}
