package knowledge

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Who reads the store. In each data hall one daemon does, and tells the others:
// the first one that answers, in the order of capacity and a hash of the ids. Nobody is
// elected; a daemon that hears nothing from those before it reads for itself,
// which costs calls and does no harm.
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
)

// readers decides whether this daemon reads the store, and whom it asks
// otherwise. It belongs to the keeper's goroutine.
type readers struct {
	self Member
	// usefulAge is the age up to which a reader's knowledge is good enough.
	usefulAge time.Duration
	// before are the daemons of the own hall that go before this one, in order.
	before []Member
	// silent are daemons that did not answer, or had nothing useful to tell.
	silent map[string]bool
	// waiting is since when an answer of a daemon is due.
	waiting map[string]time.Time
	asked   map[string]time.Time
	// acquainted are daemons that have answered since they last were silent.
	acquainted map[string]bool
}

func newReaders() *readers {
	return &readers{silent: map[string]bool{}, waiting: map[string]time.Time{}, asked: map[string]time.Time{}, acquainted: map[string]bool{}}
}

// rank orders daemons for reading: the most capable first, then by hash.
func rank(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
}

// list takes the list of daemons.
func (r *readers) list(members map[string]Member) {
	r.before = nil
	for _, m := range members {
		if m.Hall == r.self.Hall && m.ID != r.self.ID && rank(m, r.self) < 0 {
			r.before = append(r.before, m)
		}
	}
	slices.SortFunc(r.before, rank)
}

// reader returns the daemon that reads for this one; ok is false if this daemon
// reads itself.
func (r *readers) reader() (Member, bool) {
	for _, m := range r.before {
		if !r.silent[m.ID] {
			return m, true
		}
	}
	return Member{}, false
}

// due returns the daemons to ask now: the reader, and those that were silent
// now and then.
func (r *readers) due(now time.Time) []Member {
	var out []Member
	reader, ok := r.reader()
	for _, m := range r.before {
		every := probeEvery
		if ok && m.ID == reader.ID {
			every = askEvery
		} else if !r.silent[m.ID] {
			continue
		}
		if now.Sub(r.asked[m.ID]) >= every {
			out = append(out, m)
		}
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

// told notes an answer and how old what it tells is.
func (r *readers) told(id string, age time.Duration) {
	delete(r.waiting, id)
	r.acquainted[id] = true
	if age <= r.usefulAge {
		delete(r.silent, id)
	} else {
		r.silent[id] = true
	}
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
		if r.silent[id] {
			still = append(still, id)
			continue
		}
		r.silent[id] = true
		fresh = append(fresh, id)
	}
	return fresh, still
}
