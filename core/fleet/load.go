package fleet

import (
	"sync"
	"time"

	"ladderridge.example/core/notice"
	"ladderridge.example/core/prefixcache"
)

// Load is what this daemon's requests have seen of a server. It is safe for
// concurrent use.
type Load struct {
	// Prompts is what the server has probably read.
	Prompts *prefixcache.Memory
	// Notices is what the server has said of itself in answers.
	Notices *notice.Tracker

	mu       sync.Mutex
	inFlight int
	// work is the sum of the weights of the requests under way.
	work float64
	// failures counts failures in a row; resting is until when the server gets
	// no work if others are there.
	failures int
	resting  time.Time
	// declines counts declines in a row.
	declines int
	// failing is the recent share of failures.
	failing float64
	// slowness is the recent time of answers relative to what other servers
	// took for the like, 1 when alike.
	slowness float64
	// reported is how many requests the server had when it last said so.
	reported int
	cold     coldness
	limit    limit
	crowd    crowd
	hall     *Hall
}

// The pauses of a server that fails.
const (
	// restAfter is how many failures in a row make a server rest.
	restAfter = 2
	// restFloor and restCeiling bound the rest, which doubles with each
	// further failure: a server that restarts is back in seconds.
	restFloor   = 500 * time.Millisecond
	restCeiling = 4 * time.Second
	// declineFloor and declineCeiling bound the pause of a server that declines and names
	// no time: about what a short request takes, and what a wave of load lasts.
	declineFloor   = 100 * time.Millisecond
	declineCeiling = 1600 * time.Millisecond
	// smoothing is the weight of the newest answer in the recent shares.
	smoothing = 0.1
	// slowest bounds how slow a server may be taken for, so that it still gets
	// a request now and then that can show that it has recovered.
	slowest = 20
	// failingCost weighs the share of failures as slowness: a server that fails
	// half of its requests counts as busy as one of three times its load.
	failingCost = 4
)

// NewLoad returns the load of a server that has served nothing yet. All servers
// of a data hall share one Hall.
func NewLoad(hall *Hall) *Load {
	return &Load{Prompts: prefixcache.NewMemory(), Notices: &notice.Tracker{}, slowness: 1, hall: hall}
}

// InFlight is the number of this daemon's requests under way there.
func (l *Load) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// Work is the sum of the weights of this daemon's requests under way there.
func (l *Load) Work() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.work
}

// All is the work of all daemons that is under way there, as far as is known.
func (l *Load) All() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.work + l.crowd.lately
}

// Begin counts a request that is sent, by its weight: 1 is a small one.
func (l *Load) Begin(weight float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
	l.work += weight
}

// End counts a request that has ended, by the weight that it began with.
func (l *Load) End(weight float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.work = max(0, l.work-weight)
}

// look is what matters of a load for choosing a server.
type look struct {
	// work is as Work tells, with that of other daemons beyond the server's part;
	// slowness is as Slowness tells.
	work     float64
	slowness float64
	resting  bool
	// full tells that the server is cold, or names a limit, and has its part.
	full bool
}

func (l *Load) look(now time.Time) look {
	hall := l.hall.resting(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	return look{
		work: l.work + l.crowd.now(now), slowness: l.slowness * (1 + failingCost*l.failing),
		resting: hall || now.Before(l.resting), full: l.cold.full(now) || l.limit.full(now),
	}
}

// Report notes how many requests the server says that it has.
func (l *Load) Report(requests int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported = requests
}

// Requests is how many requests the server has, as far as that is known: as it says
// itself, or else this daemon's own.
func (l *Load) Requests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reported > 0 {
		return l.reported
	}
	return l.inFlight
}

// Slowness is how much longer than others the server takes, failures included.
func (l *Load) Slowness() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slowness * (1 + failingCost*l.failing)
}

// Resting reports whether the server, or its hall, has failed so lately that
// others go first.
func (l *Load) Resting(now time.Time) bool {
	if l.hall.resting(now) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.resting)
}

// Silent notes a server that gave no sign of its machine: the connection timed
// out. It rests at once.
func (l *Load) Silent(now time.Time) {
	l.Unreachable(now)
}

// Answered notes a good answer; relative is the time it took in terms of what
// the like takes, or 0 if that is unknown.
func (l *Load) Answered(relative float64) {
	l.hall.answered()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures, l.declines = 0, 0
	l.failing *= 1 - smoothing
	if relative > 0 {
		l.slowness = min(slowest, max(1/slowest, l.slowness*(1-smoothing)+relative*smoothing))
	}
}

// Declined notes a server that has not run a request and named no time to come back: others
// go first for a while, which doubles until it answers. It is idle, so it would be the first
// choice of the next request again.
func (l *Load) Declined(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pause := min(declineFloor<<min(l.declines, 4), declineCeiling)
	l.declines++
	if until := now.Add(pause); until.After(l.resting) {
		l.resting = until
	}
}

// Failed notes an answer that says that the server failed.
func (l *Load) Failed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = l.failing*(1-smoothing) + smoothing
}

// Broke notes a server that did not answer or could not be reached: it rests
// when that happens again, and its hall if several of it do that.
func (l *Load) Broke(now time.Time) {
	l.hall.failure(l, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
	l.failing = l.failing*(1-smoothing) + smoothing
	if l.failures < restAfter {
		return
	}
	rest := restFloor << min(l.failures-restAfter, 4)
	l.resting = now.Add(min(rest, restCeiling))
}

// Unreachable notes a server to which no connection comes about: it rests at
// once.
func (l *Load) Unreachable(now time.Time) {
	l.mu.Lock()
	l.failures = max(l.failures, restAfter-1)
	l.mu.Unlock()
	l.Broke(now)
}
