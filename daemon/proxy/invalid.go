package proxy

import (
	"sync"

	"ladderridge.example/core/verdict"
)

// InvalidCounts counts responses that are no answers by their reason. It is safe for concurrent use.
type InvalidCounts struct {
	mu     sync.Mutex
	counts map[verdict.Reason]int64
}

func (c *InvalidCounts) count(r verdict.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[verdict.Reason]int64{}
	}
	c.counts[r]++
}

// Of returns the count of a reason.
func (c *InvalidCounts) Of(r verdict.Reason) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[r]
}
