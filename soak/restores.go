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

// restorer simulates restores of the store: the store becomes unavailable for a moment and
// returns from a copy that is some seconds old. The operator and the servers then repeat the
// writes that were lost.
type restorer struct {
	cluster *cluster
	random  *rand.Rand
	stopped atomic.Bool
	running sync.WaitGroup
}

const (
	// restoreStream is the random stream of the restorer.
	restoreStream = 9000
	// maxCopyAge is the greatest age of a copy, maxOutage the longest outage of the store, and
	// rewriteDelay the longest delay until the lost writes are repeated.
	maxCopyAge   = 4 * time.Second
	maxOutage    = 800 * time.Millisecond
	rewriteDelay = 400 * time.Millisecond
	// restoreInterval is the longest pause between two restores.
	restoreInterval = 5 * time.Second
)

func newRestorer(s *cluster, seed uint64) *restorer {
	return &restorer{cluster: s, random: newRand(seed, restoreStream)}
}

func (d *restorer) start(ctx context.Context) {
	d.running.Go(func() {
		for d.wait(ctx, time.Duration(d.random.Int64N(int64(restoreInterval)))) {
			d.restore(ctx)
		}
	})
}

// restore simulates a restore, sometimes two in a row from the same copy.
func (d *restorer) restore(ctx context.Context) {
	store := d.cluster.store
	copied := store.Copy()
	if !d.wait(ctx, time.Duration(d.random.Int64N(int64(maxCopyAge)))) {
		return
	}
	end := d.cluster.recorder.beginFault(allDaemons, StoreReturns, time.Now())
	defer func() { end(time.Now()) }()
	var lost []standin.Lost
	for range 1 + d.random.IntN(2) {
		store.Play(standin.Down)
		clock.Wait(ctx, time.Duration(d.random.Int64N(int64(maxOutage))))
		lost = append(lost, store.Restore(copied)...)
		store.Play(standin.None)
	}
	clock.Wait(ctx, time.Duration(d.random.Int64N(int64(rewriteDelay))))
	for _, l := range lost {
		store.Replay(l)
	}
}

const (
	// finalWrites is how many store versions the final restore loses, finalWait how long
	// daemons have to learn of them, and finalQuiet how long nothing else changes after the
	// restore.
	finalWrites = 20
	finalWait   = time.Second
	finalQuiet  = quietPeriod + 200*time.Millisecond
)

// final simulates a last restore after all other faults have ended, and has the operator and a
// server make changes once the daemons must know that the store was restored.
func (d *restorer) final(ctx context.Context) {
	store := d.cluster.store
	copied := store.Copy()
	for n := range finalWrites {
		if err := store.Set("other", strconv.Itoa(n), n); err != nil {
			d.cluster.recorder.found("SOAK", err.Error())
		}
	}
	// The new configuration has all daemons read the current store version.
	d.cluster.addRoute()
	clock.Wait(ctx, finalWait)
	over := d.cluster.recorder.beginFault(allDaemons, StoreReturns, time.Now())
	lost := store.Restore(copied)
	for _, l := range lost {
		if l.Table() != "other" {
			store.Replay(l)
		}
	}
	over(time.Now())
	clock.Wait(ctx, finalQuiet)
	d.cluster.addRoute()
	d.cluster.initialServers()[0].leave()
}

// The bounds of the outage before the restore that checks agreement, and of the delay until the
// lost writes are repeated.
const (
	minLongOutage, longOutageSpan = time.Second, 3 * time.Second
	longRewriteDelay              = 4 * time.Second
)

// drainedHall is a data hall without servers, which the operator drains.
const drainedHall = "hall-unused"

// agreement simulates a restore after an outage in which most daemons try the store, with writes
// that are repeated with the same contents. Nothing else changes until all daemons have agreed
// with the store for longer than they hold lost rows.
func (d *restorer) agreement(ctx context.Context, bound time.Duration) {
	store := d.cluster.store
	copied := store.Copy()
	d.cluster.addRoute()
	d.cluster.initialServers()[1].leave()
	if err := store.DrainHall(drainedHall); err != nil {
		d.cluster.recorder.found("SOAK", err.Error())
	}
	clock.Wait(ctx, finalWait)
	over := d.cluster.recorder.beginFault(allDaemons, StoreReturns, time.Now())
	store.Play(standin.Down)
	clock.Wait(ctx, minLongOutage+time.Duration(d.random.Int64N(int64(longOutageSpan))))
	lost := store.Restore(copied)
	store.Play(standin.None)
	clock.Wait(ctx, time.Duration(d.random.Int64N(int64(longRewriteDelay))))
	for _, l := range lost {
		store.Replay(l)
	}
	over(time.Now())
	d.cluster.checkAgreement(ctx, bound)
}

// wait waits for pause and reports whether the restorer is still running.
func (d *restorer) wait(ctx context.Context, pause time.Duration) bool {
	for end := time.Now().Add(pause); time.Now().Before(end) && !d.stopped.Load() && ctx.Err() == nil; {
		clock.Wait(ctx, readyEvery)
	}
	return !d.stopped.Load() && ctx.Err() == nil
}

func (d *restorer) stop() {
	d.stopped.Store(true)
	d.running.Wait()
}
