// Package record keeps records of the latest requests and the routing decisions
// made for them, and sends new ones to watchers.
package record

import (
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/route"
)

// Record describes a finished request.
type Record struct {
	Request      string    `json:"request"`
	Organisation string    `json:"organisation"`
	Daemon       string    `json:"daemon"`
	Hall         string    `json:"hall"`
	At           time.Time `json:"at"`
	Model        string    `json:"model,omitempty"`
	Service      string    `json:"service,omitempty"`
	Session      string    `json:"session,omitempty"`
	Key          string    `json:"key,omitempty"`
	Version      string    `json:"version,omitempty"`
	Generation   uint64    `json:"generation"`
	Status       int       `json:"status"`
	Run          string    `json:"run"`
	Code         string    `json:"code,omitempty"`
	Tokens       int       `json:"tokens,omitempty"`
	Cost         int64     `json:"cost,omitempty"`
	// Spent is the cost of answers that were generated but not returned to the caller.
	Spent      int64        `json:"spent,omitempty"`
	DurationMS float64      `json:"duration_ms"`
	Steps      []route.Step `json:"steps"`
}

// Capacity is the number of records that a Log keeps.
const Capacity = 4096

// watchBacklog is the number of records or trace lines buffered for each watcher.
const watchBacklog = 256

// Log is a ring buffer of the latest records. It is safe for concurrent use.
type Log struct {
	// Dropped counts records that were not sent to a watcher because its buffer
	// was full.
	Dropped atomic.Int64

	mu       sync.Mutex
	ring     [Capacity]Record
	next     int
	byID     map[string]int
	watchers map[chan Record]struct{}
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{byID: map[string]int{}, watchers: map[chan Record]struct{}{}}
}

// Add stores a record and sends it to the watchers.
func (l *Log) Add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slot := l.next % Capacity
	if old := l.ring[slot].Request; old != "" && l.byID[old] == slot {
		delete(l.byID, old)
	}
	l.ring[slot] = r
	l.byID[r.Request] = slot
	l.next++
	for w := range l.watchers {
		select {
		case w <- r:
		default:
			l.Dropped.Add(1)
		}
	}
}

// Find returns the record of a request, if it is still in the log.
func (l *Log) Find(request string) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slot, ok := l.byID[request]
	if !ok {
		return Record{}, false
	}
	return l.ring[slot], true
}

// Watch returns a channel that receives new records, and a function that ends
// the subscription.
func (l *Log) Watch() (<-chan Record, func()) {
	w := make(chan Record, watchBacklog)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchers[w] = struct{}{}
	return w, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.watchers, w)
	}
}
