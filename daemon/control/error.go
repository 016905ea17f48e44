package control

import "ladderridge.example/core/fault"

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// BadDocument is a document from the platform or a peer that cannot be decoded.
	BadDocument Kind = "unreadable document"
	// Stopped is a call to a control loop that no longer runs.
	Stopped Kind = "control has stopped"
)

// String implements fmt.Stringer.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]
