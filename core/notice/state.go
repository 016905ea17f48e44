package notice

import (
	"iter"
	"sync/atomic"
	"time"
)

// State is the state of a server by its notices. The zero value is that of a server without any.
// It is immutable.
//
// It prevents that requests go to servers that decline all of them: such a server has no load,
// so a load balancer that ignores its notices prefers it, and each request wastes its attempts
// there. No other expiry is needed: a server that is leaving ends, and a back-off lasts as long
// as the server asked for.
type State struct {
	// LeavingAt is when the server first announced that it is leaving, zero if it has not.
	LeavingAt time.Time
	// BackoffUntil is the latest end of a back-off that the server asked for.
	BackoffUntil time.Time
	// Limit is the rate limit that the server announced for all daemons together.
	Limit LimitState
}

// With returns the state after another notice. A shorter back-off does not end a longer one:
// answers may arrive out of order.
func (s State) With(n Notice, now time.Time) State {
	if n.Leaving && s.LeavingAt.IsZero() {
		s.LeavingAt = now
	}
	if until := now.Add(n.Backoff); n.Backoff > 0 && until.After(s.BackoffUntil) {
		s.BackoffUntil = until
	}
	return s
}

// WithStaying returns the state after the server reported at a time that it is not leaving. A report
// from before it announced to leave has no effect.
func (s State) WithStaying(at time.Time) State {
	if at.After(s.LeavingAt) {
		s.LeavingAt = time.Time{}
	}
	return s
}

// Leaving reports whether the server is leaving.
func (s State) Leaving() bool { return !s.LeavingAt.IsZero() }

// InBackoff reports whether a back-off that the server asked for is in force.
func (s State) InBackoff(now time.Time) bool { return now.Before(s.BackoffUntil) }

// Open reports whether the server accepts requests according to its notices.
func (s State) Open(now time.Time) bool { return !s.Leaving() && !s.InBackoff(now) }

// EarliestBackoffEnd returns the earliest end of a back-off among servers, if all of them that are
// not leaving are in back-off.
func EarliestBackoffEnd(servers iter.Seq[State], now time.Time) (at time.Time, ok bool) {
	for s := range servers {
		switch {
		case s.Leaving():
		case !s.InBackoff(now):
			return time.Time{}, false
		case !ok || s.BackoffUntil.Before(at):
			at, ok = s.BackoffUntil, true
		}
	}
	return at, ok
}

// Tracker keeps the state of a server. It is safe for concurrent use. The zero value has no
// notices.
type Tracker struct{ state atomic.Pointer[State] }

// State returns the current state.
func (t *Tracker) State() State {
	if k := t.state.Load(); k != nil {
		return *k
	}
	return State{}
}

// Open reports whether the server accepts requests according to its notices. It is fast for
// servers without notices, which most are: a choice among hundreds of servers checks each.
func (t *Tracker) Open(now time.Time) bool {
	k := t.state.Load()
	return k == nil || k.Open(now)
}

// Active reports whether any notice is in force.
func (t *Tracker) Active(now time.Time) bool {
	k := t.state.Load()
	return k != nil && (!k.Open(now) || k.Limit.Rate > 0)
}

// Observe applies a notice and reports whether the server begins to leave or to back off with it:
// until then requests could be sent to it.
func (t *Tracker) Observe(n Notice, now time.Time) (changed bool) {
	was := t.replace(func(k State) State { return k.With(n, now) })
	return n.Leaving && !was.Leaving() || n.Backoff > 0 && !was.InBackoff(now)
}

// ObserveLimit applies the limit of an answer and returns the limit in force before and after it.
// requested is when the request of the answer was sent, received when the answer was read. from
// is the daemon that reported the limit, "" for an answer to a request of this daemon.
func (t *Tracker) ObserveLimit(l Limit, requested, received time.Time, from string) (was, is LimitState) {
	if old := t.state.Load(); old == nil && l.Rate == 0 && l.Malformed == "" {
		return LimitState{}, LimitState{}
	}
	old := t.replace(func(k State) State {
		k.Limit = k.Limit.With(l, requested, received, from)
		return k
	}).Limit
	return old, old.With(l, requested, received, from)
}

// ObserveStaying records that the server reported at a time that it is not leaving.
func (t *Tracker) ObserveStaying(at time.Time) {
	t.replace(func(k State) State { return k.WithStaying(at) })
}

// replace replaces the state by next of it and returns the previous state.
func (t *Tracker) replace(next func(State) State) State {
	for {
		old := t.state.Load()
		var was State
		if old != nil {
			was = *old
		}
		is := next(was)
		if is == was || t.state.CompareAndSwap(old, &is) {
			return was
		}
	}
}
