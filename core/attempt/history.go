package attempt

// Ledger counts the attempts that were made for a request, by outcome. The zero value is that of a
// request without attempts. It is immutable.
type Ledger struct {
	// Ran counts the attempts that ran or may have run.
	Ran int
	// Declined counts the attempts that reached a server and did not run there.
	Declined int
}

// With returns the counts with another attempt that reached a server.
func (l Ledger) With(o Outcome) Ledger {
	if o == NotRun {
		l.Declined++
	} else {
		l.Ran++
	}
	return l
}

// Reached returns the number of attempts that reached a server.
func (l Ledger) Reached() int { return l.Ran + l.Declined }

// MayHaveRun reports whether a server ran the request or may have run it. The caller may be told
// that the request did not run only if this is false.
func (l Ledger) MayHaveRun() bool { return l.Ran > 0 }

// Outcome returns the outcome of a request that has no answer.
func (l Ledger) Outcome() Outcome {
	if l.MayHaveRun() {
		return Unknown
	}
	return NotRun
}

// MayRepeat reports whether another attempt may be made. A request that must run at most once is
// not repeated once it may have run.
func (l Ledger) MayRepeat(once bool) bool { return !once || !l.MayHaveRun() }
