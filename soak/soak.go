// Package soak runs the real daemons as separate processes on one machine,
// brings faults about from outside of them, and checks what callers and backend
// servers see against what ladderridge promises.
//
// A run is drawn from a seed: how many daemons, which faults, when. The store
// and the backend servers are stand-ins in the soak's own process; each way to
// them, to the daemons and between the daemons leads through a proxy on
// loopback that can hold, delay and break it.
package soak

import (
	"context"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/core/fault"
)

// Kind says what sort of error the package met.
type Kind string

// The kinds of errors.
const (
	// NoStart is a daemon or stand-in that does not start.
	NoStart Kind = "does not start"
	// NoReturn is a daemon that does not serve again after the faults are over.
	NoReturn Kind = "does not return"
)

// String names the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// Options say what is run.
type Options struct {
	// Program is the daemon's binary.
	Program string
	// Dir is an empty directory for settings and logs.
	Dir  string
	Seed uint64
	// Daemons is how many run; 0 is drawn from the seed.
	Daemons int
	// Faults is how many faults come within Length; 0 is drawn from the seed.
	Faults int
	Length time.Duration
	// Workers is how many callers ask at once; 0 is three for each daemon.
	Workers int
	// Bounds has the promises checked that name a time. They hold on a machine
	// that has a processor for each process that needs one.
	Bounds bool
	// Deadly has a caller come again and again with a request that ends each server that
	// begins to run it.
	Deadly bool
	// Stranger has somebody write entries that name no server to use.
	Stranger bool
	// Moods has servers say of themselves in answers what stands nowhere else.
	Moods bool
	// Drills has the store return from copies.
	Drills bool
	// Liar makes one server break a promise, which the checks must notice.
	Liar bool
}

// settleTime is how long after the last fault has ended requests still come: long
// enough for daemons to be back and to serve as before.
const settleTime = 5 * time.Second

// returnWithin bounds the wait for daemons that start or come back.
const returnWithin = 40 * time.Second

// Run runs one seed and returns what was seen.
func Run(ctx context.Context, o Options) (Report, error) {
	plan := NewPlan(o)
	s, err := newSite(o, plan)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	if err := s.awaitReady(ctx, returnWithin); err != nil {
		return Report{}, err
	}
	callers := newCallers(s, o)
	callers.start(ctx)
	poison, stranger, moods, limits := newDeadly(s, o.Seed), newStranger(s, o.Seed), newMoods(s, o.Seed), newLimiter(s, o.Seed)
	if o.Deadly {
		poison.start(ctx)
	}
	if o.Stranger {
		stranger.start(ctx)
	}
	if o.Moods {
		moods.start(ctx)
		limits.start(ctx)
	}
	drilled := newDrills(s, o.Seed)
	if o.Drills {
		drilled.start(ctx)
	}
	s.play(ctx, plan)
	moods.stop()
	limits.stop()
	drilled.stop()
	back := s.awaitReady(ctx, returnWithin)
	s.oracle.settled(time.Now())
	if o.Drills {
		drilled.last(ctx)
	}
	clock.Wait(ctx, settleTime)
	callers.stop()
	poison.stop()
	stranger.stop()
	if back != nil {
		s.oracle.found("RETURN", back.Error())
	}
	return s.oracle.report(o, plan), nil
}
