package ingress

import (
	"context"

	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/quarantine"
)

// identity tells the request by what it is. The body must have been read.
func (j *job) identity() quarantine.Identity {
	if j.content == nil {
		identity := quarantine.Identify(quarantine.Content{
			Tenant: j.tenant.name, Method: j.request.Method, Host: j.request.Host, Target: j.request.RequestURI, Body: j.body,
		})
		j.content = &identity
	}
	return *j.content
}

// quarantined returns the answer to a request that must not run any more, or not for now; nil for any
// other.
func (j *job) quarantined() *problem.Document {
	return j.ingress.crashes.Refusal(j.identity)
}

// noteRun tells what the end of an attempt says about the request. An end that the caller, the
// deadline or this node's stop brought about says nothing.
func (j *job) noteRun(ctx context.Context, grant *dispatch.Grant, end attemptEnd) {
	watch := j.ingress.crashes
	switch end {
	case endAnswered:
		// A machine's own failure proves less: it also gives one to a request that it never
		// came to run before its deadline.
		watch.ReportCompleted(j.identity)
	case endBroken, endFailed:
		if ctx.Err() == nil {
			watch.ReportBroken(quarantine.BrokenRequest{
				Machine: grant.Target.Machine, Instance: grant.Target.Machine, Address: addressOf(grant), Identity: j.identity(), Route: j.route.Name, Tenant: j.tenant.name,
			})
		}
	}
}
