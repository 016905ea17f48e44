package duty

import (
	"time"

	"ladderridge.example/core/revision"
)

const (
	// renewDivisor is the divisor of the lease after which the holder renews it: early enough that one
	// renewal may be lost.
	renewDivisor = 2
	// backoffDivisor is the divisor of the lease that gives the back-off after a failed call. It keeps
	// load off a store that is refusing calls, and leaves time for two attempts to renew.
	backoffDivisor = 6
	// guardDivisor is the divisor of the lease that gives the margin by which the holder stops before the
	// lease ends, since the clocks of VMs run at different rates.
	guardDivisor = 10
)

// Elector takes part in the election of the holder of one duty. It is a value: Step changes it in place,
// and a copy is independent. It must be used by one goroutine at a time.
//
// Times are readings of a clock that also advances while the VM is suspended. A holder that was
// suspended for longer than its lease must find the lease expired when it resumes.
type Elector struct {
	// Self is the id of the daemon. Start distinguishes its processes.
	Self  string
	Start uint64
	// LeaseDuration is how long a holder holds the duty after its last renewal.
	LeaseDuration time.Duration

	// record and version are the row as last known; seenAt is when that version was first seen.
	known   bool
	record  Record
	version revision.Revision
	seenAt  time.Duration
	// readAt is when the row was last read; mustRead is set if it must be read before anything else.
	asked    bool
	readAt   time.Duration
	mustRead bool
	// holdsUntil is the end of this daemon's lease; sentAt is when the pending write was sent.
	holdsUntil time.Duration
	sentAt     time.Duration
	renewedAt  time.Duration
	// backoffUntil is the time before which the store is not called.
	backoffUntil time.Duration
	inCall       bool
	pending      Record
	// state is the state to be stored in the row; raise is set if its token is to be raised.
	state string
	raise bool
	// tenure is the token with which this process took the duty.
	tenure uint64
	// maxToken is the highest token ever seen. A store that was restored from a copy may have lost it, and
	// the platform refuses requests with a lower one.
	maxToken uint64
}

// Step processes an event and returns the action to take, or nil.
func (el *Elector) Step(e Event, now time.Duration) Action {
	switch e := e.(type) {
	case Tick:
		return el.tick(e, now)
	case Read:
		el.handleRead(e, now)
	case ReadFailed:
		el.inCall, el.backoffUntil = false, now+el.LeaseDuration/backoffDivisor
	case Written:
		el.handleWritten(e, now)
	case Conflict:
		// The row belongs to another holder, or to this daemon after a write that took effect late.
		el.inCall, el.mustRead, el.holdsUntil = false, true, 0
	case WriteOutcomeUnknown:
		el.inCall, el.mustRead, el.backoffUntil = false, true, now+el.LeaseDuration/backoffDivisor
	case MaybeSuperseded:
		el.mustRead = true
	case Superseded:
		el.mustRead, el.holdsUntil, el.raise = true, 0, true
	}
	return nil
}

func (el *Elector) tick(e Tick, now time.Duration) Action {
	switch {
	case el.inCall, now < el.backoffUntil:
		return nil
	case el.isHolder() && !el.mustRead:
		return el.renew(now)
	case !e.Contend && !el.isHolder():
		el.known, el.asked = false, false
		return nil
	case el.mustRead || !el.asked || now-el.readAt >= el.LeaseDuration:
		return el.readRow(now)
	case el.expired(now):
		return el.write(Record{Holder: el.Self, Start: el.Start, Token: el.nextToken(), State: el.record.State}, now)
	}
	return nil
}

// tokensPerEra is the number of tokens per era, where the era counts how often the store was restored from
// a copy. Tokens of a later era are higher than any that the store may have lost.
const tokensPerEra = 1 << 40

// nextToken returns a token that is higher than all that may have been used. After the store was
// restored from a copy, a write from the era before may still take effect and replace a row whose
// higher token nobody has read. From the first restore on, tokens are therefore derived from the
// version of the row as well, which only rises.
func (el *Elector) nextToken() uint64 {
	floor := uint64(0)
	if el.version.Era > 0 {
		floor = el.version.Era*tokensPerEra + el.version.Number
	}
	return max(el.record.Token, el.maxToken, floor) + 1
}

// readRow requests the row.
func (el *Elector) readRow(now time.Duration) Action {
	el.inCall, el.asked, el.readAt = true, true, now
	return ReadRow{}
}

// renew writes the row if the renewal is due or if its contents have to change.
func (el *Elector) renew(now time.Duration) Action {
	next := Record{Holder: el.Self, Start: el.Start, Token: el.record.Token, State: el.state}
	if el.raise || el.record.Token < el.maxToken {
		next.Token = el.nextToken()
	}
	if next == el.record && now-el.renewedAt < el.LeaseDuration/renewDivisor {
		return nil
	}
	return el.write(next, now)
}

func (el *Elector) write(next Record, now time.Duration) Action {
	el.inCall, el.pending, el.sentAt = true, next, now
	return WriteRow{Record: next, Expected: el.version}
}

// handleRead handles the row as read from the store.
func (el *Elector) handleRead(e Read, now time.Duration) {
	wasHolder := el.isHolder()
	if !el.known || e.Version != el.version {
		el.seenAt = now
	}
	el.inCall, el.known, el.mustRead = false, true, false
	el.record, el.version = e.Record, e.Version
	el.maxToken = max(el.maxToken, e.Record.Token)
	if !el.isHolder() {
		el.holdsUntil, el.raise = 0, false
		return
	}
	if !wasHolder {
		el.state, el.tenure = el.record.State, el.record.Token
	}
	// The row does not say when it was written, so a row of this daemon is renewed at once.
	el.renewedAt = now - el.LeaseDuration
}

// handleWritten handles the row that this daemon has written.
func (el *Elector) handleWritten(e Written, now time.Duration) {
	taken := !el.isHolder()
	el.inCall = false
	if el.raise && el.pending.Token > el.record.Token {
		el.raise = false
	}
	el.record, el.version, el.seenAt, el.renewedAt = el.pending, e.Version, now, el.sentAt
	el.maxToken = max(el.maxToken, el.record.Token)
	el.holdsUntil = el.sentAt + el.LeaseDuration - el.LeaseDuration/guardDivisor
	if taken {
		el.state, el.raise, el.tenure = el.record.State, false, el.record.Token
	}
}

// isHolder reports whether the row as last known belongs to this process and the duty was taken in the
// present era of the store. A row from an earlier era comes from a copy, or from a late write that
// replaced the row of another holder.
func (el *Elector) isHolder() bool {
	return el.known && el.record.Holder == el.Self && el.record.Start == el.Start && el.record.Token > el.version.Era*tokensPerEra
}

// expired reports whether no daemon holds the duty: the row does not exist, or it has been unchanged
// for a whole lease since it was first seen, which is after it was written. A store that was restored
// from a copy may have lost the row of a holder, which notices this within one lease.
func (el *Elector) expired(now time.Duration) bool {
	return el.known && (el.version == revision.Revision{} || now-el.seenAt >= el.LeaseDuration)
}

// Holds reports whether this daemon holds the duty, and its fencing token. It must be called right
// before each request to the platform.
func (el *Elector) Holds(now time.Duration) (token uint64, ok bool) {
	return el.record.Token, el.isHolder() && now < el.holdsUntil
}

// Tenure returns the token with which this process took the duty. It is different for each time that
// the process takes the duty.
func (el *Elector) Tenure() uint64 { return el.tenure }

// State returns the state in the row as last known.
func (el *Elector) State() string { return el.record.State }

// SetState sets the state to be stored in the row. The next tick of a holder writes it.
func (el *Elector) SetState(state string) { el.state = state }

// StateStored reports whether the row is known to hold the current state with the required token.
func (el *Elector) StateStored() bool {
	return el.isHolder() && !el.mustRead && !el.raise && el.record.State == el.state
}

// RaiseToken requests a higher token. From the next request on, the platform refuses requests that were sent
// with the old token and not answered.
func (el *Elector) RaiseToken() { el.raise = true }

// Record returns the row as last known.
func (el *Elector) Record() (r Record, ok bool) { return el.record, el.known && el.version.Number != 0 }
