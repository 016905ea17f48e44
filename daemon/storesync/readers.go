package storesync

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Who reads the store. In each data hall one daemon does, and tells the others:
// the first one that answers, in the order of capacity and a hash of the ids.
// Nobody is elected; a daemon that hears nothing from those before it reads for
// itself, which costs calls and does no harm.
//
// While the store does not answer the readers, the daemons of a hall try it in turns
// as what they know grows older: one, then one more, then two, four, and so on, so
// that all have tried within turnsWithin, however many they are. One that the store
// answers tells its hall so, and is asked at once.
//
// What a daemon knows of the configuration is so at most 3.5 s old as long as the store
// serves one of its hall, with the standard time in which a configuration is in force:
// usefulAge, 1.2 s, until it looks for another reader; 0.65 s by which the one that
// tries may have heard of it later (a call and the gathering after it); turnsWithin, 1.25
// s; and 0.4 s for two ticks, the call, and the question that follows.
const (
	// queryInterval is the time between two questions to the hall's reader: what is
	// known is older by it than at the reader.
	queryInterval = 450 * time.Millisecond
	// answerTimeout is how long a reader has to answer, so that one question may
	// be lost on its way. With the time between questions it bounds how long a
	// change may be missed when a reader fails.
	answerTimeout = 2*queryInterval + 150*time.Millisecond
	// firstAnswerTimeout is how long it has to answer the first time: all daemons
	// of a hall that starts make their connections at once.
	firstAnswerTimeout = 2500 * time.Millisecond
	// usableAgeSlack is added to the age of two calls, up to which a reader's
	// knowledge is good enough: a reader that the store answers is not older.
	usableAgeSlack = 200 * time.Millisecond
	// probeInterval is the time between two questions to a daemon that has not
	// answered.
	probeInterval = 2 * time.Second
	// allTurnsWithin is how much older what is known may grow until the last of a hall
	// tries the store, turnAtMost how much from one turn to the next: a small hall
	// need not hurry.
	allTurnsWithin  = 1250 * time.Millisecond
	maxTurnInterval = 450 * time.Millisecond
	// skipSilentAfter is how long a daemon must have been silent for its turn to be
	// passed over.
	skipSilentAfter = 5 * time.Second
	// aloneTimeout is how long nobody must have answered for a daemon to count on
	// itself alone.
	aloneTimeout = 2 * answerTimeout
	// extraQueries is how many more daemons are asked at once when none is known to
	// read.
	extraQueries = 3
)

// readers decides whether this daemon reads the store, and whom it asks
// otherwise. It belongs to the keeper's goroutine.
type readers struct {
	self Member
	// maxUsableAge is the age up to which a reader's knowledge is good enough.
	maxUsableAge time.Duration
	// preceding are the daemons of the own hall that go preceding this one, in order.
	preceding []Member
	// hallSize is how many daemons the own hallSize has.
	hallSize int
	// silent are daemons that did not answer, by since when; useless are those
	// that answer and know nothing useful.
	silent map[string]time.Time
	stale  map[string]bool
	// awaiting is since when an answer of a daemon is due.
	awaiting map[string]time.Time
	asked    map[string]time.Time
	// answered are daemons that have answered since they last were silent.
	answered map[string]bool
	// hadReader tells that a daemon has once told something useful, heardAt when one
	// last told anything.
	hadReader bool
	heardAt   time.Time
	// round moves the order in which daemons are asked.
	round int
}

func newReaders() *readers {
	return &readers{silent: map[string]time.Time{}, stale: map[string]bool{}, awaiting: map[string]time.Time{}, asked: map[string]time.Time{}, answered: map[string]bool{}}
}

// rank orders daemons for reading: the most capable first, then by hash.
func rank(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
}

// setMembers takes the setMembers of daemons.
func (r *readers) setMembers(members map[string]Member) {
	r.preceding, r.hallSize = nil, 0
	for _, m := range members {
		if m.Hall != r.self.Hall {
			continue
		}
		r.hallSize++
		if m.ID != r.self.ID && rank(m, r.self) < 0 {
			r.preceding = append(r.preceding, m)
		}
	}
	slices.SortFunc(r.preceding, rank)
}

// reader returns the daemon that reads for this one; ok is false if there is
// none.
func (r *readers) reader() (Member, bool) {
	for _, m := range r.preceding {
		if !r.isSilent(m.ID) && !r.stale[m.ID] {
			return m, true
		}
	}
	return Member{}, false
}

// isFirst reports whether no daemon of the hall that may answer goes before this one.
func (r *readers) isFirst() bool {
	return !slices.ContainsFunc(r.preceding, func(m Member) bool { return !r.isSilent(m.ID) })
}

func (r *readers) isSilent(id string) bool {
	_, silent := r.silent[id]
	return silent
}

// mayRead reports whether it is this daemon's turn to read the store, by the age
// of what it knows.
func (r *readers) mayRead(age time.Duration, now time.Time) bool {
	if r.hadReader && now.Sub(r.heardAt) > aloneTimeout {
		return true
	}
	if m, ok := r.reader(); ok && r.answered[m.ID] {
		return false
	}
	answering, between := r.countPreceding(now)
	if !r.hadReader {
		// At its start a daemon cannot tell which of the listed are there.
		between = 0
	}
	return answering == 0 || age > r.maxUsableAge+time.Duration(turn(between))*r.turnInterval()
}

// countPreceding counts the daemons before this one that may answer, and those whose turn to
// try the store comes between the first of them and this one.
func (r *readers) countPreceding(now time.Time) (answering, between int) {
	between = -1
	for _, m := range r.preceding {
		since, silent := r.silent[m.ID]
		if !silent {
			answering++
		}
		if !silent || now.Sub(since) < skipSilentAfter {
			between++
		}
	}
	return answering, max(0, between)
}

// turn is the number of the turn in which a daemon tries the store: those of 0, 1, 2 or
// 3, 4 to 7 daemons before it, and so on.
func turn(between int) int { return bits.Len(uint(between)) }

// turnInterval is how much older what is known grows from one turn to the next.
func (r *readers) turnInterval() time.Duration {
	return min(maxTurnInterval, allTurnsWithin/time.Duration(max(1, turn(max(0, r.hallSize-2)))))
}

// passive reports whether so many daemons try the store before this one that it may
// leave trying again to them: whoever is answered tells the others.
func (r *readers) passive(now time.Time) bool {
	_, between := r.countPreceding(now)
	return turn(between) >= passiveTurn
}

// passiveTurn is the turn from which daemons seldom try again: three in a hall keep
// looking for a store that is away.
const passiveTurn = 2

// queryTargets returns the daemons to ask now, by the age of what this one knows: the
// reader, and those that were silent or useless now and then. Without a reader
// that is known to answer, some of those whose turn to try the store has come are
// asked as often as it would be.
func (r *readers) queryTargets(age time.Duration, now time.Time) []Member {
	reader, ok := r.reader()
	settled := ok && r.answered[reader.ID]
	trying := r.turnTakers(age)
	var out []Member
	for _, m := range r.preceding {
		every := probeInterval
		switch {
		case ok && m.ID == reader.ID, !settled && trying[m.ID]:
			every = queryInterval
		case !r.isSilent(m.ID) && !r.stale[m.ID]:
			continue
		}
		if now.Sub(r.asked[m.ID]) >= every {
			out = append(out, m)
		}
	}
	return out
}

// turnTakers returns askOfMore of the daemons whose turn to try the store has come,
// other ones each time.
func (r *readers) turnTakers(age time.Duration) map[string]bool {
	var turn []string
	most := extraQueries + 1<<int(max(0, age-r.maxUsableAge)/r.turnInterval())
	for _, m := range r.preceding {
		if !r.isSilent(m.ID) && len(turn) < most {
			turn = append(turn, m.ID)
		}
	}
	out := map[string]bool{}
	for range min(extraQueries, len(turn)) {
		r.round++
		out[turn[r.round%len(turn)]] = true
	}
	return out
}

// recordQuery notes that a daemon is asked now.
func (r *readers) recordQuery(id string, now time.Time) {
	r.asked[id] = now
	if _, waits := r.awaiting[id]; !waits {
		r.awaiting[id] = now
	}
}

// recordAnswer notes an answer, how old what it tells is, and whether who tells it is cut off
// from the store: what such a one has heard from others is no base for a hall.
func (r *readers) recordAnswer(id string, age time.Duration, cut bool, now time.Time) {
	r.heardAt = now
	delete(r.awaiting, id)
	delete(r.silent, id)
	r.answered[id] = true
	r.stale[id] = cut || age > r.maxUsableAge
	r.hadReader = r.hadReader || !r.stale[id]
}

// expire notes the daemons whose answer is overdue. It returns those that were
// not silent before, and those that still are.
func (r *readers) expire(now time.Time) (fresh, still []string) {
	for id, since := range r.awaiting {
		within := answerTimeout
		if !r.answered[id] {
			within = firstAnswerTimeout
		}
		if now.Sub(since) < within {
			continue
		}
		delete(r.awaiting, id)
		delete(r.answered, id)
		if r.isSilent(id) {
			still = append(still, id)
			continue
		}
		r.silent[id] = now
		fresh = append(fresh, id)
	}
	return fresh, still
}
