package feed

import (
	"context"
	"time"
)

const (
	confirmInterval = 50 * time.Millisecond
	confirmTimeout  = 500 * time.Millisecond
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
