package control

import "ladderridge.example/core/fault"

// Kind says what sort of error the package met.
type Kind string

// The kinds of error.
const (
	// BadDocument is a document from the platform or a peer that cannot be read.
	BadDocument Kind = "unreadable document"
	// Stopped is a call to a control that no longer runs.
	Stopped Kind = "control has stopped"
)

// String names the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]
