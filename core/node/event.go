package node

import (
	"time"

	"ladderridge.example/core/aggregation"
	"ladderridge.example/core/bill"
	"ladderridge.example/core/member"
	"ladderridge.example/core/replication"
)

// Event is an input of the state machine.
type Event interface{ event() }

// Tick is delivered once per TickInterval.
type Tick struct {
	// Own holds the counters of this daemon.
	Own aggregation.Sums
}

// Flush is delivered every FlushInterval while bills are held, to write those that are due.
type Flush struct{}

// Suspended reports that the VM was suspended: the clock of the process stopped for this time
// while real time went on.
type Suspended struct{ For time.Duration }

// Received is a message from another daemon. From is the identity in its certificate.
type Received struct {
	From    string
	Message Message
}

// ReadDone is the result of a Read.
type ReadDone struct {
	Topic replication.Topic
	// Number is that of the newest document. Data is nil if that is the document already held.
	Number uint64
	Data   []byte
	// SentAt is when the read was sent: the document was the newest one at that time.
	SentAt time.Time
	// Failed is set if the platform gave no answer.
	Failed bool
	// RetryAfter is the delay that the platform asked for before the next read, 0 if none.
	RetryAfter time.Duration
}

// VMsKnown holds the entry VMs of a VM list. It follows Changed for the topic VMs.
type VMsKnown struct {
	Entries []member.Listed
	Halls   int
}

// BillAdded adds a bill that has to reach the platform.
type BillAdded struct{ Bill bill.Bill }

// BillCopyTimedOut reports that no daemon acknowledged the copy of a bill in time.
type BillCopyTimedOut struct{ Key string }

// BillsWritten is the result of a successful WriteBills. Found lists the keys that were already in
// the store.
type BillsWritten struct{ Found []string }

// BillsFailed is the result of a WriteBills that failed or whose outcome is unknown.
type BillsFailed struct{ RetryAfter time.Duration }

// ServerLeaving reports a backend server that declined a request of this daemon because it is
// shutting down.
type ServerLeaving struct{ ID string }

// Leave starts the shutdown of the daemon: it hands over the bills that are not written yet.
type Leave struct{}

func (Tick) event()             {}
func (Flush) event()            {}
func (Suspended) event()        {}
func (Received) event()         {}
func (ReadDone) event()         {}
func (VMsKnown) event()         {}
func (BillAdded) event()        {}
func (BillCopyTimedOut) event() {}
func (BillsWritten) event()     {}
func (BillsFailed) event()      {}
func (ServerLeaving) event()    {}
func (Leave) event()            {}

// Action is an output of the state machine, carried out by the code that drives it.
type Action interface{ action() }

// Send sends a message to another daemon.
type Send struct {
	To      string
	Addr    string
	Message Message
}

// Read fetches the newest document of a topic from the platform.
type Read struct {
	Topic replication.Topic
	// HeldNumber is the number of the document already held.
	HeldNumber uint64
}

// WriteBills writes bills in one transaction that requires all their keys to be absent.
type WriteBills struct{ Bills []bill.Bill }

// BillDurable reports that a bill survives the loss of this daemon: another daemon holds a copy, or
// the platform has it.
type BillDurable struct{ Key string }

// BillNotReplicated reports that there is no other daemon to hold a copy of a bill.
type BillNotReplicated struct{ Key string }

// Changed reports that a newer document has been accepted.
type Changed struct{ Document replication.Document }

func (Send) action()              {}
func (Read) action()              {}
func (WriteBills) action()        {}
func (BillDurable) action()       {}
func (BillNotReplicated) action() {}
func (Changed) action()           {}
