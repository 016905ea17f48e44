package node

import (
	"ladderridge.example/core/aggregation"
	"ladderridge.example/core/bill"
	"ladderridge.example/core/member"
	"ladderridge.example/core/replication"
)

// Message is a message between daemons.
type Message interface{ message() }

// Heartbeat probes a member, answers a probe, or spreads updates.
type Heartbeat struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	// Hall and Addr are set on probes, so that a member that is in no VM list yet can be added.
	Hall string
	Addr string
	// WantsReply requests an answer. Turn is the sender's turn, which the answer repeats: the sender then knows
	// that the answer was not sent before the sender was paused.
	WantsReply bool
	Turn       uint64
	Offers     []replication.Offer
	Updates    []member.Update
	Leaving    []LeavingServer
}

// LeavingServer reports that a backend server declines new requests.
type LeavingServer struct {
	_  struct{} `cbor:",toarray"`
	ID string
	// AgeMS is how long ago the server reported it, in milliseconds.
	AgeMS uint64
}

// Fetch requests the document of a topic.
type Fetch struct {
	_     struct{} `cbor:",toarray"`
	Topic replication.Topic
}

// Deliver is the answer to Fetch.
type Deliver struct {
	_        struct{} `cbor:",toarray"`
	Document replication.Document
	AgeMS    uint64
}

// SubtreeSums carries the sums of a subtree to its parent.
type SubtreeSums struct {
	_    struct{} `cbor:",toarray"`
	Sums aggregation.Sums
}

// TotalsReport carries the totals of all data halls from a parent to its children.
type TotalsReport struct {
	_      struct{} `cbor:",toarray"`
	Totals aggregation.Totals
}

// HallReport carries the total of a data hall to the root daemons of the other halls.
type HallReport struct {
	_    struct{} `cbor:",toarray"`
	Hall aggregation.HallTotal
}

// Copies asks another daemon to hold copies of bills. With Adopt the receiver takes the bills over
// and writes them itself, because the sender is shutting down.
type Copies struct {
	_     struct{} `cbor:",toarray"`
	Bills []bill.Bill
	Adopt bool
}

// CopiesHeld acknowledges Copies.
type CopiesHeld struct {
	_    struct{} `cbor:",toarray"`
	Keys []string
}

// Release reports that the platform has these bills, so that their copies can be dropped.
type Release struct {
	_    struct{} `cbor:",toarray"`
	Keys []string
}

func (Heartbeat) message()    {}
func (Fetch) message()        {}
func (Deliver) message()      {}
func (SubtreeSums) message()  {}
func (TotalsReport) message() {}
func (HallReport) message()   {}
func (Copies) message()       {}
func (CopiesHeld) message()   {}
func (Release) message()      {}
