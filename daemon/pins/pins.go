// Package pins agrees, through the platform's table service, on the version of
// a session that its caller names but whose sealed token it does not carry.
package pins

import (
	"context"
	"encoding/json"
	"errors"

	lru "github.com/hashicorp/golang-lru/v2"

	"ladderridge.example/core/fault"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/platform"
)

// Prefix is followed by an organisation's name and the hash of a session's.
const Prefix = "pin/"

// Kind says what sort of error the package met.
type Kind string

// Unavailable means that no version could be agreed on.
const Unavailable Kind = "pin unavailable"

// String names the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// cacheSize is how many sessions a daemon remembers. A pin never changes, so
// what is remembered is right for ever.
const cacheSize = 20_000

// Store agrees on pins. Use New.
type Store struct {
	platform *platform.Client
	cache    *lru.Cache[string, table.Ref]
}

// New returns a store with nothing remembered.
func New(p *platform.Client) *Store {
	cache, err := lru.New[string, table.Ref](cacheSize)
	if err != nil {
		// The size is a positive constant.
		panic(err)
	}
	return &Store{platform: p, cache: cache}
}

func key(organisation, session string) string {
	return Prefix + organisation + "/" + table.HashKey(session)
}

// Remembered returns the version of a session that this daemon has seen.
func (s *Store) Remembered(organisation, session string) (table.Ref, bool) {
	return s.cache.Get(key(organisation, session))
}

// Agree returns the version that a session keeps: the proposed one, unless
// another was agreed on before.
func (s *Store) Agree(ctx context.Context, organisation, session string, proposed table.Ref) (table.Ref, error) {
	k := key(organisation, session)
	value, err := json.Marshal(proposed)
	if err != nil {
		return table.Ref{}, &Error{Op: "agree on pin", Kind: Unavailable, Err: err}
	}
	_, err = s.platform.Write(ctx, platform.Txn{Ops: []platform.Op{{Key: k, Value: value}}})
	if err == nil {
		s.cache.Add(k, proposed)
		return proposed, nil
	}
	e, err := s.standing(ctx, k, err)
	if err != nil {
		return table.Ref{}, &Error{Op: "agree on pin", Kind: Unavailable, Err: err}
	}
	var ref table.Ref
	if err := json.Unmarshal(e.Value, &ref); err != nil {
		return table.Ref{}, &Error{Op: "agree on pin", Kind: Unavailable, Err: err}
	}
	s.cache.Add(k, ref)
	return ref, nil
}

// standing returns the pin that stands after a write did not succeed plainly:
// one that was there before, or this one if only its answer was lost.
func (s *Store) standing(ctx context.Context, k string, cause error) (platform.Entry, error) {
	var conflict *platform.ConflictError
	switch {
	case errors.As(cause, &conflict) && len(conflict.Failed) == 1:
		return conflict.Failed[0], nil
	case fault.Is(cause, platform.Unknown):
		return s.platform.Get(ctx, k)
	}
	return platform.Entry{}, cause
}
