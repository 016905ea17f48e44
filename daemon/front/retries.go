package front

import "sync"

// retryBudget limits a daemon's retries to a fraction of its requests, so that a
// failing pool does not get much more load than a healthy one.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

const (
	// retryRatio is the number of retries that each request adds to the budget.
	retryRatio = 0.2
	// maxSavedRetries bounds the retries that the budget can hold.
	maxSavedRetries = 50
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
)

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxSavedRetries} }

// earn adds a request's retries to the budget.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxSavedRetries, b.tokens+retryRatio)
}

// spend takes one retry from the budget, and reports whether there was one.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
