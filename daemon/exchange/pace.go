package exchange

import (
	"math"
	"sync"
	"time"
)

// pace is what the first part of an answer takes, by route and model, for
// telling slow servers and slow versions from slow work.
type pace struct {
	mu    sync.Mutex
	kinds map[string]*paceOf
}

// paceOf is the pace of one kind of answer.
type paceOf struct {
	// usual is the recent mean; n counts answers.
	usual time.Duration
	n     int
	last  time.Time
}

const (
	// paceWeight is the weight of the newest answer.
	paceWeight = 0.05
	// paceKnown is how many answers make a pace known.
	paceKnown = 10
	// slowFactor is how many times the usual an answer takes to count as slow:
	// bad versions take several times as long, while answers of a good one
	// that queue for a moment take two or three times.
	slowFactor = 4
	// paceHalfLife is the time without an answer in which what is expected
	// falls by half: a model that is passed over because it was busy is tried
	// again.
	paceHalfLife = 1500 * time.Millisecond
)

func newPace() *pace { return &pace{kinds: map[string]*paceOf{}} }

func (p *pace) of(kind string) *paceOf {
	if p.kinds[kind] == nil {
		p.kinds[kind] = &paceOf{}
	}
	return p.kinds[kind]
}

// relative is how long an answer took in terms of the usual, or 0 if the usual
// is not known yet.
func (p *pace) relative(kind string, took time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.of(kind)
	if k.n < paceKnown || k.usual <= 0 {
		return 0
	}
	return float64(took) / float64(k.usual)
}

// learn takes how long an answer took.
func (p *pace) learn(kind string, took time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.of(kind)
	k.n++
	k.last = now
	weight := max(paceWeight, 1/float64(k.n))
	// One very long answer must not make the usual long.
	if k.n > paceKnown {
		took = min(took, slowFactor*k.usual)
	}
	k.usual = time.Duration((1-weight)*float64(k.usual) + weight*float64(took))
}

// usual is what an answer may be expected to take now, or 0 if that is not known
// yet.
func (p *pace) usual(kind string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.of(kind)
	if k.n < paceKnown {
		return 0
	}
	idle := max(0, now.Sub(k.last))
	return time.Duration(float64(k.usual) * math.Exp2(-float64(idle)/float64(paceHalfLife)))
}
