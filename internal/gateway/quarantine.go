package gateway

import (
	"errors"
	"net"
	"net/http"

	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/upstream"
)

// identity returns the request's identity by its content.
func (j *job) identity() quarantine.Identity {
	return quarantine.Identify(quarantine.Content{Tenant: j.caller, Method: http.MethodPost, Target: j.path, Body: j.body})
}

func (g *Gateway) refuseQuarantined(writer http.ResponseWriter, j *job, document *problem.Document, mayHaveRun bool) string {
	if mayHaveRun {
		g.failEngine(writer, j)
		return "failed"
	}
	g.refuse(writer, j.id, document)
	return "refused"
}

// reportBroken reports a request whose connection broke after it was sent.
func (g *Gateway) reportBroken(j *job, grant *dispatch.Grant) {
	g.crashes.ReportBroken(quarantine.BrokenRequest{
		Machine: grant.Target.Machine, Instance: g.options.View.InstanceName(grant.Target.Machine, grant.Target.Replica), Address: upstream.AddressOf(grant.Target.Endpoint),
		Identity: j.identity(), Route: j.service, Tenant: j.caller,
	})
}

// reportCompleted reports a request that an engine completed.
func (g *Gateway) reportCompleted(j *job, outcome attemptOutcome) {
	if outcome == outcomeAnswered {
		g.crashes.ReportCompleted(j.identity)
	}
}

// notConnected reports whether err is a failed dial.
func notConnected(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}
