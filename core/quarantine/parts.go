package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds on the crashes that are counted for parts of requests.
const (
	// PartCrashThreshold is the number of crashes without a complete answer from which requests with a
	// part get no server. It is higher than CrashThreshold, since callers share parts.
	PartCrashThreshold = 5
	// minUnexplained is how many crashes of a part that was never answered must have no other cause for
	// it to be a cause, too. One may be a server that crashed on its own.
	minUnexplained = 2
	// maxPartCrashes bounds the crashes that are kept of a part.
	maxPartCrashes = 32
	// maxConfinements bounds how many confinements are in force.
	maxConfinements = 64
	// announceThreshold is how many crashes of a part make its answers known to other daemons: they
	// count towards PartCrashThreshold at those that have not answered it.
	announceThreshold = 3
	// evidenceWindow is how long after the last crash of a part the crashes are sent again, evidenceExits
	// how many of them.
	evidenceWindow = time.Minute
	evidenceExits  = 8
)

// PartCrash is the crash of a server while requests with some parts were in flight there.
type PartCrash struct {
	Parts []Part
	// Server is a hash of the server's name.
	Server uint64
	At     time.Time
}

// PartAnswer is a complete answer to a request with a part.
type PartAnswer struct {
	Part Part
	At   time.Time
}

// exit is the crash of a server as one part's record has it.
type exit struct {
	server uint64
	at     time.Time
}

func (e exit) sameAs(other exit) bool {
	return e.server == other.server && e.at.Sub(other.at).Abs() < sameCrash
}

// PartRegistry finds out which parts of requests crash servers, and confines the requests that have them.
// Such a part is in flight at each crash that it causes and is never answered completely. The other parts
// of the same requests, and those of the requests that happened to be at the same servers, are distinguished
// from it by their answers, and by crashes without them. It is safe for concurrent use.
type PartRegistry struct {
	// TrialDelay, if set, returns how much later than other daemons this one may let a request with a
	// part pass as a trial, so that one daemon does so at a time. It is set before use.
	TrialDelay func(Part) time.Duration

	mu      sync.Mutex
	records map[Part]*partRecord
	// answered holds when parts were last answered completely here, answeredBefore the previous
	// generation. A new one starts when answered is full.
	answered       map[Part]time.Time
	answeredBefore map[Part]time.Time

	// confined is nil while nothing is confined.
	confined atomic.Pointer[confinements]
}

// partRecord holds what is known of a part that was in flight at a crash.
type partRecord struct {
	// exits are in the order of their times. Those before answeredAt do not count.
	exits      []exit
	answeredAt time.Time
	// announcedAt is the time of the last answer that all daemons know of.
	announcedAt time.Time
	// until is the end of a confinement that was read from the store, or zero.
	until time.Time
	// endedStored is set if an answer here has ended such a confinement, and other daemons do not know.
	endedStored bool
	// trialAt is when a trial was last let pass, in Unix nanoseconds.
	trialAt *atomic.Int64
}

// NewPartRegistry returns an empty registry.
func NewPartRegistry() *PartRegistry {
	return &PartRegistry{records: map[Part]*partRecord{}, answered: map[Part]time.Time{}, answeredBefore: map[Part]time.Time{}}
}

// counted returns the exits that count: those since the last complete answer, within rememberFor.
func (r *partRecord) counted(now time.Time) []exit {
	from := now.Add(-rememberFor)
	if r.answeredAt.After(from) {
		from = r.answeredAt
	}
	first := slices.IndexFunc(r.exits, func(e exit) bool { return e.at.After(from) })
	if first < 0 {
		return nil
	}
	return r.exits[first:]
}

// add adds an exit and reports whether it is new. One before all that are kept is not: it may have been
// dropped, and would be passed on between daemons again and again.
func (r *partRecord) add(e exit) bool {
	if len(r.exits) >= maxPartCrashes && e.at.Before(r.exits[0].at) {
		return false
	}
	if slices.ContainsFunc(r.exits, e.sameAs) {
		return false
	}
	r.exits = append(r.exits, e)
	slices.SortFunc(r.exits, func(a, b exit) int { return a.at.Compare(b.at) })
	if len(r.exits) > maxPartCrashes {
		r.exits = slices.Delete(r.exits, 0, 1)
	}
	return true
}

// last returns the time of the last exit, or zero.
func (r *partRecord) last() time.Time {
	if len(r.exits) == 0 {
		return time.Time{}
	}
	return r.exits[len(r.exits)-1].at
}

// RecordCrash counts a crash for its parts and returns those for which it is new.
func (reg *PartRegistry) RecordCrash(c PartCrash, now time.Time) (fresh []Part) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for _, p := range c.Parts {
		if r := reg.record(p, now); r != nil && r.add(exit{c.Server, c.At}) {
			fresh = append(fresh, p)
		}
	}
	if len(fresh) > 0 {
		reg.update(now)
	}
	return fresh
}

// record returns the record of a part and creates it if needed, or returns nil if there are too many.
// The caller holds reg.mu.
func (reg *PartRegistry) record(p Part, now time.Time) *partRecord {
	if r := reg.records[p]; r != nil {
		return r
	}
	if len(reg.records) >= maxEntries {
		reg.evict(now)
	}
	if len(reg.records) >= maxEntries {
		return nil
	}
	r := &partRecord{answeredAt: reg.answered[p], trialAt: &atomic.Int64{}}
	if before := reg.answeredBefore[p]; before.After(r.answeredAt) {
		r.answeredAt = before
	}
	reg.records[p] = r
	return r
}

// evict drops the records of parts without a crash that counts, and if that is not enough those that
// are furthest from a confinement. The caller holds reg.mu.
func (reg *PartRegistry) evict(now time.Time) {
	for atMost := 0; atMost < PartCrashThreshold-1 && len(reg.records) >= maxEntries; atMost++ {
		for p, r := range reg.records {
			if len(r.counted(now)) <= atMost && !now.Before(r.until) {
				delete(reg.records, p)
			}
		}
	}
}

// Answered records that a server has answered a request with some parts completely, and survived.
func (reg *PartRegistry) Answered(parts []Part, now time.Time) {
	if len(parts) == 0 {
		return
	}
	reg.mu.Lock()
	defer reg.mu.Unlock()
	changed := false
	for _, p := range parts {
		if len(reg.answered) >= maxAnswered {
			reg.answered, reg.answeredBefore = map[Part]time.Time{}, reg.answered
		}
		reg.answered[p] = now
		changed = reg.clear(p, now, now) || changed
	}
	if changed {
		reg.update(now)
	}
}

// RecordAnswer records an answer at another daemon, and reports whether it is news.
func (reg *PartRegistry) RecordAnswer(a PartAnswer, now time.Time) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	r := reg.records[a.Part]
	if r == nil || !a.At.After(r.announcedAt) {
		return false
	}
	r.announcedAt = a.At
	if reg.clear(a.Part, a.At, now) {
		reg.update(now)
	}
	r.endedStored = false
	return true
}

// clear records an answer for the record of a part, if there is one, and reports whether that may end a
// confinement or give another one its cause. The caller holds reg.mu.
func (reg *PartRegistry) clear(p Part, at, now time.Time) bool {
	r := reg.records[p]
	if r == nil || !at.After(r.answeredAt) {
		return false
	}
	counted := len(r.counted(now)) >= PartCrashThreshold
	r.answeredAt = at
	if r.until.Add(-Duration).Before(at) && !r.until.IsZero() {
		r.until, r.endedStored, counted = time.Time{}, true, true
	}
	return counted
}

// Announcements returns the answers that other daemons do not know of and need to, since they may have
// counted crashes before them. Each is returned once.
func (reg *PartRegistry) Announcements(now time.Time) []PartAnswer {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var out []PartAnswer
	for p, r := range reg.records {
		if !r.answeredAt.After(r.announcedAt) || now.Sub(r.last()) > evidenceWindow && !r.endedStored {
			continue
		}
		since := 0
		for _, e := range r.exits {
			if e.at.After(r.announcedAt) {
				since++
			}
		}
		if since >= announceThreshold || r.endedStored {
			r.announcedAt, r.endedStored = r.answeredAt, false
			out = append(out, PartAnswer{p, r.answeredAt})
		}
	}
	slices.SortFunc(out, func(a, b PartAnswer) int { return cmp.Compare(a.Part, b.Part) })
	return out
}

// Suspected reports whether a server has crashed with one of the parts in flight since it was last
// answered.
func (reg *PartRegistry) Suspected(parts []Part, now time.Time) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for _, p := range parts {
		if r := reg.records[p]; r != nil && len(r.counted(now)) > 0 {
			return true
		}
	}
	return false
}

// maxEvidence bounds the parts whose crashes Evidence returns, maxEvidenceAnswers the answers.
const (
	maxEvidence        = 8
	maxEvidenceAnswers = 32
)

// Evidence returns the recent crashes of the parts that are confined or close to it, and the answers of
// those that were, for daemons that have started since or missed the news.
func (reg *PartRegistry) Evidence(now time.Time) (crashes []PartCrash, answers []PartAnswer) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var suspected []Part
	for p, r := range reg.records {
		switch {
		case len(r.exits) < announceThreshold || now.Sub(r.last()) > evidenceWindow:
		case len(r.counted(now)) >= announceThreshold:
			suspected = append(suspected, p)
		case !r.answeredAt.IsZero():
			answers = append(answers, PartAnswer{p, r.answeredAt})
		}
	}
	slices.SortFunc(suspected, func(a, b Part) int {
		return cmp.Or(cmp.Compare(len(reg.records[b].counted(now)), len(reg.records[a].counted(now))), cmp.Compare(a, b))
	})
	slices.SortFunc(answers, func(a, b PartAnswer) int { return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Part, b.Part)) })
	for _, p := range suspected[:min(len(suspected), maxEvidence)] {
		exits := reg.records[p].counted(now)
		for _, e := range exits[max(0, len(exits)-evidenceExits):] {
			i := slices.IndexFunc(crashes, func(c PartCrash) bool { return e.sameAs(exit{c.Server, c.At}) })
			if i < 0 {
				i, crashes = len(crashes), append(crashes, PartCrash{Server: e.server, At: e.at})
			}
			crashes[i].Parts = append(crashes[i].Parts, p)
		}
	}
	return crashes, answers[:min(len(answers), maxEvidenceAnswers)]
}

// Confine applies the confinement of a part that was read from the store, or its end if until is not
// later than now. It reports whether the part is confined by it.
func (reg *PartRegistry) Confine(p Part, until, now time.Time) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if latest := now.Add(Duration); until.After(latest) {
		until = latest
	}
	if !until.After(now) {
		if r := reg.records[p]; r != nil && !r.until.IsZero() {
			r.until = time.Time{}
			reg.update(now)
		}
		return false
	}
	r := reg.record(p, now)
	if r == nil || !until.After(r.until) || !until.Add(-Duration).After(r.answeredAt) {
		return false
	}
	r.until = until
	reg.update(now)
	return true
}

// Len returns the number of parts with a record.
func (reg *PartRegistry) Len() int {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return len(reg.records)
}
