package reach

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is another daemon that may connect to a server for this one.
type Candidate struct {
	ID   string
	Hall string
}

// Answer is what became of a request to another daemon for a connection.
type Answer int

// The answers. Their numbers are part of the protocol between daemons.
const (
	// Connected: it has connected to the server.
	Connected Answer = iota
	// ServerDown: its own path is intact, and the server did not accept the connection.
	ServerDown
	// ServerRefused is as ServerDown, and the server's machine refused the connection.
	ServerRefused
	// CutOff: it cannot reach servers itself.
	CutOff
	// Unlisted: it does not know the server.
	Unlisted
	// Full: it serves as many connections for other daemons as it may.
	Full
	// Stopping: it stops before the request's deadline.
	Stopping
	// Silent: it did not answer, or was lost later.
	Silent
	// Unsupported: it runs an earlier build, which does not connect for others.
	Unsupported
)

// String returns the answer for logs and metrics.
func (a Answer) String() string {
	switch a {
	case Connected:
		return "connected"
	case ServerDown:
		return "server down"
	case ServerRefused:
		return "server refused"
	case CutOff:
		return "cut off"
	case Unlisted:
		return "server not listed"
	case Full:
		return "full"
	case Stopping:
		return "stopping"
	case Silent:
		return "silent"
	case Unsupported:
		return "unsupported"
	}
	return "unknown"
}

// pause returns how long a daemon is not asked after an answer.
func (a Answer) pause() time.Duration {
	switch a {
	case Full, Silent:
		return helperPause
	case Stopping:
		return stoppingPause
	case Unsupported:
		return unsupportedPause
	}
	return 0
}

const (
	// helperPause is how long a daemon that could not help is not asked.
	helperPause = time.Second
	// stoppingPause is about how long a daemon takes to stop and start again.
	stoppingPause = 3 * time.Second
	// unsupportedPause is how long a daemon of an earlier build is not asked.
	unsupportedPause = 30 * time.Second
	// reportTTL is how long the number of connections counts that a daemon has reported.
	reportTTL = 2 * time.Second
	// otherHallExcess is added to the load of a daemon that is neither in this hall nor in the
	// server's: traffic between halls is paid for.
	otherHallExcess = 8
)

// Helpers holds what a daemon knows of the others that connect to servers for it. It is safe for
// concurrent use. The zero value is ready to use.
type Helpers struct {
	// Self is the id of this daemon.
	Self string

	mu      sync.Mutex
	helpers map[string]*helper
}

// helper is what is known of one other daemon.
type helper struct {
	pausedUntil time.Time
	// cutOff has the servers that it has not reached, by when it said so.
	cutOff map[string]time.Time
	// reported is how many connections it serves for others, at reportedAt; open is how many of
	// this daemon there are now.
	reported   int
	reportedAt time.Time
	open       int
}

// Request is a request for a connection to a server.
type Request struct {
	// Addr identifies the server, Hall is its data hall and OwnHall that of this daemon.
	Addr    string
	Hall    string
	OwnHall string
	// Asked are the daemons that have been asked already.
	Asked map[string]bool
}

// Choose returns the daemon to ask for a connection, or false if there is none: the one that serves
// the fewest connections, of the two halls concerned first. Equal ones are ordered by a hash of both
// names, so that several daemons without a path choose different ones.
func (h *Helpers) Choose(candidates []Candidate, r Request, now time.Time) (id string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	least, highest, own := math.MaxInt, uint64(0), xxhash.Sum64String(h.Self)
	for _, c := range candidates {
		one := h.helpers[c.ID]
		if r.Asked[c.ID] || one.paused(r.Addr, now) {
			continue
		}
		load := one.load(now)
		if c.Hall != r.OwnHall && c.Hall != r.Hall {
			load += otherHallExcess
		}
		hash := xxhash.Sum64String(c.ID) ^ own
		if load < least || (load == least && hash > highest) {
			id, least, highest, ok = c.ID, load, hash, true
		}
	}
	return id, ok
}

// paused reports whether a daemon is not asked for a server now: it could not help recently, or it
// did not reach this server or several others.
func (o *helper) paused(addr string, now time.Time) bool {
	if o == nil {
		return false
	}
	recent := 0
	for _, at := range o.cutOff {
		if now.Sub(at) < helperPause {
			recent++
		}
	}
	at, cutOff := o.cutOff[addr]
	return now.Before(o.pausedUntil) || (cutOff && now.Sub(at) < helperPause) || recent >= lostThreshold
}

// load returns how many connections a daemon serves for others, as far as it is known.
func (o *helper) load(now time.Time) int {
	if o == nil {
		return 0
	}
	if now.Sub(o.reportedAt) < reportTTL {
		return max(o.reported, o.open)
	}
	return o.open
}

// Answered records the answer of a daemon to a request for a server. It serves a number of
// connections for others.
func (h *Helpers) Answered(id, addr string, a Answer, serving int, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	one := h.helper(id)
	one.reported, one.reportedAt = serving, now
	if pause := a.pause(); pause > 0 {
		one.pausedUntil = now.Add(pause)
	}
	switch a {
	case Connected:
		one.cutOff = nil
	case CutOff:
		if one.cutOff == nil {
			one.cutOff = map[string]time.Time{}
		}
		one.cutOff[addr] = now
	}
}

// Opened counts a connection through a daemon, Closed its end.
func (h *Helpers) Opened(id string) { h.add(id, 1) }

// Closed counts the end of a connection through a daemon.
func (h *Helpers) Closed(id string) { h.add(id, -1) }

func (h *Helpers) add(id string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.helper(id).open += n
}

// Open returns how many connections through other daemons there are.
func (h *Helpers) Open() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, one := range h.helpers {
		n += one.open
	}
	return n
}

// helper returns the state of a daemon and creates it if needed.
func (h *Helpers) helper(id string) *helper {
	if h.helpers == nil {
		h.helpers = map[string]*helper{}
	}
	one := h.helpers[id]
	if one == nil {
		one = &helper{}
		h.helpers[id] = one
	}
	return one
}

// Prune forgets the daemons that are no longer listed and have no connection, and answers that no
// longer count.
func (h *Helpers) Prune(listed func(id string) bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, one := range h.helpers {
		maps.DeleteFunc(one.cutOff, func(_ string, at time.Time) bool { return now.Sub(at) >= helperPause })
		if !listed(id) && one.open == 0 {
			delete(h.helpers, id)
		}
	}
}
