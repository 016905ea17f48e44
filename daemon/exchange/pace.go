package exchange

import (
	"sync"
	"time"

	"ladderridge.example/core/pace"
)

// paces are what the first parts of answers take, by their kind. They are safe
// for concurrent use.
type paces struct {
	mu    sync.Mutex
	kinds map[string]pace.Estimate
}

func newPaces() *paces { return &paces{kinds: map[string]pace.Estimate{}} }

// of returns the pace of a kind.
func (p *paces) of(kind string) pace.Estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kinds[kind]
}

// learn takes how long an answer to a request of a size took.
func (p *paces) learn(kind string, size float64, took time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kinds[kind] = p.kinds[kind].With(size, took, now)
}
