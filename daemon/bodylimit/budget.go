package bodylimit

import (
	"sync/atomic"

	"ladderridge.example/core/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// Full means that other requests hold the budget at present.
	Full Kind = "no memory for the request body"
	// TooLarge means that the body is larger than what the budget has for a single one.
	TooLarge Kind = "request body larger than the budget"
	// TimedOut means that the caller did not send its body in time.
	TimedOut Kind = "request body not sent in time"
)

// String implements fmt.Stringer.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

const opReserve = "reserve memory"

const (
	// SmallBody is the size in bytes up to which a body may use the part of the budget that is
	// kept free of larger ones.
	SmallBody = 4 << 10
	// smallDivisor is the divisor of the budget that gives that part.
	smallDivisor = 8
)

// Budget is a number of bytes that requests share. Set Limit before use.
type Budget struct {
	// Limit is the most that all requests hold together, in bytes.
	Limit int64

	held atomic.Int64
}

// Reserve reserves n more bytes for a request that already holds some. It fails with kind Full or
// TooLarge, and then reserves nothing.
func (b *Budget) Reserve(already, n int64) error {
	bound := b.Limit
	if already+n > SmallBody {
		bound -= b.Limit / smallDivisor
	}
	if already+n > bound {
		return &Error{Op: opReserve, Kind: TooLarge}
	}
	for {
		held := b.held.Load()
		if held+n > bound {
			return &Error{Op: opReserve, Kind: Full}
		}
		// An addition that is undone on failure would make concurrent smaller reservations fail.
		if b.held.CompareAndSwap(held, held+n) {
			return nil
		}
	}
}

// Release returns n reserved bytes.
func (b *Budget) Release(n int64) { b.held.Add(-n) }

// Held returns how many bytes are reserved.
func (b *Budget) Held() int64 { return b.held.Load() }
