package duty

import (
	"time"

	"ladderridge.example/core/revision"
)

const (
	// renewPart is the part of a lease, as a divisor, after which the holder renews it: so
	// early that one renewal may be lost.
	renewPart = 2
	// restPart is the part of a lease, as a divisor, for which nothing is asked after a call
	// that came to nothing: a store that turns calls away is not helped by more of them, and
	// a renewal still has two tries.
	restPart = 6
	// guardPart is the part of a lease, as a divisor, by which the holder stops before it
	// ends: clocks of VMs do not run alike.
	guardPart = 10
)

// Claim is one daemon's part in one duty. It is a value: Step changes it in place, and a
// copy is a claim of its own. It has one owner.
//
// Times are readings of a clock that also counts while the VM is suspended: a holder that
// was frozen for longer than its lease must find it over when it wakes.
type Claim struct {
	// Self and Start are the daemon's id and what tells its processes apart.
	Self  string
	Start uint64
	// Lease is how long a holder holds the duty after it last renewed it.
	Lease time.Duration

	// record and version are the row as it was last known; seenAt is when that version was
	// first known to stand.
	known   bool
	record  Record
	version revision.Revision
	seenAt  time.Duration
	// readAt is when the row was last asked for, doubtful tells that it must be before
	// anything else.
	asked    bool
	readAt   time.Duration
	doubtful bool
	// holds is until when this daemon holds the duty, sentAt when the write under way left.
	holds   time.Duration
	sentAt  time.Duration
	renewed time.Duration
	// restUntil is until when nothing is asked of the store.
	restUntil time.Duration
	busy      bool
	pending   Record
	// state is what is to stand in the row, raise tells that its token is to rise.
	state string
	raise bool
	// tenure is the token with which this process took the duty.
	tenure uint64
	// highest is the highest token that was known: a store that returned from a copy may have
	// lost it, and what is called by a lower one is refused.
	highest uint64
}

// Step takes an event and returns what is to be done, or nil.
func (c *Claim) Step(e Event, now time.Duration) Order {
	switch e := e.(type) {
	case Tick:
		return c.tick(e, now)
	case Read:
		c.read(e, now)
	case Unread:
		c.busy, c.restUntil = false, now+c.Lease/restPart
	case Written:
		c.written(e, now)
	case Conflict:
		// The row is another holder's, or this daemon's own after a write that was done late.
		c.busy, c.doubtful, c.holds = false, true, 0
	case Unanswered:
		c.busy, c.doubtful, c.restUntil = false, true, now+c.Lease/restPart
	case Doubted:
		c.doubtful = true
	case Overtaken:
		c.doubtful, c.holds, c.raise = true, 0, true
	}
	return nil
}

func (c *Claim) tick(e Tick, now time.Duration) Order {
	switch {
	case c.busy, now < c.restUntil:
		return nil
	case c.mine() && !c.doubtful:
		return c.renew(now)
	case !e.Contend && !c.mine():
		c.known, c.asked = false, false
		return nil
	case c.doubtful || !c.asked || now-c.readAt >= c.Lease:
		return c.look(now)
	case c.free(now):
		return c.write(Record{Holder: c.Self, Start: c.Start, Token: c.nextToken(), State: c.record.State}, now)
	}
	return nil
}

// eraTokens is how many tokens an era of the store has: those of a later one are higher than any
// that it may have lost.
const eraTokens = 1 << 40

// nextToken is a token that is higher than all that may have been used. In a store that has
// returned from a copy a write of the era before may be done late, and replace a row with a
// higher token that nobody has read: tokens go by the row's version there, which only rises.
func (c *Claim) nextToken() uint64 {
	least := uint64(0)
	if c.version.Era > 0 {
		least = c.version.Era*eraTokens + c.version.Number
	}
	return max(c.record.Token, c.highest, least) + 1
}

// look asks for the row.
func (c *Claim) look(now time.Duration) Order {
	c.busy, c.asked, c.readAt = true, true, now
	return ReadRow{}
}

// renew writes the row again if it is time to, or if what is to stand there has changed.
func (c *Claim) renew(now time.Duration) Order {
	next := Record{Holder: c.Self, Start: c.Start, Token: c.record.Token, State: c.state}
	if c.raise || c.record.Token < c.highest {
		next.Token = c.nextToken()
	}
	if next == c.record && now-c.renewed < c.Lease/renewPart {
		return nil
	}
	return c.write(next, now)
}

func (c *Claim) write(next Record, now time.Duration) Order {
	c.busy, c.pending, c.sentAt = true, next, now
	return WriteRow{Record: next, Was: c.version}
}

// read takes the row as it stands.
func (c *Claim) read(e Read, now time.Duration) {
	was := c.mine()
	if !c.known || e.Version != c.version {
		c.seenAt = now
	}
	c.busy, c.known, c.doubtful = false, true, false
	c.record, c.version = e.Record, e.Version
	c.highest = max(c.highest, e.Record.Token)
	if !c.mine() {
		c.holds, c.raise = 0, false
		return
	}
	if !was {
		c.state, c.tenure = c.record.State, c.record.Token
	}
	// A row that is this daemon's says nothing of when it was written: it is renewed.
	c.renewed = now - c.Lease
}

// written takes the row that this daemon wrote.
func (c *Claim) written(e Written, now time.Duration) {
	taken := !c.mine()
	c.busy = false
	if c.raise && c.pending.Token > c.record.Token {
		c.raise = false
	}
	c.record, c.version, c.seenAt, c.renewed = c.pending, e.Version, now, c.sentAt
	c.highest = max(c.highest, c.record.Token)
	c.holds = c.sentAt + c.Lease - c.Lease/guardPart
	if taken {
		c.state, c.raise, c.tenure = c.record.State, false, c.record.Token
	}
}

// mine reports whether the row, as it is known, is this process's, and the duty was taken in the
// present era of the store. A row of an earlier one comes from a copy, or was written late where
// somebody else had taken the duty.
func (c *Claim) mine() bool {
	return c.known && c.record.Holder == c.Self && c.record.Start == c.Start && c.record.Token > c.version.Era*eraTokens
}

// free reports whether nobody holds the duty: there never was a row, or it has stood unchanged
// for a whole lease since it was first seen, which is later than it was written. A store that
// has returned from a copy may have lost the row of a holder, who finds out within a lease.
func (c *Claim) free(now time.Duration) bool {
	return c.known && (c.version == revision.Revision{} || now-c.seenAt >= c.Lease)
}

// Holds reports whether this daemon holds the duty, and by which token. It is asked right
// before each call.
func (c *Claim) Holds(now time.Duration) (token uint64, ok bool) {
	return c.record.Token, c.mine() && now < c.holds
}

// Tenure is the token with which this process took the duty: it differs each time that it
// does.
func (c *Claim) Tenure() uint64 { return c.tenure }

// State returns what stands in the row, as far as it is known.
func (c *Claim) State() string { return c.record.State }

// Keep sets what is to stand in the row. The next tick of a holder writes it.
func (c *Claim) Keep(state string) { c.state = state }

// Kept reports whether the row is known to hold what is to stand there, by the token that
// it is to have.
func (c *Claim) Kept() bool { return c.mine() && !c.doubtful && !c.raise && c.record.State == c.state }

// Raise has the token rise: what was sent under the one before and not answered is refused
// by the platform from the next call on.
func (c *Claim) Raise() { c.raise = true }

// Record returns the row as it was last known.
func (c *Claim) Record() (r Record, ok bool) { return c.record, c.known && c.version.Number != 0 }
