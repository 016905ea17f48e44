// Package contact decides whether a daemon has lost its path to the store, or is only slow to
// use it. A daemon that has lost it keeps routing by the configuration that it has. A slow one
// must not: changes may be in force elsewhere.
package contact

import "time"

const (
	// PromptAnswer is the longest time that the answer of another daemon takes on a VM that has
	// processor time and bandwidth to spare. It must be less than half of the time after which a call
	// to the store fails: opening a connection and asking take two round trips.
	PromptAnswer = 200 * time.Millisecond
	// MaxDelay is how late the periodic work of a daemon may run on such a VM.
	MaxDelay = 200 * time.Millisecond
)

// Event is something that a daemon has observed: CallFailed, Answered, Confirmed, Heard or Delayed.
type Event interface{ event() }

// CallFailed is a call to the store that this daemon made and that failed.
type CallFailed struct {
	Start time.Time
	// TimedOut is set if there was no answer. Otherwise the network or the store has refused
	// the call.
	TimedOut bool
}

// Answered is an answer of the store to a call that began at Start.
type Answered struct{ Start, End time.Time }

// Confirmed means that the configuration was current at a time, according to the store or another
// daemon. A daemon that others inform makes no calls that would be answered.
type Confirmed struct{ At time.Time }

// Heard is an answer of another daemon to a request that was sent at Start.
type Heard struct{ Start, End time.Time }

// Delayed means that the daemon was not run when it was due at Start, but only at End.
type Delayed struct{ Start, End time.Time }

func (CallFailed) event() {}
func (Answered) event()   {}
func (Confirmed) event()  {}
func (Heard) event()      {}
func (Delayed) event()    {}

// State is what a daemon has observed of its path to the store. It is immutable. The zero value
// has observed nothing.
type State struct {
	// answered is the start of the latest call that the store has answered, answeredAt when an
	// answer last arrived. failingSince is the start of the first call that failed since, lastFailed
	// that of the latest one. Both are zero if there is none.
	answered, answeredAt, failingSince, lastFailed time.Time
	// refused is set if the latest failure was not a time-out.
	refused bool
	// heardAt is when another daemon last answered, promptSince the start of the latest request
	// that was answered promptly.
	heardAt, promptSince time.Time
	// delayedAt is when the daemon last ran too late.
	delayedAt time.Time
}

// With returns the state after an event.
func (s State) With(e Event) State {
	switch e := e.(type) {
	case CallFailed:
		if !e.Start.After(s.answered) {
			return s
		}
		if s.failingSince.IsZero() {
			s.failingSince = e.Start
		}
		if !e.Start.Before(s.lastFailed) {
			s.lastFailed, s.refused = e.Start, !e.TimedOut
		}
	case Answered:
		s.answered, s.answeredAt = latest(s.answered, e.Start), latest(s.answeredAt, e.End)
		if !e.Start.Before(s.lastFailed) {
			s = s.withoutFailures()
		}
	case Confirmed:
		if e.At.After(s.lastFailed) {
			s = s.withoutFailures()
		}
	case Heard:
		s.heardAt = latest(s.heardAt, e.End)
		if e.End.Sub(e.Start) <= PromptAnswer {
			s.promptSince = latest(s.promptSince, e.Start)
		}
	case Delayed:
		if e.End.Sub(e.Start) > MaxDelay {
			s.delayedAt = latest(s.delayedAt, e.End)
		}
	}
	return s
}

func (s State) withoutFailures() State {
	s.failingSince, s.lastFailed, s.refused = time.Time{}, time.Time{}, false
	return s
}

// AnsweredAt is the start of the latest call that the store has answered.
func (s State) AnsweredAt() time.Time { return s.answered }

// Lost reports whether the daemon has lost its path to the store: its own calls fail, and that
// is not explained by its own slowness. silence is how long no call may have been answered, and no
// daemon heard, until a daemon that hears nothing at all has lost it.
func (s State) Lost(now time.Time, silence time.Duration) bool {
	switch {
	case s.failingSince.IsZero(), s.answeredAt.After(s.lastFailed):
		// A late answer shows that the path is slow.
		return false
	case s.refused:
		return true
	case s.delayedAt.After(s.lastFailed):
		return false
	case s.promptSince.After(s.lastFailed):
		return true
	default:
		return now.Sub(s.failingSince) >= silence && now.Sub(latest(s.heardAt, s.answeredAt)) >= silence
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
