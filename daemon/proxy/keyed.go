package proxy

import (
	"sync"

	"ladderridge.example/core/latency"
)

// keyed holds a value per key. It is safe for concurrent use.
type keyed[T any] struct {
	mu     sync.Mutex
	values map[string]T
}

func newKeyed[T any]() *keyed[T] { return &keyed[T]{values: map[string]T{}} }

// get returns the value of a key.
func (b *keyed[T]) get(kind string) T {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.values[kind]
}

// update replaces the value of a key by the result of next.
func (b *keyed[T]) update(kind string, next func(T) T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.values[kind] = next(b.values[kind])
}

// typicalFeatures are the features by which models are compared.
var typicalFeatures = latency.Features{Unique: 4, Load: 4}

// durationRatio returns how many times longer one reference takes than another, at least 1,
// and 1 if that is unknown.
func durationRatio(one, than latency.Reference) float64 {
	long, short := one.Expected(typicalFeatures), than.Expected(typicalFeatures)
	if long <= 0 || short <= 0 {
		return 1
	}
	return max(1, long/short)
}
