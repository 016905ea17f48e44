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

// pool identifies the servers of one version, or of one plain service.
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

// waitQueues holds the requests that wait for a free slot, with one queue for each
// pool.
type waitQueues struct {
	mu     sync.Mutex
	queues map[pool]*queue.Queue
	// turns holds the channel that each waiting request receives its result on, by
	// request ID.
	turns map[string]chan time.Duration
}

func newWaitQueues() *waitQueues {
	return &waitQueues{queues: map[pool]*queue.Queue{}, turns: map[string]chan time.Duration{}}
}

func (w *waitQueues) queue(p pool) *queue.Queue {
	q := w.queues[p]
	if q == nil {
		q = queue.New()
		w.queues[p] = q
	}
	return q
}

// push queues a request. The channel receives 0 when a slot is free for it, or the
// time to retry after if the request was removed from the queue.
func (w *waitQueues) push(p pool, it queue.Item, now time.Time) (<-chan time.Duration, *refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch v := w.queue(p).Push(it, now).(type) {
	case queue.Refused:
		return nil, overloaded(v.RetryAfter)
	case queue.Queued:
		if v.Shed != nil {
			w.notify(v.Shed.ID, v.RetryAfter)
		}
	}
	turn := make(chan time.Duration, 1)
	w.turns[it.ID] = turn
	return turn, nil
}

func (w *waitQueues) notify(id string, retryAfter time.Duration) {
	if turn := w.turns[id]; turn != nil {
		turn <- retryAfter
		delete(w.turns, id)
	}
}

func overloaded(retryAfter time.Duration) *refusal {
	return refuse(http.StatusServiceUnavailable, Overloaded, "every server that may answer is full").withRetryAfter(retryAfter)
}

// remove removes a request that no longer waits.
func (w *waitQueues) remove(p pool, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue(p).Remove(id)
	delete(w.turns, id)
}

// recordServed records the duration of a request that a pool completed, and
// dispatches waiting requests to the free slots.
func (w *waitQueues) recordServed(p pool, took time.Duration, v *route.View, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.queue(p)
	q.Served(took, now)
	w.dispatch(p, q, v, now)
}

// dispatchAll dispatches the waiting requests of all pools to the slots that are
// free in a new view.
func (w *waitQueues) dispatchAll(view *route.View, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p, q := range w.queues {
		w.dispatch(p, q, view, now)
	}
}

func (w *waitQueues) dispatch(p pool, q *queue.Queue, v *route.View, now time.Time) {
	if q.Len() == 0 {
		return
	}
	for range route.FreeSlots(p.servers(v), q.Len(), now) {
		next, expired, ok := q.Pop(now)
		for _, e := range expired {
			w.notify(e.Item.ID, e.RetryAfter)
		}
		if ok {
			w.notify(next.ID, 0)
		}
	}
}

// DispatchQueued dispatches queued requests to free slots. It is called after each new
// snapshot, and when the back-off of a full server ends.
func (f *Front) DispatchQueued() { f.waitQueues.dispatchAll(f.Control.Snapshot().View, time.Now()) }

// Queued returns the number of requests that wait for a free slot.
func (f *Front) Queued() int {
	f.waitQueues.mu.Lock()
	defer f.waitQueues.mu.Unlock()
	return len(f.waitQueues.turns)
}

// priorityClass returns the priority that the caller gave the request among its
// own.
func (j *job) priorityClass() queue.Class {
	switch j.r.Header.Get(wire.HeaderPriority) {
	case wire.PriorityLow:
		return queue.Background
	case wire.PriorityHigh:
		return queue.Urgent
	default:
		return queue.Normal
	}
}

// waitForSlot waits for a free slot in a pool. It refuses at once if the request
// could not be served before its deadline.
func (j *job) waitForSlot(p pool) *refusal {
	deadline, _ := j.ctx.Deadline()
	turn, out := j.front.waitQueues.push(p, queue.Item{
		ID: j.id, Organisation: j.tenant.Organisation.Name, Class: j.priorityClass(),
		Priority: j.tenant.Organisation.Priority, Deadline: deadline,
	}, time.Now())
	if out != nil {
		return out
	}
	start := time.Now()
	select {
	case retryAfter := <-turn:
		j.addStep(route.Step{Kind: route.StepWait, Value: time.Since(start).Seconds(), Text: "seconds in the queue"})
		if retryAfter > 0 {
			return overloaded(retryAfter)
		}
		return nil
	case <-j.ctx.Done():
		j.front.waitQueues.remove(p, j.id)
		return refuse(http.StatusServiceUnavailable, Overloaded, "the deadline passed in the queue").withRetryAfter(overloadRetryAfter)
	}
}

// overloadRetryAfter is sent as Retry-After when the deadline passed in a queue.
const overloadRetryAfter = time.Second
