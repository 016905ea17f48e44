package proxy

import (
	"sync"
	"time"

	"ladderridge.example/core/latency"
)

// comparison compares the times of answers with the reference times of versions that are not in
// roll-out. Answers that come before the reference is known are kept until it is: a daemon that has
// just started has no reference, and a version in roll-out gives few answers. It is safe for concurrent
// use.
type comparison struct {
	mu         sync.Mutex
	references map[string]latency.Reference
	unrated    map[string][]unratedAnswer
}

// maxUnrated is how many answers are kept for each kind; a reference takes fewer.
const maxUnrated = 64

// unratedAnswer is an answer's time. rated is called with its ratio if that becomes known later; it must
// not hold the request, whose body may be long.
type unratedAnswer struct {
	features latency.Features
	took     time.Duration
	rated    func(ratio float64)
}

func newComparison() *comparison {
	return &comparison{references: map[string]latency.Reference{}, unrated: map[string][]unratedAnswer{}}
}

// compare returns an answer's time relative to the reference of its kind, 0 if that is unknown.
// settled answers update the reference.
func (c *comparison) compare(kind string, settled bool, a unratedAnswer) float64 {
	c.mu.Lock()
	r := c.references[kind]
	ratio := r.Relative(a.features, a.took)
	if settled {
		r = r.With(a.features, a.took)
		c.references[kind] = r
	}
	if ratio == 0 && len(c.unrated[kind]) < maxUnrated {
		c.unrated[kind] = append(c.unrated[kind], a)
	}
	var due []unratedAnswer
	if r.Known() {
		due = c.unrated[kind]
		delete(c.unrated, kind)
	}
	c.mu.Unlock()
	for _, a := range due {
		a.rated(r.Relative(a.features, a.took))
	}
	return ratio
}
