package exchange

import (
	"sync"
	"time"
)

// pace is what the first part of an answer takes, by route and model, for
// telling slow servers and slow versions from slow work.
type pace struct {
	mu  sync.Mutex
	ema map[string]time.Duration
	n   map[string]int
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
)

func newPace() *pace { return &pace{ema: map[string]time.Duration{}, n: map[string]int{}} }

// relative is how long an answer took in terms of the usual, or 0 if the usual
// is not known yet.
func (p *pace) relative(kind string, took time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.n[kind] < paceKnown || p.ema[kind] <= 0 {
		return 0
	}
	return float64(took) / float64(p.ema[kind])
}

// learn takes how long an answer took.
func (p *pace) learn(kind string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.n[kind]++
	weight := max(paceWeight, 1/float64(p.n[kind]))
	// One very long answer must not make the usual long.
	if usual := p.ema[kind]; p.n[kind] > paceKnown {
		took = min(took, slowFactor*usual)
	}
	p.ema[kind] = time.Duration((1-weight)*float64(p.ema[kind]) + weight*float64(took))
}

// usual is what an answer takes, or 0 if that is not known yet.
func (p *pace) usual(kind string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.n[kind] < paceKnown {
		return 0
	}
	return p.ema[kind]
}
