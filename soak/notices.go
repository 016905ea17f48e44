package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/platform/standin"
)

// moods has servers say something of themselves in their answers that stands nowhere else:
// that they leave, before any entry tells it, or that they want rest.
type moods struct {
	site    *site
	random  *rand.Rand
	stopped atomic.Bool
	running sync.WaitGroup
}

const (
	// moodEvery is the longest pause between two servers that say something.
	moodEvery = time.Second
	// restFloor and restSpan bound the rest that a server wants, and for which it declines.
	restFloor, restSpan = 500 * time.Millisecond, 2500 * time.Millisecond
	// moodsPart tells its draws from those of others.
	moodsPart = 7000
)

func newMoods(s *site, seed uint64) *moods {
	return &moods{site: s, random: newRand(seed, moodsPart)}
}

func (m *moods) start(ctx context.Context) {
	m.running.Go(func() {
		for !m.stopped.Load() && ctx.Err() == nil {
			m.one(ctx, m.site.first()[m.random.IntN(servers)])
			clock.Wait(ctx, time.Duration(m.random.Int64N(int64(moodEvery))))
		}
	})
}

// one has a server say something, and begin again if it was to leave.
func (m *moods) one(ctx context.Context, b *backend) {
	if m.random.IntN(2) == 0 {
		rest := restFloor + time.Duration(m.random.Int64N(int64(restSpan)))
		b.say(standin.Announcement{Rest: rest})
		clock.Wait(ctx, rest)
		b.say(standin.Announcement{})
		return
	}
	start := b.say(standin.Announcement{Leaving: true})
	clock.Wait(ctx, leaveFor)
	if same := m.random.IntN(2) == 0; b.stands(start) {
		b.beginAgain(same)
	}
}

func (m *moods) stop() {
	m.stopped.Store(true)
	m.running.Wait()
}

// say sets what the server says of itself, and returns the number of its start.
func (b *backend) say(w standin.Announcement) (start int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tell(w, b.limit)
	return b.starts
}

// tell has the server say something and name a limit; b is locked.
func (b *backend) tell(w standin.Announcement, limit string) {
	b.word, b.limit = w, limit
	w.Limit = limit
	b.runner.Announce(w)
}

// stands reports whether a start of the server is there: one that has ended has its own time
// to be back.
func (b *backend) stands(start int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.present && b.starts == start
}

// Arrival is a request that reached a server, which may have declined it.
type Arrival struct {
	ID     string
	Server string
	// Start numbers the starts of the server.
	Start int
	// Word is what the server said of itself with its answer.
	Word standin.Announcement
	At   time.Time
}

// hearer is a life of a daemon that has heard a start of a server.
type hearer struct {
	daemon, life int
	server       string
	start        int
}

func hearerOf(a Ask, at Arrival) hearer {
	return hearer{daemon: a.Daemon, life: a.Life, server: at.Server, start: at.Start}
}

const (
	// restGrace is how long a daemon has from a word on until it sends nothing more, restMost
	// how many requests may reach a server in its rest all the same.
	restGrace = 500 * time.Millisecond
	restMost  = 2
)

// rest is a time in which a server wants no requests of a daemon, from when that must know.
type rest struct{ from, until time.Time }

// words are what lives of daemons have heard for certain of starts of servers.
type words struct {
	left  map[hearer]time.Time
	rests map[hearer][]rest
}

// heeded checks that daemons heed what servers say of themselves with answers that the daemons
// have read for certain, whatever troubles there are.
func (c *checker) heeded() {
	w := c.wordsHeard()
	inRest := map[hearer]map[rest]int{}
	for _, at := range c.seen.Arrivals {
		a, ok := c.asks[at.ID]
		if !ok {
			continue
		}
		by := hearerOf(a, at)
		c.drained(a, at, w.left[by])
		if inRest[by] == nil {
			inRest[by] = map[rest]int{}
		}
		c.rested(a, at, w.rests[by], inRest[by])
	}
}

// wordsHeard works out what was heard for certain.
func (c *checker) wordsHeard() words {
	w := words{left: map[hearer]time.Time{}, rests: map[hearer][]rest{}}
	for _, at := range c.seen.Arrivals {
		a, ok := c.asks[at.ID]
		if !ok || a.Life != a.LifeAfter {
			continue
		}
		by := hearerOf(a, at)
		if was, known := w.left[by]; passedOn(a, at) && (!known || a.Ended.Before(was)) {
			w.left[by] = a.Ended
		}
		if knownDeclined(a, at) {
			w.rests[by] = append(w.rests[by], rest{from: a.Ended.Add(restGrace), until: at.At.Add(at.Word.Rest)})
		}
	}
	return w
}

// passedOn reports whether a daemon has passed on an answer which says that its server leaves.
func passedOn(a Ask, at Arrival) bool {
	return at.Word.Leaving && a.Reply.Leaving && a.Reply.Server == at.Server
}

// knownDeclined reports whether a daemon must have read that a server declined and wants rest:
// what is called not run was known to be declined, and so was what may run once only and was
// answered by another server.
func knownDeclined(a Ask, at Arrival) bool {
	answered := a.Kind == standin.Unsafe && a.Reply.Complete && a.Reply.Status == http.StatusOK
	return at.Word.Rest > 0 && (a.Reply.NotRun() || answered)
}

// drained checks one arrival at a server of which its daemon has heard at a time that it leaves;
// zero is never.
func (c *checker) drained(a Ask, at Arrival, since time.Time) {
	if !since.IsZero() && a.Sent.Sub(since) > leaveBound {
		c.found("DRAIN", "daemon %d sent request %s to %s, %v after an answer of that had told it that the server leaves", a.Daemon, a.ID, at.Server, a.Sent.Sub(since))
	}
}

// rested counts one arrival in each rest that it falls into.
func (c *checker) rested(a Ask, at Arrival, rests []rest, count map[rest]int) {
	for _, r := range rests {
		if a.Sent.Before(r.from) || !at.At.Before(r.until) {
			continue
		}
		if count[r]++; count[r] == restMost+1 {
			c.found("REST", "daemon %d sent more than %d requests to %s in the rest that it had asked for, %s the last", a.Daemon, restMost, at.Server, a.ID)
		}
	}
}
