// Package duty decides which daemon does what only one of them may do at a time, such as
// telling the platform what organisations have used.
//
// The load that it answers is one of failures: a holder that is killed, cut off or frozen as
// its renewal is answered, a write of which the answer is lost and that is done seconds
// later, a platform that carries a call out after newer ones. The holder has a lease: a row
// of its own for each duty in the platform's store, written only where it still is as the
// writer last saw it. The token in the row rises with each change of the holder, so that the
// platform can refuse what an earlier holder sends. Nobody votes, and daemons need not hear
// of each other.
package duty

import "ladderridge.example/core/revision"

// Name names a duty.
type Name string

// The duties.
const (
	// Usage tells the platform how many requests of each organisation began to run.
	Usage Name = "usage"
	// Sizes orders backend servers.
	Sizes Name = "sizes"
)

// Record is a duty's row in the store.
type Record struct {
	// Holder is the id of the daemon that holds the duty, Start tells its processes apart.
	Holder string `json:"holder"`
	Start  uint64 `json:"start"`
	// Token rises with each change of the holder, and when the holder asks for it.
	Token uint64 `json:"token"`
	// State is what the holder needs and leaves to the next one, encoded. It is a string so
	// that records can be compared.
	State string `json:"state"`
}

// Event is what a claim is told: Tick, Read, Unread, Written, Conflict, Unanswered,
// Overtaken or Doubted.
type Event interface{ event() }

// Tick tells that time has passed.
type Tick struct {
	// Contend tells that this daemon is to take the duty if nobody holds it. One that holds
	// it keeps it.
	Contend bool
}

// Read is a duty's row as the store has it.
type Read struct {
	Record Record
	// Version is that of the row; its number is 0 if there is none.
	Version revision.Revision
}

// Unread tells that the row could not be read.
type Unread struct{}

// Written tells that the last write was done, and the row's version since.
type Written struct{ Version revision.Revision }

// Conflict tells that the row was not as the last write expected.
type Conflict struct{}

// Unanswered tells that the last write may have been done, or may be done later.
type Unanswered struct{}

// Overtaken tells that the platform has refused a call, as one of an earlier holder.
type Overtaken struct{}

// Doubted tells that the platform has refused a call, perhaps as one of an earlier holder:
// the row is read, and nothing counts as kept until it was.
type Doubted struct{}

func (Tick) event()       {}
func (Read) event()       {}
func (Unread) event()     {}
func (Written) event()    {}
func (Conflict) event()   {}
func (Unanswered) event() {}
func (Overtaken) event()  {}
func (Doubted) event()    {}

// Order is what a claim wants done: ReadRow or WriteRow. Each is answered by one event.
type Order interface{ order() }

// ReadRow asks for the duty's row.
type ReadRow struct{}

// WriteRow asks for the row to be set if its version is still Was; the number 0 means that
// there is none.
type WriteRow struct {
	Record Record
	Was    revision.Revision
}

func (ReadRow) order()  {}
func (WriteRow) order() {}
