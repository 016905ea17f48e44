package storesync

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Selection of the daemon that reads the store. In each data hall one daemon reads the store
// and informs the others: the first one that answers, ordered by capacity and a hash of the
// IDs. There is no election. A daemon that receives nothing from those before it reads the
// store itself, which costs calls but does no harm.
//
// While the store does not answer the readers, the daemons of a hall try it in turns as their
// state becomes older: one, then one more, then two, four, and so on, so that all have tried
// within allTurnsWithin, whatever their number. A daemon that gets an answer from the store
// announces it to its hall, and the others ask it at once.
//
// A daemon begins to read in its turn once the store has answered its verification of the
// configuration (verify.go). That verification, not the turns, bounds the age of the configuration.
// What a daemon that the store does not serve has is at most 3.5 s old as long as the store serves
// one daemon of its hall and the configuration must be in force within the default time: the sum of
// maxUsableAge, 1.2 s, until it looks for another reader; 0.65 s by which the state of the daemon
// that tries the store may be newer, so that its turn comes later (a call and the batch delay after
// it); allTurnsWithin, 1.25 s; and 0.4 s for two ticks, the call and the request that follows. The
// sum has no part for steps that wait; View.InForce is what holds then.
const (
	// queryInterval is the time between two requests to the reader of the hall. The state of a
	// daemon is older than that of the reader by up to this time.
	queryInterval = 450 * time.Millisecond
	// answerTimeout is how long a reader has to answer, so that one request may be lost.
	// Together with queryInterval it bounds how long a change may be missed when a reader
	// fails.
	answerTimeout = 2*queryInterval + 150*time.Millisecond
	// firstAnswerTimeout is how long it has to answer the first request: all daemons of a hall
	// that starts connect at once.
	firstAnswerTimeout = 2500 * time.Millisecond
	// usableAgeSlack is added to the age of two calls to give maxUsableAge, so that a reader
	// that the store answers is never too old.
	usableAgeSlack = 200 * time.Millisecond
	// probeInterval is the time between two requests to a daemon that has not answered.
	probeInterval = 2 * time.Second
	// allTurnsWithin is how much older the state may become until the last daemon of a hall
	// tries the store. maxTurnInterval bounds the interval from one turn to the next: a small
	// hall need not hurry.
	allTurnsWithin  = 1250 * time.Millisecond
	maxTurnInterval = 450 * time.Millisecond
	// skipSilentAfter is how long a daemon must have been silent until its turn is skipped.
	skipSilentAfter = 5 * time.Second
	// aloneTimeout is how long no daemon must have answered until this one reads the store by
	// itself.
	aloneTimeout = 2 * answerTimeout
	// queriesWithoutReader is how many daemons are asked at once while no reader is known to answer.
	queriesWithoutReader = 3
)

// readers decides whether this daemon reads the store, and which daemons it asks otherwise. The
// syncer's goroutine owns it.
type readers struct {
	self Member
	// maxUsableAge is the age up to which the state of a reader is recent enough.
	maxUsableAge time.Duration
	// preceding are the daemons of the own hall that precede this one, in order.
	preceding []Member
	// hallSize is the number of daemons of the own hall.
	hallSize int
	// silent has the daemons that did not answer, by since when. stale are those that answer
	// with a state that is too old or whose sender cannot reach the store.
	silent map[string]time.Time
	stale  map[string]bool
	// awaiting is since when the answer of a daemon is due.
	awaiting map[string]time.Time
	asked    map[string]time.Time
	// answeredAt is when daemons last answered since they were last silent.
	answeredAt map[string]time.Time
	// hadReader is set once a daemon has sent a recent enough state. lastAnswerAt is when any
	// daemon last answered.
	hadReader    bool
	lastAnswerAt time.Time
	// round rotates the daemons that are asked.
	round int
}

func newReaders() *readers {
	return &readers{silent: map[string]time.Time{}, stale: map[string]bool{}, awaiting: map[string]time.Time{}, asked: map[string]time.Time{}, answeredAt: map[string]time.Time{}}
}

// rank orders the daemons for reading: by capacity, largest first, then by hash.
func rank(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
}

// setMembers sets the list of daemons.
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

// reader returns the daemon that reads the store for this one. ok is false if there is none.
func (r *readers) reader() (Member, bool) {
	for _, m := range r.preceding {
		if !r.isSilent(m.ID) && !r.stale[m.ID] {
			return m, true
		}
	}
	return Member{}, false
}

// isFirst reports whether this daemon precedes all daemons of the hall that are not silent.
func (r *readers) isFirst() bool {
	return !slices.ContainsFunc(r.preceding, func(m Member) bool { return !r.isSilent(m.ID) })
}

// settled reports whether a daemon has answered so recently that it counts as the reader. One that
// answered long ago, while another one was the reader, may be gone.
func (r *readers) settled(id string, now time.Time) bool {
	at, ok := r.answeredAt[id]
	return ok && now.Sub(at) <= answerTimeout
}

func (r *readers) isSilent(id string) bool {
	_, silent := r.silent[id]
	return silent
}

// mayRead reports whether it is this daemon's turn to read the store, given the age of its
// state.
func (r *readers) mayRead(age time.Duration, now time.Time) bool {
	if r.hadReader && now.Sub(r.lastAnswerAt) > aloneTimeout {
		return true
	}
	if m, ok := r.reader(); ok && r.settled(m.ID, now) {
		return false
	}
	answering, between := r.countPreceding(now)
	if !r.hadReader {
		// After its start a daemon cannot tell which of the listed daemons run.
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

// turn is the number of the turn in which a daemon tries the store: turn 0 with 0 daemons
// before it, 1 with 1, 2 with 2 or 3, 3 with 4 to 7, and so on.
func turn(between int) int { return bits.Len(uint(between)) }

// turnInterval is how much older the state becomes from one turn to the next.
func (r *readers) turnInterval() time.Duration {
	return min(maxTurnInterval, allTurnsWithin/time.Duration(max(1, turn(max(0, r.hallSize-2)))))
}

// passive reports whether so many daemons try the store before this one that it may leave the
// retries to them. The daemon that gets an answer informs the others.
func (r *readers) passive(now time.Time) bool {
	_, between := r.countPreceding(now)
	return turn(between) >= passiveTurn
}

// passiveTurn is the turn from which daemons rarely retry: three daemons of a hall keep trying
// an unavailable store.
const passiveTurn = 2

// queryTargets returns the daemons to ask now, given the age of the state of this one: the
// reader, and from time to time those that were silent or stale. If no reader is known to
// answer, some of the daemons whose turn to try the store has come are asked as often as a
// reader.
func (r *readers) queryTargets(age time.Duration, now time.Time) []Member {
	reader, ok := r.reader()
	settled := ok && r.settled(reader.ID, now)
	takers := r.turnTakers(age)
	var out []Member
	for _, m := range r.preceding {
		interval := probeInterval
		switch {
		case ok && m.ID == reader.ID, !settled && takers[m.ID]:
			interval = queryInterval
		case !r.isSilent(m.ID) && !r.stale[m.ID]:
			continue
		}
		if now.Sub(r.asked[m.ID]) >= interval {
			out = append(out, m)
		}
	}
	return out
}

// turnTakers returns extraQueries of the daemons whose turn to try the store has come,
// different ones each time.
func (r *readers) turnTakers(age time.Duration) map[string]bool {
	var turn []string
	limit := queriesWithoutReader + 1<<int(max(0, age-r.maxUsableAge)/r.turnInterval())
	for _, m := range r.preceding {
		if !r.isSilent(m.ID) && len(turn) < limit {
			turn = append(turn, m.ID)
		}
	}
	out := map[string]bool{}
	for range min(queriesWithoutReader, len(turn)) {
		r.round++
		out[turn[r.round%len(turn)]] = true
	}
	return out
}

// recordQuery records that a daemon is asked now.
func (r *readers) recordQuery(id string, now time.Time) {
	r.asked[id] = now
	if _, pending := r.awaiting[id]; !pending {
		r.awaiting[id] = now
	}
}

// recordAnswer records an answer, the age of its state, and whether the sender cannot reach the
// store. A state that such a sender has received from others is not recent enough for a hall.
func (r *readers) recordAnswer(id string, age time.Duration, unreachable bool, now time.Time) {
	r.lastAnswerAt = now
	delete(r.awaiting, id)
	delete(r.silent, id)
	r.answeredAt[id] = now
	r.stale[id] = unreachable || age > r.maxUsableAge
	r.hadReader = r.hadReader || !r.stale[id]
}

// expire marks the daemons whose answer is overdue as silent. It returns those that were not
// silent before, and those that still are.
func (r *readers) expire(now time.Time) (newlySilent, still []string) {
	for id, since := range r.awaiting {
		timeout := answerTimeout
		if _, answered := r.answeredAt[id]; !answered {
			timeout = firstAnswerTimeout
		}
		if now.Sub(since) < timeout {
			continue
		}
		delete(r.awaiting, id)
		delete(r.answeredAt, id)
		if r.isSilent(id) {
			still = append(still, id)
			continue
		}
		r.silent[id] = now
		newlySilent = append(newlySilent, id)
	}
	return newlySilent, still
}
