// Package retry decides whether and when a request is sent once more: how long one server
// is waited for before another one is asked, what all daemons together may send again, and
// when a caller that was refused may come back. The loads that it answers are a server
// that hangs among sound ones, where another one helps, a burst, where every server is
// slow and another one only makes it longer, and daemons that end while a service fails.
package retry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Budget bounds the repeats that all daemons together send to a service, without any
// message among them. Each daemon keeps a token bucket for a service: a request adds
// tokens, a repeat takes one, and the bucket of a daemon that has just started is empty.
//
// In any span of Window length the daemons send at most what the requests of that span
// have added, and what their buckets held as it began. A bucket holds at most a share of
// Slack, a part of what the requests of the Window before were worth and what those of the
// last moment added, so the sum keeps to Ratio for each request and Slack whichever
// daemons end, start or take over the callers of others.
type Budget struct {
	// Ratio is how many repeats may come on a request, within Window.
	Ratio  float64
	Window time.Duration
	// Slack is what all daemons together may send beyond that.
	Slack float64
	// Seed differs between daemons and between starts.
	Seed uint64

	mu       sync.Mutex
	rng      *rand.Rand
	first    time.Time
	services map[string]*bucket
}

// The parts of Ratio. What is left of it is for repeats that reach a server later than
// they were counted.
const (
	// earnedPart is what a request adds to the bucket.
	earnedPart = 0.88
	// savedPart is what each request of the last window lets the bucket hold.
	savedPart = 0.04
)

// fewestDaemons is the least number of daemons that the slack is divided by, so that a few
// that are added do not pass it before the others know of them.
const fewestDaemons = 8

const (
	// budgetSlots is how many slots a window has.
	budgetSlots = 40
	// heldSlots are the slots, the present one included, whose requests' tokens the bucket
	// holds whole, so that a request can use its own.
	heldSlots = 2
)

// bucket is the budget of one service.
type bucket struct {
	// level are the tokens. It is below 0 by less than one if the last repeat took more than
	// there was.
	level float64
	// threshold is the level from which on a repeat is allowed, above 0 and up to 1. It is
	// drawn for each repeat, so that a bucket that holds a part of a token allows that part
	// of a repeat on average.
	threshold float64
	// spilled are the tokens that did not fit since the threshold was drawn.
	spilled float64
	// slots count the requests of the window that ends with the slot of a number, requests is
	// their sum.
	slots    [budgetSlots]int
	number   int64
	requests int
	total    Usage
}

// Usage is what one daemon has counted for a service since its start.
type Usage struct {
	Service string
	// Requests came for the service, Repeats were sent beyond the first attempt of each,
	// Denied were not sent since the budget had nothing left.
	Requests, Repeats, Denied int64
	// Left is how many repeats may be sent now.
	Left float64
}

// Set changes the bounds.
func (b *Budget) Set(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if window != b.Window {
		// The slots of another length say nothing.
		b.services, b.first = nil, time.Time{}
	}
	b.Ratio, b.Slack, b.Window = ratio, slack, window
}

// Request counts a request for a service. daemons is how many share the slack, 0 if that is
// not known.
func (b *Budget) Request(service string, daemons int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.bucket(service, now)
	// What was held before is bounded by the requests before this one.
	b.bound(w, daemons)
	w.count()
	w.level += earnedPart * b.Ratio
	b.bound(w, daemons)
}

// Spend takes a repeat from the budget if it has one left.
func (b *Budget) Spend(service string, daemons int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.bucket(service, now)
	b.bound(w, daemons)
	if w.level < w.threshold {
		w.total.Denied++
		return false
	}
	w.level--
	w.threshold = b.draw()
	w.total.Repeats++
	return true
}

// Rate is how many requests for a service came a second, within the window; 0 is
// unknown.
func (b *Budget) Rate(service string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.bucket(service, now)
	since := min(b.Window, now.Sub(b.first))
	if since <= 0 {
		return 0
	}
	return float64(w.requests) / since.Seconds()
}

// Usage returns what was counted for each service, ordered by name.
func (b *Budget) Usage(daemons int, now time.Time) []Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]Usage, 0, len(b.services))
	for service, w := range b.services {
		w.advance(b.number(now))
		u := w.total
		u.Service, u.Left = service, max(0, min(w.level, b.most(w, daemons)))
		all = append(all, u)
	}
	slices.SortFunc(all, func(x, y Usage) int { return cmp.Compare(x.Service, y.Service) })
	return all
}

// bucket returns the bucket of a service as of a time.
func (b *Budget) bucket(service string, now time.Time) *bucket {
	if b.services == nil {
		b.services = map[string]*bucket{}
	}
	w := b.services[service]
	if w == nil {
		w = &bucket{threshold: b.draw()}
		b.services[service] = w
	}
	w.advance(b.number(now))
	return w
}

// draw returns a random number above 0 and up to 1.
func (b *Budget) draw() float64 {
	if b.rng == nil {
		b.rng = rand.New(rand.NewPCG(b.Seed, 0))
	}
	return 1 - b.rng.Float64()
}

// number is the slot of a time, by the steady clock. The first one is 1.
func (b *Budget) number(now time.Time) int64 {
	if b.first.IsZero() {
		b.first = now
	}
	return 1 + int64(now.Sub(b.first)/(b.Window/budgetSlots))
}

// most is what a bucket may hold.
func (b *Budget) most(w *bucket, daemons int) float64 {
	saved := savedPart * float64(w.requests)
	held := earnedPart * float64(w.held())
	most := b.Ratio * (saved + held)
	if daemons > 0 {
		most += b.Slack / float64(max(daemons, fewestDaemons))
	}
	return most
}

// bound drops the tokens beyond what a bucket may hold. Once they are worth a repeat, the
// threshold is drawn again: otherwise one above what the bucket may hold would stay.
func (b *Budget) bound(w *bucket, daemons int) {
	spilled := max(0, w.level-b.most(w, daemons))
	w.level -= spilled
	w.spilled += spilled
	if w.spilled >= 1 {
		w.spilled, w.threshold = 0, b.draw()
	}
}

// advance lets the window end with a slot.
func (w *bucket) advance(number int64) {
	if number-w.number >= budgetSlots {
		w.slots, w.requests, w.number = [budgetSlots]int{}, 0, number
	}
	for w.number < number {
		w.number++
		w.requests -= w.slots[w.number%budgetSlots]
		w.slots[w.number%budgetSlots] = 0
	}
}

// count counts a request in the last slot.
func (w *bucket) count() {
	w.slots[w.number%budgetSlots]++
	w.requests++
	w.total.Requests++
}

// held are the requests whose tokens are held whole.
func (w *bucket) held() int {
	n := 0
	for back := range min(w.number+1, heldSlots) {
		n += w.slots[(w.number-back)%budgetSlots]
	}
	return n
}
