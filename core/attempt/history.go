package attempt

// History counts the attempts that were made for a request, by outcome. The zero value is that of a
// request without attempts. It is immutable.
type History struct {
	// Ran counts the attempts that ran or may have run.
	Ran int
	// Declined counts the attempts that reached a server and did not run there.
	Declined int
}

// With returns the counts with another attempt that reached a server.
func (h History) With(o Outcome) History {
	if o == NotRun {
		h.Declined++
	} else {
		h.Ran++
	}
	return h
}

// Reached returns the number of attempts that reached a server.
func (h History) Reached() int { return h.Ran + h.Declined }

// MayHaveRun reports whether a server ran the request or may have run it. The caller may be told
// that the request did not run only if this is false.
func (h History) MayHaveRun() bool { return h.Ran > 0 }

// Outcome returns the outcome of a request that has no answer.
func (h History) Outcome() Outcome {
	if h.MayHaveRun() {
		return Unknown
	}
	return NotRun
}

// MayRepeat reports whether another attempt may be made. A request that must run at most once is
// not repeated once it may have run.
func (h History) MayRepeat(once bool) bool { return !once || !h.MayHaveRun() }
