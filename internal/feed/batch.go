package feed

import (
	"context"
	"sync"
)

// callCoalescer shares calls among concurrent callers. Each caller gets the result of a call that
// started after its own request, so results are as fresh as those of separate calls. At most one call
// runs at a time; callers that arrive meanwhile share the next one.
type callCoalescer[R any] struct {
	call func(ctx context.Context) (R, error)

	mutex   sync.Mutex
	running *sharedCall[R]
	next    *sharedCall[R]
}

// sharedCall holds the result of one call; result and err are valid once done is closed.
type sharedCall[R any] struct {
	done   chan struct{}
	result R
	err    error
}

func newCallCoalescer[R any](call func(ctx context.Context) (R, error)) *callCoalescer[R] {
	return &callCoalescer[R]{call: call}
}

// do returns the result of the next call to start. Canceling ctx ends only the wait, since other
// callers may share the call.
func (c *callCoalescer[R]) do(ctx context.Context) (R, error) {
	call := c.join(context.WithoutCancel(ctx))
	select {
	case <-call.done:
		return call.result, call.err
	case <-ctx.Done():
		var zero R
		return zero, ctx.Err()
	}
}

func (c *callCoalescer[R]) join(ctx context.Context) *sharedCall[R] {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.next == nil {
		c.next = &sharedCall[R]{done: make(chan struct{})}
	}
	call := c.next
	if c.running == nil {
		c.startNext(ctx)
	}
	return call
}

// startNext starts the next call if there are waiting callers; the mutex must be held.
func (c *callCoalescer[R]) startNext(ctx context.Context) {
	c.running, c.next = c.next, nil
	if c.running != nil {
		go c.run(ctx, c.running)
	}
}

func (c *callCoalescer[R]) run(ctx context.Context, call *sharedCall[R]) {
	call.result, call.err = c.call(ctx)
	close(call.done)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.startNext(ctx)
}
