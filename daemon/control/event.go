package control

import (
	"time"

	"ladderridge.example/core/bill"
	"ladderridge.example/core/node"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/wire"
)

// Fact is something that traffic found out. Facts may be dropped.
type Fact interface{ fact() }

// Answered is an answer of a backend server.
type Answered struct {
	Server string
	// Ref is the version; it is zero for plain services.
	Ref table.Ref
	// Bad marks an answer that counts against the version.
	Bad bool
	// InFlight is what the server reported with its answer; -1 is nothing.
	InFlight int
}

// Failed is a server that could not be reached or broke an answer off.
type Failed struct {
	Server string
	// Ref is the version whose answer broke off; it is zero if none had begun.
	Ref table.Ref
}

// Declined is a server that took a request not on.
type Declined struct {
	Server string
	// NotLoaded is the version that the server says it has not loaded; it is zero if it
	// gave another reason.
	NotLoaded table.Ref
}

// SaysLeaving is a server that says of itself that it takes no new work.
type SaysLeaving struct{ Server string }

func (Answered) fact()    {}
func (Failed) fact()      {}
func (Declined) fact()    {}
func (SaysLeaving) fact() {}

// event is what the control goroutine handles besides facts.
type event interface{ event() }

// nodeEvent goes to the node as it is.
type nodeEvent struct{ inner node.Event }

// billEvent is a request to bill; safe tells whether another daemon, or the
// platform, has the bill.
type billEvent struct {
	bill bill.Bill
	safe chan bool
}

// reportEvent is the answer to a poll of a backend server.
type reportEvent struct {
	server string
	report wire.LoadReport
	err    error
	sentAt time.Time
	own    int
}

// askEvent runs a function on the control goroutine, for dumps.
type askEvent struct {
	run  func(*loop)
	done chan struct{}
}

// stepEvent says that a roll-out's step is stored, or not.
type stepEvent struct{}

// orderEvent says that an engine was given an order, or not.
type orderEvent struct{ engine string }

func (orderEvent) event()  {}
func (stepEvent) event()   {}
func (nodeEvent) event()   {}
func (billEvent) event()   {}
func (reportEvent) event() {}
func (askEvent) event()    {}
