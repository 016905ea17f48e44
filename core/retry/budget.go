// Package retry decides whether and when a request is retried: how long an attempt at one
// server may take before another server is tried, how many retries all daemons together may
// send, and the retry-after time of a caller that was refused.
//
// It handles three cases: a server that hangs among healthy ones, where a retry elsewhere
// helps; a burst, where every server is slow and retries only prolong the overload; and
// daemons that restart while a service fails.
package retry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Budget limits the repeats (retries and escalations to a larger model) that all daemons
// together send to a service, without communication between them. Each daemon has a token
// bucket per service: a request adds a part of a token, a repeat takes one token, and the
// bucket of a daemon that has just started is empty.
//
// In any interval of length Window the daemons send at most the tokens that the requests of
// the interval added plus those in the buckets at its start. The capacity of a bucket is a
// share of Slack, a fraction of the tokens for the requests of the last Window, and the
// tokens of the most recent requests. So the total stays within Ratio per request plus
// Slack, whichever daemons stop, start or take over the callers of others.
type Budget struct {
	// Ratio is the number of repeats allowed per request, within Window.
	Ratio  float64
	Window time.Duration
	// Slack is the number of repeats that all daemons together may send beyond that.
	Slack float64
	// Seed must differ between daemons and between starts of a daemon.
	Seed uint64

	mu       sync.Mutex
	rng      *rand.Rand
	start    time.Time
	services map[string]*bucket
}

// Fractions of Ratio. The remainder covers repeats that reach a server later than they were
// counted.
const (
	// earnedFraction is the fraction of Ratio that a request adds to the bucket.
	earnedFraction = 0.88
	// savedFraction is the fraction of Ratio that each request of the last window adds to the
	// capacity of the bucket.
	savedFraction = 0.04
)

// minDaemons is the smallest number of daemons that Slack is divided by, so that a few
// new daemons do not exceed it before the others know of them.
const minDaemons = 8

const (
	// windowSlots is the number of time slots in a window.
	windowSlots = 40
	// recentSlots is the number of latest slots, the current one included, whose requests add
	// their full tokens to the capacity, so that a request can use its own tokens.
	recentSlots = 2
)

// bucket is the budget of one service.
type bucket struct {
	// level is the number of tokens. It is above -1: a repeat is allowed from threshold on
	// and takes a whole token.
	level float64
	// threshold is the level from which a repeat is allowed, above 0 and up to 1. It is drawn
	// at random for each repeat, so that a bucket with a fraction of a token allows that
	// fraction of a repeat on average.
	threshold float64
	// dropped is the number of tokens above the capacity that were dropped since the
	// threshold was drawn.
	dropped float64
	// slots counts the requests of the current window by slot. lastSlot is the number of its
	// last slot, requests the sum of the counts.
	slots    [windowSlots]int
	lastSlot int64
	requests int
	total    Usage
}

// Usage holds the counters of one daemon for a service since its start.
type Usage struct {
	Service string
	// Requests counts the requests for the service, Repeats the attempts beyond the first one
	// of each, Denied the repeats that were not sent because the budget was used up.
	Requests, Repeats, Denied int64
	// Left is the number of repeats that may be sent now.
	Left float64
}

// Set changes the limits.
func (b *Budget) Set(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if window != b.Window {
		// The counts of slots of another length cannot be converted.
		b.services, b.start = nil, time.Time{}
	}
	b.Ratio, b.Slack, b.Window = ratio, slack, window
}

// Request counts a request for a service. daemons is the number of daemons that share Slack,
// 0 if it is unknown.
func (b *Budget) Request(service string, daemons int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.bucket(service, now)
	// Tokens from before this request are limited by the capacity without it.
	b.trim(w, daemons)
	w.count()
	w.level += earnedFraction * b.Ratio
	b.trim(w, daemons)
}

// Spend takes a token for a repeat and reports whether the budget allows the repeat.
func (b *Budget) Spend(service string, daemons int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.bucket(service, now)
	b.trim(w, daemons)
	if w.level < w.threshold {
		w.total.Denied++
		return false
	}
	w.level--
	w.threshold = b.drawThreshold()
	w.total.Repeats++
	return true
}

// Rate returns the rate of requests for a service within the window, in requests per second,
// or 0 if it is unknown.
func (b *Budget) Rate(service string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.bucket(service, now)
	elapsed := min(b.Window, now.Sub(b.start))
	if elapsed <= 0 {
		return 0
	}
	return float64(w.requests) / elapsed.Seconds()
}

// Usage returns the counters of each service, sorted by name.
func (b *Budget) Usage(daemons int, now time.Time) []Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]Usage, 0, len(b.services))
	for service, w := range b.services {
		w.advance(b.slot(now))
		u := w.total
		u.Service, u.Left = service, max(0, min(w.level, b.capacity(w, daemons)))
		all = append(all, u)
	}
	slices.SortFunc(all, func(x, y Usage) int { return cmp.Compare(x.Service, y.Service) })
	return all
}

// bucket returns the bucket of a service with its window advanced to now.
func (b *Budget) bucket(service string, now time.Time) *bucket {
	if b.services == nil {
		b.services = map[string]*bucket{}
	}
	w := b.services[service]
	if w == nil {
		w = &bucket{threshold: b.drawThreshold()}
		b.services[service] = w
	}
	w.advance(b.slot(now))
	return w
}

// drawThreshold returns a random number above 0 and up to 1.
func (b *Budget) drawThreshold() float64 {
	if b.rng == nil {
		b.rng = rand.New(rand.NewPCG(b.Seed, 0))
	}
	return 1 - b.rng.Float64()
}

// slot returns the number of the slot that contains now, by the monotonic clock. The first
// slot is 1.
func (b *Budget) slot(now time.Time) int64 {
	if b.start.IsZero() {
		b.start = now
	}
	return 1 + int64(now.Sub(b.start)/(b.Window/windowSlots))
}

// capacity returns the capacity of a bucket, in tokens.
func (b *Budget) capacity(w *bucket, daemons int) float64 {
	saved := savedFraction * float64(w.requests)
	recent := earnedFraction * float64(w.recentRequests())
	tokens := b.Ratio * (saved + recent)
	if daemons > 0 {
		tokens += b.Slack / float64(max(daemons, minDaemons))
	}
	return tokens
}

// trim drops the tokens above the capacity of a bucket. Once a whole token was dropped, the
// threshold is drawn again: a threshold above the capacity would otherwise deny all repeats.
func (b *Budget) trim(w *bucket, daemons int) {
	excess := max(0, w.level-b.capacity(w, daemons))
	w.level -= excess
	w.dropped += excess
	if w.dropped >= 1 {
		w.dropped, w.threshold = 0, b.drawThreshold()
	}
}

// advance moves the window so that the given slot is its last one.
func (w *bucket) advance(slot int64) {
	if slot-w.lastSlot >= windowSlots {
		w.slots, w.requests, w.lastSlot = [windowSlots]int{}, 0, slot
	}
	for w.lastSlot < slot {
		w.lastSlot++
		w.requests -= w.slots[w.lastSlot%windowSlots]
		w.slots[w.lastSlot%windowSlots] = 0
	}
}

// count adds a request to the last slot.
func (w *bucket) count() {
	w.slots[w.lastSlot%windowSlots]++
	w.requests++
	w.total.Requests++
}

// recentRequests returns the number of requests in the latest recentSlots slots.
func (w *bucket) recentRequests() int {
	n := 0
	for age := range min(w.lastSlot+1, recentSlots) {
		n += w.slots[(w.lastSlot-age)%windowSlots]
	}
	return n
}
