package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Crash is the crash of a server while requests with some parts were in flight there.
type Crash struct {
	Parts []Part
	// Group is that of the server, or AnyGroup if it is not known.
	Group Group
	// Server is a hash of the server's name.
	Server uint64
	At     time.Time
}

// Answer is a complete answer to a request with a part, after which the server was running.
type Answer struct {
	Part Part
	// Group is that of the server, or AnyGroup if it is not known.
	Group Group
	At    time.Time
}

// Registry finds out which parts of requests crash servers, and confines the requests that have them. Such
// a part is in flight at each crash that it causes and, by servers of the same group, never answered
// completely in between. The other parts of the same requests, and those of the requests that happened to
// be at the same servers, are distinguished from it by their answers, and by crashes without them.
//
// There are two: one for whole contents, of which each request has one, and one for the parts that requests
// share. Registries are safe for concurrent use.
type Registry struct {
	// TrialDelay, if set, returns how much later than other daemons this one may let a request with a
	// part pass as a trial, so that one daemon does so at a time. It is set before use.
	TrialDelay func(Part) time.Duration

	policy  policy
	mu      sync.Mutex
	records map[Part]*record
	// answered holds the last complete answers here, answeredBefore the previous generation. A new one
	// starts when answered is full.
	answered       map[Part]lastAnswer
	answeredBefore map[Part]lastAnswer

	// confined is nil while nothing is confined.
	confined atomic.Pointer[confinements]
}

// lastAnswer is the last answer to a part here, and how many there were.
type lastAnswer struct {
	answer
	count int
}

// answers returns how many answers to a part this daemon has seen of late. The caller holds reg.mu.
func (reg *Registry) answers(p Part) int { return reg.answered[p].count + reg.answeredBefore[p].count }

// NewContentRegistry returns an empty registry of whole contents.
func NewContentRegistry() *Registry { return newRegistry(contentPolicy) }

// NewPartRegistry returns an empty registry of the parts that requests share.
func NewPartRegistry() *Registry { return newRegistry(partPolicy) }

func newRegistry(p policy) *Registry {
	return &Registry{policy: p, records: map[Part]*record{}, answered: map[Part]lastAnswer{}, answeredBefore: map[Part]lastAnswer{}}
}

// RecordCrash counts a crash for its parts and returns those for which it is new.
func (reg *Registry) RecordCrash(c Crash, now time.Time) (fresh []Part) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	e, changed := exit{server: c.Server, group: c.Group, at: c.At}, false
	for _, p := range c.Parts {
		r := reg.record(p, e, now)
		if r == nil {
			continue
		}
		changed = reg.policy.afterAnswer && r.withdraw(e) || changed
		if r.add(e) {
			fresh = append(fresh, p)
			changed = changed || len(r.exits) >= reg.policy.threshold
		}
	}
	if changed {
		reg.update(now)
	}
	return fresh
}

// ServerHash returns the hash of a server's name.
func ServerHash(name string) uint64 { return xxhash.Sum64String(name) }

// RecordServerExit counts the crash of a server, by its hash, for the suspects that were there, and returns
// what is new. keys returns the parts of a suspect that the registry counts.
func (reg *Registry) RecordServerExit(server uint64, suspects []Suspect, keys func(Suspect) []Part, now time.Time) []Crash {
	byGroup := map[Group][]Part{}
	for _, s := range suspects {
		if s.Answered && !reg.policy.afterAnswer {
			continue
		}
		byGroup[s.Group] = append(byGroup[s.Group], keys(s)...)
	}
	var fresh []Crash
	for g, parts := range byGroup {
		slices.Sort(parts)
		c := Crash{Parts: slices.Compact(parts), Group: g, Server: server, At: now}
		if c.Parts = reg.RecordCrash(c, now); len(c.Parts) > 0 {
			fresh = append(fresh, c)
		}
	}
	return fresh
}

// record returns the record of a part, creates it for a crash if needed, or returns nil if there are too
// many. The caller holds reg.mu.
func (reg *Registry) record(p Part, e exit, now time.Time) *record {
	if r := reg.records[p]; r != nil {
		r.settle(now)
		return r
	}
	if len(reg.records) >= maxRecords {
		reg.evict(now)
	}
	if len(reg.records) >= maxRecords {
		return nil
	}
	r := &record{trialAt: &atomic.Int64{}}
	for _, last := range []map[Part]lastAnswer{reg.answeredBefore, reg.answered} {
		if a, ok := last[p]; ok && (!reg.policy.afterAnswer || !a.precedes(e)) {
			r.answered = r.answered.with(a.answer)
		}
	}
	reg.records[p] = r
	return r
}

// evict drops the records of parts without a crash that counts, and if that is not enough those that
// are furthest from a confinement. The caller holds reg.mu.
func (reg *Registry) evict(now time.Time) {
	for atMost := 0; atMost < reg.policy.threshold-1 && len(reg.records) >= maxRecords; atMost++ {
		for p, r := range reg.records {
			if len(r.counted(now)) <= atMost && !now.Before(r.until) {
				delete(reg.records, p)
			}
		}
	}
}

// Answered records that a server of a group, by its hash, has answered a request with some parts
// completely. The answer counts for nothing if the server crashes right after it.
func (reg *Registry) Answered(parts []Part, g Group, server uint64, now time.Time) {
	if len(parts) == 0 {
		return
	}
	a := answer{group: g, server: server, at: now}
	reg.mu.Lock()
	defer reg.mu.Unlock()
	changed := false
	for _, p := range parts {
		if len(reg.answered) >= maxAnswered {
			reg.answered, reg.answeredBefore = map[Part]lastAnswer{}, reg.answered
		}
		reg.answered[p] = lastAnswer{a, reg.answered[p].count + 1}
		if r := reg.records[p]; r != nil {
			r.settle(now)
			counted := len(r.counted(now)) >= reg.policy.threshold
			switch {
			case !reg.policy.afterAnswer:
				r.answered = r.answered.with(a)
			case !slices.ContainsFunc(r.exits, a.precedes):
				r.recent = append(r.recent, a)
			}
			changed = reg.ended(r, a) || counted || changed
		}
	}
	if changed {
		reg.update(now)
	}
}

// RecordAnswer records an answer at another daemon, and reports whether it is news.
func (reg *Registry) RecordAnswer(a Answer, now time.Time) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	r := reg.records[a.Part]
	own := answer{group: a.Group, at: a.At}
	if r == nil || !a.At.After(r.announced.at(a.Group)) {
		return false
	}
	news := r.clears(own, 1) || r.delaysTrials(own, reg.policy.threshold, now) || r.until.After(now)
	counted := len(r.counted(now)) >= reg.policy.threshold
	r.announced, r.answered = r.announced.with(own), r.answered.with(own)
	if reg.ended(r, own) || counted {
		reg.update(now)
	}
	r.endedStored = false
	return news
}

// ended ends the confinement of a record that was read from the store if it began before the answer. The
// caller holds reg.mu.
func (reg *Registry) ended(r *record, a answer) bool {
	if r.until.IsZero() || !r.until.Add(-Duration).Before(a.at) {
		return false
	}
	r.until, r.endedStored = time.Time{}, true
	return true
}

// Refresh takes into account which servers have survived their answers by now. It is called several times a
// second; Announcements includes it.
func (reg *Registry) Refresh(now time.Time) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.refresh(now)
}

// refresh is Refresh; the caller holds reg.mu.
func (reg *Registry) refresh(now time.Time) {
	unproven := false
	for _, r := range reg.records {
		unproven = unproven || len(r.recent) > 0 && len(r.exits) >= reg.policy.threshold
		r.settle(now)
	}
	if unproven {
		reg.update(now)
	}
}

// Announcements returns the answers that other daemons do not know of and need to, since they may have
// counted crashes before them. Each is returned once.
func (reg *Registry) Announcements(now time.Time) []Answer {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var out []Answer
	reg.refresh(now)
	for p, r := range reg.records {
		if !r.endedStored && (len(r.exits) < reg.policy.announceFrom || now.Sub(r.last()) > evidenceWindow) {
			continue
		}
		for _, a := range r.proven(now) {
			if !a.at.After(r.announced.at(a.group)) {
				continue
			}
			if r.endedStored || r.clears(a, reg.policy.announceFrom) || r.delaysTrials(a, reg.policy.threshold, now) {
				r.announced, r.endedStored = r.announced.with(a), false
				out = append(out, Answer{Part: p, Group: a.group, At: a.at})
			}
		}
	}
	slices.SortFunc(out, func(a, b Answer) int { return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(a.Group, b.Group)) })
	return out
}

// Suspected reports whether a server has crashed with one of the parts in flight since it was last
// answered.
func (reg *Registry) Suspected(parts []Part, now time.Time) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for _, p := range parts {
		if r := reg.records[p]; r != nil && len(r.counted(now)) > 0 {
			return true
		}
	}
	return false
}

// Evidence returns the recent crashes of the parts that are confined or close to it, and the answers of
// those that were, for daemons that have started since or missed the news.
func (reg *Registry) Evidence(now time.Time) (crashes []Crash, answers []Answer) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var suspected []Part
	for p, r := range reg.records {
		if len(r.exits) < reg.policy.announceFrom || now.Sub(r.last()) > evidenceWindow {
			continue
		}
		if len(r.counted(now)) >= reg.policy.announceFrom {
			suspected = append(suspected, p)
		}
		for _, a := range r.proven(now) {
			if slices.ContainsFunc(r.exits, func(e exit) bool { return !e.at.After(a.at) && a.answersFor(e.group) }) {
				answers = append(answers, Answer{Part: p, Group: a.group, At: a.at})
			}
		}
	}
	slices.SortFunc(suspected, func(a, b Part) int {
		return cmp.Or(cmp.Compare(len(reg.records[b].counted(now)), len(reg.records[a].counted(now))), cmp.Compare(a, b))
	})
	slices.SortFunc(answers, func(a, b Answer) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Part, b.Part), cmp.Compare(a.Group, b.Group))
	})
	for _, p := range suspected[:min(len(suspected), maxEvidence)] {
		exits := reg.records[p].counted(now)
		for _, e := range exits[max(0, len(exits)-evidenceExits):] {
			i := slices.IndexFunc(crashes, func(c Crash) bool {
				return c.Group == e.group && e.sameAs(exit{server: c.Server, at: c.At})
			})
			if i < 0 {
				i, crashes = len(crashes), append(crashes, Crash{Group: e.group, Server: e.server, At: e.at})
			}
			crashes[i].Parts = append(crashes[i].Parts, p)
		}
	}
	return crashes, answers[:min(len(answers), maxEvidenceAnswers)]
}

// Confine applies the confinement of a part that was read from the store, or its end if until is not
// later than now. It reports whether the part is newly confined by it, or for longer.
func (reg *Registry) Confine(p Part, until, now time.Time) bool {
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
	since := until.Add(-Duration)
	r := reg.record(p, exit{at: since}, now)
	if r == nil || !until.After(r.until) || !since.After(r.answeredAt(AnyGroup)) {
		return false
	}
	r.until = until
	reg.update(now)
	return true
}

// Len returns the number of parts with a record.
func (reg *Registry) Len() int {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return len(reg.records)
}

// LastCrash returns the time of the last crash of a part that counts, or zero, and whether the part was ever
// answered here.
func (reg *Registry) LastCrash(p Part, now time.Time) (at time.Time, known bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	r := reg.records[p]
	if r == nil {
		return time.Time{}, reg.answers(p) > 0
	}
	if counted := r.counted(now); len(counted) > 0 {
		at = counted[len(counted)-1].at
	}
	return at, r.known()
}

// Count is the number of crashes of a part.
type Count struct {
	Part    Part
	Crashes int
}

// maxRecent bounds the result of RecentCrashes.
const maxRecent = 64

// RecentCrashes returns the crashes that count and are not longer ago than a quarantine lasts, the highest
// counts if there are many.
func (reg *Registry) RecentCrashes(now time.Time) []Count {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var out []Count
	for p, r := range reg.records {
		recent := slices.DeleteFunc(r.counted(now), func(e exit) bool { return now.Sub(e.at) >= Duration })
		if len(recent) > 0 {
			out = append(out, Count{Part: p, Crashes: len(recent)})
		}
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Part, b.Part))
	})
	return out[:min(len(out), maxRecent)]
}
