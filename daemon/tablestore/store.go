// Package tablestore keeps the operators' table in the platform's services:
// each generation is one immutable object, and one key of the table service,
// the head, names the newest.
package tablestore

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"ladderridge.example/core/fault"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/platform"
)

// Keys in the table service.
const (
	// HeadKey holds the Head of the newest generation.
	HeadKey = "config/head"
	// HistoryPrefix is followed by a generation's number.
	HistoryPrefix = "config/history/"
	objectPrefix  = "tables/"
)

// Kind says what sort of error the package met.
type Kind string

// The kinds of error.
const (
	// Stale is an edit made from a generation that is no longer the newest.
	Stale Kind = "stale edit"
	// Unsettled is an edit of which nobody knows yet whether it took effect.
	Unsettled Kind = "edit unsettled"
	// Unavailable means that the platform gave no answer; nothing was changed.
	Unavailable Kind = "platform unavailable"
	// Damaged is a stored table that does not fit its digest.
	Damaged Kind = "damaged table"
)

// String names the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// Head names one generation.
type Head struct {
	Number uint64 `json:"number"`
	// Digest is the hex SHA-256 sum of the table's canonical file.
	Digest string `json:"digest"`
	// Edit is the edit's own id, by which its author finds it again.
	Edit   string    `json:"edit"`
	Author string    `json:"author"`
	Note   string    `json:"note,omitempty"`
	At     time.Time `json:"at"`
}

// Object is the name of the generation's object.
func (h Head) Object() string { return objectPrefix + h.Digest }

// Store reads and writes generations. Set its field before use.
type Store struct {
	Platform *platform.Client
}

// Newest returns the head and its version in the table service; both are zero
// if no table was ever stored.
func (s *Store) Newest(ctx context.Context) (Head, uint64, error) {
	e, err := s.Platform.Get(ctx, HeadKey)
	if fault.Is(err, platform.NotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	h, err := decodeHead(e.Value)
	return h, e.Version, err
}

func decodeHead(data []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return Head{}, &Error{Op: "read head", Kind: Damaged, Err: err}
	}
	return h, nil
}

// File returns a generation's file and checks it against its digest.
func (s *Store) File(ctx context.Context, h Head) ([]byte, error) {
	data, err := s.Platform.GetObject(ctx, h.Object())
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	if hex.EncodeToString(sum[:]) != h.Digest {
		return nil, &Error{Op: "read table", Kind: Damaged, Err: fmt.Errorf("generation %d does not fit its digest", h.Number)}
	}
	return data, nil
}

// Load returns the newest table with its head.
func (s *Store) Load(ctx context.Context) (*table.Table, Head, error) {
	h, _, err := s.Newest(ctx)
	if err != nil {
		return nil, Head{}, err
	}
	if h.Number == 0 {
		return table.New(table.Table{}), h, nil
	}
	data, err := s.File(ctx, h)
	if err != nil {
		return nil, Head{}, err
	}
	t, err := table.Parse(data)
	return t, h, err
}

// Generation returns the head of an earlier generation.
func (s *Store) Generation(ctx context.Context, number uint64) (Head, error) {
	e, err := s.Platform.Get(ctx, historyKey(number))
	if err != nil {
		return Head{}, err
	}
	return decodeHead(e.Value)
}

func historyKey(number uint64) string { return fmt.Sprintf("%s%012d", HistoryPrefix, number) }

// Edit is a change of the table.
type Edit struct {
	// From is the number of the generation that it was made from.
	From   uint64
	Table  *table.Table
	Author string
	Note   string
	At     time.Time
}

// settleTries bounds the reads that settle a lost answer.
const settleTries = 5

// Apply stores an edit as the next generation. If the newest generation is not
// the one the edit was made from, it changes nothing and fails with Stale. A
// lost answer is settled by reading whether the edit is there.
func (s *Store) Apply(ctx context.Context, e Edit) (Head, error) {
	const op = "apply table"
	newest, version, err := s.Newest(ctx)
	if err != nil {
		return Head{}, &Error{Op: op, Kind: Unavailable, Err: err}
	}
	if newest.Number != e.From {
		return newest, &Error{Op: op, Kind: Stale, Err: fmt.Errorf("the edit was made from generation %d, the newest is %d by %s", e.From, newest.Number, newest.Author)}
	}
	data := e.Table.Encode()
	sum := sha256.Sum256(data)
	h := Head{Number: e.From + 1, Digest: hex.EncodeToString(sum[:]), Edit: rand.Text(), Author: e.Author, Note: e.Note, At: e.At}
	if err := s.putFile(ctx, h, data); err != nil {
		return Head{}, &Error{Op: op, Kind: Unavailable, Err: err}
	}
	value, err := json.Marshal(h)
	if err != nil {
		return Head{}, &Error{Op: op, Kind: Damaged, Err: err}
	}
	_, err = s.Platform.Write(ctx, platform.Txn{Ops: []platform.Op{
		{Key: HeadKey, Expect: version, Value: value},
		{Key: historyKey(h.Number), Expect: 0, Value: value},
	}})
	switch {
	case err == nil:
		return h, nil
	case fault.Is(err, platform.Unknown), fault.Is(err, platform.Conflict):
		return s.settle(ctx, h, err)
	}
	return Head{}, &Error{Op: op, Kind: Unavailable, Err: err}
}

// putFile stores the object. One that is there already has the same contents,
// since its name is its digest; so a lost answer is tried once more.
func (s *Store) putFile(ctx context.Context, h Head, data []byte) error {
	var err error
	for range settleTries {
		err = s.Platform.PutObject(ctx, h.Object(), data)
		if err == nil || fault.Is(err, platform.Conflict) {
			return nil
		}
		if !fault.Is(err, platform.Unknown) {
			return err
		}
	}
	return err
}

// settle finds out whether an edit whose answer was lost, or which met a
// conflict that may be its own earlier success, took effect.
func (s *Store) settle(ctx context.Context, h Head, cause error) (Head, error) {
	const op = "apply table"
	for range settleTries {
		e, err := s.Platform.Get(ctx, historyKey(h.Number))
		if fault.Is(err, platform.NotFound) {
			return Head{}, &Error{Op: op, Kind: Unavailable, Err: cause}
		}
		if err != nil {
			continue
		}
		there, err := decodeHead(e.Value)
		if err != nil {
			return Head{}, err
		}
		if there.Edit == h.Edit {
			return h, nil
		}
		return there, &Error{Op: op, Kind: Stale, Err: fmt.Errorf("%s stored generation %d first", there.Author, there.Number)}
	}
	return Head{}, &Error{Op: op, Kind: Unsettled, Err: errors.Join(errors.New("look with `ladderridge table history` before you apply again: edit "+h.Edit), cause)}
}
