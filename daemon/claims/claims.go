// Package claims stores claims in the platform's table service. A claim is the
// record under an idempotency key, which ensures that a request that must not be
// repeated runs at most once.
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

// Prefix is the prefix of all claims' keys. The organisation's name and the hash
// of the caller's key follow it.
const Prefix = "claim/"

// Kind classifies an error.
type Kind string

// The kinds of error.
const (
	// Unavailable means that no claim could be made; the request must not run.
	Unavailable Kind = "claim unavailable"
)

// String returns the name of the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// maxSettling is the maximum number of background writes in progress. Beyond it
// outcomes are dropped and counted as unrecorded.
const maxSettling = 1000

// settleTimeout is how long recording an outcome is retried. After that a repeat
// of the request is answered that the outcome is unknown.
const settleTimeout = 30 * time.Minute

// maxSettleInterval is the maximum pause between two attempts.
const maxSettleInterval = 5 * time.Second

// Store makes claims and records their outcomes. Set Platform before use.
type Store struct {
	Platform *platform.Client

	// Unrecorded counts outcomes that could not be recorded.
	Unrecorded atomic.Int64

	settling atomic.Int64
	wg       sync.WaitGroup
}

// Held is a claim that this daemon holds.
type Held struct {
	Key     string
	Version uint64
	Record  claim.Record
}

// Key returns the key in the table service for an organisation and a caller's key.
func Key(organisation, key string) string {
	return Prefix + organisation + "/" + table.HashKey(key)
}

// Make creates the record under a key if there is none. It returns the claim if
// this request holds it, and otherwise nil and the record that exists.
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

// found decodes the record that exists under a key. It may be the request's own
// record, from an earlier attempt whose answer was lost.
func found(e platform.Entry, r claim.Record) (*Held, claim.Record, error) {
	var stored claim.Record
	if err := json.Unmarshal(e.Value, &stored); err != nil {
		return nil, stored, &Error{Op: "read claim", Kind: Unavailable, Err: err}
	}
	if stored.Claimer == r.Claimer {
		return &Held{Key: e.Key, Version: e.Version, Record: r}, stored, nil
	}
	return nil, stored, nil
}

// readBack reads a claim back after its write had an unknown outcome. If that
// fails too, the request does not run, and the claim is removed once the
// platform answers.
func (s *Store) readBack(ctx context.Context, key string, r claim.Record, cause error) (*Held, claim.Record, error) {
	e, err := s.Platform.Get(ctx, key)
	if err == nil {
		return found(e, r)
	}
	s.withdrawLater(key, r)
	return nil, claim.Record{}, &Error{Op: "make claim", Kind: Unavailable, Err: errors.Join(cause, err)}
}

// Settle records the outcome of a claim in the background, with retries until
// the platform has stored it.
func (s *Store) Settle(h *Held, r claim.Record) {
	value, err := json.Marshal(r)
	if err != nil {
		s.Unrecorded.Add(1)
		return
	}
	s.writeLater(platform.Op{Key: h.Key, Expect: h.Version, Value: value})
}

// Release removes the claim of a request that certainly did not run, so that a
// repeat of it may run. It does so in the background.
func (s *Store) Release(h *Held) {
	s.writeLater(platform.Op{Key: h.Key, Expect: h.Version, Delete: true})
}

// withdrawLater removes, in the background, a claim that may or may not exist.
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

func (s *Store) writeLater(op platform.Op) {
	s.background(func(ctx context.Context) error { return s.write(ctx, op) })
}

// write performs one operation. A conflict counts as success: only the holder of
// a claim changes its record, so an earlier attempt whose answer was lost must
// have taken effect.
func (s *Store) write(ctx context.Context, op platform.Op) error {
	_, err := s.Platform.Write(ctx, platform.Txn{Ops: []platform.Op{op}})
	if fault.Is(err, platform.Conflict) {
		return nil
	}
	return err
}

// background retries a task until it succeeds or settleTimeout has passed.
func (s *Store) background(task func(context.Context) error) {
	if s.settling.Add(1) > maxSettling {
		s.settling.Add(-1)
		s.Unrecorded.Add(1)
		return
	}
	s.wg.Go(func() {
		defer s.settling.Add(-1)
		interval := backoff.NewExponentialBackOff()
		interval.MaxInterval = maxSettleInterval
		ctx := context.Background()
		_, err := backoff.Retry(ctx, func() (struct{}, error) { return struct{}{}, task(ctx) },
			backoff.WithBackOff(interval), backoff.WithMaxElapsedTime(settleTimeout))
		if err != nil {
			s.Unrecorded.Add(1)
		}
	})
}

// Settling returns how many background writes are in progress.
func (s *Store) Settling() int64 { return s.settling.Load() }

// Wait waits until all background writes have ended, or ctx ends.
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
