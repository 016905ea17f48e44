package quarantine

import (
	"slices"
	"sync/atomic"
	"time"
)

// exit is the crash of a server as one part's record has it.
type exit struct {
	server uint64
	group  Group
	at     time.Time
}

func (e exit) sameAs(other exit) bool {
	return e.server == other.server && e.at.Sub(other.at).Abs() < sameCrash
}

// answer is a complete answer by a server of a group.
type answer struct {
	group  Group
	server uint64
	at     time.Time
}

// answersFor reports whether the answer says something of crashes in a group.
func (a answer) answersFor(g Group) bool {
	return a.group == g || a.group == AnyGroup || g == AnyGroup
}

// latestAnswers holds the latest answer of each group.
type latestAnswers []answer

// at returns the time of the latest answer that says something of crashes in a group, or zero.
func (as latestAnswers) at(g Group) time.Time {
	var at time.Time
	for _, a := range as {
		if a.answersFor(g) {
			at = latest(at, a.at)
		}
	}
	return at
}

// with returns the answers with a further one. Of more than maxGroups groups the earliest answer is dropped.
func (as latestAnswers) with(a answer) latestAnswers {
	if i := slices.IndexFunc(as, func(o answer) bool { return o.group == a.group }); i >= 0 {
		if a.at.After(as[i].at) {
			as[i] = a
		}
		return as
	}
	as = append(as, a)
	if len(as) > maxGroups {
		as = slices.Delete(as, oldest(as), oldest(as)+1)
	}
	return as
}

func oldest(as []answer) int {
	first := 0
	for i, a := range as {
		if a.at.Before(as[first].at) {
			first = i
		}
	}
	return first
}

// record holds what is known of a part that was in flight at a crash.
type record struct {
	// exits are in the order of their times. Those before the last answer of their group do not count.
	exits []exit
	// recent are answers whose servers may yet turn out to have crashed right after them, answered
	// the latest ones of servers that have not.
	recent   []answer
	answered latestAnswers
	// announced are the latest answers that all daemons know of.
	announced latestAnswers
	// until is the end of a confinement that was read from the store, or zero.
	until time.Time
	// endedStored is set if an answer here has ended such a confinement, and other daemons do not know.
	endedStored bool
	// trialAt is when a trial was last let pass, in Unix nanoseconds.
	trialAt *atomic.Int64
}

// answeredAt returns the time of the last answer that says something of crashes in a group.
func (r *record) answeredAt(g Group) time.Time {
	return latest(r.answered.at(g), latestAnswers(r.recent).at(g))
}

// known reports whether the part was ever answered.
func (r *record) known() bool { return len(r.answered)+len(r.recent) > 0 }

// counted returns the exits that count: those since the last complete answer of their group, within
// rememberFor. Answers whose servers may yet crash under the request do not clear more exits than they are
// themselves: a request whose servers crash right after they have answered it always has some.
func (r *record) counted(now time.Time) []exit {
	pending := 0
	for _, a := range r.recent {
		if !a.proven(now) {
			pending++
		}
	}
	if exits := r.exitsSince(r.proven(now), now); len(exits) > pending || pending == 0 {
		return exits
	}
	return r.exitsSince(r.latestAnswers(), now)
}

// proven reports whether the server would be known to have crashed under the request.
func (a answer) proven(now time.Time) bool { return now.Sub(a.at) > answeredDelay }

// proven returns the latest answers of each group whose servers are known to have survived them.
func (r *record) proven(now time.Time) latestAnswers {
	out := slices.Clone(r.answered)
	for _, a := range r.recent {
		if a.proven(now) {
			out = out.with(a)
		}
	}
	return out
}

// exitsSince returns the exits since the answers of their groups, within rememberFor.
func (r *record) exitsSince(answers latestAnswers, now time.Time) []exit {
	var out []exit
	for _, e := range r.exits {
		if now.Sub(e.at) <= rememberFor && e.at.After(answers.at(e.group)) {
			out = append(out, e)
		}
	}
	return out
}

// add adds an exit and reports whether it is new. One before all that are kept is not: it may have been
// dropped, and would be passed on between daemons again and again.
func (r *record) add(e exit) bool {
	if len(r.exits) >= maxCrashes && e.at.Before(r.exits[0].at) {
		return false
	}
	if i := slices.IndexFunc(r.exits, e.sameAs); i >= 0 {
		if r.exits[i].group != AnyGroup || e.group == AnyGroup {
			return false
		}
		r.exits[i].group = e.group
		return true
	}
	r.exits = append(r.exits, e)
	slices.SortFunc(r.exits, func(a, b exit) int { return a.at.Compare(b.at) })
	if len(r.exits) > maxCrashes {
		r.exits = slices.Delete(r.exits, 0, 1)
	}
	return true
}

// withdraw drops the answers that a server gave a moment before it crashed, and reports whether there are
// any.
func (r *record) withdraw(e exit) bool {
	n := len(r.recent)
	r.recent = slices.DeleteFunc(r.recent, func(a answer) bool { return a.precedes(e) })
	return len(r.recent) < n
}

// precedes reports whether the server crashed so shortly after the answer that it may have crashed under
// the request.
func (a answer) precedes(e exit) bool {
	return a.server == e.server && e.at.Sub(a.at).Abs() <= answeredDelay
}

// settle moves the answers whose servers would be known to have crashed to those of servers that have not.
func (r *record) settle(now time.Time) {
	settled := 0
	for i, a := range r.recent {
		if now.Sub(a.at) > reportDelay || len(r.recent)-i > maxRecentAnswers {
			r.answered = r.answered.with(a)
			settled = i + 1
		}
	}
	r.recent = slices.Delete(r.recent, 0, settled)
}

// latestAnswers returns the latest answers of each group.
func (r *record) latestAnswers() latestAnswers {
	out := slices.Clone(r.answered)
	for _, a := range r.recent {
		out = out.with(a)
	}
	return out
}

// last returns the time of the last exit, or zero.
func (r *record) last() time.Time {
	if len(r.exits) == 0 {
		return time.Time{}
	}
	return r.exits[len(r.exits)-1].at
}

// clears reports whether an answer clears that many of the exits that other daemons count.
func (r *record) clears(a answer, atLeast int) bool {
	n := 0
	for _, e := range r.exits {
		if e.at.After(r.announced.at(e.group)) && !e.at.After(a.at) && a.answersFor(e.group) {
			n++
		}
	}
	return n >= atLeast
}

// delaysTrials reports whether an answer came during a confinement that it does not end, from a server of
// another group. The next trial is later for it.
func (r *record) delaysTrials(a answer, threshold int, now time.Time) bool {
	return a.at.After(r.last()) && len(r.counted(now)) >= threshold
}
