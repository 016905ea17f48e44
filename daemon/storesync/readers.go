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
	// askEvery is the time between two questions to the hall's reader: what is
	// known is older by it than at the reader.
	askEvery = 450 * time.Millisecond
	// answerWithin is how long a reader has to answer, so that one question may
	// be lost on its way. With the time between questions it bounds how long a
	// change may be missed when a reader fails.
	answerWithin = 2*askEvery + 150*time.Millisecond
	// acquaintWithin is how long it has to answer the first time: all daemons
	// of a hall that starts make their connections at once.
	acquaintWithin = 2500 * time.Millisecond
	// usefulSlack is added to the age of two calls, up to which a reader's
	// knowledge is good enough: a reader that the store answers is not older.
	usefulSlack = 200 * time.Millisecond
	// probeEvery is the time between two questions to a daemon that has not
	// answered.
	probeEvery = 2 * time.Second
	// turnsWithin is how much older what is known may grow until the last of a hall
	// tries the store, turnAtMost how much from one turn to the next: a small hall
	// need not hurry.
	turnsWithin = 1250 * time.Millisecond
	turnAtMost  = 450 * time.Millisecond
	// longGone is how long a daemon must have been silent for its turn to be
	// passed over.
	longGone = 5 * time.Second
	// aloneAfter is how long nobody must have answered for a daemon to count on
	// itself alone.
	aloneAfter = 2 * answerWithin
	// askOfMore is how many more daemons are asked at once when none is known to
	// read.
	askOfMore = 3
)

// readers decides whether this daemon reads the store, and whom it asks
// otherwise. It belongs to the keeper's goroutine.
type readers struct {
	self Member
	// usefulAge is the age up to which a reader's knowledge is good enough.
	usefulAge time.Duration
	// before are the daemons of the own hall that go before this one, in order.
	before []Member
	// hall is how many daemons the own hall has.
	hall int
	// silent are daemons that did not answer, by since when; useless are those
	// that answer and know nothing useful.
	silent  map[string]time.Time
	useless map[string]bool
	// waiting is since when an answer of a daemon is due.
	waiting map[string]time.Time
	asked   map[string]time.Time
	// acquainted are daemons that have answered since they last were silent.
	acquainted map[string]bool
	// met tells that a daemon has once told something useful, heardAt when one
	// last told anything.
	met     bool
	heardAt time.Time
	// round moves the order in which daemons are asked.
	round int
}

func newReaders() *readers {
	return &readers{silent: map[string]time.Time{}, useless: map[string]bool{}, waiting: map[string]time.Time{}, asked: map[string]time.Time{}, acquainted: map[string]bool{}}
}

// rank orders daemons for reading: the most capable first, then by hash.
func rank(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
}

// list takes the list of daemons.
func (r *readers) list(members map[string]Member) {
	r.before, r.hall = nil, 0
	for _, m := range members {
		if m.Hall != r.self.Hall {
			continue
		}
		r.hall++
		if m.ID != r.self.ID && rank(m, r.self) < 0 {
			r.before = append(r.before, m)
		}
	}
	slices.SortFunc(r.before, rank)
}

// reader returns the daemon that reads for this one; ok is false if there is
// none.
func (r *readers) reader() (Member, bool) {
	for _, m := range r.before {
		if !r.isSilent(m.ID) && !r.useless[m.ID] {
			return m, true
		}
	}
	return Member{}, false
}

// first reports whether no daemon of the hall that may answer goes before this one.
func (r *readers) first() bool {
	return !slices.ContainsFunc(r.before, func(m Member) bool { return !r.isSilent(m.ID) })
}

func (r *readers) isSilent(id string) bool {
	_, silent := r.silent[id]
	return silent
}

// mayRead reports whether it is this daemon's turn to read the store, by the age
// of what it knows.
func (r *readers) mayRead(age time.Duration, now time.Time) bool {
	if r.met && now.Sub(r.heardAt) > aloneAfter {
		return true
	}
	if m, ok := r.reader(); ok && r.acquainted[m.ID] {
		return false
	}
	answering, between := r.ahead(now)
	if !r.met {
		// At its start a daemon cannot tell which of the listed are there.
		between = 0
	}
	return answering == 0 || age > r.usefulAge+time.Duration(turn(between))*r.turnEvery()
}

// ahead counts the daemons before this one that may answer, and those whose turn to
// try the store comes between the first of them and this one.
func (r *readers) ahead(now time.Time) (answering, between int) {
	between = -1
	for _, m := range r.before {
		since, silent := r.silent[m.ID]
		if !silent {
			answering++
		}
		if !silent || now.Sub(since) < longGone {
			between++
		}
	}
	return answering, max(0, between)
}

// turn is the number of the turn in which a daemon tries the store: those of 0, 1, 2 or
// 3, 4 to 7 daemons before it, and so on.
func turn(between int) int { return bits.Len(uint(between)) }

// turnEvery is how much older what is known grows from one turn to the next.
func (r *readers) turnEvery() time.Duration {
	return min(turnAtMost, turnsWithin/time.Duration(max(1, turn(max(0, r.hall-2)))))
}

// bystander reports whether so many daemons try the store before this one that it may
// leave trying again to them: whoever is answered tells the others.
func (r *readers) bystander(now time.Time) bool {
	_, between := r.ahead(now)
	return turn(between) >= bystanderTurn
}

// bystanderTurn is the turn from which daemons seldom try again: three in a hall keep
// looking for a store that is away.
const bystanderTurn = 2

// due returns the daemons to ask now, by the age of what this one knows: the
// reader, and those that were silent or useless now and then. Without a reader
// that is known to answer, some of those whose turn to try the store has come are
// asked as often as it would be.
func (r *readers) due(age time.Duration, now time.Time) []Member {
	reader, ok := r.reader()
	settled := ok && r.acquainted[reader.ID]
	trying := r.trying(age)
	var out []Member
	for _, m := range r.before {
		every := probeEvery
		switch {
		case ok && m.ID == reader.ID, !settled && trying[m.ID]:
			every = askEvery
		case !r.isSilent(m.ID) && !r.useless[m.ID]:
			continue
		}
		if now.Sub(r.asked[m.ID]) >= every {
			out = append(out, m)
		}
	}
	return out
}

// trying returns askOfMore of the daemons whose turn to try the store has come,
// other ones each time.
func (r *readers) trying(age time.Duration) map[string]bool {
	var turn []string
	most := askOfMore + 1<<int(max(0, age-r.usefulAge)/r.turnEvery())
	for _, m := range r.before {
		if !r.isSilent(m.ID) && len(turn) < most {
			turn = append(turn, m.ID)
		}
	}
	out := map[string]bool{}
	for range min(askOfMore, len(turn)) {
		r.round++
		out[turn[r.round%len(turn)]] = true
	}
	return out
}

// ask notes that a daemon is asked now.
func (r *readers) ask(id string, now time.Time) {
	r.asked[id] = now
	if _, waits := r.waiting[id]; !waits {
		r.waiting[id] = now
	}
}

// told notes an answer, how old what it tells is, and whether who tells it is cut off
// from the store: what such a one has heard from others is no base for a hall.
func (r *readers) told(id string, age time.Duration, cut bool, now time.Time) {
	r.heardAt = now
	delete(r.waiting, id)
	delete(r.silent, id)
	r.acquainted[id] = true
	r.useless[id] = cut || age > r.usefulAge
	r.met = r.met || !r.useless[id]
}

// expire notes the daemons whose answer is overdue. It returns those that were
// not silent before, and those that still are.
func (r *readers) expire(now time.Time) (fresh, still []string) {
	for id, since := range r.waiting {
		within := answerWithin
		if !r.acquainted[id] {
			within = acquaintWithin
		}
		if now.Sub(since) < within {
			continue
		}
		delete(r.waiting, id)
		delete(r.acquainted, id)
		if r.isSilent(id) {
			still = append(still, id)
			continue
		}
		r.silent[id] = now
		fresh = append(fresh, id)
	}
	return fresh, still
}
