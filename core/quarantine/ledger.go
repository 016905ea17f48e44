package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The bounds of what is held against a request.
const (
	// CrashThreshold is the crash count from which a request is in quarantine: one server may end
	// by itself, and two that do so under one request are bad luck; the platform's pages
	// count from the third.
	CrashThreshold = 3
	// Duration is how long after its last crash a request gets no server. Then it may
	// have been mended, or its servers; a further crash begins the quarantine anew.
	Duration = 10 * time.Minute
	// rememberFor is how long a crash counts.
	rememberFor = 30 * time.Minute
	// sameCrash is within which time reports of one server's end by several daemons are of
	// one: a server that starts again under its id takes longer than that.
	sameCrash = 1500 * time.Millisecond
	// mostCases and mostCrashes bound the memory: what others had under way at a server
	// that ends is counted too.
	mostCases   = 4096
	mostCrashes = 8
	// mostSound is how many contents that were answered whole are remembered at least.
	mostSound = 4096
)

// Crash is a server that ended while a request was under way there.
type Crash struct {
	Content Fingerprint
	// Server is a hash of the server's id.
	Server uint64
	At     time.Time
}

// Registry holds the crash counts of requests. It is safe for concurrent use. Get one from
// NewLedger.
type Registry struct {
	mu    sync.Mutex
	cases map[Fingerprint]*record
	// sound are contents that were answered whole lately, soundBefore those before them.
	sound       map[Fingerprint]bool
	soundBefore map[Fingerprint]bool
}

// record is what is held against one request.
type record struct {
	// crashes are in the order in which they were counted.
	crashes []Crash
	// until is the end of a quarantine that another daemon has found, or zero.
	until time.Time
}

// NewRegistry returns a ledger that holds nothing against anybody.
func NewRegistry() *Registry {
	return &Registry{cases: map[Fingerprint]*record{}, sound: map[Fingerprint]bool{}, soundBefore: map[Fingerprint]bool{}}
}

// RecordCrash counts a crash and reports whether it was not counted yet. A request that was
// answered whole lately is not to blame: many callers may ask for the same, and it is under
// way at whatever server ends.
func (l *Registry) RecordCrash(c Crash) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sound[c.Content] || l.soundBefore[c.Content] {
		return false
	}
	r := l.record(c.Content, c.At)
	if slices.ContainsFunc(r.crashes, c.sameAs) {
		return false
	}
	r.crashes = append(r.crashes, c)
	if len(r.crashes) > mostCrashes {
		r.crashes = r.crashes[1:]
	}
	return true
}

// RecordServerExit counts the end of a server, by its name, against what was under way there, and
// returns the crashes that were not counted yet.
func (l *Registry) RecordServerExit(server string, contents []Fingerprint, at time.Time) []Crash {
	var fresh []Crash
	for _, f := range contents {
		c := Crash{Content: f, Server: xxhash.Sum64String(server), At: at}
		if l.RecordCrash(c) {
			fresh = append(fresh, c)
		}
	}
	return fresh
}

// sameAs reports whether two reports are of one crash.
func (c Crash) sameAs(other Crash) bool {
	return c.Server == other.Server && c.At.Sub(other.At).Abs() < sameCrash
}

// record returns the record of a content, a new one if there is none; l is locked.
func (l *Registry) record(f Fingerprint, now time.Time) *record {
	if r := l.cases[f]; r != nil {
		return r
	}
	if len(l.cases) >= mostCases {
		l.forget(now)
	}
	r := &record{}
	l.cases[f] = r
	return r
}

// forget makes room: what is too old goes, or else whatever has a single crash; l is
// locked.
func (l *Registry) forget(now time.Time) {
	for f, r := range l.cases {
		if r.over(now) {
			delete(l.cases, f)
		}
	}
	if len(l.cases) < mostCases {
		return
	}
	for f, r := range l.cases {
		if len(r.crashes) < CrashThreshold-1 && now.After(r.until) {
			delete(l.cases, f)
		}
	}
}

// over reports whether nothing in a record counts any more.
func (r *record) over(now time.Time) bool {
	return now.After(r.until) && now.Sub(r.last()) > rememberFor
}

// last is when the last crash was.
func (r *record) last() time.Time {
	var last time.Time
	for _, c := range r.crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// count is the crash count at a time.
func (r *record) count(now time.Time) int {
	n := 0
	for _, c := range r.crashes {
		if now.Sub(c.At) <= rememberFor {
			n++
		}
	}
	return n
}

// end is when the quarantine of a request ends, if it is in one.
func (r *record) end(now time.Time) (time.Time, bool) {
	until := r.until
	if own := r.last().Add(Duration); r.count(now) >= CrashThreshold && own.After(until) {
		until = own
	}
	return until, now.Before(until)
}

// Answered notes a content that a server answered whole, and lived: nothing is held
// against it any more, but for a quarantine that it is in.
func (l *Registry) Answered(f Fingerprint, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.cases[f]; r != nil {
		if _, in := r.end(now); in {
			return
		}
		delete(l.cases, f)
	}
	if len(l.sound) >= mostSound {
		l.sound, l.soundBefore = map[Fingerprint]bool{}, l.sound
	}
	l.sound[f] = true
}

// Suspected reports whether a server has ended under a request.
func (l *Registry) Suspected(f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cases[f] != nil
}

// Quarantined returns until when a request gets no server, if it is in quarantine.
func (l *Registry) Quarantined(f Fingerprint, now time.Time) (until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.cases[f]
	if r == nil {
		return time.Time{}, false
	}
	return r.end(now)
}

// Quarantine puts a request that another daemon has found into quarantine. It reports whether
// it was not in one that ends as late.
func (l *Registry) Quarantine(f Fingerprint, until, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if most := now.Add(Duration); until.After(most) {
		until = most
	}
	if !until.After(now) {
		return false
	}
	r := l.record(f, now)
	was, in := r.end(now)
	if until.After(r.until) {
		r.until = until
	}
	return !in || until.After(was)
}

// Len is how many requests something is held against.
func (l *Registry) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.cases)
}

// Entry is a request that is held to have ended servers.
type Entry struct {
	Content Fingerprint
	// Crashes is how many servers this daemon knows to have ended under it.
	Crashes int
	// Until is the end of its quarantine.
	Until time.Time
}

// mostRecent bounds what Recent returns.
const mostRecent = 64

// RecentCrashes returns the crash counts within the time of a quarantine, the highest ones if
// there are many.
func (l *Registry) RecentCrashes(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Entry
	for f, r := range l.cases {
		n := 0
		for _, c := range r.crashes {
			if now.Sub(c.At) < Duration {
				n++
			}
		}
		if n > 0 {
			out = append(out, Entry{Content: f, Crashes: n})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Content, b.Content))
	})
	return out[:min(len(out), mostRecent)]
}

// Entries returns the requests that are in quarantine.
func (l *Registry) Entries(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Entry
	for f, r := range l.cases {
		if until, in := r.end(now); in {
			out = append(out, Entry{Content: f, Crashes: r.count(now), Until: until})
		}
	}
	return out
}
