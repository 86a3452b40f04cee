package gateway

import "sync"

const (
	retryTokensPerRequest = 0.2
	maxRetryTokens        = 100.0
)

// retryBudget is a token bucket that bounds retries to a share of the requests, so
// that retries don't overload a failing pool.
type retryBudget struct {
	mutex  sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{tokens: maxRetryTokens / 2}
}

func (b *retryBudget) deposit() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(maxRetryTokens, b.tokens+retryTokensPerRequest)
}

func (b *retryBudget) withdraw() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
