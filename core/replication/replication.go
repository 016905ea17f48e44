// Package replication hands whole, numbered documents, such as table generations,
// from daemon to daemon. A daemon only ever moves forward to a higher number,
// and keeps how long ago its document was known to be the newest.
//
// A table of the intended size is tens of kilobytes and changes a few hundred
// times a day, so a document travels whole: a reader never sees half of an
// edit. docs/design/02-table-generations.md weighs this against metadata for
// each row.
package replication

import (
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"ladderridge.example/core/fault"
)

// Topic names a sort of document.
type Topic uint8

// The topics.
const (
	// Config is the operators' table.
	Config Topic = iota
	// VMs is the platform's list of VMs.
	VMs
	// Quality is the quality of versions as rated.
	Quality
	// Topics is how many there are.
	Topics
)

// String names the topic.
func (t Topic) String() string {
	if t >= Topics {
		return "unknown"
	}
	return [...]string{"config", "vms", "quality"}[t]
}

// Kind says what sort of error the package met.
type Kind string

// The kinds of error.
const (
	// Corrupt is a document that does not fit its sum.
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

// NewDocument makes a document with its sum.
func NewDocument(topic Topic, number uint64, data []byte) Document {
	return Document{Topic: topic, Number: number, Sum: xxhash.Sum64(data), Data: data}
}

// Offer says which document a daemon holds and how long ago, in milliseconds,
// that was known to be the newest.
type Offer struct {
	_      struct{} `cbor:",toarray"`
	Topic  Topic
	Number uint64
	Sum    uint64
	AgeMS  uint64
}

// FetchTimeout is how long a fetch may take before another daemon is asked.
const FetchTimeout = time.Second

// held is one document with what is known about it.
type held struct {
	doc       Document
	confirmed time.Time
	fetching  time.Time
	wanted    uint64
}

// Store is what one daemon holds. It is owned by one goroutine.
type Store struct {
	held [Topics]held
}

// Get returns the document of a topic; its number is 0 if there is none.
func (s *Store) Get(topic Topic) Document { return s.held[topic].doc }

// Older has all that was confirmed be older by a time for which the clock stood.
func (s *Store) Older(by time.Duration) {
	for topic := range s.held {
		h := &s.held[topic]
		if !h.confirmed.IsZero() {
			h.confirmed = h.confirmed.Add(-by)
		}
	}
}

// ConfirmedAt is when the document of a topic was last known to be the newest.
func (s *Store) ConfirmedAt(topic Topic) time.Time { return s.held[topic].confirmed }

// Offers returns what to tell other daemons.
func (s *Store) Offers(now time.Time) []Offer {
	out := make([]Offer, 0, Topics)
	for topic := range Topics {
		h := &s.held[topic]
		if h.doc.Number == 0 {
			continue
		}
		age := uint64(max(0, now.Sub(h.confirmed).Milliseconds()))
		out = append(out, Offer{Topic: topic, Number: h.doc.Number, Sum: h.doc.Sum, AgeMS: age})
	}
	return out
}

// Hear takes another daemon's offer and reports whether to fetch from it. Only
// a trusted offer confirms the document held.
func (s *Store) Hear(o Offer, trusted bool, now time.Time) bool {
	if o.Topic >= Topics {
		return false
	}
	h := &s.held[o.Topic]
	switch {
	case o.Number == h.doc.Number && o.Sum == h.doc.Sum:
		if trusted {
			s.Confirm(o.Topic, o.Number, now.Add(-o.age()))
		}
		return false
	case o.Number <= h.doc.Number:
		return false
	case o.Number <= h.wanted && now.Sub(h.fetching) < FetchTimeout:
		return false
	}
	h.fetching, h.wanted = now, o.Number
	return true
}

// maxAge bounds what an offer may claim as its age.
const maxAge = 365 * 24 * time.Hour

func (o Offer) age() time.Duration {
	return time.Duration(min(o.AgeMS, uint64(maxAge.Milliseconds()))) * time.Millisecond
}

// Confirm notes that the document of that number was the newest at a time.
func (s *Store) Confirm(topic Topic, number uint64, at time.Time) {
	h := &s.held[topic]
	if h.doc.Number == number && at.After(h.confirmed) {
		h.confirmed = at
	}
}

// Accept takes a document. It fails if the document is corrupt or not newer
// than the one held.
func (s *Store) Accept(d Document, confirmed time.Time) error {
	const op = "accept document"
	if d.Topic >= Topics {
		return &Error{Op: op, Kind: UnknownTopic}
	}
	if xxhash.Sum64(d.Data) != d.Sum {
		return &Error{Op: op, Kind: Corrupt, Err: errors.New(d.Topic.String())}
	}
	h := &s.held[d.Topic]
	if d.Number <= h.doc.Number {
		return &Error{Op: op, Kind: Older, Err: fmt.Errorf("%s %d, held %d", d.Topic, d.Number, h.doc.Number)}
	}
	h.doc, h.confirmed, h.fetching = d, confirmed, time.Time{}
	return nil
}
