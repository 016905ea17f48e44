package notice

import (
	"iter"
	"sync/atomic"
	"time"
)

// Kept is what a server's notices come to. The zero value holds none. It is never changed.
//
// It answers a load in which some servers decline everything: such a server is idle, so a
// choice by load that does not know of its notice prefers it, and each request that comes
// wastes its tries there. Both bounds are the server's own: a leaving ends with the server,
// a rest at the time that it named.
type Kept struct {
	// LeavingAt is when the server said first that it leaves; zero is never.
	LeavingAt time.Time
	// RestUntil is the latest time until which it wants no requests.
	RestUntil time.Time
	// Limit is the rate that it takes from all daemons together.
	Limit Standing
}

// With returns what is kept after one more notice. A shorter rest does not end a longer one:
// answers overtake one another.
func (k Kept) With(n Notice, now time.Time) Kept {
	if n.Leaving && k.LeavingAt.IsZero() {
		k.LeavingAt = now
	}
	if until := now.Add(n.Rest); n.Rest > 0 && until.After(k.RestUntil) {
		k.RestUntil = until
	}
	return k
}

// WithStay returns what is kept once the server has said at a time that it does not leave. A
// word from before its leaving changes nothing.
func (k Kept) WithStay(at time.Time) Kept {
	if at.After(k.LeavingAt) {
		k.LeavingAt = time.Time{}
	}
	return k
}

// Leaving reports whether the server has said that it leaves.
func (k Kept) Leaving() bool { return !k.LeavingAt.IsZero() }

// Resting reports whether the server still wants no requests.
func (k Kept) Resting(now time.Time) bool { return now.Before(k.RestUntil) }

// Open reports whether the server takes requests by all that it has said.
func (k Kept) Open(now time.Time) bool { return !k.Leaving() && !k.Resting(now) }

// RestEnds returns when the first of some servers takes requests again, if all that stay want
// rest.
func RestEnds(servers iter.Seq[Kept], now time.Time) (at time.Time, ok bool) {
	for k := range servers {
		switch {
		case k.Leaving():
		case !k.Resting(now):
			return time.Time{}, false
		case !ok || k.RestUntil.Before(at):
			at, ok = k.RestUntil, true
		}
	}
	return at, ok
}

// Held keeps a server's notices for concurrent use. The zero value holds none.
type Held struct{ kept atomic.Pointer[Kept] }

// Kept returns what is kept now.
func (h *Held) Kept() Kept {
	if k := h.kept.Load(); k != nil {
		return *k
	}
	return Kept{}
}

// Open reports whether the server takes requests by all that it has said. Most have said
// nothing: a choice among hundreds asks each.
func (h *Held) Open(now time.Time) bool {
	k := h.kept.Load()
	return k == nil || k.Open(now)
}

// Stand reports whether any notice stands.
func (h *Held) Stand(now time.Time) bool {
	k := h.kept.Load()
	return k != nil && (!k.Open(now) || k.Limit.Rate > 0)
}

// Hear keeps one more notice and reports whether it changes what may be sent: the server
// was to be sent requests until now.
func (h *Held) Hear(n Notice, now time.Time) (news bool) {
	was := h.replace(func(k Kept) Kept { return k.With(n, now) })
	return n.Leaving && !was.Leaving() || n.Rest > 0 && !was.Resting(now)
}

// HearLimit keeps what an answer says of the server's limit, and returns what stood before and
// what stands now. The request of the answer was sent at asked; from is the daemon that has
// told of it, "" for an answer to a request of this one.
func (h *Held) HearLimit(l Limit, asked, heard time.Time, from string) (was, is Standing) {
	if old := h.kept.Load(); old == nil && l.Rate == 0 && l.Malformed == "" {
		return Standing{}, Standing{}
	}
	old := h.replace(func(k Kept) Kept {
		k.Limit = k.Limit.With(l, asked, heard, from)
		return k
	}).Limit
	return old, old.With(l, asked, heard, from)
}

// Stays notes that the server has said at a time that it does not leave.
func (h *Held) Stays(at time.Time) { h.replace(func(k Kept) Kept { return k.WithStay(at) }) }

// replace puts what follows in the place of what is kept, and returns what was.
func (h *Held) replace(next func(Kept) Kept) Kept {
	for {
		old := h.kept.Load()
		var was Kept
		if old != nil {
			was = *old
		}
		is := next(was)
		if is == was || h.kept.CompareAndSwap(old, &is) {
			return was
		}
	}
}
