package quarantine

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// seenTrialDelay is how much later a request may pass that has all parts of which one has caused a
	// crash: the answer to one without them shows more.
	seenTrialDelay = 8 * time.Second
	// trialBackoff multiplies the delay for each trial that ended in a crash.
	trialBackoff = 3
	// trialCrashAfter is how long after the confinement began crashes are those of trials: requests in
	// flight at that time may still crash servers.
	trialCrashAfter = 3 * time.Second
	// TrialSpacing is the time between the trials of two daemons: a crash is known to all by then.
	TrialSpacing = 5 * time.Second
)

// Confinement keeps requests that have all of its parts from the servers.
type Confinement struct {
	// Parts are more than one as long as they were in flight at the same crashes and none was answered.
	Parts   []Part
	Crashes int
	Since   time.Time
	Until   time.Time
	// TrialFrom is when the next request may pass as a trial.
	TrialFrom time.Time

	trialAt *atomic.Int64
	// ambiguous is set if other parts may have caused all its crashes.
	ambiguous bool
}

// confinements are those in force. They are immutable.
type confinements struct {
	all []*Confinement
	// byPart has the confinements by their first part.
	byPart map[Part][]*Confinement
	// causes has for each crash the parts with as many crashes as a confinement takes, of which one has
	// caused it.
	causes [][]Part
	// most is the largest number of confinements.
	most int
}

// in reports whether a request has all parts of the confinement.
func (c *Confinement) in(parts []Part) bool {
	for _, p := range c.Parts {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

// of returns the confinement of a request, or nil.
func (set *confinements) of(parts []Part, now time.Time) *Confinement {
	if set == nil {
		return nil
	}
	for _, p := range parts {
		for _, c := range set.byPart[p] {
			if now.Before(c.Until) && c.in(parts) {
				return c
			}
		}
	}
	return nil
}

// Confined returns when a request with these parts may next pass, if it is confined.
func (reg *Registry) Confined(parts []Part, now time.Time) (retryAt time.Time, ok bool) {
	c := reg.confined.Load().of(parts, now)
	if c == nil {
		return time.Time{}, false
	}
	return earliest(latest(c.TrialFrom, now.Add(time.Second)), c.Until), true
}

// ConfinedAlone returns the end of the confinement of all requests with a part.
func (reg *Registry) ConfinedAlone(p Part, now time.Time) (until time.Time, ok bool) {
	c := reg.confined.Load().of([]Part{p}, now)
	if c == nil {
		return time.Time{}, false
	}
	return c.Until, true
}

// TakeTrial reports whether a confined request may pass as a trial: its answer would end the
// confinement. It may be sent to one server.
func (reg *Registry) TakeTrial(parts []Part, now time.Time) bool {
	set := reg.confined.Load()
	if set == nil {
		return false
	}
	var due *Confinement
	for _, c := range set.all {
		if !now.Before(c.Until) || !c.in(parts) {
			continue
		}
		from := c.TrialFrom
		if c.ambiguous && reg.policy.joint && set.crashes(parts) {
			from = from.Add(seenTrialDelay)
		}
		switch {
		case !now.Before(from):
			due = c
		case !c.ambiguous:
			return false
		}
	}
	if due == nil {
		return false
	}
	last := due.trialAt.Load()
	return now.UnixNano()-last >= int64(TrialSpacing) && due.trialAt.CompareAndSwap(last, now.UnixNano())
}

// crashes reports whether a request has all parts of which one has caused a crash.
func (set *confinements) crashes(parts []Part) bool {
	return slices.ContainsFunc(set.causes, func(cause []Part) bool {
		return !slices.ContainsFunc(cause, func(p Part) bool { return !slices.Contains(parts, p) })
	})
}

// Confinements returns the confinements in force.
func (reg *Registry) Confinements(now time.Time) []Confinement {
	set := reg.confined.Load()
	if set == nil {
		return nil
	}
	var out []Confinement
	for _, c := range set.all {
		if now.Before(c.Until) {
			out = append(out, *c)
		}
	}
	return out
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// candidate is a part with as many crashes as a confinement takes.
type candidate struct {
	part   Part
	record *record
	exits  []exit
	// left are the exits that no confinement explains yet.
	left []exit
	// unexplained is how many of these count.
	unexplained int
	// known is set if the part was answered before its crashes.
	known bool
	// answers is how many answers to the part this daemon has seen of late.
	answers  int
	confined bool
}

// update determines the confinements by the smallest set of parts that explains the crashes: the part
// with the most crashes first, those that were never answered before others. The caller holds reg.mu.
func (reg *Registry) update(now time.Time) {
	candidates, stored := reg.candidates(now)
	index := indexExits(candidates)
	set := &confinements{byPart: map[Part][]*Confinement{}, causes: index.causes(), most: reg.policy.maxConfinements}
	reg.confineCauses(set, candidates, index)
	// Other parts explain the crashes of the rest. That may be chance, and those that were never
	// answered are as likely a cause.
	for _, c := range candidates {
		if !c.confined && !c.known {
			set.add(reg.confinement([]*candidate{c}, index))
		}
	}
	for _, p := range stored {
		if !slices.ContainsFunc(candidates, func(c *candidate) bool { return c.part == p }) {
			set.add(reg.storedConfinement(p, now))
		}
	}
	if len(set.all) == 0 {
		set = nil
	}
	reg.confined.Store(set)
}

// storedConfinement returns the confinement of a part that was read from the store. The caller holds
// reg.mu.
func (reg *Registry) storedConfinement(p Part, now time.Time) *Confinement {
	r := reg.records[p]
	since := r.until.Add(-Duration)
	return &Confinement{Parts: []Part{p}, Crashes: len(r.counted(now)), Since: since, Until: r.until, TrialFrom: since.Add(reg.policy.newTrialDelay + reg.trialDelay(p)), trialAt: r.trialAt}
}

// confineCauses confines the parts that explain most crashes, until the rest explains too few. The
// caller holds reg.mu.
func (reg *Registry) confineCauses(set *confinements, candidates []*candidate, index exitIndex) {
	for best := reg.policy.bestOf(candidates); best != nil; best = reg.policy.bestOf(candidates) {
		cause := []*candidate{best}
		for _, c := range candidates {
			if reg.policy.joint && c != best && !c.confined && c.known == best.known && sameExits(c.exits, best.exits) {
				cause = append(cause, c)
			}
		}
		set.add(reg.confinement(cause, index))
		for _, e := range best.exits {
			for _, c := range index.at(e) {
				c.left = slices.DeleteFunc(c.left, e.sameAs)
				c.unexplained = reg.policy.count(c.left, c.known)
			}
		}
	}
}

// add adds a confinement if there are not too many.
func (set *confinements) add(c *Confinement) {
	if len(set.all) >= set.most {
		return
	}
	set.all = append(set.all, c)
	set.byPart[c.Parts[0]] = append(set.byPart[c.Parts[0]], c)
}

// candidates returns the parts with as many crashes as a confinement takes, and the parts whose
// confinement was read from the store, each in a fixed order. The caller holds reg.mu.
func (reg *Registry) candidates(now time.Time) (out []*candidate, stored []Part) {
	for p, r := range reg.records {
		if now.Before(r.until) {
			stored = append(stored, p)
		}
		if len(r.exits) < reg.policy.threshold {
			continue
		}
		exits, known := r.counted(now), r.known()
		n := reg.policy.count(exits, known)
		if n < reg.policy.threshold {
			continue
		}
		out = append(out, &candidate{part: p, record: r, exits: exits, left: slices.Clone(exits), unexplained: n, known: known, answers: reg.answers(p)})
	}
	slices.Sort(stored)
	slices.SortFunc(out, func(a, b *candidate) int { return cmp.Compare(a.part, b.part) })
	return out, stored
}

// exitIndex holds by server the crashes of candidates and who was in flight there.
type exitIndex map[uint64][]crashOf

// crashOf is a crash with the candidates that were in flight there.
type crashOf struct {
	exit       exit
	candidates []*candidate
}

func indexExits(candidates []*candidate) exitIndex {
	index := exitIndex{}
	for _, c := range candidates {
		for _, e := range c.exits {
			crashes := index[e.server]
			i := slices.IndexFunc(crashes, func(o crashOf) bool { return e.sameAs(o.exit) })
			if i < 0 {
				index[e.server] = append(crashes, crashOf{e, []*candidate{c}})
				continue
			}
			crashes[i].candidates = append(crashes[i].candidates, c)
		}
	}
	return index
}

// at returns the candidates that were in flight at a crash.
func (index exitIndex) at(e exit) []*candidate {
	crashes := index[e.server]
	if i := slices.IndexFunc(crashes, func(o crashOf) bool { return e.sameAs(o.exit) }); i >= 0 {
		return crashes[i].candidates
	}
	return nil
}

// causes returns for each crash the candidates that were in flight there.
func (index exitIndex) causes() (out [][]Part) {
	for _, crashes := range index {
		for _, crash := range crashes {
			var parts []Part
			for _, c := range crash.candidates {
				parts = append(parts, c.part)
			}
			out = append(out, parts)
		}
	}
	return out
}

// bestOf returns the candidate that explains most crashes and marks it, or returns nil if none is a
// cause.
func (p policy) bestOf(candidates []*candidate) *candidate {
	var best *candidate
	for _, c := range candidates {
		need := p.threshold
		if !c.known {
			need = minUnexplained
		}
		if !c.confined && c.unexplained >= need && (best == nil || c.precedes(best, p.threshold)) {
			best = c
		}
	}
	if best != nil {
		best.confined = true
	}
	return best
}

// precedes reports whether a candidate is the more likely cause of two.
func (c *candidate) precedes(other *candidate, threshold int) bool {
	a, b := !c.known && len(c.left) >= threshold, !other.known && len(other.left) >= threshold
	if a != b {
		return a
	}
	if m, n := len(c.left), len(other.left); m != n {
		return m > n
	}
	// One that is answered more often is more often in flight when a server crashes for another reason.
	return c.answers < other.answers
}

// sameExits reports whether two parts were in flight at the same crashes.
func sameExits(a, b []exit) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(e exit) bool { return !slices.ContainsFunc(b, e.sameAs) })
}

// explainedByOthers reports whether each crash of a candidate may have had another cause: another
// candidate, or whatever made several servers crash at the same moment.
func (p policy) explainedByOthers(c *candidate, index exitIndex) bool {
	for i, e := range c.exits {
		if !p.simultaneous(c.exits, i) && len(index.at(e)) < 2 {
			return false
		}
	}
	return true
}

// simultaneous reports whether several servers crashed at the same moment as in one of the exits.
func (p policy) simultaneous(exits []exit, i int) bool {
	n := 0
	for _, e := range exits {
		if e.at.Sub(exits[i].at).Abs() <= p.moment {
			n++
		}
	}
	return n >= p.simultaneousExits
}

// count returns the number of exits. Of those that happened at the same moment one counts for a part that
// was answered before, which is in flight at many servers when most of them crash for another reason.
func (p policy) count(exits []exit, known bool) int {
	if !known || len(exits) < p.threshold {
		return len(exits)
	}
	return len(p.mergeSimultaneous(exits))
}

// mergeSimultaneous returns the exits with one of each group that happened at the same moment.
func (p policy) mergeSimultaneous(exits []exit) []exit {
	var out []exit
	for i, e := range exits {
		if n := len(out); n > 0 && p.simultaneous(exits, i) && e.at.Sub(out[n-1].at) <= p.moment {
			continue
		}
		out = append(out, e)
	}
	return out
}

// confinement returns the confinement of parts that were in flight at the same crashes. The caller holds
// reg.mu.
func (reg *Registry) confinement(cause []*candidate, index exitIndex) *Confinement {
	first := cause[0]
	since, last := first.exits[reg.policy.threshold-1].at, first.exits[len(first.exits)-1].at
	out := &Confinement{Crashes: len(first.exits), Since: since, Until: latest(last.Add(Duration), first.record.until), trialAt: first.record.trialAt}
	for _, c := range cause {
		c.confined = true
		out.Parts = append(out.Parts, c.part)
	}
	out.ambiguous = len(cause) == 1 && reg.policy.explainedByOthers(first, index)
	delay := reg.policy.newTrialDelay
	if first.known || out.ambiguous {
		delay = reg.policy.knownTrialDelay
	}
	counted := since.Add(trialCrashAfter - TrialSpacing)
	for _, e := range first.exits {
		if e.at.Sub(counted) > TrialSpacing {
			delay, counted = min(delay*trialBackoff, Duration), e.at
		}
	}
	from := last.Add(delay)
	if other := first.record.answeredAt(AnyGroup); other.After(last) {
		// Servers of other groups answer the request.
		from = latest(from, other.Add((trialBackoff-1)*other.Sub(last)))
	}
	out.TrialFrom = from.Add(reg.trialDelay(first.part))
	return out
}

// trialDelay returns how much later than others this daemon may let a trial pass.
func (reg *Registry) trialDelay(p Part) time.Duration {
	if reg.TrialDelay == nil {
		return 0
	}
	return reg.TrialDelay(p)
}
