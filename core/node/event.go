package node

import (
	"time"

	"ladderridge.example/core/aggregation"
	"ladderridge.example/core/bill"
	"ladderridge.example/core/member"
	"ladderridge.example/core/replication"
)

// Event is something that happened to a daemon.
type Event interface{ event() }

// Tick comes once in TickEvery.
type Tick struct {
	// Own are this daemon's figures.
	Own aggregation.Sums
}

// Flush comes when bills may be due; FlushEvery while there are any.
type Flush struct{}

// StoodStill tells that the VM was suspended: the node's clock did not move for that time,
// and the world did.
type StoodStill struct{ For time.Duration }

// Received is a message from another daemon, whose certificate names it.
type Received struct {
	From    string
	Message Message
}

// ReadDone answers the order Read.
type ReadDone struct {
	Topic replication.Topic
	// Number is the newest document's; Data is nil if it is the one held.
	Number uint64
	Data   []byte
	// At is when the read was sent: the document was the newest then.
	At time.Time
	// Failed tells that the platform gave no answer.
	Failed bool
	// After is when the platform says to come back, if it does.
	After time.Duration
}

// VMsKnown hands over the entry VMs of a VM list, after Changed{VMs}.
type VMsKnown struct {
	Entries []member.Listed
	Halls   int
}

// BillAdded is a request to bill.
type BillAdded struct{ Bill bill.Bill }

// BillAgain says that nobody has acknowledged a bill's copy in time.
type BillAgain struct{ Key string }

// BillsWritten answers WriteBills; Found are the keys that were there before.
type BillsWritten struct{ Found []string }

// BillsFailed answers WriteBills when its outcome is failed or unknown.
type BillsFailed struct{ After time.Duration }

// ServerLeaving is a backend server that declined work of this daemon.
type ServerLeaving struct{ ID string }

// Leave tells the daemon to stop: it hands over what is not settled.
type Leave struct{}

func (Tick) event()          {}
func (Flush) event()         {}
func (StoodStill) event()    {}
func (Received) event()      {}
func (ReadDone) event()      {}
func (VMsKnown) event()      {}
func (BillAdded) event()     {}
func (BillAgain) event()     {}
func (BillsWritten) event()  {}
func (BillsFailed) event()   {}
func (ServerLeaving) event() {}
func (Leave) event()         {}

// Order is something for the daemon's shell to do.
type Order interface{ order() }

// Send sends a message to another daemon.
type Send struct {
	To      string
	Addr    string
	Message Message
}

// Read asks the platform for a topic's newest document.
type Read struct {
	Topic replication.Topic
	// Have is the number of the document held.
	Have uint64
}

// WriteBills writes bills in one transaction, each if its key is absent.
type WriteBills struct{ Bills []bill.Bill }

// BillSafe says that a bill no longer depends on this daemon alone.
type BillSafe struct{ Key string }

// BillAlone says that there is no other daemon to hold a bill's copy.
type BillAlone struct{ Key string }

// Changed says that a newer document is held.
type Changed struct{ Document replication.Document }

func (Send) order()       {}
func (Read) order()       {}
func (WriteBills) order() {}
func (BillSafe) order()   {}
func (BillAlone) order()  {}
func (Changed) order()    {}
