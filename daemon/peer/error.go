package peer

import "ladderridge.example/core/fault"

// Kind says what sort of error the package met.
type Kind string

// The kinds of error.
const (
	// BadKeys are certificate files that cannot be used.
	BadKeys Kind = "unusable keys"
	// BadMessage is a message that cannot be decoded.
	BadMessage Kind = "bad message"
	// BadAddress is an address that cannot be listened on.
	BadAddress Kind = "unusable address"
)

// String names the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]
