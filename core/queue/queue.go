// Package queue holds the requests that wait for a place on a backend server.
// It is bounded, serves higher priorities first and organisations in turn, and
// refuses at once, with when to come back, what it could not serve in time.
package queue

import (
	"time"
)

// The bounds of a queue.
const (
	// MaxItems is how many requests wait at most.
	MaxItems = 256
	// MaxPerOrganisation is how many of one organisation do.
	MaxPerOrganisation = 64
	// patience is the part of the time to its deadline that a request may
	// spend waiting.
	patience = 0.5
	// floorRate is taken as the rate of a queue that has served nothing yet,
	// in requests a second.
	floorRate = 1.0
	// memory is the weight of the past in the measured rate.
	memory = 0.8
	// rateEvery is the time over which the rate is measured.
	rateEvery = 250 * time.Millisecond
	// retryFloor and retryCeiling bound when to come back.
	retryFloor   = 100 * time.Millisecond
	retryCeiling = 30 * time.Second
)

// Class is the caller's own order among its requests.
type Class int

// The classes; later ones go first.
const (
	// Background requests wait while others are served.
	Background Class = iota
	// Normal is the class of requests that name none.
	Normal
	// Urgent requests go before all others.
	Urgent
)

// Item is one request that waits.
type Item struct {
	ID           string
	Organisation string
	Class        Class
	// Priority is the organisation's: higher goes first within a class.
	Priority int
	Deadline time.Time
}

// before reports whether a goes before b, whatever their organisations' turns.
func (a Item) before(b Item) bool {
	if a.Class != b.Class {
		return a.Class > b.Class
	}
	return a.Priority > b.Priority
}

// Verdict is what becomes of a request that asks to wait.
type Verdict interface{ verdict() }

// Waits lets the request wait. Shed, if not nil, is a request of lower
// priority that has to make room and is refused at once.
type Waits struct {
	Shed *Item
	// RetryAfter is when the shed request may come back.
	RetryAfter time.Duration
}

// Refused turns the request down at once.
type Refused struct{ RetryAfter time.Duration }

func (Waits) verdict()   {}
func (Refused) verdict() {}

// Queue is the requests that wait for one pool of servers. It is not safe for
// concurrent use.
type Queue struct {
	items []Item
	// served counts the requests taken out by organisation, for their turns.
	served map[string]int
	// rate is the measured rate, in requests a second.
	rate    float64
	counted int
	from    time.Time
}

// New returns an empty queue.
func New() *Queue { return &Queue{served: map[string]int{}} }

// Len is how many requests wait.
func (q *Queue) Len() int { return len(q.items) }

// Push asks to wait.
func (q *Queue) Push(it Item, now time.Time) Verdict {
	ahead, own := 0, 0
	for _, other := range q.items {
		if !it.before(other) {
			ahead++
		}
		if other.Organisation == it.Organisation {
			own++
		}
	}
	wait := q.wait(ahead + 1)
	if own >= MaxPerOrganisation || wait.Seconds() > patience*it.Deadline.Sub(now).Seconds() {
		return Refused{RetryAfter: bounded(wait)}
	}
	if len(q.items) < MaxItems {
		q.items = append(q.items, it)
		return Waits{}
	}
	last := q.last()
	if !it.before(q.items[last]) {
		return Refused{RetryAfter: bounded(q.wait(len(q.items)))}
	}
	shed := q.items[last]
	q.items[last] = it
	return Waits{Shed: &shed, RetryAfter: bounded(q.wait(len(q.items)))}
}

// last is the index of the latest request of the lowest priority.
func (q *Queue) last() int {
	last := 0
	for i, it := range q.items {
		if !it.before(q.items[last]) {
			last = i
		}
	}
	return last
}

// wait is how long n requests take to be served, as far as can be told.
func (q *Queue) wait(n int) time.Duration {
	return time.Duration(float64(n) / max(q.rate, floorRate) * float64(time.Second))
}

func bounded(d time.Duration) time.Duration { return min(max(d, retryFloor), retryCeiling) }

// Pop takes out the request to be served next: of the highest priority, that
// of the organisation served least, the one that has waited longest.
func (q *Queue) Pop() (Item, bool) {
	if len(q.items) == 0 {
		q.served = map[string]int{}
		return Item{}, false
	}
	best := 0
	for i, it := range q.items {
		b := q.items[best]
		if it.before(b) || (!b.before(it) && q.served[it.Organisation] < q.served[b.Organisation]) {
			best = i
		}
	}
	it := q.items[best]
	q.items = append(q.items[:best], q.items[best+1:]...)
	q.served[it.Organisation]++
	return it, true
}

// Served counts a request that the pool has finished, by which the queue tells
// how long others will wait.
func (q *Queue) Served(now time.Time) {
	if q.from.IsZero() {
		q.from = now
	}
	q.counted++
	span := now.Sub(q.from)
	if span < rateEvery {
		return
	}
	latest := float64(q.counted) / span.Seconds()
	if q.rate == 0 {
		q.rate = latest
	}
	q.rate = memory*q.rate + (1-memory)*latest
	q.counted, q.from = 0, now
}

// Remove takes out a request that no longer waits.
func (q *Queue) Remove(id string) bool {
	for i, it := range q.items {
		if it.ID == id {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}
