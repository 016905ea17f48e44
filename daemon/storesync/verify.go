package storesync

import (
	"context"
	"errors"
	"time"

	"ladderridge.example/core/contact"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
)

// Verification of the configuration. A daemon depends on the reader of its hall, which may have
// stopped, be disconnected from the store or be slow. Before its configuration becomes older than
// InForceWithin, a daemon therefore asks the store itself what has changed in the operator topic.
// That is one small call. It confirms the configuration only: which daemon reads the other topics
// is decided by what the readers confirm.

const (
	// verifySlack is added to the age that the configuration of a daemon reaches between two answers of
	// its reader: a daemon whose reader answers in time makes no call.
	verifySlack = 150 * time.Millisecond
	// verifyTimeout is how long the first call of a verification may take until it counts as failed.
	// An answer that arrives later is used all the same.
	verifyTimeout = 500 * time.Millisecond
	// maxVerifying is the number of calls that may wait for an answer at the same time. The first ones
	// of a slow VM may still be answered; of a store that was unavailable only the last ones are.
	maxVerifying = 3
	// verifyPause and maxVerifyPause bound the time between the starts of two calls, which doubles
	// with each call. It is drawn at random between half of it and all of it. A daemon that has lost
	// the store must find it again before it counts as being in touch with it.
	verifyPause    = 600 * time.Millisecond
	maxVerifyPause = 3 * time.Second
)

// verification is the state of the calls that verify the configuration. The syncer's goroutine owns
// it.
type verification struct {
	// confirmed is the latest time at which a call has confirmed the configuration.
	confirmed time.Time
	// waiting is the number of calls without an answer, next the time of the next call, pause the
	// time between the next two.
	waiting int
	next    time.Time
	pause   time.Duration
}

// verified is the outcome of a call that verifies the configuration. late is set for the notice that
// the call has taken longer than verifyTimeout and goes on.
type verified struct {
	storeAnswer
	after revision.Revision
	late  bool
}

func (verified) event() {}

// configConfirmed is the latest time at which the configuration was known to be current.
func (sy *Syncer) configConfirmed() time.Time {
	if at := sy.topics[gossip.Operator].confirmed; at.After(sy.verification.confirmed) {
		return at
	}
	return sy.verification.confirmed
}

// verifyAge is the age of the configuration at which a daemon verifies it. The state of a reader is up to
// two calls old, that of a daemon that asks it up to queryInterval older.
func (sy *Syncer) verifyAge() time.Duration { return 2*sy.pollWait() + queryInterval + verifySlack }

// verify asks the store whether the configuration has changed, if it has not been confirmed in time.
func (sy *Syncer) verify(ctx context.Context, now time.Time) {
	v, t := &sy.verification, sy.topics[gossip.Operator]
	if !t.known || sy.deferReading.Load() {
		return
	}
	sy.contact = sy.contact.With(contact.Confirmed{At: sy.configConfirmed()})
	if now.Sub(sy.configConfirmed()) <= sy.verifyAge() {
		v.next, v.pause = time.Time{}, verifyPause
		if sy.passive.Load() {
			v.pause = maxVerifyPause
		}
		return
	}
	if v.waiting >= maxVerifying || now.Before(v.next) {
		return
	}
	v.waiting++
	v.next, v.pause = now.Add(v.pause/2+time.Duration(sy.random.Int64N(int64(v.pause/2)+1))), min(2*v.pause, maxVerifyPause)
	e := verified{storeAnswer: storeAnswer{topic: gossip.Operator, at: now, suspendedTotal: sy.SuspendClock.Now()}, after: t.version}
	sy.Calls.Add(1)
	sy.Verifications.Add(1)
	go sy.callVerify(ctx, e)
}

// callVerify makes one call and reports its outcome.
func (sy *Syncer) callVerify(ctx context.Context, e verified) {
	notice := e
	notice.late = true
	late := time.AfterFunc(verifyTimeout, func() { sy.enqueue(notice) })
	defer late.Stop()
	callCtx, cancel := context.WithTimeout(ctx, 2*sy.inForceWithin())
	defer cancel()
	e.page, e.err = sy.Store.Verify(callCtx, gossip.Operator, e.after)
	sy.deliver(ctx, e)
}

// handleVerified handles the outcome of a verification.
func (sy *Syncer) handleVerified(e verified, now time.Time) {
	if e.late {
		sy.contact = sy.contact.With(contact.CallFailed{Start: e.at, TimedOut: true})
		return
	}
	sy.verification.waiting--
	defer func() { sy.traceExchange("store", e.at, now, 0, e.err != nil) }()
	if e.err != nil {
		sy.recordCallFailed(e.storeAnswer, now)
		return
	}
	sy.contact = sy.contact.With(contact.Answered{Start: e.at, End: now})
	// The other topics may be read, however slow the calls about the configuration are.
	sy.storeUnavailable.Store(false)
	t := sy.topics[gossip.Operator]
	if e.page.Version.Era != t.version.Era || e.page.Version.Before(e.after) {
		// The store was restored. Only a read of all rows tells what it has.
		return
	}
	// The age counts from the start of the call, including any suspension of the VM.
	if at := e.at.Add(e.suspendedTotal - sy.SuspendClock.Now()); at.After(sy.verification.confirmed) {
		sy.verification.confirmed = at
	}
	sy.unreadable(gossip.Operator, e.page)
	gone, newer := t.applyPage(e.page, time.Time{}, now)
	sy.applyTopicChange(gossip.Operator, gone, newer, now)
}

// recordCallFailed records a call to the store that failed. That the store has lost its history or was
// restored is an answer.
func (sy *Syncer) recordCallFailed(e storeAnswer, now time.Time) {
	if needsFullRead(e.err) {
		sy.contact = sy.contact.With(contact.Answered{Start: e.at, End: now})
		return
	}
	sy.contact = sy.contact.With(contact.CallFailed{Start: e.at, TimedOut: errors.Is(e.err, context.DeadlineExceeded)})
}
