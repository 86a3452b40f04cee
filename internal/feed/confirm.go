package feed

import (
	"context"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire/wirepb"
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

// ConfirmableSink is a Sink that must not be used before it holds what the leader
// held after it had started.
type ConfirmableSink interface {
	// Current reports whether it may be used.
	Current() bool
	// Confirm takes a revision that the leader held after the start.
	Confirm(revision uint64)
}

// ConfirmUntilCurrent asks the leader for its revision, through whichever
// server is connected, until the sink is current.
func (c *Client) ConfirmUntilCurrent(ctx context.Context, sink ConfirmableSink) {
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

func (c *Client) confirmOnce(ctx context.Context, sink ConfirmableSink) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if revision, err := c.Confirm(ctx); err == nil {
		sink.Confirm(revision)
	}
}

// StatusSource tells the leader's view of the cluster, or that there is no leader.
type StatusSource interface {
	Status(ctx context.Context, request *wirepb.StatusRequest) (*wirepb.StatusReply, error)
}

// AwaitRevision asks for the leader's revision, again and again until there is a leader.
func AwaitRevision(ctx context.Context, source StatusSource, poll time.Duration) (*wirepb.StatusReply, error) {
	request := &wirepb.StatusRequest{RevisionOnly: true}
	for {
		reply, err := source.Status(ctx, request)
		if err == nil && reply.GetLeader() != "" {
			return reply, nil
		}
		select {
		case <-ctx.Done():
			return nil, fault.Unavailable.New("there is no leader to confirm a revision")
		case <-time.After(poll):
		}
	}
}
