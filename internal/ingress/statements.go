package ingress

import (
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/fault"
)

// errBackedOff ends an attempt before the request is written to a machine that may get no requests.
var errBackedOff = fault.Unavailable.New("the machine asked to back off or is shutting down")

// recordStatement records what a machine says about itself in a response. It ignores responses of
// another machine and those to another request.
func (j *job) recordStatement(grant *dispatch.Grant, verdict Verdict) {
	if !verdict.ForRequest || verdict.WrongMachine || !verdict.Genuine && !verdict.NotRun {
		return
	}
	machine, stated := grant.Target.Machine, verdict.Statement
	for _, err := range stated.Invalid {
		j.ingress.options.Metrics.invalidStatements.Inc()
		j.log("invalid_statement", "machine", machine, "error", fault.Message(err))
	}
	if j.ingress.permits.limits.observe(machine, stated.Limit, j.written) {
		j.ingress.options.RequestReport() // The leader publishes the limit to the other routers.
	}
	j.ingress.brittle.observe(j.pool, machine, stated, j.written)
	if stated.BackOff > 0 {
		j.ingress.dispatcher.BackOff(machine, stated.BackOff)
		j.ingress.options.Metrics.backOffs.Inc()
		j.log("rest_requested", "machine", machine, "rest_ms", stated.BackOff.Milliseconds())
	}
	if stated.Leaving && j.ingress.dispatcher.MarkLeaving(machine) {
		j.log("machine_leaving", "machine", machine)
		j.ingress.options.RequestReport() // The leader replaces what the machine holds.
	}
}
