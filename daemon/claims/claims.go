// Package claims keeps the records of requests that may not be repeated in the
// platform's table service.
package claims

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"ladderridge.example/core/claim"
	"ladderridge.example/core/fault"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/platform"
)

// Prefix is followed by an organisation's name and the hash of a caller's key.
const Prefix = "claim/"

// Kind says what sort of error the package met.
type Kind string

// The kinds of error.
const (
	// Unavailable means that nothing could be claimed; the request must not run.
	Unavailable Kind = "claim unavailable"
)

// String names the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// maxSettling bounds the outcomes that wait for the platform.
const maxSettling = 1000

// settleFor is how long an outcome is tried to be recorded. After that repeats
// are told that the outcome is unknown, which is true.
const settleFor = 30 * time.Minute

// settlePause bounds the pause between two tries.
const settlePause = 5 * time.Second

// Store makes and settles claims. Set its exported field before use.
type Store struct {
	Platform *platform.Client

	// Unrecorded counts outcomes that were given up.
	Unrecorded atomic.Int64

	settling atomic.Int64
	wg       sync.WaitGroup
}

// Held is a claim that this daemon has won.
type Held struct {
	Key     string
	Version uint64
	Record  claim.Record
}

// Key is the table service's key for a caller's key.
func Key(organisation, key string) string {
	return Prefix + organisation + "/" + table.HashKey(key)
}

// Make creates the record under a key if there is none. It returns the claim
// if it is this request's own, or else the record that was found.
func (s *Store) Make(ctx context.Context, key string, r claim.Record) (*Held, claim.Record, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, claim.Record{}, &Error{Op: "make claim", Kind: Unavailable, Err: err}
	}
	entries, err := s.Platform.Write(ctx, platform.Txn{Ops: []platform.Op{{Key: key, Value: value}}})
	if err == nil && len(entries) == 1 {
		return &Held{Key: key, Version: entries[0].Version, Record: r}, r, nil
	}
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict) && len(conflict.Failed) == 1:
		return found(conflict.Failed[0], r)
	case fault.Is(err, platform.Unknown):
		return s.readBack(ctx, key, r, err)
	}
	return nil, claim.Record{}, &Error{Op: "make claim", Kind: Unavailable, Err: err}
}

// found reads the record that stands under a key; the request's own one may
// stand there from a try whose answer was lost.
func found(e platform.Entry, r claim.Record) (*Held, claim.Record, error) {
	var there claim.Record
	if err := json.Unmarshal(e.Value, &there); err != nil {
		return nil, there, &Error{Op: "read claim", Kind: Unavailable, Err: err}
	}
	if there.Claimer == r.Claimer {
		return &Held{Key: e.Key, Version: e.Version, Record: r}, there, nil
	}
	return nil, there, nil
}

// readBack settles a claim whose answer was lost. If that fails too, the
// request does not run, and the claim is withdrawn once the platform answers.
func (s *Store) readBack(ctx context.Context, key string, r claim.Record, cause error) (*Held, claim.Record, error) {
	e, err := s.Platform.Get(ctx, key)
	if err == nil {
		return found(e, r)
	}
	s.withdrawLater(key, r)
	return nil, claim.Record{}, &Error{Op: "make claim", Kind: Unavailable, Err: errors.Join(cause, err)}
}

// Settle records the outcome of a claim in the background, until the platform
// has it.
func (s *Store) Settle(h *Held, r claim.Record) {
	value, err := json.Marshal(r)
	if err != nil {
		s.Unrecorded.Add(1)
		return
	}
	s.later(platform.Op{Key: h.Key, Expect: h.Version, Value: value})
}

// Release removes the claim of a request that certainly did not run, so that
// a repeat may run.
func (s *Store) Release(h *Held) {
	s.later(platform.Op{Key: h.Key, Expect: h.Version, Delete: true})
}

// withdrawLater removes a claim of which nobody knows whether it was made.
func (s *Store) withdrawLater(key string, r claim.Record) {
	s.background(func(ctx context.Context) error {
		e, err := s.Platform.Get(ctx, key)
		if fault.Is(err, platform.NotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		held, _, err := found(e, r)
		if err != nil || held == nil {
			return err
		}
		return s.write(ctx, platform.Op{Key: key, Expect: held.Version, Delete: true})
	})
}

func (s *Store) later(op platform.Op) {
	s.background(func(ctx context.Context) error { return s.write(ctx, op) })
}

// write writes one operation. A conflict means that an earlier try, whose
// answer was lost, took effect: nobody else writes a record that is there.
func (s *Store) write(ctx context.Context, op platform.Op) error {
	_, err := s.Platform.Write(ctx, platform.Txn{Ops: []platform.Op{op}})
	if fault.Is(err, platform.Conflict) {
		return nil
	}
	return err
}

// background runs a task until it succeeds or is given up.
func (s *Store) background(task func(context.Context) error) {
	if s.settling.Add(1) > maxSettling {
		s.settling.Add(-1)
		s.Unrecorded.Add(1)
		return
	}
	s.wg.Go(func() {
		defer s.settling.Add(-1)
		pause := backoff.NewExponentialBackOff()
		pause.MaxInterval = settlePause
		ctx := context.Background()
		_, err := backoff.Retry(ctx, func() (struct{}, error) { return struct{}{}, task(ctx) },
			backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(settleFor))
		if err != nil {
			s.Unrecorded.Add(1)
		}
	})
}

// Settling is how many outcomes wait for the platform.
func (s *Store) Settling() int64 { return s.settling.Load() }

// Wait waits until every outcome is recorded, or ctx ends.
func (s *Store) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
