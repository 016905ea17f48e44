package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/platform/standin"
)

// interrupter resets the connections of model servers while all of them answer requests for the rest of a
// stream with something else, one time after the other. MIXED covers what callers get.
type interrupter struct {
	cluster *cluster
	random  *rand.Rand
	stopped atomic.Bool
	running sync.WaitGroup
}

const (
	// interruptStream is the random stream of the interrupter.
	interruptStream = 9200
	// interruptPause is the longest pause between two times; interruptions is the number of resets in
	// one, and interruptEvery the time between two of them. The last answers come at the deadline.
	interruptPause = 2 * time.Second
	interruptions  = 8
	interruptEvery = 100 * time.Millisecond
)

func newInterrupter(s *cluster, seed uint64) *interrupter {
	return &interrupter{cluster: s, random: newRand(seed, interruptStream)}
}

func (d *interrupter) start(ctx context.Context) {
	d.running.Go(func() {
		for !d.stopped.Load() && ctx.Err() == nil {
			clock.Wait(ctx, time.Duration(d.random.Int64N(int64(interruptPause))))
			d.interrupt(ctx)
		}
	})
}

func (d *interrupter) interrupt(ctx context.Context) {
	end := d.cluster.recorder.beginFault(allDaemons, FailContinuations, time.Now())
	defer func() { end(time.Now()) }()
	all := d.cluster.initialServers()[:modelServers]
	faults := []standin.ContinuationFault{standin.FailAtDeadline, standin.FailAsUnknown, standin.AnswerAnew}
	f := faults[d.random.IntN(len(faults))]
	for _, b := range all {
		b.setContinuations(f)
	}
	for range interruptions {
		all[d.random.IntN(len(all))].link.Reset()
		clock.Wait(ctx, interruptEvery)
	}
	if f == standin.FailAtDeadline {
		clock.Wait(ctx, streamLimit)
	}
	for _, b := range all {
		b.setContinuations(standin.Continue)
	}
}

func (d *interrupter) stop() {
	d.stopped.Store(true)
	d.running.Wait()
}
