package front

import (
	"net/http"
	"sync"
	"time"

	"ladderridge.example/core/queue"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/wire"
)

// pool names the servers of one version, or of one plain service.
type pool struct {
	ref     table.Ref
	service string
}

func (p pool) servers(v *route.View) []*route.Server {
	if p.service != "" {
		return v.Services[p.service]
	}
	return v.Engines[p.ref]
}

// waiting holds the requests that wait for a place, a queue for each pool.
type waiting struct {
	mu     sync.Mutex
	queues map[pool]*queue.Queue
	// calls are how the waiting requests are told, by id.
	calls map[string]chan time.Duration
}

func newWaiting() *waiting {
	return &waiting{queues: map[pool]*queue.Queue{}, calls: map[string]chan time.Duration{}}
}

func (w *waiting) queue(p pool) *queue.Queue {
	q := w.queues[p]
	if q == nil {
		q = queue.New()
		w.queues[p] = q
	}
	return q
}

// push lets a request wait. The channel tells 0 when it is its turn, or after
// what time to come back when it had to make room.
func (w *waiting) push(p pool, it queue.Item, now time.Time) (<-chan time.Duration, *refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch v := w.queue(p).Push(it, now).(type) {
	case queue.Refused:
		return nil, overloaded(v.RetryAfter)
	case queue.Queued:
		if v.Shed != nil {
			w.tell(v.Shed.ID, v.RetryAfter)
		}
	}
	turn := make(chan time.Duration, 1)
	w.calls[it.ID] = turn
	return turn, nil
}

func (w *waiting) tell(id string, after time.Duration) {
	if call := w.calls[id]; call != nil {
		call <- after
		delete(w.calls, id)
	}
}

func overloaded(after time.Duration) *refusal {
	return refuse(http.StatusServiceUnavailable, Overloaded, "every server that may answer is full").withRetry(after)
}

// leave takes out a request that no longer waits.
func (w *waiting) leave(p pool, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue(p).Remove(id)
	delete(w.calls, id)
}

// served counts a request that a pool has finished in a time, and calls the
// next one.
func (w *waiting) served(p pool, took time.Duration, v *route.View, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.queue(p)
	q.Served(took, now)
	w.call(p, q, v, now)
}

// wake calls as many requests as there is room for by a new view.
func (w *waiting) wake(v *route.View, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p, q := range w.queues {
		w.call(p, q, v, now)
	}
}

func (w *waiting) call(p pool, q *queue.Queue, v *route.View, now time.Time) {
	if q.Len() == 0 {
		return
	}
	for range route.FreeSlots(p.servers(v), q.Len(), now) {
		next, late, ok := q.Pop(now)
		for _, l := range late {
			w.tell(l.Item.ID, l.RetryAfter)
		}
		if ok {
			w.tell(next.ID, 0)
		}
	}
}

// Wake lets waiting requests go on after a new snapshot.
func (f *Front) Wake() { f.waiting.wake(f.Control.Snapshot().View, time.Now()) }

// Waiting is how many requests wait for a place.
func (f *Front) Waiting() int {
	f.waiting.mu.Lock()
	defer f.waiting.mu.Unlock()
	return len(f.waiting.calls)
}

// class is the caller's own order among its requests.
func (j *job) class() queue.Class {
	switch j.r.Header.Get(wire.HeaderPriority) {
	case wire.PriorityLow:
		return queue.Background
	case wire.PriorityHigh:
		return queue.Urgent
	default:
		return queue.Normal
	}
}

// waitFor waits for a place in a pool. It refuses at once if the request could
// not be served in time.
func (j *job) waitFor(p pool) *refusal {
	deadline, _ := j.ctx.Deadline()
	turn, out := j.front.waiting.push(p, queue.Item{
		ID: j.id, Organisation: j.tenant.Organisation.Name, Class: j.class(),
		Priority: j.tenant.Organisation.Priority, Deadline: deadline,
	}, time.Now())
	if out != nil {
		return out
	}
	begun := time.Now()
	select {
	case after := <-turn:
		j.step(route.Step{Kind: route.StepWait, Value: time.Since(begun).Seconds(), Text: "seconds in the queue"})
		if after > 0 {
			return overloaded(after)
		}
		return nil
	case <-j.ctx.Done():
		j.front.waiting.leave(p, j.id)
		return refuse(http.StatusServiceUnavailable, Overloaded, "the deadline passed in the queue").withRetry(overloadRetry)
	}
}

// overloadRetry is when to come back after a deadline has passed in a queue.
const overloadRetry = time.Second
