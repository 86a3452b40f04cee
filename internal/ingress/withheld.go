package ingress

import (
	"context"

	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/fault"
)

// sendCheck is what the last look before a send comes to.
type sendCheck int

const (
	// sendNow: the request may go to the machine that it has a place on.
	sendNow sendCheck = iota
	// chooseAgain: it may not, and the place was given back.
	chooseAgain
	// answeredAlready: it may not go to any machine, and its caller has the answer.
	answeredAlready
)

// checkBeforeSend looks at a place once more: choosing it may have taken a while, and so may what
// is asked for here.
func (j *job) checkBeforeSend(ctx context.Context, grant *dispatch.Grant) sendCheck {
	switch {
	case j.withheld(grant):
		return j.chooseAnew(ctx, grant)
	case !j.mayBeSent(ctx, grant):
		return chooseAgain
	case j.mustNotRun(ctx):
		j.ingress.dispatcher.Release(grant, dispatch.ResultNotSent)
		return answeredAlready
	}
	return sendNow
}

// tryPlace sends the request to the machine that it has a place on, unless it may not go there. How
// the attempt ended means something only where sendNow comes back.
func (j *job) tryPlace(ctx context.Context, grant *dispatch.Grant) (attemptEnd, sendCheck) {
	if checked := j.checkBeforeSend(ctx, grant); checked != sendNow {
		return endWithheld, checked
	}
	end := j.attempt(ctx, grant)
	if end == endWithheld {
		return end, j.chooseAnew(ctx, grant)
	}
	return end, sendNow
}

// withheld reports whether the request may not go to the machine that it has a place on: its zone
// was drained, or what binds the request to regions or where the machine stands has changed since
// the place was chosen. Routers gather changes for a moment, and a connection may take a while, so
// it is asked until the last.
func (j *job) withheld(grant *dispatch.Grant) bool {
	view, allowed := j.ingress.options.View, j.allowed()
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

// checkWithheld is the last word before anything is written to a machine.
func (j *job) checkWithheld(grant *dispatch.Grant) error {
	if j.withheld(grant) {
		return fault.Refused.New("machine %s may not get the request", grant.Target.Machine)
	}
	return nil
}

// chooseAnew gives back a place that the request may not use, and binds it to what is declared
// now. It answers the request if no machine may serve it any more.
func (j *job) chooseAnew(ctx context.Context, grant *dispatch.Grant) sendCheck {
	j.ingress.dispatcher.Release(grant, dispatch.ResultNotSent)
	j.wanted.TriedMachines = append(j.wanted.TriedMachines, grant.Target.Machine)
	j.wanted.Allowed = j.allowed()
	document := j.unservable(j.wanted.Allowed)
	switch {
	case document == nil:
		return chooseAgain
	case j.mayHaveRun:
		j.giveUp(ctx, endFailed)
	default:
		j.fail(document, document.RetryAfter)
	}
	return answeredAlready
}
