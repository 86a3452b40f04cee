// Package claims executes non-idempotent requests at most once. A claim under the request's key is
// committed to the replicated log before the request is sent, and closed with the answer, as not
// run, or as unknown; a retry finds it through any router. Invariant: a claim has one owner, and it
// is closed as not run only if the request is known not to have run.
package claims

import (
	"context"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// maxBatchSize is the maximum number of claims in one log entry.
	maxBatchSize = 128
	// pollInterval is the interval of polling a claim of another owner.
	pollInterval = 50 * time.Millisecond
	// proposalTimeout limits one proposal. Claim operations are idempotent, so proposals are
	// retried until the deadline of the caller.
	proposalTimeout = 1500 * time.Millisecond
	retryDelay      = 50 * time.Millisecond
)

// Client proposes claim operations in batches.
type Client struct {
	propose feed.ProposeFunc
	queue   chan *call
}

type call struct {
	claim *wirepb.ClaimCommand
	reply chan callReply
}

type callReply struct {
	result *wirepb.ClaimResult
	err    error
}

// NewClient returns a Client. Its operations block until Run is called.
func NewClient(propose feed.ProposeFunc) *Client {
	return &Client{propose: propose, queue: make(chan *call, maxBatchSize)}
}

// Run proposes batches concurrently until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.queue:
			batch := c.collect(first)
			inFlight.Go(func() { c.send(ctx, batch) })
		}
	}
}

func (c *Client) collect(first *call) []*call {
	batch := []*call{first}
	for len(batch) < maxBatchSize {
		select {
		case next := <-c.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (c *Client) send(ctx context.Context, batch []*call) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	claims := &wirepb.ClaimBatch{}
	for _, operation := range batch {
		claims.Claims = append(claims.Claims, operation.claim)
	}
	result, err := c.propose(ctx, &wirepb.Command{Body: &wirepb.Command_Claims{Claims: claims}})
	if err == nil && len(result.GetClaims()) != len(batch) {
		err = fault.Protocol.New("received %d results for %d claims", len(result.GetClaims()), len(batch))
	}
	for position, operation := range batch {
		if err != nil {
			operation.reply <- callReply{err: err}
			continue
		}
		operation.reply <- callReply{result: result.GetClaims()[position]}
	}
}

// apply proposes an operation until it succeeds or ctx ends.
func (c *Client) apply(ctx context.Context, claim *wirepb.ClaimCommand) (*wirepb.ClaimResult, error) {
	for {
		operation := &call{claim: claim, reply: make(chan callReply, 1)}
		select {
		case c.queue <- operation:
		case <-ctx.Done():
			return nil, fault.Deadline.New("no claim before the deadline")
		}
		select {
		case reply := <-operation.reply:
			if reply.err == nil {
				return reply.result, nil
			}
		case <-ctx.Done():
			return nil, fault.Deadline.New("no claim before the deadline")
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return nil, fault.Deadline.New("no claim before the deadline")
		}
	}
}

// Open claims the key for the owner. While another owner holds the claim, Open polls until the
// claim is closed or ctx ends; in the latter case the returned state is still open.
func (c *Client) Open(ctx context.Context, key string, fingerprint uint64, owner string, deadline time.Time) (*wirepb.ClaimResult, error) {
	claim := &wirepb.ClaimCommand{
		Operation: wirepb.ClaimCommand_OPERATION_OPEN, Key: key, Fingerprint: fingerprint,
		Owner: owner, DeadlineUnixMs: deadline.UnixMilli(),
	}
	for {
		result, err := c.apply(ctx, claim)
		if err != nil || result.GetState() != wirepb.ClaimState_CLAIM_STATE_OPEN {
			return result, err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return result, nil
		}
	}
}

// Complete closes the claim with the recorded answer.
func (c *Client) Complete(ctx context.Context, key, owner string, answer *wirepb.RecordedAnswer) error {
	return c.closeClaim(ctx, &wirepb.ClaimCommand{
		Operation: wirepb.ClaimCommand_OPERATION_COMPLETE, Key: key, Owner: owner, Answer: answer,
	}, wirepb.ClaimState_CLAIM_STATE_COMPLETED)
}

// CloseNotRun closes the claim as not run. The caller of the request may be told "not run" only
// after CloseNotRun has returned without an error.
func (c *Client) CloseNotRun(ctx context.Context, key, owner string) error {
	return c.closeClaim(ctx, &wirepb.ClaimCommand{
		Operation: wirepb.ClaimCommand_OPERATION_NOT_RUN, Key: key, Owner: owner,
	}, wirepb.ClaimState_CLAIM_STATE_NOT_RUN)
}

// CloseUnknown closes the claim with an unknown outcome: the request may have run.
func (c *Client) CloseUnknown(ctx context.Context, key, owner string) error {
	return c.closeClaim(ctx, &wirepb.ClaimCommand{
		Operation: wirepb.ClaimCommand_OPERATION_UNKNOWN, Key: key, Owner: owner,
	}, wirepb.ClaimState_CLAIM_STATE_UNKNOWN)
}

func (c *Client) closeClaim(ctx context.Context, claim *wirepb.ClaimCommand, expected wirepb.ClaimState) error {
	result, err := c.apply(ctx, claim)
	if err != nil {
		return err
	}
	if result.GetState() != expected {
		return fault.Conflict.New("claim is already closed as %s", result.GetState().String())
	}
	return nil
}
