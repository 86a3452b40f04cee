package nodeview

import (
	"time"

	"github.com/weldline/weldline/internal/ratelimit"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// LimitObservation decodes a rate limit from a digest or report.
func LimitObservation(message *wirepb.MachineLimit) ratelimit.Observation {
	observed := ratelimit.Observation{
		Machine:     message.GetMachine(),
		SentAge:     time.Duration(message.GetSentAgeMs()) * time.Millisecond,
		ReceivedAge: time.Duration(message.GetHeardAgeMs()) * time.Millisecond,
	}
	if message.GetLimited() {
		observed.Limit = ratelimit.NewLimit(message.GetPerSecond())
	}
	return observed
}

// LimitObservations decodes the rate limits from a digest or report.
func LimitObservations(messages []*wirepb.MachineLimit) []ratelimit.Observation {
	observed := make([]ratelimit.Observation, 0, len(messages))
	for _, message := range messages {
		observed = append(observed, LimitObservation(message))
	}
	return observed
}

// LimitMessage encodes a rate limit.
func LimitMessage(observed ratelimit.Observation) *wirepb.MachineLimit {
	return &wirepb.MachineLimit{
		Machine: observed.Machine, Limited: observed.Limit.IsSet, PerSecond: observed.Limit.PerSecond,
		SentAgeMs: uint32(observed.SentAge.Milliseconds()), HeardAgeMs: uint32(observed.ReceivedAge.Milliseconds()),
	}
}

// LimitMessages encodes rate limits.
func LimitMessages(observed []ratelimit.Observation) []*wirepb.MachineLimit {
	messages := make([]*wirepb.MachineLimit, 0, len(observed))
	for _, each := range observed {
		messages = append(messages, LimitMessage(each))
	}
	return messages
}
