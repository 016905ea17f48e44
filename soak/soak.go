// Package soak runs the real daemons as separate processes on one machine, injects faults from
// outside of them, and checks the observations of callers and backend servers against the
// guarantees of ladderridge.
//
// The seed determines the plan of a run: the number of daemons, and which faults happen when.
// The store and the backend servers are stand-ins in the soak's own process. Connections to
// them, to the daemons and between the daemons go through proxies on loopback that can stall,
// delay and break them.
package soak

import (
	"context"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/core/fault"
)

// Kind is the kind of an error.
type Kind string

const (
	// NoStart means that a daemon or stand-in did not start.
	NoStart Kind = "does not start"
	// NoReturn means that a daemon did not become ready again after the faults ended.
	NoReturn Kind = "does not return"
)

func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// Options configures a run.
type Options struct {
	// Program is the path of the daemon's binary.
	Program string
	// Dir is an empty directory for settings files and logs.
	Dir  string
	Seed uint64
	// Daemons is the number of daemons; 0 has the seed determine it.
	Daemons int
	// Faults is the number of faults within Length; 0 derives it from Length, -1 is none.
	Faults int
	Length time.Duration
	// Workers is the number of concurrent callers; 0 means three for each daemon.
	Workers int
	// Bounds also checks the guarantees with a time bound. They hold only on a machine with
	// enough processors to run all processes without delay.
	Bounds bool
	// CrashingRequest has a caller repeatedly send a request that crashes each server that
	// begins to run it.
	CrashingRequest bool
	// CorruptEntries writes corrupted server entries into the store.
	CorruptEntries bool
	// Announcements has servers announce drain, back-off and rate limits in their answers only,
	// without a store entry.
	Announcements bool
	// StoreRestores has the store become unavailable and return from an older copy.
	StoreRestores bool
	// ServerCuts cuts some of the daemons from all backend servers.
	ServerCuts bool
	// BrittleServers has the servers of a service announce that they fail if they refuse too many
	// requests in a second.
	BrittleServers bool
	// SkewedConnections has most new connections go to one daemon at times.
	SkewedConnections bool
	// FailedContinuations has streams break off while the servers answer requests for the rest of a
	// stream with something else.
	FailedContinuations bool
	// EndlessAnswers has some servers send bytes without end in place of answers.
	EndlessAnswers bool
	// Uploads has a caller send long requests, of which servers answer some early and reset them.
	Uploads bool
	// SlowVersions has the bad versions that are rolled out answer every second request several times
	// slower, in place of failing all.
	SlowVersions bool
	// LyingServer makes one server violate a guarantee, which the checks must detect.
	LyingServer bool
}

// settleTime is how long callers continue after the last fault has ended: long enough for
// daemons to recover and serve as before.
const settleTime = 5 * time.Second

// readyTimeout is how long daemons may take to become ready after a start or a fault.
const readyTimeout = 40 * time.Second

// Run runs the plan of one seed and returns the report.
func Run(ctx context.Context, o Options) (Report, error) {
	plan := NewPlan(o)
	s, err := newCluster(o, plan)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	if err := s.awaitReady(ctx, readyTimeout); err != nil {
		return Report{}, err
	}
	callers := newCallers(s, o)
	callers.start(ctx)
	crasher, corrupter, restorer := newCrasher(s, o.Seed), newCorrupter(s, o.Seed), newRestorer(s, o.Seed)
	if o.CrashingRequest {
		crasher.start(ctx)
	}
	if o.CorruptEntries {
		corrupter.start(ctx)
	}
	if o.StoreRestores {
		restorer.start(ctx)
	}
	stop := s.startExtras(ctx, o)
	s.play(ctx, o, plan)
	stop()
	restorer.stop()
	recoverErr := s.awaitReady(ctx, readyTimeout)
	s.recorder.settled(time.Now())
	if o.StoreRestores {
		restorer.final(ctx)
	}
	clock.Wait(ctx, settleTime)
	if o.StoreRestores {
		restorer.agreement(ctx, agreeWithin(o))
	}
	callers.stop()
	crasher.stop()
	corrupter.stop()
	if recoverErr != nil {
		s.recorder.found("RETURN", recoverErr.Error())
	}
	return s.recorder.report(o, plan), nil
}

// startExtras starts the faults beside the plan that end with it, and returns a function that stops them.
func (s *cluster) startExtras(ctx context.Context, o Options) (stop func()) {
	announcer, limiter, cutter, brittler, uploader := newAnnouncer(s, o.Seed), newLimiter(s, o.Seed), newCutter(s, o.Seed), newBrittler(s, o.Seed), newUploader(s, o.Seed)
	if o.Announcements {
		announcer.start(ctx)
		limiter.start(ctx)
	}
	if o.ServerCuts {
		cutter.start(ctx)
	}
	if o.BrittleServers {
		brittler.start(ctx)
	}
	if o.Uploads {
		uploader.start(ctx)
	}
	return func() {
		uploader.stop()
		cutter.stop()
		brittler.stop()
		announcer.stop()
		limiter.stop()
	}
}
