package ingress

import (
	"context"
	"net/http"

	"github.com/weldline/weldline/internal/crashwatch"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/quarantine"
)

// identity returns the request's identity by its content. The body must have been read.
func (j *job) identity() quarantine.Identity {
	if j.cachedIdentity == nil {
		identity := quarantine.Identify(quarantine.Content{
			Tenant: j.tenant.name, Method: j.request.Method, Host: j.request.Host, Target: j.request.RequestURI, Body: j.body,
		})
		j.cachedIdentity = &identity
	}
	return *j.cachedIdentity
}

// crashRequest describes the request to the crash watcher. The body must have been read.
func (j *job) crashRequest() crashwatch.Request {
	return crashwatch.Request{Identity: j.identity, PromptParts: j.attributes.PromptParts}
}

// quarantineProblem returns a problem if the request is quarantined or held back.
func (j *job) quarantineProblem() *problem.Document {
	return j.ingress.crashes.Refusal(j.crashRequest())
}

// promptPartProblem returns a problem if a part of the prompt is quarantined or held back. It does not need the
// body.
func (j *job) promptPartProblem() *problem.Document {
	return j.ingress.crashes.Refusal(crashwatch.Request{PromptParts: j.attributes.PromptParts})
}

// recordRun reports to the crash watcher whether the request completed or may have crashed its
// machine. Attempts that were canceled or timed out don't count.
func (j *job) recordRun(ctx context.Context, grant *dispatch.Grant, outcome attemptOutcome) {
	watcher := j.ingress.crashes
	switch outcome {
	case outcomeAnswered:
		// Error responses don't count: a machine also sends them for requests that it did not run.
		if j.relayed.status < http.StatusMultipleChoices {
			watcher.ReportCompleted(j.crashRequest())
		}
	case outcomeBroken, outcomeFailed:
		if ctx.Err() == nil {
			watcher.ReportBroken(j.brokenRequest(grant))
		}
	case outcomeUnmarked:
		j.recordUnmarkedRun(grant)
	}
}

// recordUnmarkedRun reports a response whose end is not marked. One that is an event stream without any event
// may have ended with a crash.
func (j *job) recordUnmarkedRun(grant *dispatch.Grant) {
	switch {
	case j.relayed.status >= http.StatusMultipleChoices:
	case j.relayed.isEventStream && j.relayed.bytes == 0:
		j.ingress.crashes.ReportBroken(j.brokenRequest(grant))
	default:
		j.ingress.crashes.ReportUnmarked(j.brokenRequest(grant))
	}
}

func (j *job) brokenRequest(grant *dispatch.Grant) quarantine.BrokenRequest {
	return quarantine.BrokenRequest{
		Machine: grant.Target.Machine, Instance: grant.Target.Machine, Address: addressOf(grant), Identity: j.identity(),
		Route: j.route.Name, Tenant: j.tenant.name, PromptParts: j.attributes.PromptParts,
	}
}
