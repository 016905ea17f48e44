// Package tablestore stores the operators' configuration table in the
// platform's services. Each generation of the table is an immutable object in
// the object store, and one key of the table service, the head, names the newest
// generation.
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
	// HistoryPrefix is the prefix of the keys that hold the Head of each
	// generation; the generation's number follows it.
	HistoryPrefix = "config/history/"
	objectPrefix  = "tables/"
)

// Kind classifies an error.
type Kind string

// The kinds of error.
const (
	// Stale is an edit that is based on a generation that is no longer the newest.
	Stale Kind = "stale edit"
	// Unsettled is an edit whose outcome is unknown.
	Unsettled Kind = "edit unsettled"
	// Unavailable means that the platform did not answer; nothing was changed.
	Unavailable Kind = "platform unavailable"
	// Damaged is a stored head that does not decode, or a stored table that does
	// not match its digest.
	Damaged Kind = "damaged table"
)

// String returns the name of the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// Head describes one generation.
type Head struct {
	Number uint64 `json:"number"`
	// Digest is the SHA-256 sum of the table's canonical encoding, in hexadecimal.
	Digest string `json:"digest"`
	// Edit is a random id of the edit, by which Apply recognises its own edit when
	// the answer to the write was lost.
	Edit   string    `json:"edit"`
	Author string    `json:"author"`
	Note   string    `json:"note,omitempty"`
	At     time.Time `json:"at"`
}

// Object returns the name of the generation's object.
func (h Head) Object() string { return objectPrefix + h.Digest }

// Store reads and writes generations. Set Platform before use.
type Store struct {
	Platform *platform.Client
}

// Newest returns the head of the newest generation and the version of its key;
// both are zero if no table has been stored.
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

// File returns the encoded table of a generation, checked against its digest.
func (s *Store) File(ctx context.Context, h Head) ([]byte, error) {
	data, err := s.Platform.GetObject(ctx, h.Object())
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	if hex.EncodeToString(sum[:]) != h.Digest {
		return nil, &Error{Op: "read table", Kind: Damaged, Err: fmt.Errorf("generation %d does not match its digest", h.Number)}
	}
	return data, nil
}

// Load returns the newest table and its head.
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
	// From is the number of the generation that the edit is based on.
	From   uint64
	Table  *table.Table
	Author string
	Note   string
	At     time.Time
}

// maxSettleAttempts is the maximum number of calls made to find out the outcome
// of a write.
const maxSettleAttempts = 5

// Apply stores an edit as the next generation. If the newest generation is not
// the one that the edit is based on, it changes nothing and fails with Stale. If
// the answer to the write is lost, it reads the head back to find out whether
// the edit took effect.
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

// putFile stores the object. An existing object has the same contents, because
// its name is its digest, so a write with an unknown outcome is simply retried.
func (s *Store) putFile(ctx context.Context, h Head, data []byte) error {
	var err error
	for range maxSettleAttempts {
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

// settle finds out whether an edit took effect after its write had an unknown
// outcome, or a conflict that may be due to its own earlier success.
func (s *Store) settle(ctx context.Context, h Head, cause error) (Head, error) {
	const op = "apply table"
	for range maxSettleAttempts {
		e, err := s.Platform.Get(ctx, historyKey(h.Number))
		if fault.Is(err, platform.NotFound) {
			return Head{}, &Error{Op: op, Kind: Unavailable, Err: cause}
		}
		if err != nil {
			continue
		}
		stored, err := decodeHead(e.Value)
		if err != nil {
			return Head{}, err
		}
		if stored.Edit == h.Edit {
			return h, nil
		}
		return stored, &Error{Op: op, Kind: Stale, Err: fmt.Errorf("%s stored generation %d first", stored.Author, stored.Number)}
	}
	return Head{}, &Error{Op: op, Kind: Unsettled, Err: errors.Join(errors.New("the outcome is unknown, check `ladderridge table history` before applying it again: edit "+h.Edit), cause)}
}
