package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/platform/standin"
)

// drills have the store go away for a moment and return from a copy that is some seconds old.
// What the operator and the servers had written since is written again.
type drills struct {
	site    *site
	random  *rand.Rand
	stopped atomic.Bool
	running sync.WaitGroup
}

const (
	// drillsPart tells their draws from those of others.
	drillsPart = 9000
	// oldestCopy is how old a copy is at most, drillAway how long the store is away, and
	// againWithin how long after its return all is written again.
	oldestCopy  = 4 * time.Second
	drillAway   = 800 * time.Millisecond
	againWithin = 400 * time.Millisecond
	// drillEvery is the longest pause between two drills.
	drillEvery = 5 * time.Second
)

func newDrills(s *site, seed uint64) *drills {
	return &drills{site: s, random: newRand(seed, drillsPart)}
}

func (d *drills) start(ctx context.Context) {
	d.running.Go(func() {
		for d.wait(ctx, time.Duration(d.random.Int64N(int64(drillEvery)))) {
			d.one(ctx)
		}
	})
}

// one plays a drill, sometimes two in a row from one copy.
func (d *drills) one(ctx context.Context) {
	store := d.site.store
	copied := store.Copy()
	if !d.wait(ctx, time.Duration(d.random.Int64N(int64(oldestCopy)))) {
		return
	}
	over := d.site.oracle.trouble(everybody, StoreReturns, time.Now())
	defer func() { over(time.Now()) }()
	var lost []standin.Lost
	for range 1 + d.random.IntN(2) {
		store.Play(standin.Down)
		clock.Wait(ctx, time.Duration(d.random.Int64N(int64(drillAway))))
		lost = append(lost, store.Restore(copied)...)
		store.Play(standin.None)
	}
	clock.Wait(ctx, time.Duration(d.random.Int64N(int64(againWithin))))
	for _, l := range lost {
		store.Replay(l)
	}
}

const (
	// lastWrites is how many versions the last drill takes back, lastKnown how long daemons
	// have to know them, lastCalm how long nothing else happens after the return.
	lastWrites = 20
	lastKnown  = time.Second
	lastCalm   = calmBefore + 200*time.Millisecond
)

// last plays a drill when all else is over, and has the operator and a server change something
// once the daemons are to know that the store is back.
func (d *drills) last(ctx context.Context) {
	store := d.site.store
	copied := store.Copy()
	for n := range lastWrites {
		if err := store.Set("other", strconv.Itoa(n), n); err != nil {
			d.site.oracle.found("SOAK", err.Error())
		}
	}
	// The configuration brings the version to all daemons.
	d.site.addRoute()
	clock.Wait(ctx, lastKnown)
	over := d.site.oracle.trouble(everybody, StoreReturns, time.Now())
	lost := store.Restore(copied)
	for _, l := range lost {
		if l.Table() != "other" {
			store.Replay(l)
		}
	}
	over(time.Now())
	clock.Wait(ctx, lastCalm)
	d.site.addRoute()
	d.site.first()[0].leave()
}

// wait waits for a while, and reports whether the drills go on.
func (d *drills) wait(ctx context.Context, pause time.Duration) bool {
	for end := time.Now().Add(pause); time.Now().Before(end) && !d.stopped.Load() && ctx.Err() == nil; {
		clock.Wait(ctx, readyEvery)
	}
	return !d.stopped.Load() && ctx.Err() == nil
}

func (d *drills) stop() {
	d.stopped.Store(true)
	d.running.Wait()
}
