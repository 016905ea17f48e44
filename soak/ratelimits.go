package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/platform/standin"
)

// limiter has servers announce, change and withdraw rate limits in their answers.
type limiter struct {
	cluster *cluster
	random  *rand.Rand
	stopped atomic.Bool
	running sync.WaitGroup
}

const (
	// limitsStream is the random stream of the limiter.
	limitsStream = 8000
	// limitFloor and limitSpan bound how long a limit applies. The minimum is longer than the
	// time that daemons have to enforce it.
	limitFloor, limitSpan = 4 * time.Second, 5 * time.Second
	// maxLimit is the highest rate limit, in requests per second.
	maxLimit = 8
	// limitsAtOnce is the number of servers that have a rate limit at the same time.
	limitsAtOnce = 2
)

func newLimiter(s *cluster, seed uint64) *limiter {
	return &limiter{cluster: s, random: newRand(seed, limitsStream)}
}

func (l *limiter) start(ctx context.Context) {
	for n := range limitsAtOnce {
		random := rand.New(rand.NewPCG(l.random.Uint64(), uint64(n)))
		l.running.Go(func() {
			for !l.stopped.Load() && ctx.Err() == nil {
				l.announceFor(ctx, random, l.cluster.initialServers()[random.IntN(servers)])
			}
		})
	}
}

// announceFor has a server announce a rate limit, in half of the cases lower it later, and withdraw it.
func (l *limiter) announceFor(ctx context.Context, random *rand.Rand, b *backend) {
	duration := limitFloor + time.Duration(random.Int64N(int64(limitSpan)))
	rate := random.Float64() * maxLimit
	b.announceLimit(rate)
	l.wait(ctx, duration/2)
	if random.IntN(2) == 0 {
		b.announceLimit(rate / 10)
	}
	l.wait(ctx, duration/2)
	b.announceLimit(0)
}

// wait waits for d, or until the limiter stops.
func (l *limiter) wait(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && !l.stopped.Load() && ctx.Err() == nil; {
		clock.Wait(ctx, readyEvery)
	}
}

func (l *limiter) stop() {
	l.stopped.Store(true)
	l.running.Wait()
}

// announceLimit has the running server announce a rate limit in requests per second; 0
// withdraws it.
func (b *backend) announceLimit(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := ""
	if rate > 0 {
		limit = strconv.FormatFloat(rate, 'f', 3, 64)
	}
	b.applyAnnouncement(b.announcement, limit)
}

// excusingFaults lists the faults of a daemon after which it may exceed a server's rate limit.
var excusingFaults = []FaultKind{Terminate, Kill, KillAll, Pause, CutStore, CutPeers}

// limitsRespected checks that servers with a rate limit receive no more requests than it
// allows.
func (c *checker) limitsRespected() {
	type serverStart struct {
		server string
		start  int
	}
	arrivalsOf := map[serverStart][]standin.LimitArrival{}
	for _, at := range c.seen.Arrivals {
		a, ok := c.requests[at.ID]
		if !ok || a.Process != a.ProcessAfter || c.excused(a.Daemon, at.At) {
			continue
		}
		rate, err := strconv.ParseFloat(at.Announcement.Limit, 64)
		if err != nil {
			rate = 0
		}
		arrival := standin.LimitArrival{At: at.At, Daemon: fmt.Sprint(a.Daemon, " ", a.Process), Rate: rate}
		if a.Reply.Limit != "" && a.Reply.Server == at.Server {
			arrival.Passed = a.Ended
		}
		by := serverStart{at.Server, at.Start}
		arrivalsOf[by] = append(arrivalsOf[by], arrival)
	}
	for by, arrivals := range arrivalsOf {
		if err := standin.CheckLimit(arrivals); err != nil {
			c.found("LIMIT", "%s: %v", by.server, err)
		}
	}
}

// excused reports whether a daemon was restarted, paused or disconnected within quietPeriod
// before at.
func (c *checker) excused(daemon int, at time.Time) bool {
	for _, s := range c.seen.Spans {
		for _, t := range excusingFaults {
			if s.Kind == t && s.overlaps(daemon, at.Add(-quietPeriod), at) {
				return true
			}
		}
	}
	return false
}
