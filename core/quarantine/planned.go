package quarantine

import (
	"maps"
	"sync"
	"time"
)

// plannedWithin is how long a server that is due to end may go on: it serves the requests that it has, and
// some serve for many seconds more. One that exits later has crashed like any other.
const plannedWithin = 30 * time.Second

// PlannedEnds holds the servers that are due to end, by the operator's order or their own word. It is safe
// for concurrent use; the zero value has no servers.
type PlannedEnds struct {
	mu sync.RWMutex
	// until is the time up to which an exit of a server, by its hash, is its planned end.
	until map[uint64]time.Time
}

// Add records that a server, by its hash, is due to end from now on.
func (p *PlannedEnds) Add(server uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.until == nil {
		p.until = map[uint64]time.Time{}
	}
	if _, known := p.until[server]; !known {
		p.until[server] = now.Add(plannedWithin)
	}
	// Kept past its end, so that a server that goes on is not due to end anew.
	maps.DeleteFunc(p.until, func(_ uint64, until time.Time) bool { return now.Sub(until) > rememberFor })
}

// Includes reports whether the exit of a server, by its hash, that is found at a time was planned.
func (p *PlannedEnds) Includes(server uint64, now time.Time) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	until, ok := p.until[server]
	return ok && !now.After(until)
}
