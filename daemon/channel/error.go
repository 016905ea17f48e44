package channel

import (
	"errors"
	"net"
	"syscall"

	"ladderridge.example/core/fault"
)

// Kind classifies the errors of this package, and with that whether the request
// may have run.
type Kind string

// The kinds of error.
const (
	// Unreachable means that no connection to the server was established.
	Unreachable Kind = "server unreachable"
	// Unsent means that no byte of the request left this process.
	Unsent Kind = "nothing was sent"
	// StoppedBeforeSend means that BeforeSend stopped the request before its
	// first byte was sent.
	StoppedBeforeSend Kind = "stopped at the gate"
	// Interrupted means that the answer broke off or never came: the request may
	// have run.
	Interrupted Kind = "answer broken"
	// Malformed means that the body of the answer is not framed as HTTP has it, on
	// a connection that is intact: the request may have run.
	Malformed Kind = "answer malformed"
	// Mismatched means that an answer to another request came.
	Mismatched Kind = "answer to another request"
)

// String implements fmt.Stringer.
func (k Kind) String() string { return string(k) }

// NotRun reports whether an error of that kind proves that the server has not
// run the request.
func (k Kind) NotRun() bool { return k == Unreachable || k == Unsent || k == StoppedBeforeSend }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// ConnectionRefused reports whether an error says that nothing listens at the
// server's address: its machine is up, but the server is not running.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// TimedOut reports whether an error says that the server's machine did not
// respond, because it is disconnected or has no power.
func TimedOut(err error) bool {
	if errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH) {
		return true
	}
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
