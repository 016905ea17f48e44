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

// references are what answers of settled versions take, by what is asked. They are
// safe for concurrent use.
type references struct {
	mu    sync.Mutex
	kinds map[string]pace.Reference
}

func newReferences() *references { return &references{kinds: map[string]pace.Reference{}} }

// relative is how long something took in terms of what the settled version takes
// for the like, 0 if that is not known.
func (r *references) relative(kind string, f pace.Features, took time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kinds[kind].Relative(f, took)
}

// learn takes how long something took of a settled version.
func (r *references) learn(kind string, f pace.Features, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds[kind] = r.kinds[kind].With(f, took)
}

// expected is what the like takes, in seconds, or 0 if that is not known.
func (r *references) expected(kind string, f pace.Features) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kinds[kind].Expected(f)
}

// typical are the features by which models are compared.
var typical = pace.Features{Reads: 4, Load: 4}

// factor is how many times longer one kind takes than another, 1 if that is not
// known.
func (r *references) factor(kind, than string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	one, other := r.kinds[kind].Expected(typical), r.kinds[than].Expected(typical)
	if one <= 0 || other <= 0 {
		return 1
	}
	return max(1, one/other)
}
