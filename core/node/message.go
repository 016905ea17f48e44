package node

import (
	"ladderridge.example/core/aggregation"
	"ladderridge.example/core/bill"
	"ladderridge.example/core/member"
	"ladderridge.example/core/replication"
)

// Message is what daemons say to each other.
type Message interface{ message() }

// Heartbeat probes a member, answers a probe, or tells news.
type Heartbeat struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	// Hall and Addr, on a probe, let a member be known that no list names yet.
	Hall string
	Addr string
	// Ask wants an answer. Turn is then the asker's turn; the answer repeats
	// it, so that the asker knows that it does not come from before a pause.
	Ask     bool
	Turn    uint64
	Offers  []replication.Offer
	Updates []member.Update
	Leaving []LeavingServer
}

// LeavingServer says that a backend server declines new work.
type LeavingServer struct {
	_  struct{} `cbor:",toarray"`
	ID string
	// AgeMS is how long ago it said so, in milliseconds.
	AgeMS uint64
}

// Fetch asks for the document of a topic.
type Fetch struct {
	_     struct{} `cbor:",toarray"`
	Topic replication.Topic
}

// Deliver answers a fetch.
type Deliver struct {
	_        struct{} `cbor:",toarray"`
	Document replication.Document
	AgeMS    uint64
}

// TallyUp carries a subtree's sums to its parent.
type TallyUp struct {
	_    struct{} `cbor:",toarray"`
	Sums aggregation.Sums
}

// TallyDown carries the totals of all data halls to children.
type TallyDown struct {
	_      struct{} `cbor:",toarray"`
	Totals aggregation.Totals
}

// TallyAcross carries a data hall's total to the roots of other halls.
type TallyAcross struct {
	_    struct{} `cbor:",toarray"`
	Hall aggregation.Hall
}

// Copies asks another daemon to hold bills. With Adopt it is to write them
// itself: their origin stops.
type Copies struct {
	_     struct{} `cbor:",toarray"`
	Bills []bill.Bill
	Adopt bool
}

// CopiesHeld answers Copies.
type CopiesHeld struct {
	_    struct{} `cbor:",toarray"`
	Keys []string
}

// Release says that the platform has these bills.
type Release struct {
	_    struct{} `cbor:",toarray"`
	Keys []string
}

func (Heartbeat) message()   {}
func (Fetch) message()       {}
func (Deliver) message()     {}
func (TallyUp) message()     {}
func (TallyDown) message()   {}
func (TallyAcross) message() {}
func (Copies) message()      {}
func (CopiesHeld) message()  {}
func (Release) message()     {}
