package proxy

import (
	"sync"

	"ladderridge.example/core/latency"
)

// byKind keeps what was learnt of answers by their kind. It is safe for concurrent
// use.
type byKind[T any] struct {
	mu    sync.Mutex
	kinds map[string]T
}

func newByKind[T any]() *byKind[T] { return &byKind[T]{kinds: map[string]T{}} }

// of returns what is known of a kind.
func (b *byKind[T]) of(kind string) T {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kinds[kind]
}

// learn replaces what is known of a kind by what follows from it.
func (b *byKind[T]) learn(kind string, next func(T) T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kinds[kind] = next(b.kinds[kind])
}

// typical are the features by which models are compared.
var typical = latency.Features{Unique: 4, Load: 4}

// factor is how many times longer one reference takes than another, 1 if that is not
// known.
func factor(one, than latency.Reference) float64 {
	long, short := one.Expected(typical), than.Expected(typical)
	if long <= 0 || short <= 0 {
		return 1
	}
	return max(1, long/short)
}
