package table

import "ladderridge.example/core/fault"

// Kind says what sort of error the package met.
type Kind int

// The kinds of error.
const (
	// Malformed is a file that is not a table at all.
	Malformed Kind = iota
	// Invalid is a table with one or more wrong cells; the cause lists all.
	Invalid
	// Conflict is an edit made from a generation that is no longer the newest.
	Conflict
)

// String names the kind.
func (k Kind) String() string {
	return [...]string{"malformed", "invalid", "conflict"}[k]
}

// Error is the error type of this package.
type Error = fault.Of[Kind]
