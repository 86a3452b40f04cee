package claims

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

var stepNames = map[Step]string{
	StepSend: "send", StepCloseNotRun: "close as not run", StepAnswer: "answer and record",
	StepAnswerNotRun: "say not run", StepAnswerUnknown: "say unknown", StepRecordUnknown: "say and record unknown",
	StepReplay: "replay the recorded answer", StepMismatch: "refuse the key",
}

// TestAttempt feeds the events of a table to an attempt.
func TestAttempt(t *testing.T) {
	failure := fault.Unavailable.New("lost")
	datadriven.RunTest(t, "testdata/attempt", func(t *testing.T, d *datadriven.TestData) string {
		attempt := &Attempt{}
		events := map[string]func() Step{
			"granted":      func() Step { return attempt.Claimed(wirepb.ClaimState_CLAIM_STATE_GRANTED, nil) },
			"completed":    func() Step { return attempt.Claimed(wirepb.ClaimState_CLAIM_STATE_COMPLETED, nil) },
			"mismatch":     func() Step { return attempt.Claimed(wirepb.ClaimState_CLAIM_STATE_MISMATCH, nil) },
			"open":         func() Step { return attempt.Claimed(wirepb.ClaimState_CLAIM_STATE_OPEN, nil) },
			"unknown":      func() Step { return attempt.Claimed(wirepb.ClaimState_CLAIM_STATE_UNKNOWN, nil) },
			"claim-lost":   func() Step { return attempt.Claimed(0, failure) },
			"refused":      attempt.Refused,
			"answered":     func() Step { return attempt.Sent(SendAnswered) },
			"not-run":      func() Step { return attempt.Sent(SendNotRun) },
			"no-answer":    func() Step { return attempt.Sent(SendUnknown) },
			"closed":       func() Step { return attempt.Closed(nil) },
			"close-failed": func() Step { return attempt.Closed(failure) },
		}
		var out strings.Builder
		for _, event := range strings.Fields(d.Input) {
			handle := events[event]
			if handle == nil {
				t.Fatalf("unknown event %s", event)
			}
			out.WriteString(event + ": " + stepNames[handle()] + "\n")
		}
		return out.String()
	})
}
