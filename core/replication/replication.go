// Package replication copies whole, numbered documents, such as table generations,
// between daemons. A daemon only ever moves to a higher number, and records how long
// ago its document was known to be the newest.
//
// A table of the intended size is tens of kilobytes and changes a few hundred times a
// day. Documents are therefore transferred whole, so that a reader never sees half of
// an edit. docs/design/02-table-generations.md compares this with metadata for each
// row.
package replication

import (
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"ladderridge.example/core/fault"
)

// Topic is a kind of document.
type Topic uint8

// The topics.
const (
	// Config is the operators' table.
	Config Topic = iota
	// VMs is the platform's list of VMs.
	VMs
	// Quality is the quality of versions as rated.
	Quality
	// TopicCount is the number of topics.
	TopicCount
)

// String names the topic.
func (t Topic) String() string {
	if t >= TopicCount {
		return "unknown"
	}
	return [...]string{"config", "vms", "quality"}[t]
}

// Kind is the kind of an error.
type Kind string

// The kinds of error.
const (
	// Corrupt is a document whose checksum does not match.
	Corrupt Kind = "corrupt document"
	// Older is a document that is not newer than the one held.
	Older Kind = "older document"
	// UnknownTopic is a topic that this daemon does not know.
	UnknownTopic Kind = "unknown topic"
)

// String names the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// Document is one whole document.
type Document struct {
	_      struct{} `cbor:",toarray"`
	Topic  Topic
	Number uint64
	Sum    uint64
	Data   []byte
}

// NewDocument returns a document with its checksum.
func NewDocument(topic Topic, number uint64, data []byte) Document {
	return Document{Topic: topic, Number: number, Sum: xxhash.Sum64(data), Data: data}
}

// Offer announces the document that a daemon holds and how long ago, in milliseconds,
// it was known to be the newest.
type Offer struct {
	_      struct{} `cbor:",toarray"`
	Topic  Topic
	Number uint64
	Sum    uint64
	AgeMS  uint64
}

// FetchTimeout is the time after which a fetch is tried from another daemon.
const FetchTimeout = time.Second

// entry is the document of one topic, when it was last known to be the newest, and the
// fetch in progress.
type entry struct {
	doc         Document
	confirmed   time.Time
	fetchStart  time.Time
	fetchNumber uint64
}

// Store holds the documents of one daemon. It is owned by one goroutine.
type Store struct {
	entries [TopicCount]entry
}

// Get returns the document of a topic; its number is 0 if there is none.
func (s *Store) Get(topic Topic) Document { return s.entries[topic].doc }

// AddAge adds a duration for which the clock was suspended to the age of all
// confirmations.
func (s *Store) AddAge(by time.Duration) {
	for topic := range s.entries {
		e := &s.entries[topic]
		if !e.confirmed.IsZero() {
			e.confirmed = e.confirmed.Add(-by)
		}
	}
}

// ConfirmedAt returns when the document of a topic was last known to be the newest.
func (s *Store) ConfirmedAt(topic Topic) time.Time { return s.entries[topic].confirmed }

// Offers returns the offers to send to other daemons.
func (s *Store) Offers(now time.Time) []Offer {
	out := make([]Offer, 0, TopicCount)
	for topic := range TopicCount {
		e := &s.entries[topic]
		if e.doc.Number == 0 {
			continue
		}
		age := uint64(max(0, now.Sub(e.confirmed).Milliseconds()))
		out = append(out, Offer{Topic: topic, Number: e.doc.Number, Sum: e.doc.Sum, AgeMS: age})
	}
	return out
}

// ReceiveOffer processes another daemon's offer and reports whether to fetch the
// document from it. Only a trusted offer confirms the document held.
func (s *Store) ReceiveOffer(o Offer, trusted bool, now time.Time) bool {
	if o.Topic >= TopicCount {
		return false
	}
	e := &s.entries[o.Topic]
	switch {
	case o.Number == e.doc.Number && o.Sum == e.doc.Sum:
		if trusted {
			s.Confirm(o.Topic, o.Number, now.Add(-o.age()))
		}
		return false
	case o.Number <= e.doc.Number:
		return false
	case o.Number <= e.fetchNumber && now.Sub(e.fetchStart) < FetchTimeout:
		return false
	}
	e.fetchStart, e.fetchNumber = now, o.Number
	return true
}

// maxAge bounds the age that an offer may claim.
const maxAge = 365 * 24 * time.Hour

func (o Offer) age() time.Duration {
	return time.Duration(min(o.AgeMS, uint64(maxAge.Milliseconds()))) * time.Millisecond
}

// Confirm records that the document with the number was the newest at a time.
func (s *Store) Confirm(topic Topic, number uint64, at time.Time) {
	e := &s.entries[topic]
	if e.doc.Number == number && at.After(e.confirmed) {
		e.confirmed = at
	}
}

// Accept stores a document. It fails if the document is corrupt or not newer than the
// one held.
func (s *Store) Accept(d Document, confirmed time.Time) error {
	const op = "accept document"
	if d.Topic >= TopicCount {
		return &Error{Op: op, Kind: UnknownTopic}
	}
	if xxhash.Sum64(d.Data) != d.Sum {
		return &Error{Op: op, Kind: Corrupt, Err: errors.New(d.Topic.String())}
	}
	e := &s.entries[d.Topic]
	if d.Number <= e.doc.Number {
		return &Error{Op: op, Kind: Older, Err: fmt.Errorf("%s %d, held %d", d.Topic, d.Number, e.doc.Number)}
	}
	e.doc, e.confirmed, e.fetchStart = d, confirmed, time.Time{}
	return nil
}
