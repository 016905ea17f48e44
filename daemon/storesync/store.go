package storesync

import (
	"context"
	"slices"
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/fault"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
	"ladderridge.example/core/routemap"
)

// Kind is the kind of a store error.
type Kind string

// The kinds of errors.
const (
	// Unavailable means that the store gave no valid answer. The requested operation may have
	// been performed.
	Unavailable Kind = "store away"
	// Refused means that the store rejected the call without performing it.
	Refused Kind = "store refused"
	// HistoryLost means that the store no longer has the history of changes since the given
	// version.
	HistoryLost Kind = "history lost"
	// EraChanged means that the store was restored from a backup copy: the call referred to
	// versions that the store has assigned again. A write may have been performed.
	EraChanged Kind = "era changed"
	// Conflict means that the condition of a write did not hold.
	Conflict Kind = "condition failed"
	// Malformed means that a row cannot be decoded.
	Malformed Kind = "malformed"
)

// String returns the name of the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// Page is an answer of the store with rows.
type Page struct {
	// Rows are all rows, or those that have changed. Removed are the keys of removed rows.
	Rows    []gossip.Row
	Removed []string
	// Unreadable are rows that exist, but whose records cannot be read. Those of which the key is known are
	// among Rows, too, without data.
	Unreadable []UnreadableRow
	// Version is the latest version that the page includes.
	Version revision.Revision
	// ClockMS is the monotonic clock of the store, in milliseconds.
	ClockMS uint64
}

// hasUnknownKey reports whether the page has a row whose key cannot be read.
func (p Page) hasUnknownKey() bool {
	return slices.ContainsFunc(p.Unreadable, func(r UnreadableRow) bool { return r.Key == "" })
}

// UnreadableRow is a row whose record cannot be read: another writer may have left anything there.
type UnreadableRow struct {
	// Key is empty if it cannot be read either.
	Key string
	Err error
}

// Store is the store that all daemons share. Its answers are linearizable. Calls end when their
// context is done.
type Store interface {
	// Read returns all rows of a topic.
	Read(ctx context.Context, topic gossip.Topic) (Page, error)
	// Follow returns the rows that have changed since a version, as soon as there are any, and
	// at the latest after wait.
	Follow(ctx context.Context, topic gossip.Topic, after revision.Revision, wait time.Duration) (Page, error)
	// Verify returns the rows that have changed since a version at once, over a connection of its
	// own: kept connections may have been interrupted without notice.
	Verify(ctx context.Context, topic gossip.Topic, after revision.Revision) (Page, error)
	// Write sets a row if its version is still was. Number 0 means that the row does not exist.
	Write(ctx context.Context, topic gossip.Topic, key string, data []byte, was revision.Revision) error
	// Put sets a row unconditionally.
	Put(ctx context.Context, topic gossip.Topic, key string, data []byte) error
}

// Decoder decodes the rows of the platform's topics.
type Decoder interface {
	// Operator decodes a row of the operator topic.
	Operator(row gossip.Row) (Operator, error)
	// Server decodes a row of the servers topic. The load is not set.
	Server(row gossip.Row) (fleet.Server, error)
	// Progress decodes a row of the progress topic.
	Progress(row gossip.Row) (service string, p canary.Progress, err error)
	// WriteProgress encodes the state of a roll-out as a row.
	WriteProgress(service string, p canary.Progress) (gossip.Row, error)
}

// Operator is a row written by the operator: Config, Order, DrainedHall, or Other for a row
// that daemons ignore.
type Operator interface{ operator() }

// Config is the configuration.
type Config struct{ Map *routemap.Map }

// Order is an order to roll out a version.
type Order struct{ Order canary.Order }

// DrainedHall means that the servers of a data hall receive no requests as long as the row
// exists.
type DrainedHall struct{ Hall string }

// Other is a row that daemons ignore.
type Other struct{}

func (Config) operator()      {}
func (Order) operator()       {}
func (DrainedHall) operator() {}
func (Other) operator()       {}
