package platform

import (
	"time"

	"ladderridge.example/core/fault"
)

// Kind says what sort of error the package met.
type Kind string

// The kinds of error.
const (
	// Unreachable means that the call certainly had no effect.
	Unreachable Kind = "platform unreachable"
	// RateLimited means that the call had no effect and may be tried later.
	RateLimited Kind = "platform rate limit"
	// Unknown means that the call may have taken effect: the answer was lost.
	Unknown Kind = "outcome unknown"
	// Conflict means that a condition of a write did not hold.
	Conflict Kind = "conflict"
	// NotFound means that there is no such key or object.
	NotFound Kind = "not found"
	// Refused means that the platform finds the call itself wrong.
	Refused Kind = "refused"
)

// String names the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// RetryError is the cause of a RateLimited error.
type RetryError struct {
	// After is when the platform says to come back.
	After time.Duration
}

// Error implements the error interface.
func (e *RetryError) Error() string { return "come back in " + e.After.String() }

// ConflictError is the cause of a Conflict error.
type ConflictError struct {
	// Failed are the operations whose condition did not hold, with the key's
	// version now.
	Failed []Entry
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	if len(e.Failed) == 0 {
		return "a condition did not hold"
	}
	return "the condition on key " + e.Failed[0].Key + " did not hold"
}
