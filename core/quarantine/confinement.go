package quarantine

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// knownTrialDelay is when a request may first pass as a trial after the last crash of a part that
	// was answered before, or whose crashes other parts may have caused; newTrialDelay is that of others.
	knownTrialDelay = 2 * time.Second
	newTrialDelay   = 30 * time.Second
	// Servers crash at the same moment if simultaneousExits of them do within sameMoment.
	simultaneousExits = 4
	sameMoment        = 150 * time.Millisecond
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
func (reg *PartRegistry) Confined(parts []Part, now time.Time) (retryAt time.Time, ok bool) {
	c := reg.confined.Load().of(parts, now)
	if c == nil {
		return time.Time{}, false
	}
	return latest(c.TrialFrom, now.Add(time.Second)), true
}

// ConfinedAlone returns the end of the confinement of all requests with a part.
func (reg *PartRegistry) ConfinedAlone(p Part, now time.Time) (until time.Time, ok bool) {
	c := reg.confined.Load().of([]Part{p}, now)
	if c == nil {
		return time.Time{}, false
	}
	return c.Until, true
}

// TakeTrial reports whether a confined request may pass as a trial: its answer would end the
// confinement. It may be sent to one server.
func (reg *PartRegistry) TakeTrial(parts []Part, now time.Time) bool {
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
		if c.ambiguous && set.crashes(parts) {
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
func (reg *PartRegistry) Confinements(now time.Time) []Confinement {
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

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// candidate is a part with as many crashes as a confinement takes.
type candidate struct {
	part   Part
	record *partRecord
	exits  []exit
	// left are the exits that no confinement explains yet.
	left []exit
	// known is set if the part was answered before its crashes.
	known    bool
	confined bool
}

// update determines the confinements by the smallest set of parts that explains the crashes: the part
// with the most crashes first, those that were never answered before others. The caller holds reg.mu.
func (reg *PartRegistry) update(now time.Time) {
	candidates, stored := reg.candidates(now)
	set := &confinements{byPart: map[Part][]*Confinement{}, causes: causes(candidates)}
	reg.confineCauses(set, candidates)
	// Other parts explain the crashes of the rest. That may be chance, and those that were never
	// answered are as likely a cause.
	for _, c := range candidates {
		if !c.confined && !c.known {
			set.add(reg.confinement([]*candidate{c}, candidates))
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
func (reg *PartRegistry) storedConfinement(p Part, now time.Time) *Confinement {
	r := reg.records[p]
	since := r.until.Add(-Duration)
	return &Confinement{Parts: []Part{p}, Crashes: len(r.counted(now)), Since: since, Until: r.until, TrialFrom: since.Add(newTrialDelay + reg.trialDelay(p)), trialAt: r.trialAt}
}

// confineCauses confines the parts that explain most crashes, until the rest explains too few. The
// caller holds reg.mu.
func (reg *PartRegistry) confineCauses(set *confinements, candidates []*candidate) {
	for best := bestOf(candidates); best != nil; best = bestOf(candidates) {
		cause := []*candidate{best}
		for _, c := range candidates {
			if c != best && !c.confined && c.known == best.known && sameExits(c.exits, best.exits) {
				cause = append(cause, c)
			}
		}
		set.add(reg.confinement(cause, candidates))
		for _, c := range candidates {
			c.left = slices.DeleteFunc(c.left, func(e exit) bool { return slices.ContainsFunc(best.exits, e.sameAs) })
		}
	}
}

// add adds a confinement if there are not too many.
func (set *confinements) add(c *Confinement) {
	if len(set.all) >= maxConfinements {
		return
	}
	set.all = append(set.all, c)
	set.byPart[c.Parts[0]] = append(set.byPart[c.Parts[0]], c)
}

// candidates returns the parts with as many crashes as a confinement takes, and the parts whose
// confinement was read from the store, each in a fixed order. The caller holds reg.mu.
func (reg *PartRegistry) candidates(now time.Time) (out []*candidate, stored []Part) {
	for p, r := range reg.records {
		if now.Before(r.until) {
			stored = append(stored, p)
		}
		exits, known := r.counted(now), !r.answeredAt.IsZero()
		if known && len(exits) >= PartCrashThreshold {
			exits = mergeSimultaneous(exits)
		}
		if len(exits) < PartCrashThreshold {
			continue
		}
		out = append(out, &candidate{part: p, record: r, exits: exits, left: slices.Clone(exits), known: known})
	}
	slices.Sort(stored)
	slices.SortFunc(out, func(a, b *candidate) int { return cmp.Compare(a.part, b.part) })
	return out, stored
}

// causes returns for each crash the candidates that were in flight there.
func causes(candidates []*candidate) (out [][]Part) {
	var exits []exit
	for _, c := range candidates {
		for _, e := range c.exits {
			i := slices.IndexFunc(exits, e.sameAs)
			if i < 0 {
				i, exits, out = len(exits), append(exits, e), append(out, nil)
			}
			out[i] = append(out[i], c.part)
		}
	}
	return out
}

// bestOf returns the candidate that explains most crashes and marks it, or returns nil if none is a
// cause.
func bestOf(candidates []*candidate) *candidate {
	var best *candidate
	for _, c := range candidates {
		need := PartCrashThreshold
		if !c.known {
			need = minUnexplained
		}
		if !c.confined && len(c.left) >= need && (best == nil || c.precedes(best)) {
			best = c
		}
	}
	if best != nil {
		best.confined = true
	}
	return best
}

// precedes reports whether a candidate is the more likely cause of two.
func (c *candidate) precedes(other *candidate) bool {
	a, b := !c.known && len(c.left) >= PartCrashThreshold, !other.known && len(other.left) >= PartCrashThreshold
	if a != b {
		return a
	}
	return len(c.left) > len(other.left)
}

// sameExits reports whether two parts were in flight at the same crashes.
func sameExits(a, b []exit) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(e exit) bool { return !slices.ContainsFunc(b, e.sameAs) })
}

// explainedByOthers reports whether each crash of a candidate may have had another cause: another
// candidate, or whatever made several servers crash at the same moment.
func (c *candidate) explainedByOthers(candidates []*candidate) bool {
	for i, e := range c.exits {
		if simultaneous(c.exits, i) {
			continue
		}
		if !slices.ContainsFunc(candidates, func(o *candidate) bool { return o != c && slices.ContainsFunc(o.exits, e.sameAs) }) {
			return false
		}
	}
	return true
}

// simultaneous reports whether several servers crashed at the same moment as in one of the exits.
func simultaneous(exits []exit, i int) bool {
	n := 0
	for _, e := range exits {
		if e.at.Sub(exits[i].at).Abs() <= sameMoment {
			n++
		}
	}
	return n >= simultaneousExits
}

// mergeSimultaneous returns the exits with one of each group that happened at the same moment. A part
// that was answered before is in flight at many servers when most of them crash for another reason.
func mergeSimultaneous(exits []exit) []exit {
	var out []exit
	for i, e := range exits {
		if n := len(out); n == 0 || !simultaneous(exits, i) || e.at.Sub(out[n-1].at) > sameMoment {
			out = append(out, e)
		}
	}
	return out
}

// confinement returns the confinement of parts that were in flight at the same crashes. The caller holds
// reg.mu.
func (reg *PartRegistry) confinement(cause, candidates []*candidate) *Confinement {
	first := cause[0]
	for _, c := range cause {
		c.confined = true
	}
	since, last := first.exits[PartCrashThreshold-1].at, first.exits[len(first.exits)-1].at
	out := &Confinement{Crashes: len(first.exits), Since: since, Until: last.Add(Duration), trialAt: first.record.trialAt}
	for _, c := range cause {
		out.Parts = append(out.Parts, c.part)
	}
	out.ambiguous = len(cause) == 1 && first.explainedByOthers(candidates)
	delay := newTrialDelay
	if first.known || out.ambiguous {
		delay = knownTrialDelay
	}
	counted := since.Add(trialCrashAfter - TrialSpacing)
	for _, e := range first.exits {
		if e.at.Sub(counted) > TrialSpacing {
			delay, counted = min(delay*trialBackoff, Duration), e.at
		}
	}
	out.TrialFrom = last.Add(delay + reg.trialDelay(first.part))
	return out
}

// trialDelay returns how much later than others this daemon may let a trial pass.
func (reg *PartRegistry) trialDelay(p Part) time.Duration {
	if reg.TrialDelay == nil {
		return 0
	}
	return reg.TrialDelay(p)
}
