package ingress

import (
	"context"

	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/fault"
)

// sendCheck is the result of the checks before a send.
type sendCheck int

const (
	// checkPassed: the request may be sent to the granted machine.
	checkPassed sendCheck = iota
	// checkReselect: the request may not be sent there, and the grant was released.
	checkReselect
	// checkAnswered: the request may not be sent to any machine and has been answered.
	checkAnswered
)

// checkBeforeSend checks a grant again, as the configuration may have changed since the machine was
// chosen. It obtains a permit if the machine requires one.
func (j *job) checkBeforeSend(ctx context.Context, grant *dispatch.Grant) sendCheck {
	switch {
	case j.isDisallowed(grant):
		return j.reselect(ctx, grant)
	case !j.obtainPermit(ctx, grant):
		return checkReselect
	case j.rejectBeforeSend(ctx):
		j.ingress.dispatcher.Release(grant, dispatch.ResultNotSent)
		return checkAnswered
	}
	return checkPassed
}

// attemptGrant sends the request to the granted machine, if allowed. The attempt's outcome is valid only
// if the check is checkPassed.
func (j *job) attemptGrant(ctx context.Context, grant *dispatch.Grant) (attemptOutcome, sendCheck) {
	if checked := j.checkBeforeSend(ctx, grant); checked != checkPassed {
		return outcomeDisallowed, checked
	}
	outcome := j.attempt(ctx, grant)
	if outcome == outcomeDisallowed {
		return outcome, j.reselect(ctx, grant)
	}
	return outcome, checkPassed
}

// isDisallowed reports whether the request may no longer be sent to the granted machine: its zone is
// drained, or the request's allowed regions or the machine's location have changed. The grant may be
// based on an older configuration, since rebuilds are batched.
func (j *job) isDisallowed(grant *dispatch.Grant) bool {
	view, allowed := j.ingress.options.View, j.allowedRegions()
	reason := ""
	switch {
	case view.ZoneDrained(grant.Target.Zone):
		reason = "zone-drained"
	case !view.MayServe(grant.Target.Machine, grant.Target.Endpoint, allowed):
		reason = "region"
	default:
		return false
	}
	j.ingress.options.Metrics.withheld.Inc()
	j.log("withheld", "machine", grant.Target.Machine, "reason", reason, "region", grant.Target.Region, "allowed", allowed.Regions())
	return true
}

// checkAllowed returns an error if the request may no longer be sent to the granted machine.
func (j *job) checkAllowed(grant *dispatch.Grant) error {
	if j.isDisallowed(grant) {
		return fault.Refused.New("machine %s may not get the request", grant.Target.Machine)
	}
	return nil
}

// reselect releases a grant that the request may not use, and updates its allowed regions. It
// answers the request if no machine may serve it any more.
func (j *job) reselect(ctx context.Context, grant *dispatch.Grant) sendCheck {
	j.ingress.dispatcher.Release(grant, dispatch.ResultNotSent)
	j.dispatchRequest.TriedMachines = append(j.dispatchRequest.TriedMachines, grant.Target.Machine)
	j.dispatchRequest.Allowed = j.allowedRegions()
	document := j.unservableProblem(j.dispatchRequest.Allowed)
	switch {
	case document == nil:
		return checkReselect
	case j.mayHaveRun:
		j.answerFailure(ctx, outcomeFailed)
	default:
		j.fail(document, document.RetryAfter)
	}
	return checkAnswered
}
