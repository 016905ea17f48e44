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
	// floorRate is taken as the rate of a pool that has finished nothing yet,
	// in requests a second.
	floorRate = 1.0
	// leastPart is the part of the rate that the lowest class is taken to get.
	leastPart = 0.02
	// memory is the weight of the past in what is measured.
	memory = 0.8
	// measureEvery is the time over which rates are measured.
	measureEvery = 250 * time.Millisecond
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
	classes
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
	meter  meter
}

// New returns an empty queue.
func New() *Queue { return &Queue{served: map[string]int{}} }

// Len is how many requests wait.
func (q *Queue) Len() int { return len(q.items) }

// Push asks to wait.
func (q *Queue) Push(it Item, now time.Time) Verdict {
	q.meter.arrived(it.Class, now)
	ahead, own := 0, 0
	for _, other := range q.items {
		if !it.before(other) {
			ahead++
		}
		if other.Organisation == it.Organisation {
			own++
		}
	}
	wait := q.meter.wait(ahead+1, it.Class)
	if own >= MaxPerOrganisation || wait+q.meter.service() > it.Deadline.Sub(now) {
		return Refused{RetryAfter: bounded(wait)}
	}
	if len(q.items) < MaxItems {
		q.items = append(q.items, it)
		return Waits{}
	}
	last := q.last()
	if !it.before(q.items[last]) {
		return Refused{RetryAfter: bounded(wait)}
	}
	shed := q.items[last]
	q.items[last] = it
	return Waits{Shed: &shed, RetryAfter: bounded(q.meter.wait(len(q.items), shed.Class))}
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

func bounded(d time.Duration) time.Duration { return min(max(d, retryFloor), retryCeiling) }

// Late is a request that could no longer be answered in time.
type Late struct {
	Item       Item
	RetryAfter time.Duration
}

// Pop takes out the request to be served next: of the highest priority, that
// of the organisation served least, the one that has waited longest. Those that
// are too late on the way are taken out with it, to be refused at once.
func (q *Queue) Pop(now time.Time) (next Item, late []Late, ok bool) {
	for len(q.items) > 0 {
		it := q.take(q.best())
		if it.Deadline.Sub(now) >= q.meter.service() {
			q.served[it.Organisation]++
			return it, late, true
		}
		late = append(late, Late{Item: it, RetryAfter: bounded(q.meter.wait(len(q.items)+1, it.Class))})
	}
	q.served = map[string]int{}
	return Item{}, late, false
}

// best is the index of the request to be served next.
func (q *Queue) best() int {
	best := 0
	for i, it := range q.items {
		b := q.items[best]
		if it.before(b) || (!b.before(it) && q.served[it.Organisation] < q.served[b.Organisation]) {
			best = i
		}
	}
	return best
}

func (q *Queue) take(i int) Item {
	it := q.items[i]
	q.items = append(q.items[:i], q.items[i+1:]...)
	return it
}

// Served counts a request that the pool has finished in a time, by which the
// queue tells how long others will wait.
func (q *Queue) Served(took time.Duration, now time.Time) { q.meter.finished(took, now) }

// Remove takes out a request that no longer waits.
func (q *Queue) Remove(id string) bool {
	for i, it := range q.items {
		if it.ID == id {
			q.take(i)
			return true
		}
	}
	return false
}
