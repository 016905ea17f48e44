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

// announcer has servers announce in their answers what the store does not show: that they are
// draining, before their entry says so, or that they ask for back-off.
type announcer struct {
	cluster *cluster
	random  *rand.Rand
	stopped atomic.Bool
	running sync.WaitGroup
}

const (
	// announcementInterval is the longest pause between two announcements.
	announcementInterval = time.Second
	// backoffFloor and backoffSpan bound the back-off that a server asks for, during which it
	// declines requests.
	backoffFloor, backoffSpan = 500 * time.Millisecond, 2500 * time.Millisecond
	// announcementStream is the random stream of the announcer.
	announcementStream = 7000
)

func newAnnouncer(s *cluster, seed uint64) *announcer {
	return &announcer{cluster: s, random: newRand(seed, announcementStream)}
}

func (m *announcer) start(ctx context.Context) {
	m.running.Go(func() {
		for !m.stopped.Load() && ctx.Err() == nil {
			m.announce(ctx, m.cluster.initialServers()[m.random.IntN(servers)])
			clock.Wait(ctx, time.Duration(m.random.Int64N(int64(announcementInterval))))
		}
	})
}

// announce has a server announce back-off or that it is draining, and restarts a draining server.
func (m *announcer) announce(ctx context.Context, b *backend) {
	if m.random.IntN(2) == 0 {
		pause := backoffFloor + time.Duration(m.random.Int64N(int64(backoffSpan)))
		b.setAnnouncement(standin.Announcement{Rest: pause})
		clock.Wait(ctx, pause)
		b.setAnnouncement(standin.Announcement{})
		return
	}
	start := b.setAnnouncement(standin.Announcement{Leaving: true})
	clock.Wait(ctx, leaveFor)
	if same := m.random.IntN(2) == 0; b.isRunning(start) {
		b.restart(same)
	}
}

func (m *announcer) stop() {
	m.stopped.Store(true)
	m.running.Wait()
}

// setAnnouncement sets what the server announces, and returns the number of its current start.
func (b *backend) setAnnouncement(w standin.Announcement) (start int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyAnnouncement(w, b.limit)
	return b.starts
}

// applyAnnouncement sets what the server announces, with its rate limit. The caller holds b.mu.
func (b *backend) applyAnnouncement(w standin.Announcement, limit string) {
	b.announcement, b.limit = w, limit
	w.Limit, w.Brittle, w.NoQueue = limit, b.brittle, b.noQueue
	b.runner.Announce(w)
}

// setBrittle has the server announce how many requests it bears to refuse in a second, 0 for none, and
// sets whether none may wait.
func (b *backend) setBrittle(n int, noQueue bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.brittle, b.noQueue = n, noQueue
	b.applyAnnouncement(b.announcement, b.limit)
}

// isRunning reports whether the given start of the server is still running. A server that has
// since stopped is restarted by whatever stopped it.
func (b *backend) isRunning(start int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.present && b.starts == start
}

// Arrival is a request that reached a server, which may have declined it.
type Arrival struct {
	ID     string
	Server string
	// Start counts the starts of the server.
	Start int
	// Announcement is what the server announced with its answer.
	Announcement standin.Announcement
	At           time.Time
}

// observer identifies a daemon's process and the start of a server that it received an answer
// from.
type observer struct {
	daemon, life int
	server       string
	start        int
}

func observerOf(a Request, at Arrival) observer {
	return observer{daemon: a.Daemon, life: a.Process, server: at.Server, start: at.Start}
}

const (
	// backoffGrace is how long after an announcement a daemon may still send requests,
	// maxInBackoff how many requests may reach a server during its back-off nevertheless.
	backoffGrace = 500 * time.Millisecond
	maxInBackoff = 2
)

// backoff is a period in which a daemon must send a server no requests. It begins when the
// daemon must know of it.
type backoff struct{ from, until time.Time }

// announcements holds what daemon processes are certain to have received from servers.
type announcements struct {
	left     map[observer]time.Time
	backoffs map[observer][]backoff
}

// announcementsRespected checks that daemons respect the announcements in answers that they are
// certain to have read, even while faults last.
func (c *checker) announcementsRespected() {
	w := c.receivedAnnouncements()
	inBackoff := map[observer]map[backoff]int{}
	for _, at := range c.seen.Arrivals {
		a, ok := c.requests[at.ID]
		if !ok {
			continue
		}
		by := observerOf(a, at)
		c.drainRespected(a, at, w.left[by])
		if inBackoff[by] == nil {
			inBackoff[by] = map[backoff]int{}
		}
		c.backoffRespected(a, at, w.backoffs[by], inBackoff[by])
	}
}

// receivedAnnouncements derives which announcements the daemons are certain to have received.
func (c *checker) receivedAnnouncements() announcements {
	w := announcements{left: map[observer]time.Time{}, backoffs: map[observer][]backoff{}}
	for _, at := range c.seen.Arrivals {
		a, ok := c.requests[at.ID]
		if !ok || a.Process != a.ProcessAfter {
			continue
		}
		by := observerOf(a, at)
		if was, known := w.left[by]; forwardedLeaving(a, at) && (!known || a.Ended.Before(was)) {
			w.left[by] = a.Ended
		}
		if knownDeclined(a, at) {
			w.backoffs[by] = append(w.backoffs[by], backoff{from: a.Ended.Add(backoffGrace), until: at.At.Add(at.Announcement.Rest)})
		}
	}
	return w
}

// forwardedLeaving reports whether a daemon has forwarded an answer which says that its server
// is draining.
func forwardedLeaving(a Request, at Arrival) bool {
	return at.Announcement.Leaving && a.Reply.Leaving && a.Reply.Server == at.Server
}

// knownDeclined reports whether a daemon must have read that a server declined the request and
// asks for back-off. That is certain if the daemon reported the request as not run, or if it is
// an unsafe request, which may run only once, and another server answered it.
func knownDeclined(a Request, at Arrival) bool {
	answered := a.Kind == standin.Unsafe && a.Reply.Complete && a.Reply.Status == http.StatusOK
	return at.Announcement.Rest > 0 && (a.Reply.NotRun() || answered)
}

// drainRespected checks that a server receives no request more than leaveBound after its daemon
// learned at since that it is draining; a zero since means never.
func (c *checker) drainRespected(a Request, at Arrival, since time.Time) {
	if !since.IsZero() && a.Sent.Sub(since) > leaveBound {
		c.found("DRAIN", "daemon %d sent request %s to %s, %v after an answer of that had told it that the server leaves", a.Daemon, a.ID, at.Server, a.Sent.Sub(since))
	}
}

// backoffRespected counts the requests that arrive during each back-off period.
func (c *checker) backoffRespected(a Request, at Arrival, rests []backoff, count map[backoff]int) {
	for _, r := range rests {
		if a.Sent.Before(r.from) || !at.At.Before(r.until) {
			continue
		}
		if count[r]++; count[r] == maxInBackoff+1 {
			c.found("REST", "daemon %d sent more than %d requests to %s in the rest that it had asked for, %s the last", a.Daemon, maxInBackoff, at.Server, a.ID)
		}
	}
}
