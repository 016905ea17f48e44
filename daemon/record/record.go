// Package record keeps what was decided for the latest requests, and tells it
// to those who watch.
package record

import (
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/route"
)

// Record is everything known of one request once it has ended.
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
	// Spent is the cost of answers that were made and not given.
	Spent      int64        `json:"spent,omitempty"`
	DurationMS float64      `json:"duration_ms"`
	Steps      []route.Step `json:"steps"`
}

// Size is how many records are kept.
const Size = 4096

// watchBacklog is how many records wait for a slow watcher.
const watchBacklog = 256

// Log keeps the latest records. It is safe for concurrent use.
type Log struct {
	// Missed counts records that a watcher was too slow for.
	Missed atomic.Int64

	mu       sync.Mutex
	ring     [Size]Record
	next     int
	byID     map[string]int
	watchers map[chan Record]struct{}
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{byID: map[string]int{}, watchers: map[chan Record]struct{}{}}
}

// Add keeps a record and tells the watchers.
func (l *Log) Add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.next % Size
	if old := l.ring[at].Request; old != "" && l.byID[old] == at {
		delete(l.byID, old)
	}
	l.ring[at] = r
	l.byID[r.Request] = at
	l.next++
	for w := range l.watchers {
		select {
		case w <- r:
		default:
			l.Missed.Add(1)
		}
	}
}

// Find returns the record of a request, if it is still kept.
func (l *Log) Find(request string) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.byID[request]
	if !ok {
		return Record{}, false
	}
	return l.ring[at], true
}

// Watch returns a channel of the records to come, and a function that ends it.
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
