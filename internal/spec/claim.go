package spec

import (
	"fmt"
	"slices"
)

// ClaimPhase is where the claim of a key stands.
type ClaimPhase uint8

// The phases of a claim.
const (
	ClaimNone ClaimPhase = iota
	ClaimOpen
	ClaimCompleted
	ClaimNotRun
	ClaimUnknown
)

// ClaimOperation is what an attempt does to a claim.
type ClaimOperation uint8

// The operations on a claim.
const (
	ClaimRequest ClaimOperation = iota
	ClaimComplete
	ClaimCloseNotRun
	ClaimCloseUnknown
)

// Claim is the claim of one key.
type Claim[O comparable] struct {
	Phase ClaimPhase
	Owner O
}

// Step is the rule of claims: it returns the claim after an operation of an
// owner, and whether the owner is granted the claim by it.
func (c Claim[O]) Step(operation ClaimOperation, owner O) (next Claim[O], granted bool) {
	mine := c.Owner == owner
	if operation == ClaimRequest {
		if c.Phase == ClaimOpen && mine {
			return c, true // Asked twice: the grant stands.
		}
		if c.Phase == ClaimNone || c.Phase == ClaimNotRun && !mine {
			return Claim[O]{Phase: ClaimOpen, Owner: owner}, true
		}
		return c, false
	}
	late := c.Phase == ClaimUnknown && operation == ClaimComplete
	if !mine || c.Phase != ClaimOpen && !late {
		return c, false
	}
	c.Phase = map[ClaimOperation]ClaimPhase{
		ClaimComplete: ClaimCompleted, ClaimCloseNotRun: ClaimNotRun, ClaimCloseUnknown: ClaimUnknown,
	}[operation]
	return c, false
}

const claimAttempts = 2

// AttemptState is one attempt of the claim's model.
type AttemptState struct {
	// Granted, Sent, Closing and Gone are how far it has come: Closing means
	// that it has given up without sending, Gone that its router is dead.
	Granted, Sent, Closing, Gone bool
	// Ran is set once the back end has run it; Told once its caller was told
	// that it did not run.
	Ran, Told bool
}

// ClaimState is a state of the claim's model.
type ClaimState struct {
	Claim    Claim[uint8]
	Attempts [claimAttempts]AttemptState
}

// ClaimRules can be broken.
type ClaimRules struct {
	// SweepReopens: an abandoned claim may be granted again.
	SweepReopens bool
	// TellEarly: "not run" is said before the claim is closed, and the attempt
	// may still send.
	TellEarly bool
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
		Broken: func(state ClaimState) string {
			runs := 0
			for _, attempt := range state.Attempts {
				if attempt.Ran {
					runs++
				}
				if attempt.Ran && attempt.Told {
					return "what was told not to have run ran"
				}
			}
			if runs > 1 {
				return "the request ran twice"
			}
			return ""
		},
	}
}

// attemptStep is something that an attempt may do.
type attemptStep struct {
	action string
	change func(next *ClaimState, own *AttemptState)
}

// attempt lists what one attempt may do next.
func (r ClaimRules) attempt(state ClaimState, number int, visit func(string, ClaimState)) {
	owner := uint8(number + 1)
	steps := slices.Concat(asks(state.Attempts[number], owner), r.sends(state.Attempts[number]), closes(state.Attempts[number], owner))
	for _, step := range steps {
		next := state
		step.change(&next, &next.Attempts[number])
		if next != state {
			visit(fmt.Sprintf("%d %s", number, step.action), next)
		}
	}
}

// asks opens the claim, again and again as a resent proposal would.
func asks(own AttemptState, owner uint8) []attemptStep {
	if own.Gone {
		return nil
	}
	dies := attemptStep{"dies", func(_ *ClaimState, own *AttemptState) { own.Gone = true }}
	if own.Sent || own.Closing {
		return []attemptStep{dies}
	}
	return []attemptStep{dies, {"asks", func(next *ClaimState, own *AttemptState) {
		claim, granted := next.Claim.Step(ClaimRequest, owner)
		next.Claim = claim
		own.Granted = own.Granted || granted
	}}}
}

// sends sends a granted request, or gives up before. What was sent may run at
// any time later, or never.
func (r ClaimRules) sends(own AttemptState) []attemptStep {
	if own.Sent {
		return []attemptStep{{"runs", func(_ *ClaimState, own *AttemptState) { own.Ran = true }}}
	}
	if own.Gone || !own.Granted || own.Closing {
		return nil
	}
	return []attemptStep{
		{"sends", func(_ *ClaimState, own *AttemptState) { own.Sent = true }},
		{"gives up", func(_ *ClaimState, own *AttemptState) {
			own.Closing = !r.TellEarly
			own.Told = own.Told || r.TellEarly
		}},
	}
}

// closes closes the claim, in the way that the attempt has come to.
func closes(own AttemptState, owner uint8) []attemptStep {
	if own.Gone || !own.Granted {
		return nil
	}
	if own.Closing && !own.Told {
		return []attemptStep{{"closes as not run", func(next *ClaimState, own *AttemptState) {
			next.Claim, _ = next.Claim.Step(ClaimCloseNotRun, owner)
			own.Told = next.Claim.Phase == ClaimNotRun && next.Claim.Owner == owner
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
