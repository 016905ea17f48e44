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

// limiter has servers name limits in their answers, change them and end them.
type limiter struct {
	site    *site
	random  *rand.Rand
	stopped atomic.Bool
	running sync.WaitGroup
}

const (
	// limitsPart tells its draws from those of others.
	limitsPart = 8000
	// limitFloor and limitSpan bound how long a limit stands: longer than it takes to hold.
	limitFloor, limitSpan = 4 * time.Second, 5 * time.Second
	// mostLimit bounds limits, in requests a second.
	mostLimit = 8
	// limitsAtOnce is how many servers have one at a time.
	limitsAtOnce = 2
)

func newLimiter(s *site, seed uint64) *limiter {
	return &limiter{site: s, random: newRand(seed, limitsPart)}
}

func (l *limiter) start(ctx context.Context) {
	for n := range limitsAtOnce {
		random := rand.New(rand.NewPCG(l.random.Uint64(), uint64(n)))
		l.running.Go(func() {
			for !l.stopped.Load() && ctx.Err() == nil {
				l.one(ctx, random, l.site.first()[random.IntN(servers)])
			}
		})
	}
}

// one has a server name a limit, sometimes another one while it stands.
func (l *limiter) one(ctx context.Context, random *rand.Rand, b *backend) {
	lasts := limitFloor + time.Duration(random.Int64N(int64(limitSpan)))
	rate := random.Float64() * mostLimit
	b.nameLimit(rate)
	l.wait(ctx, lasts/2)
	if random.IntN(2) == 0 {
		b.nameLimit(rate / 10)
	}
	l.wait(ctx, lasts/2)
	b.nameLimit(0)
}

// wait waits for a while, or until the run ends.
func (l *limiter) wait(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && !l.stopped.Load() && ctx.Err() == nil; {
		clock.Wait(ctx, readyEvery)
	}
}

func (l *limiter) stop() {
	l.stopped.Store(true)
	l.running.Wait()
}

// nameLimit has the present start of the server name a limit, 0 for none.
func (b *backend) nameLimit(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := ""
	if rate > 0 {
		limit = strconv.FormatFloat(rate, 'f', 3, 64)
	}
	b.tell(b.word, limit)
}

// excusing are the troubles of a daemon that excuse what it sends.
var excusing = []Trouble{Terminate, Kill, KillAll, Pause, CutStore, CutPeers}

// limited checks that servers that name a limit get what it allows.
func (c *checker) limited() {
	type place struct {
		server string
		start  int
	}
	came := map[place][]standin.LimitArrival{}
	for _, at := range c.seen.Arrivals {
		a, ok := c.asks[at.ID]
		if !ok || a.Life != a.LifeAfter || c.excused(a.Daemon, at.At) {
			continue
		}
		rate, err := strconv.ParseFloat(at.Word.Limit, 64)
		if err != nil {
			rate = 0
		}
		arrival := standin.LimitArrival{At: at.At, Daemon: fmt.Sprint(a.Daemon, " ", a.Life), Rate: rate}
		if a.Reply.Limit != "" && a.Reply.Server == at.Server {
			arrival.Passed = a.Ended
		}
		by := place{at.Server, at.Start}
		came[by] = append(came[by], arrival)
	}
	for by, arrivals := range came {
		if err := standin.CheckLimit(arrivals); err != nil {
			c.found("LIMIT", "%s: %v", by.server, err)
		}
	}
}

// excused reports whether a daemon was restarted, frozen or cut a moment ago.
func (c *checker) excused(daemon int, at time.Time) bool {
	for _, s := range c.seen.Spans {
		for _, t := range excusing {
			if s.Trouble == t && s.touches(daemon, at.Add(-calmBefore), at) {
				return true
			}
		}
	}
	return false
}
