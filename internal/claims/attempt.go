package claims

import "github.com/weldline/weldline/internal/wire/wirepb"

// Step is the next step of an attempt.
type Step int

// Steps of an attempt.
const (
	// StepSend picks a back end and sends the request to it once.
	StepSend Step = iota
	// StepCloseNotRun closes the claim as not run before the caller is answered.
	StepCloseNotRun
	// StepAnswer forwards the answer of the back end and records it.
	StepAnswer
	// StepAnswerNotRun tells the caller that the request did not run.
	StepAnswerNotRun
	// StepAnswerUnknown tells the caller that the request may have run.
	StepAnswerUnknown
	// StepRecordUnknown closes the claim as unknown and tells the caller that the request may have
	// run.
	StepRecordUnknown
	// StepReplay forwards the answer recorded by an earlier attempt.
	StepReplay
	// StepMismatch rejects a key that was used for a different request.
	StepMismatch
)

// SendOutcome is the outcome of sending a claimed request.
type SendOutcome int

// Outcomes of sending a request.
const (
	// SendAnswered means that the complete answer was received.
	SendAnswered SendOutcome = iota
	// SendNotRun means that nothing was sent, or that the back end reported that the request did
	// not run.
	SendNotRun
	// SendUnknown means that the request was sent and no answer was received.
	SendUnknown
)

// Attempt is the state machine of one attempt at a non-idempotent request. It does no I/O: the
// gateway and the fault simulator execute its steps.
//
// Invariant: StepSend follows only a granted claim or a send that did not run; "not run" is
// answered only after the claim is closed as not run; after an unknown outcome nothing is sent
// again.
type Attempt struct {
	granted bool
	unknown bool
}

// Claimed handles the result of opening the claim. After an error the grant is uncertain: this
// attempt sends nothing, but another attempt under the same key may run.
func (a *Attempt) Claimed(state wirepb.ClaimState, err error) Step {
	if err != nil {
		return StepAnswerUnknown
	}
	switch state {
	case wirepb.ClaimState_CLAIM_STATE_GRANTED:
		a.granted = true
		return StepSend
	case wirepb.ClaimState_CLAIM_STATE_COMPLETED:
		return StepReplay
	case wirepb.ClaimState_CLAIM_STATE_MISMATCH:
		return StepMismatch
	}
	return StepAnswerUnknown
}

// Refused handles the refusal of the dispatcher to grant a back end. Earlier sends, if any, did not
// run.
func (a *Attempt) Refused() Step {
	if !a.granted || a.unknown {
		return StepAnswerUnknown
	}
	return StepCloseNotRun
}

// Sent handles the outcome of sending the request.
func (a *Attempt) Sent(outcome SendOutcome) Step {
	switch outcome {
	case SendAnswered:
		return StepAnswer
	case SendNotRun:
		if a.granted && !a.unknown {
			return StepSend
		}
	}
	a.unknown = true
	return StepRecordUnknown
}

// Closed handles the result of closing the claim as not run.
func (a *Attempt) Closed(err error) Step {
	if err != nil {
		return StepAnswerUnknown
	}
	return StepAnswerNotRun
}
