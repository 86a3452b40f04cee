package feed

import (
	"context"
	"time"
)

const (
	// confirmInterval is how often a client without an answer asks again.
	confirmInterval = 50 * time.Millisecond
	// confirmTimeout bounds one question; an election is mostly over by then.
	confirmTimeout = 500 * time.Millisecond
	// confirmPoll is how often a server looks for a leader to ask. It costs a read of
	// its own status, and a call of a few bytes once there is a leader.
	confirmPoll = 5 * time.Millisecond
)

// Confirmed is a Sink that must not be used before it holds what the leader
// held after it had started.
type Confirmed interface {
	// Current reports whether it may be used.
	Current() bool
	// Confirm takes a revision that the leader held after the start.
	Confirm(revision uint64)
}

// ConfirmUntilCurrent asks the leader for its revision, through whichever
// server is connected, until the sink is current.
func (c *Client) ConfirmUntilCurrent(ctx context.Context, sink Confirmed) {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for !sink.Current() {
		c.confirmOnce(ctx, sink)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Client) confirmOnce(ctx context.Context, sink Confirmed) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if revision, err := c.Confirm(ctx); err == nil {
		sink.Confirm(revision)
	}
}
