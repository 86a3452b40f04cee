package claims

import "github.com/weldline/weldline/internal/wire/wirepb"

// Step is what an attempt does next.
type Step int

// The steps of an attempt.
const (
	// StepSend asks for a back end and sends the request to it, once.
	StepSend Step = iota
	// StepCloseNotRun closes the claim before anything is said.
	StepCloseNotRun
	// StepAnswer passes the back end's answer on and records it.
	StepAnswer
	// StepAnswerNotRun tells the caller that the request did not run.
	StepAnswerNotRun
	// StepAnswerUnknown tells the caller that the request may have run.
	StepAnswerUnknown
	// StepRecordUnknown does the same and closes the claim accordingly.
	StepRecordUnknown
	// StepReplay passes on the answer recorded by an earlier attempt.
	StepReplay
	// StepMismatch refuses a key that was used for another request.
	StepMismatch
)

// SendOutcome is how the sending of a claimed request ended.
type SendOutcome int

// The ends of a sending.
const (
	// SendAnswered: the whole answer has come.
	SendAnswered SendOutcome = iota
	// SendNotRun: nothing was sent, or the back end said that it did not run.
	SendNotRun
	// SendUnknown: it was sent, and no answer came.
	SendUnknown
)

// Attempt decides the course of one attempt at an unrepeatable request. It is
// pure: the gateway and the simulator carry its steps out.
//
// Invariant: StepSend follows only a granted claim or a sending that proved
// not to have run; "not run" is said only after the claim is closed against
// any later run; once an outcome is unknown, nothing is sent again.
type Attempt struct {
	granted bool
	unknown bool
}

// Claimed takes the result of opening the claim. An error means that the
// grant is uncertain: nothing was sent under it and nothing will be, but
// another attempt under the key may run.
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

// Refused takes the refusal of a back end before anything was sent.
func (a *Attempt) Refused() Step {
	if !a.granted || a.unknown {
		return StepAnswerUnknown
	}
	return StepCloseNotRun
}

// Sent takes the end of a sending.
func (a *Attempt) Sent(end SendOutcome) Step {
	switch end {
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

// Closed takes the result of closing the claim as not run.
func (a *Attempt) Closed(err error) Step {
	if err != nil {
		return StepAnswerUnknown
	}
	return StepAnswerNotRun
}
