package soak

import (
	"context"
	"fmt"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/platform/standin"
)

// The version that is rolled out.
const (
	newVersion = "v2"
	newServers = 2
	// rolloutDeadline is the deadline given to the roll-out, and rolloutWait how long the soak
	// waits for its outcome: it is longer because faults can delay the decision.
	rolloutDeadline = 6 * time.Second
	rolloutWait     = 15 * time.Second
	// rolledBackLifetime is how long the servers of a rolled-back version continue to run.
	rolledBackLifetime = 3 * time.Second
)

// Rollout is a roll-out as the operator observes it.
type Rollout struct {
	Version string
	// Bad reports whether the new version fails all requests, or answers many several times slower.
	Bad bool
	At  time.Time
	// State is the final state that the daemons wrote to the store, Settled when it was
	// observed.
	State   string
	Settled time.Time
}

// rollOut rolls out a new version of the model servers, at most once in a run, and waits for
// the outcome.
func (s *cluster) rollOut(ctx context.Context, bad bool) {
	started := s.startVersion(bad)
	if started == nil {
		return
	}
	order := Rollout{Version: newVersion, Bad: bad, At: time.Now()}
	if err := s.store.OrderVersion(modelStream, newVersion, rolloutDeadline); err != nil {
		s.recorder.found("SOAK", err.Error())
		return
	}
	for ctx.Err() == nil && time.Since(order.At) < rolloutWait && order.Settled.IsZero() {
		clock.Wait(ctx, readyEvery/5)
		switch state := s.store.RolloutState(modelStream); state {
		case standin.RolloutCompleted, standin.RolloutRolledBack:
			order.State, order.Settled = state, time.Now()
		}
	}
	s.recorder.rollout(order)
	switch order.State {
	case standin.RolloutCompleted:
		for _, b := range s.initialServers()[:modelServers] {
			b.retire()
		}
	case standin.RolloutRolledBack:
		clock.Wait(ctx, rolledBackLifetime)
		for _, b := range started {
			b.retire()
		}
	}
}

// initialServers returns the servers that were started with the cluster. A concurrent roll-out
// may append others.
func (s *cluster) initialServers() []*backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backends[:servers:servers]
}

// startVersion starts the servers of the new version. It returns nil if a roll-out has been
// started before.
func (s *cluster) startVersion(bad bool) []*backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rolloutStarted {
		return nil
	}
	s.rolloutStarted = true
	var out []*backend
	for n := range newServers {
		b, err := newBackend(s, fmt.Sprintf("new-%d", n), modelStream, hallName(n), newVersion)
		if err != nil {
			s.recorder.found("SOAK", err.Error())
			return nil
		}
		switch {
		case bad && s.slowVersions:
			b.setFault(standin.Slowed)
		case bad:
			b.setFault(standin.Failing)
		}
		s.backends = append(s.backends, b)
		out = append(out, b)
	}
	return out
}
