// Package duty elects, for each exclusive duty, the daemon that performs it, for example reporting the
// usage of organisations to the platform.
//
// It uses leases that are kept in the store of the platform, one row per duty. A row is only written
// on condition that it still has the version that the writer last read. The token in the row is a
// fencing token: it rises whenever the holder changes, so that the platform can refuse requests of an
// earlier holder. The daemons need neither a vote nor messages between each other.
//
// The failures covered are a holder that is killed, disconnected or suspended just when its renewal is
// answered; a write whose answer is lost and that takes effect seconds later; and a platform that
// executes a request after newer ones.
package duty

import "ladderridge.example/core/revision"

// Name identifies a duty.
type Name string

// The duties.
const (
	// Usage reports to the platform how many requests of each organisation were started.
	Usage Name = "usage"
	// Autoscaling orders backend servers from the platform.
	Autoscaling Name = "sizes"
)

// Record is the row of a duty in the store.
type Record struct {
	// Holder is the id of the daemon that holds the lease. Start distinguishes its processes.
	Holder string `json:"holder"`
	Start  uint64 `json:"start"`
	// Token is the fencing token. It rises when the holder changes, and when the holder requests it.
	Token uint64 `json:"token"`
	// State is the encoded state that the holder keeps and hands on to the next holder. It is a string so
	// that records are comparable.
	State string `json:"state"`
}

// Event is an input of the state machine: Tick, Read, ReadFailed, Written, Conflict,
// WriteOutcomeUnknown, Superseded or MaybeSuperseded.
type Event interface{ event() }

// Tick is delivered periodically.
type Tick struct {
	// Contend makes this daemon take the duty if no daemon holds it. A current holder keeps the duty
	// either way.
	Contend bool
}

// Read holds the row of the duty as read from the store.
type Read struct {
	Record Record
	// Version is the version of the row; its number is 0 if the row does not exist.
	Version revision.Revision
}

// ReadFailed reports that the row could not be read.
type ReadFailed struct{}

// Written reports that the last write took effect, with the new version of the row.
type Written struct{ Version revision.Revision }

// Conflict reports that the row did not have the version that the last write expected.
type Conflict struct{}

// WriteOutcomeUnknown reports that the last write may have taken effect or may still take effect.
type WriteOutcomeUnknown struct{}

// Superseded reports that the platform refused a request because its token was outdated.
type Superseded struct{}

// MaybeSuperseded reports that the platform refused a request, possibly because its token was outdated. The row
// is read again, and until then the state does not count as stored.
type MaybeSuperseded struct{}

func (Tick) event()                {}
func (Read) event()                {}
func (ReadFailed) event()          {}
func (Written) event()             {}
func (Conflict) event()            {}
func (WriteOutcomeUnknown) event() {}
func (Superseded) event()          {}
func (MaybeSuperseded) event()     {}

// Action is an output of the state machine, ReadRow or WriteRow. Each is answered by one event.
type Action interface{ action() }

// ReadRow reads the row of the duty.
type ReadRow struct{}

// WriteRow writes the row if its version is still Expected; the number 0 means that the row must not
// exist.
type WriteRow struct {
	Record   Record
	Expected revision.Revision
}

func (ReadRow) action()  {}
func (WriteRow) action() {}
