package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds on crash counts and quarantines.
const (
	// CrashThreshold is the crash count from which a request is quarantined. A single server may
	// crash on its own, and two during one request may be coincidence; the platform's pages count
	// from the third.
	CrashThreshold = 3
	// Duration is how long a request gets no server after its last crash. By then the request or
	// the servers may have been fixed; a further crash starts the quarantine again.
	Duration = 10 * time.Minute
	// rememberFor is how long a crash counts.
	rememberFor = 30 * time.Minute
	// sameCrash is the time within which reports of several daemons about one server concern the
	// same crash. A server takes longer to restart under its id.
	sameCrash = 1500 * time.Millisecond
	// maxEntries and maxCrashes bound the memory, since the other requests in flight at a crashed
	// server are counted as well.
	maxEntries = 4096
	maxCrashes = 8
	// maxAnswered is how many contents that were answered completely are remembered at least.
	maxAnswered = 4096
)

// Crash is the crash of a server while a request was in flight there.
type Crash struct {
	Content Fingerprint
	// Server is a hash of the server's id.
	Server uint64
	At     time.Time
}

// Registry holds the crash counts and quarantines of requests. It is safe for concurrent use. Get
// one from NewRegistry.
type Registry struct {
	mu      sync.Mutex
	records map[Fingerprint]*record
	// answered holds contents that were answered completely, answeredBefore those of the previous
	// generation. A new generation starts when answered is full.
	answered       map[Fingerprint]bool
	answeredBefore map[Fingerprint]bool
}

// record holds the crashes and the quarantine of one request.
type record struct {
	// crashes are in the order in which they were counted.
	crashes []Crash
	// until is the end of a quarantine announced by another daemon, or zero.
	until time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{records: map[Fingerprint]*record{}, answered: map[Fingerprint]bool{}, answeredBefore: map[Fingerprint]bool{}}
}

// RecordCrash counts a crash and reports whether it is new. A request that was answered completely
// of late is not counted: if many callers send the same request, it is in flight at whatever
// server crashes.
func (reg *Registry) RecordCrash(c Crash) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if reg.answered[c.Content] || reg.answeredBefore[c.Content] {
		return false
	}
	r := reg.record(c.Content, c.At)
	if slices.ContainsFunc(r.crashes, c.sameAs) {
		return false
	}
	r.crashes = append(r.crashes, c)
	if len(r.crashes) > maxCrashes {
		r.crashes = r.crashes[1:]
	}
	return true
}

// RecordServerExit counts the crash of a server, by its name, for the contents that were in flight
// there, and returns the crashes that are new.
func (reg *Registry) RecordServerExit(server string, contents []Fingerprint, at time.Time) []Crash {
	var fresh []Crash
	for _, f := range contents {
		c := Crash{Content: f, Server: xxhash.Sum64String(server), At: at}
		if reg.RecordCrash(c) {
			fresh = append(fresh, c)
		}
	}
	return fresh
}

// sameAs reports whether two reports are of one crash.
func (c Crash) sameAs(other Crash) bool {
	return c.Server == other.Server && c.At.Sub(other.At).Abs() < sameCrash
}

// record returns the record of a content and creates it if needed. The caller holds reg.mu.
func (reg *Registry) record(f Fingerprint, now time.Time) *record {
	if r := reg.records[f]; r != nil {
		return r
	}
	if len(reg.records) >= maxEntries {
		reg.evict(now)
	}
	r := &record{}
	reg.records[f] = r
	return r
}

// evict frees space: it drops expired records, or if that is not enough all records with a single
// crash. The caller holds reg.mu.
func (reg *Registry) evict(now time.Time) {
	for f, r := range reg.records {
		if r.expired(now) {
			delete(reg.records, f)
		}
	}
	if len(reg.records) < maxEntries {
		return
	}
	for f, r := range reg.records {
		if len(r.crashes) < CrashThreshold-1 && now.After(r.until) {
			delete(reg.records, f)
		}
	}
}

// expired reports whether nothing in the record counts any more.
func (r *record) expired(now time.Time) bool {
	return now.After(r.until) && now.Sub(r.last()) > rememberFor
}

// last returns the time of the last crash.
func (r *record) last() time.Time {
	var last time.Time
	for _, c := range r.crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// count returns the crash count at a time.
func (r *record) count(now time.Time) int {
	n := 0
	for _, c := range r.crashes {
		if now.Sub(c.At) <= rememberFor {
			n++
		}
	}
	return n
}

// end returns the end of the request's quarantine and whether it is in one.
func (r *record) end(now time.Time) (time.Time, bool) {
	until := r.until
	if own := r.last().Add(Duration); r.count(now) >= CrashThreshold && own.After(until) {
		until = own
	}
	return until, now.Before(until)
}

// Answered records that a server answered a content completely and survived. The crashes counted
// for the content are dropped, unless it is quarantined.
func (reg *Registry) Answered(f Fingerprint, now time.Time) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if r := reg.records[f]; r != nil {
		if _, in := r.end(now); in {
			return
		}
		delete(reg.records, f)
	}
	if len(reg.answered) >= maxAnswered {
		reg.answered, reg.answeredBefore = map[Fingerprint]bool{}, reg.answered
	}
	reg.answered[f] = true
}

// Suspected reports whether a server has crashed during the request.
func (reg *Registry) Suspected(f Fingerprint) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.records[f] != nil
}

// Quarantined returns the end of the request's quarantine, if it is in one.
func (reg *Registry) Quarantined(f Fingerprint, now time.Time) (until time.Time, ok bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	r := reg.records[f]
	if r == nil {
		return time.Time{}, false
	}
	return r.end(now)
}

// Quarantine quarantines a request that another daemon has reported. It reports whether this is
// new: whether the request was not quarantined, or for a shorter time.
func (reg *Registry) Quarantine(f Fingerprint, until, now time.Time) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if latest := now.Add(Duration); until.After(latest) {
		until = latest
	}
	if !until.After(now) {
		return false
	}
	r := reg.record(f, now)
	was, in := r.end(now)
	if until.After(r.until) {
		r.until = until
	}
	return !in || until.After(was)
}

// Len returns the number of requests with a record.
func (reg *Registry) Len() int {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return len(reg.records)
}

// Entry is a request that has crashed servers.
type Entry struct {
	Content Fingerprint
	// Crashes is how many crashes during the request this daemon knows of.
	Crashes int
	// Until is the end of its quarantine.
	Until time.Time
}

// maxRecent bounds the result of RecentCrashes.
const maxRecent = 64

// RecentCrashes returns the crash counts within the duration of a quarantine, the highest ones if
// there are many.
func (reg *Registry) RecentCrashes(now time.Time) []Entry {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var out []Entry
	for f, r := range reg.records {
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
	return out[:min(len(out), maxRecent)]
}

// Entries returns the requests that are quarantined.
func (reg *Registry) Entries(now time.Time) []Entry {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var out []Entry
	for f, r := range reg.records {
		if until, in := r.end(now); in {
			out = append(out, Entry{Content: f, Crashes: r.count(now), Until: until})
		}
	}
	return out
}
