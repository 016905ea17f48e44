package quarantine

import (
	"maps"
	"sync"
	"time"
)

// afterglow is how long after it was cut a request may still end its server: it runs on
// for a moment, and its server ends some hundred milliseconds after it began.
const afterglow = 2 * time.Second

// Instance is a server as requests find it.
type Instance struct {
	// Server names the incarnation.
	Server string
	Addr   string
}

// Run is a request at a server.
type Run struct {
	place   Instance
	content Fingerprint
	cancel  func()
}

// Ending says how a request left a server.
type Ending int

// The ways to leave.
const (
	// Aborted is a request that was broken off at either end, or dropped.
	Aborted Ending = iota
	// Completed is one that the server has answered whole, or declined.
	Completed
)

// Tracker remembers which requests this daemon has at which servers, so that it is known what
// a server that ends was working on. It is safe for concurrent use. Get one from NewRuns.
type Tracker struct {
	mu sync.Mutex
	at map[Instance]*visits
	// swept is when what is too old was last dropped.
	swept time.Time
}

// visits are the requests at one server.
type visits struct {
	open map[*Run]bool
	// cut are those that were cut, by when.
	cut map[Fingerprint]time.Time
	// looking tells that somebody finds out whether the server is there.
	looking bool
}

// NewTracker returns an empty memory.
func NewTracker() *Tracker { return &Tracker{at: map[Instance]*visits{}} }

func newVisits() *visits { return &visits{open: map[*Run]bool{}, cut: map[Fingerprint]time.Time{}} }

func (r *Tracker) visits(p Instance) *visits {
	v := r.at[p]
	if v == nil {
		v = newVisits()
		r.at[p] = v
	}
	return v
}

// Begin notes a request that goes to a server, and how it is broken off there.
func (r *Tracker) Begin(p Instance, f Fingerprint, cancel func(), now time.Time) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	visit := &Run{place: p, content: f, cancel: cancel}
	r.visits(p).open[visit] = true
	return visit
}

// End notes that it has left the server.
func (r *Tracker) End(visit *Run, how Ending, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.at[visit.place]
	if v == nil || !v.open[visit] {
		// Its server has ended, and has counted.
		return
	}
	delete(v.open, visit)
	if how == Aborted {
		v.cut[visit.content] = now
	}
}

// CancelAll breaks off what is under way at a server that is no more.
func (r *Tracker) CancelAll(p Instance) {
	var cancels []func()
	r.mu.Lock()
	if v := r.at[p]; v != nil {
		for visit := range v.open {
			cancels = append(cancels, visit.cancel)
		}
	}
	r.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}

// TakeSuspects returns what was under way at a server that has ended, or was cut there a moment
// before. Each is returned once.
func (r *Tracker) TakeSuspects(p Instance, now time.Time) []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.at[p]
	if v == nil {
		return nil
	}
	found := map[Fingerprint]bool{}
	for visit := range v.open {
		found[visit.content] = true
	}
	for f, at := range v.cut {
		if now.Sub(at) < afterglow {
			found[f] = true
		}
	}
	// What is open there breaks off too, and counts no second time.
	r.at[p] = newVisits()
	r.at[p].looking = v.looking
	out := make([]Fingerprint, 0, len(found))
	for f := range found {
		out = append(out, f)
	}
	return out
}

// AbortedAt returns the servers where a request was cut a moment ago.
func (r *Tracker) AbortedAt(f Fingerprint, now time.Time) []Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Instance
	for p, v := range r.at {
		if at, ok := v.cut[f]; ok && now.Sub(at) < afterglow {
			out = append(out, p)
		}
	}
	return out
}

// BeginProbe reports whether the caller is to find out if a server is there: one at a time does.
func (r *Tracker) BeginProbe(p Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.visits(p)
	if v.looking {
		return false
	}
	v.looking = true
	return true
}

// EndProbe ends what Look began.
func (r *Tracker) EndProbe(p Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.visits(p).looking = false
}

// sweepEvery is the time between two looks at what is too old.
const sweepEvery = 10 * time.Second

// sweep drops what is too old; r is locked.
func (r *Tracker) sweep(now time.Time) {
	if now.Sub(r.swept) < sweepEvery {
		return
	}
	r.swept = now
	for _, v := range r.at {
		maps.DeleteFunc(v.cut, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) >= afterglow })
	}
	maps.DeleteFunc(r.at, func(_ Instance, v *visits) bool { return len(v.open)+len(v.cut) == 0 && !v.looking })
}
