package channel

import (
	"errors"
	"net"
	"syscall"

	"ladderridge.example/core/fault"
)

// Kind says what sort of error the package met, and with that whether the
// request may have run.
type Kind string

// The kinds of error.
const (
	// Unreachable is a server to which no connection came about.
	Unreachable Kind = "server unreachable"
	// Unsent is a request of which no byte left this process.
	Unsent Kind = "nothing was sent"
	// Gated is a request that its sender stopped at the last moment.
	Gated Kind = "stopped at the gate"
	// Broken is an answer that broke off or never came: the request may have
	// run.
	Broken Kind = "answer broken"
	// Crossed is an answer to another request.
	Crossed Kind = "answer to another request"
)

// String names the kind.
func (k Kind) String() string { return string(k) }

// NotRun reports whether an error of that kind proves that the server has not
// run the request.
func (k Kind) NotRun() bool { return k == Unreachable || k == Unsent || k == Gated }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// ConnectionRefused reports whether an error says that nobody listens at the server's
// address any more: its machine is there, the server is not.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// TimedOut reports whether an error says that the server's machine gave no sign
// of itself, as one that is cut off or has no power.
func TimedOut(err error) bool {
	if errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH) {
		return true
	}
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
