package gateway

import "sync"

const (
	budgetPerRequest = 0.2
	budgetMax        = 100.0
)

// retryBudget is a token bucket that bounds retries to a share of the requests, so
// that retries don't overload a failing pool.
type retryBudget struct {
	mutex  sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{tokens: budgetMax / 2}
}

func (b *retryBudget) earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(budgetMax, b.tokens+budgetPerRequest)
}

func (b *retryBudget) spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
