package spec

import "fmt"

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
	ClaimAsk ClaimOperation = iota
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
	if operation == ClaimAsk {
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

// attempt lists what one attempt may do next. What it has sent may run at any
// time later, or never.
func (r ClaimRules) attempt(state ClaimState, number int, visit func(string, ClaimState)) {
	own := state.Attempts[number]
	step := func(action string, change func(next *ClaimState, own *AttemptState)) {
		next := state
		change(&next, &next.Attempts[number])
		if next != state {
			visit(fmt.Sprintf("%d %s", number, action), next)
		}
	}
	if own.Sent && !own.Ran {
		step("runs", func(_ *ClaimState, own *AttemptState) { own.Ran = true })
	}
	if own.Gone {
		return
	}
	step("dies", func(_ *ClaimState, own *AttemptState) { own.Gone = true })
	step("asks", func(next *ClaimState, own *AttemptState) {
		if own.Sent || own.Closing {
			return
		}
		claim, granted := next.Claim.Step(ClaimAsk, uint8(number+1))
		next.Claim = claim
		own.Granted = own.Granted || granted
	})
	if !own.Granted {
		return
	}
	if !own.Sent && !own.Closing {
		step("sends", func(_ *ClaimState, own *AttemptState) { own.Sent = true })
		step("gives up", func(_ *ClaimState, own *AttemptState) {
			own.Closing = !r.TellEarly
			own.Told = own.Told || r.TellEarly
		})
	}
	if own.Closing && !own.Told {
		step("closes as not run", func(next *ClaimState, own *AttemptState) {
			claim, _ := next.Claim.Step(ClaimCloseNotRun, uint8(number+1))
			next.Claim = claim
			own.Told = claim.Phase == ClaimNotRun && claim.Owner == uint8(number+1)
		})
	}
	if own.Sent {
		step("records the answer", func(next *ClaimState, own *AttemptState) {
			if own.Ran {
				next.Claim, _ = next.Claim.Step(ClaimComplete, uint8(number+1))
			}
		})
		step("records unknown", func(next *ClaimState, _ *AttemptState) {
			next.Claim, _ = next.Claim.Step(ClaimCloseUnknown, uint8(number+1))
		})
	}
}
