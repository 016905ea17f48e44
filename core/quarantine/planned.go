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
	mu      sync.RWMutex
	servers map[uint64]plannedEnd
}

// plannedEnd is the time in which an exit is the planned end of a server.
type plannedEnd struct{ from, until time.Time }

// Add records that a server, by its hash, is due to end. Exits from the given time on are planned: the
// daemon may learn of the plan after them.
func (p *PlannedEnds) Add(server uint64, from, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers == nil {
		p.servers = map[uint64]plannedEnd{}
	}
	e, known := p.servers[server]
	if !known {
		e = plannedEnd{from: from, until: now.Add(plannedWithin)}
	}
	// Of two plans the earlier one may become known later.
	e.from = earliest(e.from, from)
	p.servers[server] = e
	// An exit may be reported for as long as it counts.
	maps.DeleteFunc(p.servers, func(_ uint64, e plannedEnd) bool { return now.Sub(e.until) > rememberFor })
}

// Includes reports whether the exit of a server, by its hash, at a time was planned.
func (p *PlannedEnds) Includes(server uint64, at time.Time) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	e, ok := p.servers[server]
	return ok && !at.Before(e.from) && !at.After(e.until)
}
