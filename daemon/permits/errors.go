package permits

import (
	"errors"
	"time"

	"ladderridge.example/core/fault"
)

const opEnter = "enter pool"

// Kind is the kind of an error.
type Kind int

// The kinds of errors.
const (
	// NoSlot means that the request cannot be served within its objective. It has not been sent.
	NoSlot Kind = iota + 1
	// Cancelled means that the context ended while the request was waiting.
	Cancelled
)

// String returns the kind in words, as it is logged.
func (k Kind) String() string {
	switch k {
	case NoSlot:
		return "no slot"
	case Cancelled:
		return "cancelled"
	}
	return "unknown"
}

// Error is the error of this package. One of kind NoSlot wraps a RetryAfter.
type Error = fault.Of[Kind]

// RetryAfter is the time after which a refused request can be sent again.
type RetryAfter time.Duration

// Error implements the error interface.
func (r RetryAfter) Error() string { return "retry after " + time.Duration(r).String() }

// RetryAfterOf returns the retry-after time of a refusal, or zero.
func RetryAfterOf(err error) time.Duration {
	var r RetryAfter
	if errors.As(err, &r) {
		return time.Duration(r)
	}
	return 0
}
