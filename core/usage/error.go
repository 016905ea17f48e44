package usage

import "ladderridge.example/core/fault"

// Kind says what sort of error the package met.
type Kind string

// Malformed is a book that does not decode, or cannot be encoded.
const Malformed Kind = "malformed"

// String names the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]
