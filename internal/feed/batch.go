package feed

import (
	"context"
	"sync"
)

// batcher answers many callers by few calls. A caller only gets the result of a call
// that began after it had come, so what holds for a call of its own holds for the
// shared one. At most one call is under way; whoever comes meanwhile shares the next.
type batcher[R any] struct {
	call func(ctx context.Context) (R, error)

	mutex   sync.Mutex
	running *batch[R]
	next    *batch[R]
}

// batch is one call and its result, which is set once done is closed.
type batch[R any] struct {
	done   chan struct{}
	result R
	err    error
}

func newBatcher[R any](call func(ctx context.Context) (R, error)) *batcher[R] {
	return &batcher[R]{call: call}
}

// do returns the result of the next call to begin. The call itself goes on when ctx
// ends: others may wait for it.
func (b *batcher[R]) do(ctx context.Context) (R, error) {
	joined := b.join(context.WithoutCancel(ctx))
	select {
	case <-joined.done:
		return joined.result, joined.err
	case <-ctx.Done():
		var none R
		return none, ctx.Err()
	}
}

func (b *batcher[R]) join(ctx context.Context) *batch[R] {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.next == nil {
		b.next = &batch[R]{done: make(chan struct{})}
	}
	joined := b.next
	if b.running == nil {
		b.startNext(ctx)
	}
	return joined
}

// startNext makes the next batch the running one; the mutex must be held.
func (b *batcher[R]) startNext(ctx context.Context) {
	b.running, b.next = b.next, nil
	if b.running != nil {
		go b.run(ctx, b.running)
	}
}

func (b *batcher[R]) run(ctx context.Context, current *batch[R]) {
	current.result, current.err = b.call(ctx)
	close(current.done)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.startNext(ctx)
}
