// Package pins stores which model version a session is pinned to in the
// platform's table service. It is for callers that name a session but do not
// send its sealed token, so that all daemons use the same version for it.
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

// Prefix is the prefix of all pins' keys. The organisation's name and the hash
// of the session's name follow it.
const Prefix = "pin/"

// Kind classifies an error.
type Kind string

// Unavailable means that no version could be agreed on.
const Unavailable Kind = "pin unavailable"

// String returns the name of the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// cacheSize is how many pins are cached. A pin never changes, so cached pins
// need no invalidation.
const cacheSize = 20_000

// Store reads and creates pins. Get one from New.
type Store struct {
	platform *platform.Client
	cache    *lru.Cache[string, table.Ref]
}

// New returns a store with an empty cache.
func New(p *platform.Client) *Store {
	cache, err := lru.New[string, table.Ref](cacheSize)
	if err != nil {
		// lru.New fails only if the size is not positive.
		panic(err)
	}
	return &Store{platform: p, cache: cache}
}

func key(organisation, session string) string {
	return Prefix + organisation + "/" + table.HashKey(session)
}

// Cached returns the version of a session from the cache.
func (s *Store) Cached(organisation, session string) (table.Ref, bool) {
	return s.cache.Get(key(organisation, session))
}

// Agree pins a session to the proposed version, unless it is pinned already, and
// returns the version that it is pinned to.
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
	e, err := s.storedPin(ctx, k, err)
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

// storedPin returns the stored pin after a write that failed or whose outcome is
// unknown: an earlier one, or the proposed one if only the answer was lost.
func (s *Store) storedPin(ctx context.Context, k string, cause error) (platform.Entry, error) {
	var conflict *platform.ConflictError
	switch {
	case errors.As(cause, &conflict) && len(conflict.Failed) == 1:
		return conflict.Failed[0], nil
	case fault.Is(cause, platform.Unknown):
		return s.platform.Get(ctx, k)
	}
	return platform.Entry{}, cause
}
