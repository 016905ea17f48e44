package attempt

// Ledger is what is known of a request after the attempts that were made for it.
// The zero value is a request for which none was. It is a value.
type Ledger struct {
	// Ran counts the attempts that ran or may have.
	Ran int
	// Declined counts those that reached a server and did not run there.
	Declined int
}

// With returns the ledger with another attempt that has reached a server.
func (l Ledger) With(o Outcome) Ledger {
	if o == NotRun {
		l.Declined++
	} else {
		l.Ran++
	}
	return l
}

// Reached is how many attempts have reached servers.
func (l Ledger) Reached() int { return l.Ran + l.Declined }

// MayHaveRun reports whether a server ran the request or may have. Until then,
// and only until then, the request may be called not run.
func (l Ledger) MayHaveRun() bool { return l.Ran > 0 }

// Outcome is what may truthfully be said of a request that has no answer.
func (l Ledger) Outcome() Outcome {
	if l.MayHaveRun() {
		return Unknown
	}
	return NotRun
}

// MayRepeat reports whether another attempt may be made: one of a request that
// may run once only is the last as soon as it may have run.
func (l Ledger) MayRepeat(once bool) bool { return !once || !l.MayHaveRun() }
