package spec

import (
	"fmt"
	"slices"
)

// ClaimPhase is the phase of a claim.
type ClaimPhase uint8

const (
	// ClaimNone: the key was never claimed.
	ClaimNone ClaimPhase = iota
	// ClaimOpen: the owner may run the request.
	ClaimOpen
	// ClaimCompleted: the request ran and its answer is recorded.
	ClaimCompleted
	// ClaimNotRun: the request did not run; another owner may claim the key.
	ClaimNotRun
	// ClaimUnknown: the request may have run. The owner may still record its answer.
	ClaimUnknown
)

// ClaimOperation is an operation on a claim.
type ClaimOperation uint8

const (
	// ClaimRequest requests the claim. It is the only operation that may grant it.
	ClaimRequest ClaimOperation = iota
	// ClaimComplete records the answer, also after ClaimCloseUnknown.
	ClaimComplete
	// ClaimCloseNotRun closes an open claim of a request that did not run.
	ClaimCloseNotRun
	// ClaimCloseUnknown closes an open claim of a request that may have run.
	ClaimCloseUnknown
)

// Claim is the claim of one idempotency key.
type Claim[O comparable] struct {
	Phase ClaimPhase
	Owner O
}

// Step returns the claim after an operation by an owner, and whether the operation grants the claim
// to the owner.
func (c Claim[O]) Step(operation ClaimOperation, owner O) (next Claim[O], granted bool) {
	owned := c.Owner == owner
	if operation == ClaimRequest {
		if c.Phase == ClaimOpen && owned {
			return c, true // A repeated request keeps the grant.
		}
		if c.Phase == ClaimNone || c.Phase == ClaimNotRun && !owned {
			return Claim[O]{Phase: ClaimOpen, Owner: owner}, true
		}
		return c, false
	}
	late := c.Phase == ClaimUnknown && operation == ClaimComplete
	if !owned || c.Phase != ClaimOpen && !late {
		return c, false
	}
	c.Phase = map[ClaimOperation]ClaimPhase{
		ClaimComplete: ClaimCompleted, ClaimCloseNotRun: ClaimNotRun, ClaimCloseUnknown: ClaimUnknown,
	}[operation]
	return c, false
}

const claimAttempts = 2

// AttemptState is the state of one attempt to run the request.
type AttemptState struct {
	// Closing is set if the attempt gave up without sending, Crashed if its router crashed.
	Granted, Sent, Closing, Crashed bool
	// Ran is set if the backend ran the request, ReportedNotRun if the caller was told that it did not.
	Ran, ReportedNotRun bool
}

// ClaimState is a state of the claim model.
type ClaimState struct {
	Claim    Claim[uint8]
	Attempts [claimAttempts]AttemptState
}

// ClaimRules selects the rules of the claim model to break.
type ClaimRules struct {
	// SweepReopens makes a sweep allow another grant of an abandoned claim.
	SweepReopens bool
	// ReportBeforeClose reports "not run" before the claim is closed, while the attempt may
	// still send.
	ReportBeforeClose bool
}

// Claims returns the model of two attempts at one key.
func Claims(rules ClaimRules) Model[ClaimState] {
	return Model[ClaimState]{
		Next: func(state ClaimState, visit func(string, ClaimState)) {
			for attempt := range claimAttempts {
				rules.attempt(state, attempt, visit)
			}
			if state.Claim.Phase == ClaimOpen {
				state.Claim.Phase = ClaimUnknown
				if rules.SweepReopens {
					state.Claim = Claim[uint8]{}
				}
				visit("the sweep closes the claim", state)
			}
		},
		Violation: func(state ClaimState) string {
			runs := 0
			for _, attempt := range state.Attempts {
				if attempt.Ran {
					runs++
				}
				if attempt.Ran && attempt.ReportedNotRun {
					return "a request that was reported as not run ran"
				}
			}
			if runs > 1 {
				return "the request ran twice"
			}
			return ""
		},
	}
}

// attemptStep is a possible transition of an attempt.
type attemptStep struct {
	action string
	change func(next *ClaimState, own *AttemptState)
}

// attempt visits the transitions of one attempt.
func (r ClaimRules) attempt(state ClaimState, number int, visit func(string, ClaimState)) {
	owner := uint8(number + 1)
	steps := slices.Concat(requestSteps(state.Attempts[number], owner), r.sendSteps(state.Attempts[number]), closeSteps(state.Attempts[number], owner))
	for _, step := range steps {
		next := state
		step.change(&next, &next.Attempts[number])
		if next != state {
			visit(fmt.Sprintf("%d %s", number, step.action), next)
		}
	}
}

// requestSteps returns the transitions that request the claim, also repeatedly as a retried
// proposal does.
func requestSteps(own AttemptState, owner uint8) []attemptStep {
	if own.Crashed {
		return nil
	}
	crash := attemptStep{"crashes", func(_ *ClaimState, own *AttemptState) { own.Crashed = true }}
	if own.Sent || own.Closing {
		return []attemptStep{crash}
	}
	return []attemptStep{crash, {"requests the claim", func(next *ClaimState, own *AttemptState) {
		claim, granted := next.Claim.Step(ClaimRequest, owner)
		next.Claim = claim
		own.Granted = own.Granted || granted
	}}}
}

// sendSteps returns the transitions that send a granted request, or give up before. A request that was
// sent may run at any later time, or never.
func (r ClaimRules) sendSteps(own AttemptState) []attemptStep {
	if own.Sent {
		return []attemptStep{{"runs", func(_ *ClaimState, own *AttemptState) { own.Ran = true }}}
	}
	if own.Crashed || !own.Granted || own.Closing {
		return nil
	}
	return []attemptStep{
		{"sends", func(_ *ClaimState, own *AttemptState) { own.Sent = true }},
		{"gives up", func(_ *ClaimState, own *AttemptState) {
			own.Closing = !r.ReportBeforeClose
			own.ReportedNotRun = own.ReportedNotRun || r.ReportBeforeClose
		}},
	}
}

// closeSteps returns the transitions that close the claim.
func closeSteps(own AttemptState, owner uint8) []attemptStep {
	if own.Crashed || !own.Granted {
		return nil
	}
	if own.Closing && !own.ReportedNotRun {
		return []attemptStep{{"closes as not run", func(next *ClaimState, own *AttemptState) {
			next.Claim, _ = next.Claim.Step(ClaimCloseNotRun, owner)
			own.ReportedNotRun = next.Claim.Phase == ClaimNotRun && next.Claim.Owner == owner
		}}}
	}
	if !own.Sent {
		return nil
	}
	return []attemptStep{
		{"records the answer", func(next *ClaimState, own *AttemptState) {
			if own.Ran {
				next.Claim, _ = next.Claim.Step(ClaimComplete, owner)
			}
		}},
		{"records unknown", func(next *ClaimState, _ *AttemptState) {
			next.Claim, _ = next.Claim.Step(ClaimCloseUnknown, owner)
		}},
	}
}
