package front

import "sync"

// retries bounds how many retries a daemon makes: a share of its requests, so
// that a failing pool is not hit harder than a healthy one.
type retries struct {
	mu     sync.Mutex
	tokens float64
}

const (
	// retryShare is how many retries each request earns.
	retryShare = 0.2
	// retryBurst is how many retries may be saved up.
	retryBurst = 50
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
)

func newRetries() *retries { return &retries{tokens: retryBurst} }

// earn counts a request.
func (b *retries) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryBurst, b.tokens+retryShare)
}

// spend takes a retry, if there is one.
func (b *retries) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
