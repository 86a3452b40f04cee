package ingress

import (
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/fault"
)

// errBackedOff ends an exchange before anything was written to a machine that rests or is leaving.
var errBackedOff = fault.Unavailable.New("the machine has asked for a rest or is leaving")

// noteStatement records what a machine states about itself in the head of an answer. It ignores answers of another
// machine, or to another request.
func (j *job) noteStatement(grant *dispatch.Grant, verdict Verdict) {
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
	if stated.BackOff > 0 {
		j.ingress.dispatcher.Rest(machine, stated.BackOff)
		j.ingress.options.Metrics.rests.Inc()
		j.log("rest_requested", "machine", machine, "rest_ms", stated.BackOff.Milliseconds())
	}
	if stated.Leaving && j.ingress.dispatcher.Leave(machine) {
		j.log("machine_leaving", "machine", machine)
		j.ingress.options.RequestReport() // The leader replaces what the machine holds.
	}
}
