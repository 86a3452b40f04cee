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

// identity tells the request by what it is.
func (j *job) identity() quarantine.Identity {
	return quarantine.Identify(quarantine.Content{Tenant: j.caller, Method: http.MethodPost, Target: j.path, Body: j.body})
}

// answerQuarantined answers a request that must not run any more.
func (g *Gateway) answerQuarantined(writer http.ResponseWriter, created *job, document *problem.Document, mayHaveRun bool) string {
	if mayHaveRun {
		g.failEngine(writer, created)
		return "failed"
	}
	g.refuse(writer, created.id, document)
	return "refused"
}

// noteBroken takes a request whose connection broke once the engine had it.
func (g *Gateway) noteBroken(created *job, grant *dispatch.Grant) {
	g.crashes.ReportBroken(quarantine.BrokenRequest{
		Machine: grant.Target.Machine, Instance: g.options.View.LifeOf(grant.Target.Machine, grant.Target.Replica), Address: upstream.AddressOf(grant.Target.Endpoint),
		Identity: created.identity(), Route: created.service, Tenant: created.caller,
	})
}

// noteCompleted takes a request that an engine has run to its end.
func (g *Gateway) noteCompleted(created *job, end attemptEnd) {
	if end == endAnswered {
		g.crashes.ReportCompleted(created.identity)
	}
}

// notConnected reports whether an exchange failed before the engine had anything of it.
func notConnected(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}
