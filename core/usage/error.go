package usage

import "ladderridge.example/core/fault"

// Kind classifies the errors of this package.
type Kind string

// Malformed means that a log cannot be decoded or encoded.
const Malformed Kind = "malformed"

// String returns the name of the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]
