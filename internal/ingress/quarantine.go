package ingress

import (
	"context"

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

// quarantineProblem returns a problem if the request is quarantined or held back.
func (j *job) quarantineProblem() *problem.Document {
	return j.ingress.crashes.Refusal(j.identity)
}

// recordRun reports to the crash watcher whether the request completed or may have crashed its
// machine. Attempts that were canceled or timed out don't count, nor do responses whose end is not marked:
// they show neither that the request completed nor that it broke off.
func (j *job) recordRun(ctx context.Context, grant *dispatch.Grant, outcome attemptOutcome) {
	watcher := j.ingress.crashes
	switch outcome {
	case outcomeAnswered:
		// Error responses don't count: a machine also sends them for requests that it did not run.
		watcher.ReportCompleted(j.identity)
	case outcomeBroken, outcomeFailed:
		if ctx.Err() == nil {
			watcher.ReportBroken(quarantine.BrokenRequest{
				Machine: grant.Target.Machine, Instance: grant.Target.Machine, Address: addressOf(grant), Identity: j.identity(), Route: j.route.Name, Tenant: j.tenant.name,
			})
		}
	}
}
