// Package claims makes a router the owner of an unrepeatable request before
// it is sent.
//
// The problem: callers resend requests when answers are lost, to any router;
// a seat must be held once. And a refusal that says "not run" must be true,
// also when a router or the leader dies in between.
//
// The mechanism: a claim under the request's key is committed to the
// replicated log before the request is sent (a durable record before the
// effect). One owner is granted it. The owner closes the claim with the
// answer, as not run (only where it knows that nothing was sent), or as
// unknown. A resend finds the claim, whichever router it meets. Claims of
// many requests travel in one log entry.
//
// When the grant itself is uncertain, because the control plane did not
// answer, the request was not sent under it and never will be; but another
// attempt under the same key may run, so the caller is told "unknown".
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
	// batchLimit bounds the claims in one log entry.
	batchLimit = 128
	// pollDelay is the pause between looks at a claim that another owns.
	pollDelay = 50 * time.Millisecond
	// attemptTimeout bounds one proposal; it is sent again until the
	// caller's deadline. Claim operations may be repeated.
	attemptTimeout = 1500 * time.Millisecond
	retryDelay     = 50 * time.Millisecond
)

// Client proposes claims in batches.
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

// NewClient returns a keeper; Run must be running for it to work.
func NewClient(propose feed.ProposeFunc) *Client {
	return &Client{propose: propose, queue: make(chan *call, batchLimit)}
}

// Run sends batches until ctx ends. While one is on its way, the next fills.
func (k *Client) Run(ctx context.Context) {
	var flights sync.WaitGroup
	defer flights.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-k.queue:
			batch := k.gather(first)
			flights.Go(func() { k.send(ctx, batch) })
		}
	}
}

func (k *Client) gather(first *call) []*call {
	batch := []*call{first}
	for len(batch) < batchLimit {
		select {
		case next := <-k.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (k *Client) send(ctx context.Context, batch []*call) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	claims := &wirepb.ClaimBatch{}
	for _, entry := range batch {
		claims.Claims = append(claims.Claims, entry.claim)
	}
	result, err := k.propose(ctx, &wirepb.Command{Body: &wirepb.Command_Claims{Claims: claims}})
	if err == nil && len(result.GetClaims()) != len(batch) {
		err = fault.Protocol.New("%d results for %d claims", len(result.GetClaims()), len(batch))
	}
	for position, entry := range batch {
		if err != nil {
			entry.reply <- callReply{err: err}
			continue
		}
		entry.reply <- callReply{result: result.GetClaims()[position]}
	}
}

// apply proposes one operation until it is answered or ctx ends.
func (k *Client) apply(ctx context.Context, claim *wirepb.ClaimCommand) (*wirepb.ClaimResult, error) {
	for {
		entry := &call{claim: claim, reply: make(chan callReply, 1)}
		select {
		case k.queue <- entry:
		case <-ctx.Done():
			return nil, fault.Deadline.New("no claim before the deadline")
		}
		select {
		case reply := <-entry.reply:
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

// Open asks for the claim. While another owner holds it, Open waits for the
// outcome until ctx ends; the state is then still open.
func (k *Client) Open(ctx context.Context, key string, fingerprint uint64, owner string, deadline time.Time) (*wirepb.ClaimResult, error) {
	claim := &wirepb.ClaimCommand{
		Operation: wirepb.ClaimCommand_OPERATION_OPEN, Key: key, Fingerprint: fingerprint,
		Owner: owner, DeadlineUnixMs: deadline.UnixMilli(),
	}
	for {
		result, err := k.apply(ctx, claim)
		if err != nil || result.GetState() != wirepb.ClaimState_CLAIM_STATE_OPEN {
			return result, err
		}
		select {
		case <-time.After(pollDelay):
		case <-ctx.Done():
			return result, nil
		}
	}
}

// Complete records the answer.
func (k *Client) Complete(ctx context.Context, key, owner string, answer *wirepb.RecordedAnswer) error {
	return k.resolve(ctx, &wirepb.ClaimCommand{
		Operation: wirepb.ClaimCommand_OPERATION_COMPLETE, Key: key, Owner: owner, Answer: answer,
	}, wirepb.ClaimState_CLAIM_STATE_COMPLETED)
}

// CloseNotRun closes the attempt as not run. Only after it has returned
// without an error may a caller be told so.
func (k *Client) CloseNotRun(ctx context.Context, key, owner string) error {
	return k.resolve(ctx, &wirepb.ClaimCommand{
		Operation: wirepb.ClaimCommand_OPERATION_NOT_RUN, Key: key, Owner: owner,
	}, wirepb.ClaimState_CLAIM_STATE_NOT_RUN)
}

// CloseUnknown closes the key: the request may have run.
func (k *Client) CloseUnknown(ctx context.Context, key, owner string) error {
	return k.resolve(ctx, &wirepb.ClaimCommand{
		Operation: wirepb.ClaimCommand_OPERATION_UNKNOWN, Key: key, Owner: owner,
	}, wirepb.ClaimState_CLAIM_STATE_UNKNOWN)
}

func (k *Client) resolve(ctx context.Context, claim *wirepb.ClaimCommand, wanted wirepb.ClaimState) error {
	result, err := k.apply(ctx, claim)
	if err != nil {
		return err
	}
	if result.GetState() != wanted {
		return fault.Conflict.New("the claim was closed as %s meanwhile", result.GetState().String())
	}
	return nil
}
