// Package queue implements the queue of requests that wait for a slot at a backend server. It is
// bounded, serves higher priorities first and is fair between organisations. A request that is
// not expected to finish before its deadline is refused at once, with a retry-after time.
package queue

import (
	"time"
)

// Parameters of a queue.
const (
	// MaxItems is the largest number of requests in the queue.
	MaxItems = 256
	// MaxPerOrganisation is the largest number of requests of one organisation.
	MaxPerOrganisation = 64
	// minRate is the lowest rate that is assumed for a pool, in requests per second: one that
	// has not finished a request yet has no measured rate.
	minRate = 1.0
	// minFraction is the smallest fraction of the rate that is assumed for a class.
	minFraction = 0.02
	// pastWeight is the weight of earlier values in the moving averages.
	pastWeight = 0.8
	// measureInterval is the interval over which rates are measured.
	measureInterval = 250 * time.Millisecond
	// minRetryAfter and maxRetryAfter are the limits of retry-after times.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Class is the priority class that a caller gives a request.
type Class int

// The classes, from the lowest to the highest priority.
const (
	// Background requests are served after all others.
	Background Class = iota
	// Normal is the default class.
	Normal
	// Urgent requests are served before all others.
	Urgent
	classCount
)

// Item is a queued request.
type Item struct {
	ID           string
	Organisation string
	Class        Class
	// Priority is that of the organisation. Within a class a higher one is served first.
	Priority int
	Deadline time.Time
}

// before reports whether a has a higher class or priority than b.
func (a Item) before(b Item) bool {
	if a.Class != b.Class {
		return a.Class > b.Class
	}
	return a.Priority > b.Priority
}

// Result is the result of Push.
type Result interface{ result() }

// Queued means that the request was queued. Shed, if not nil, is the request of lower priority
// that was removed to make room and must be refused.
type Queued struct {
	Shed *Item
	// RetryAfter is the retry-after time of the shed request.
	RetryAfter time.Duration
}

// Refused means that the request was not queued.
type Refused struct{ RetryAfter time.Duration }

func (Queued) result()  {}
func (Refused) result() {}

// Queue holds the requests that wait for one pool of servers. It is not safe for concurrent use.
type Queue struct {
	items []Item
	// served counts the requests taken out by organisation, for fairness.
	served map[string]int
	meter  meter
}

// New returns an empty queue.
func New() *Queue { return &Queue{served: map[string]int{}} }

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.items) }

// Push adds a request to the queue or refuses it.
func (q *Queue) Push(it Item, now time.Time) Result {
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
	wait := q.meter.queueTime(ahead+1, it.Class)
	if own >= MaxPerOrganisation || wait+q.meter.serviceTime() > it.Deadline.Sub(now) {
		return Refused{RetryAfter: clampRetryAfter(wait)}
	}
	if len(q.items) < MaxItems {
		q.items = append(q.items, it)
		return Queued{}
	}
	last := q.shedIndex()
	if !it.before(q.items[last]) {
		return Refused{RetryAfter: clampRetryAfter(wait)}
	}
	shed := q.items[last]
	q.items[last] = it
	return Queued{Shed: &shed, RetryAfter: clampRetryAfter(q.meter.queueTime(len(q.items), shed.Class))}
}

// shedIndex returns the index of the request to shed first: of the lowest priority, the newest one.
func (q *Queue) shedIndex() int {
	last := 0
	for i, it := range q.items {
		if !it.before(q.items[last]) {
			last = i
		}
	}
	return last
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// Expired is a request that can no longer finish before its deadline.
type Expired struct {
	Item       Item
	RetryAfter time.Duration
}

// Pop removes and returns the next request: among those of the highest priority, the oldest one
// of the organisation that was served least. Requests that come first but can no longer finish
// before their deadlines are removed as well and returned in late, to be refused.
func (q *Queue) Pop(now time.Time) (next Item, late []Expired, ok bool) {
	for len(q.items) > 0 {
		it := q.take(q.nextIndex())
		if it.Deadline.Sub(now) >= q.meter.serviceTime() {
			q.served[it.Organisation]++
			return it, late, true
		}
		late = append(late, Expired{Item: it, RetryAfter: clampRetryAfter(q.meter.queueTime(len(q.items)+1, it.Class))})
	}
	q.served = map[string]int{}
	return Item{}, late, false
}

// nextIndex returns the index of the request to serve next.
func (q *Queue) nextIndex() int {
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

// Served records that the pool has finished a request. The waiting times of the other requests
// are estimated from these service times.
func (q *Queue) Served(took time.Duration, now time.Time) { q.meter.finished(took, now) }

// Remove removes a request, for example after its caller disconnected, and reports whether it
// was queued.
func (q *Queue) Remove(id string) bool {
	for i, it := range q.items {
		if it.ID == id {
			q.take(i)
			return true
		}
	}
	return false
}
