// Package retry decides whether and when a request is sent once more: how long one server
// is waited for before another one is asked, what all daemons together may send again, and
// when a caller that was refused may come back. The loads that it answers are a server
// that hangs among sound ones, where another one helps, and a burst, where every server is
// slow and another one only makes it longer.
package retry

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Budget bounds the repeats that all daemons together send to a service, without
// a word among them: each keeps its own repeats below a share of its own
// requests, so that the sum keeps it too. What is allowed beside the share is
// divided by a number of daemons that is never too small.
type Budget struct {
	// Ratio is how many repeats may come on a request, within Window.
	Ratio  float64
	Window time.Duration
	// Slack is what all daemons together may send beyond that.
	Slack float64

	mu       sync.Mutex
	first    time.Time
	services map[string]*budgetWindow
}

// budgetWindow counts by slots of a tenth of the window, and since the start.
type budgetWindow struct {
	slots [budgetSlots]budgetSlot
	total Usage
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

type budgetSlot struct {
	number   int64
	requests int
	repeats  int
}

// budgetSlots is how many slots a window has. One more is counted, so that any
// span of a window's length is covered.
const budgetSlots = 12

// budgetMargin is the part of the ratio that is used: arrivals are counted by
// when they reach a server, not by when they leave.
const budgetMargin = 0.92

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

func (b *Budget) window(service string) *budgetWindow {
	if b.services == nil {
		b.services = map[string]*budgetWindow{}
	}
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{}
		b.services[service] = w
	}
	return w
}

// number is the slot of a time, by the steady clock. The first one is 1.
func (b *Budget) number(now time.Time) int64 {
	if b.first.IsZero() {
		b.first = now
	}
	return 1 + int64(now.Sub(b.first)/(b.Window/(budgetSlots-2)))
}

func (w *budgetWindow) slot(number int64) *budgetSlot {
	s := &w.slots[number%budgetSlots]
	if s.number != number {
		*s = budgetSlot{number: number}
	}
	return s
}

// counts adds up the requests of the rule's window, and the repeats that may lie in
// it, up to a slot.
func (w *budgetWindow) counts(number int64) (requests, repeats int) {
	for _, s := range w.slots {
		if number-s.number < budgetSlots-1 {
			repeats += s.repeats
			// The oldest slot may lie outside of the rule's window.
			if number-s.number < budgetSlots-2 {
				requests += s.requests
			}
		}
	}
	return requests, repeats
}

// Request counts a request for a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.slot(b.number(now)).requests++
	w.total.Requests++
}

// Rate is how many requests for a service came a second, within the window; 0 is
// unknown.
func (b *Budget) Rate(service string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	requests, _ := b.window(service).counts(b.number(now))
	since := min(b.Window, now.Sub(b.first))
	if since <= 0 {
		return 0
	}
	return float64(requests) / since.Seconds()
}

// Spend takes a repeat from the budget if it has one left.
func (b *Budget) Spend(service string, daemons int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	n := b.number(now)
	if b.left(w, n, daemons) < 1 {
		w.total.Denied++
		return false
	}
	w.slot(n).repeats++
	w.total.Repeats++
	return true
}

// left is how many repeats may be sent in a slot.
func (b *Budget) left(w *budgetWindow, number int64, daemons int) float64 {
	requests, repeats := w.counts(number)
	return budgetMargin*b.Ratio*float64(requests) + b.Slack/float64(max(daemons, fewestDaemons)) - float64(repeats)
}

// Usage returns what was counted for each service, ordered by name.
func (b *Budget) Usage(daemons int, now time.Time) []Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Usage
	for service, w := range b.services {
		u := w.total
		u.Service, u.Left = service, max(0, b.left(w, b.number(now), daemons))
		all = append(all, u)
	}
	slices.SortFunc(all, func(x, y Usage) int { return cmp.Compare(x.Service, y.Service) })
	return all
}

// fewestDaemons is the least number of daemons that the slack is divided by: a
// daemon that has just started knows no others.
const fewestDaemons = 8
