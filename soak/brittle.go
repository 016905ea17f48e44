package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/clock"
)

// brittler has the servers of a service announce, for some time, that they fail if they refuse too many
// requests in a second. After contactTime none may wait there.
type brittler struct {
	cluster *cluster
	random  *rand.Rand
	stopped atomic.Bool
	running sync.WaitGroup
}

// BrittleTime is a time in which the servers of a service announced that they are brittle.
type BrittleTime struct {
	Service string
	Servers int
	// Bears is how many requests each of them bears to refuse in a second, Falls how often one of
	// them failed.
	Bears int
	Falls int
	From  time.Time
	To    time.Time
}

const (
	// brittleStream is the random stream of the brittler.
	brittleStream = 9200
	// brittleSlots is how many requests a server executes at a time where servers may be brittle.
	brittleSlots = 4
	// brittleMin and brittleSpan bound the length of a time, bearsMin and bearsSpan what a server
	// bears.
	brittleMin, brittleSpan = 5 * time.Second, 3 * time.Second
	bearsMin, bearsSpan     = 4, 12
	// fallSlack and fallFraction bound the falls in a time: a number, and a fraction of the servers.
	fallSlack    = 2
	fallFraction = 0.1
)

func newBrittler(s *cluster, seed uint64) *brittler {
	return &brittler{cluster: s, random: newRand(seed, brittleStream)}
}

func (b *brittler) start(ctx context.Context) {
	b.running.Go(func() {
		for !b.stopped.Load() && ctx.Err() == nil {
			clock.Wait(ctx, time.Duration(b.random.Int64N(int64(time.Second))))
			b.announce(ctx)
		}
	})
}

// announce has the servers of a service be brittle for some time.
func (b *brittler) announce(ctx context.Context) {
	t := BrittleTime{Service: modelPlain, Bears: bearsMin + b.random.IntN(bearsSpan), From: time.Now()}
	if b.random.IntN(2) == 0 {
		t.Service = modelStream
	}
	of := b.cluster.brittleServers(t.Service)
	t.Servers = len(of)
	length := brittleMin + time.Duration(b.random.Int64N(int64(brittleSpan)))
	b.set(of, t.Bears, false)
	clock.Wait(ctx, contactTime)
	b.set(of, t.Bears, true)
	clock.Wait(ctx, length-contactTime)
	b.set(of, 0, false)
	t.To = time.Now()
	for _, s := range of {
		t.Falls += int(s.falls.Swap(0))
	}
	b.cluster.recorder.update(func(s *Observations) { s.Brittle = append(s.Brittle, t) })
}

func (b *brittler) set(of []*backend, bears int, noQueue bool) {
	for _, s := range of {
		s.setBrittle(bears, noQueue)
	}
}

func (b *brittler) stop() {
	b.stopped.Store(true)
	b.running.Wait()
}

// brittleServers returns the servers of a service that exist from the beginning.
func (s *cluster) brittleServers(service string) []*backend {
	var out []*backend
	for _, b := range s.initialServers() {
		if b.service == service {
			out = append(out, b)
		}
	}
	return out
}

// fall crashes the server after it has refused too many requests; start is the start that did.
func (b *backend) fall(start int) {
	if !b.isRunning(start) {
		return
	}
	b.falls.Add(1)
	b.crashByRequest(false)
}
