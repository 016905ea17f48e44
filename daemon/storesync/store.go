package storesync

import (
	"context"
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/fault"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
	"ladderridge.example/core/routemap"
)

// Kind says what sort of error a store met.
type Kind string

// The kinds of error.
const (
	// Unavailable is a store that gave no answer, or none that counts: what was asked
	// may have been done.
	Unavailable Kind = "store away"
	// Refused is a store that did nothing and says so.
	Refused Kind = "store refused"
	// HistoryLost is a store that no longer knows what has changed since.
	HistoryLost Kind = "history lost"
	// EraChanged is a store that has returned from a copy since: what was asked of it was
	// about versions that it has given out again. A write may have been done.
	EraChanged Kind = "era changed"
	// Conflict is a condition that did not hold.
	Conflict Kind = "condition failed"
	// Malformed is a row that does not decode.
	Malformed Kind = "malformed"
)

// String names the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// Page is an answer about rows.
type Page struct {
	// Rows are all rows, or those that have changed; Removed are the keys of
	// rows that are gone.
	Rows    []gossip.Row
	Removed []string
	// Version is the newest that the page reflects.
	Version revision.Revision
	// ClockMS is the store's own steady clock, in milliseconds.
	ClockMS uint64
}

// Store keeps rows for all daemons. Its answers are linearizable. Calls end by
// their context.
type Store interface {
	// Read returns all rows of a topic.
	Read(ctx context.Context, topic gossip.Topic) (Page, error)
	// Follow returns the rows that have changed since a version, as soon as
	// there are any and at the latest after wait.
	Follow(ctx context.Context, topic gossip.Topic, after revision.Revision, wait time.Duration) (Page, error)
	// Write sets a row if its version is still was; the number 0 means that there is none.
	Write(ctx context.Context, topic gossip.Topic, key string, data []byte, was revision.Revision) error
	// Put sets a row whatever it was.
	Put(ctx context.Context, topic gossip.Topic, key string, data []byte) error
}

// Decoder reads the rows of the platform's own topics.
type Decoder interface {
	// Operator reads a row of the operator's topic.
	Operator(row gossip.Row) (Operator, error)
	// Server reads a row of the servers' topic, but for its load.
	Server(row gossip.Row) (fleet.Server, error)
	// Progress reads a row of the progress topic.
	Progress(row gossip.Row) (service string, p canary.Progress, err error)
	// WriteProgress makes the row that tells the state of a roll-out.
	WriteProgress(service string, p canary.Progress) (gossip.Row, error)
}

// Operator is a row that the operator has written: Config, Order, Emptied, or Other
// for a row that means nothing here.
type Operator interface{ operator() }

// Config is the configuration.
type Config struct{ Map *routemap.Map }

// Order is an order to bring in a version.
type Order struct{ Order canary.Order }

// DrainedHall tells that the servers of a data hall are to get nothing more, for as long as
// the row stands.
type DrainedHall struct{ Hall string }

// Other is a row that means nothing to a daemon.
type Other struct{}

func (Config) operator()      {}
func (Order) operator()       {}
func (DrainedHall) operator() {}
func (Other) operator()       {}
