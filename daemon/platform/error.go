package platform

import (
	"time"

	"ladderridge.example/core/fault"
)

// Kind classifies an error.
type Kind string

// The kinds of error.
const (
	// Unreachable means that the call failed and certainly had no effect.
	Unreachable Kind = "platform unreachable"
	// RateLimited means that the call had no effect and may be retried later.
	RateLimited Kind = "platform rate limit"
	// Unknown means that the call may have taken effect: its response was lost.
	Unknown Kind = "outcome unknown"
	// Conflict means that a condition of a write did not hold, so that nothing
	// was written.
	Conflict Kind = "conflict"
	// NotFound means that the key or object does not exist.
	NotFound Kind = "not found"
	// Refused means that the platform rejected the call as invalid.
	Refused Kind = "refused"
)

// String returns the name of the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// RetryError is the cause of a RateLimited error.
type RetryError struct {
	// After is how long the platform asks to wait before a retry.
	After time.Duration
}

// Error implements the error interface.
func (e *RetryError) Error() string { return "retry after " + e.After.String() }

// ConflictError is the cause of a Conflict error.
type ConflictError struct {
	// Failed lists the keys whose conditions did not hold, with their current
	// versions and values.
	Failed []Entry
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	if len(e.Failed) == 0 {
		return "a condition did not hold"
	}
	return "the condition on key " + e.Failed[0].Key + " did not hold"
}
