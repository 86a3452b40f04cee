package nodeview

import (
	"time"

	"github.com/weldline/weldline/internal/ratelimit"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// ToldLimit returns what a message tells of a machine's limit.
func ToldLimit(message *wirepb.MachineLimit) ratelimit.Told {
	told := ratelimit.Told{
		Machine:  message.GetMachine(),
		SentAge:  time.Duration(message.GetSentAgeMs()) * time.Millisecond,
		HeardAge: time.Duration(message.GetHeardAgeMs()) * time.Millisecond,
	}
	if message.GetLimited() {
		told.Limit = ratelimit.Of(message.GetPerSecond())
	}
	return told
}

// ToldLimits returns what messages tell.
func ToldLimits(messages []*wirepb.MachineLimit) []ratelimit.Told {
	told := make([]ratelimit.Told, 0, len(messages))
	for _, message := range messages {
		told = append(told, ToldLimit(message))
	}
	return told
}

// LimitMessage is the message that tells of a machine's limit.
func LimitMessage(told ratelimit.Told) *wirepb.MachineLimit {
	return &wirepb.MachineLimit{
		Machine: told.Machine, Limited: told.Limit.IsSet, PerSecond: told.Limit.PerSecond,
		SentAgeMs: uint32(told.SentAge.Milliseconds()), HeardAgeMs: uint32(told.HeardAge.Milliseconds()),
	}
}

// LimitMessages are the messages that tell of machines' limits.
func LimitMessages(told []ratelimit.Told) []*wirepb.MachineLimit {
	messages := make([]*wirepb.MachineLimit, 0, len(told))
	for _, each := range told {
		messages = append(messages, LimitMessage(each))
	}
	return messages
}
