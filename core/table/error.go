package table

import "ladderridge.example/core/fault"

// Kind is the kind of an Error.
type Kind int

// The kinds of error.
const (
	// Malformed is a file that cannot be read as a table.
	Malformed Kind = iota
	// Invalid is a table with invalid cells; the cause lists all of them.
	Invalid
	// Conflict is an edit based on a generation that is no longer the newest.
	Conflict
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"malformed", "invalid", "conflict"}[k]
}

// Error is the error type of this package.
type Error = fault.Of[Kind]
