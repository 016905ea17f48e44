package control

import (
	"time"

	"ladderridge.example/core/bill"
	"ladderridge.example/core/node"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/wire"
)

// Observation is what a request shows about a backend server or a version. Observations may
// be dropped.
type Observation interface{ observation() }

// Answered is an answer of a backend server.
type Answered struct {
	Server string
	// Ref is the version that answered. It is zero for plain services.
	Ref table.Ref
	// Bad marks an answer that counts against the version.
	Bad bool
	// InFlight is the load that the server reported with its answer, or -1 if it
	// reported none.
	InFlight int
}

// Failed is a server that could not be reached or whose answer broke off.
type Failed struct {
	Server string
	// Ref is the version whose answer broke off. It is zero if no answer had started.
	Ref table.Ref
}

// Declined is a server that declined a request.
type Declined struct {
	Server string
	// NotLoaded is the version that the server reported as not loaded. It is zero if the
	// server gave another reason.
	NotLoaded table.Ref
}

// ServerLeaving is a server that announced that it accepts no new requests.
type ServerLeaving struct{ Server string }

func (Answered) observation()      {}
func (Failed) observation()        {}
func (Declined) observation()      {}
func (ServerLeaving) observation() {}

// event is what the control goroutine handles besides observations.
type event interface{ event() }

// nodeEvent is passed to the node unchanged.
type nodeEvent struct{ inner node.Event }

// billEvent queues a bill. durable receives whether another daemon or the
// platform has the bill.
type billEvent struct {
	bill    bill.Bill
	durable chan bool
}

// reportEvent is the answer to a poll of a backend server.
type reportEvent struct {
	server      string
	report      wire.LoadReport
	err         error
	sentAt      time.Time
	ownInFlight int
}

// callEvent runs a function on the control goroutine and closes done after it.
type callEvent struct {
	run  func(*loop)
	done chan struct{}
}

// stepEvent reports that storing a rollout step has finished, with or without
// success.
type stepEvent struct{}

// orderEvent reports that sending an order to an engine has finished, with or
// without success.
type orderEvent struct{ engine string }

func (orderEvent) event()  {}
func (stepEvent) event()   {}
func (nodeEvent) event()   {}
func (billEvent) event()   {}
func (reportEvent) event() {}
func (callEvent) event()   {}
