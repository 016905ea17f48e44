package peer

import "ladderridge.example/core/fault"

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// BadKeys means that keys or certificate files cannot be used.
	BadKeys Kind = "unusable keys"
	// BadMessage means that a message cannot be encoded or decoded.
	BadMessage Kind = "bad message"
	// BadAddress means that the transport cannot listen on its address.
	BadAddress Kind = "unusable address"
	// Unreachable means that no stream to the daemon could be opened.
	Unreachable Kind = "daemon unreachable"
	// Unsupported means that the daemon does not offer the protocol.
	Unsupported Kind = "protocol not offered"
)

// String implements fmt.Stringer.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]
