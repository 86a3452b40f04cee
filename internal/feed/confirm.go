package feed

import (
	"context"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	confirmRetryInterval = 50 * time.Millisecond
	// confirmTimeout exceeds the usual duration of an election.
	confirmTimeout = 500 * time.Millisecond
	// leaderPollInterval may be short, since a poll without a leader only reads local status.
	leaderPollInterval = 5 * time.Millisecond
)

// ConfirmFunc returns a revision that includes everything committed before the call. An error means that no leader confirmed one.
type ConfirmFunc func(ctx context.Context) (revision uint64, err error)

// ConfirmableSink is a Sink that must not be used before it has applied a revision that the leader
// reported after the start of the process.
type ConfirmableSink interface {
	// Current reports whether the sink may be used.
	Current() bool
	// Confirm sets a revision that the leader reported after the start of the process.
	Confirm(revision uint64)
}

// ConfirmUntilCurrent requests the leader's revision from the connected server until the sink is
// current.
func (c *Client) ConfirmUntilCurrent(ctx context.Context, sink ConfirmableSink) {
	ticker := time.NewTicker(confirmRetryInterval)
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

// StatusSource returns the leader's view of the cluster. Without a leader it returns an error or a
// reply without a leader's name.
type StatusSource interface {
	Status(ctx context.Context, request *wirepb.StatusRequest) (*wirepb.StatusReply, error)
}

// AwaitRevision polls the source until there is a leader, and returns its revision.
func AwaitRevision(ctx context.Context, source StatusSource, interval time.Duration) (*wirepb.StatusReply, error) {
	request := &wirepb.StatusRequest{RevisionOnly: true}
	for {
		reply, err := source.Status(ctx, request)
		if err == nil && reply.GetLeader() != "" {
			return reply, nil
		}
		select {
		case <-ctx.Done():
			return nil, fault.Unavailable.New("there is no leader to confirm a revision")
		case <-time.After(interval):
		}
	}
}
