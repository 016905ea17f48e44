package storesync

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
)

// Intervals of the calls to the store.
const (
	// holdDivisor gives the time for which the store holds a call about the configuration that
	// has no changes to return, as a fraction of InForceWithin. The state of a reader is then
	// at most two calls old. A daemon whose state becomes older still has time to read the
	// store itself.
	holdDivisor = 4
	// defaultInForce replaces InForceWithin if the settings do not set it.
	defaultInForce = 2 * time.Second
	// longPollWait is how long the store holds the other calls. Their topics need no frequent
	// confirmation, and a failure of the call about the configuration ends them.
	longPollWait = 6 * time.Second
	// unheld is the hold time of a call that is to return at once.
	unheld = time.Millisecond
	// callTimeout is added to the hold time before a call counts as failed. A read of all rows that
	// has timed out gets twice the time next, up to maxReadTimeout: they may be many, and the VM slow.
	callTimeout    = 900 * time.Millisecond
	maxReadTimeout = 4 * callTimeout
	// minBackoff and maxBackoff bound the pause after a failed call, which doubles with each
	// failure. The pause is drawn at random between half of it and all of it.
	minBackoff = 150 * time.Millisecond
	maxBackoff = time.Second
	// minPassiveBackoff and maxPassiveBackoff bound the pause if other daemons of the hall
	// retry sooner.
	minPassiveBackoff = 2 * time.Second
	maxPassiveBackoff = 4 * time.Second
	// batchDelay is the pause after an answer with changes, so that the next answer returns
	// several changes at once. When many servers start, each would otherwise cost a call. The
	// topics of servers and daemons can use a longer pause than the configuration: a server
	// that leaves must be known within two seconds, which leaves time for one lost answer and
	// one lost message about it.
	batchDelay     = 150 * time.Millisecond
	longBatchDelay = 400 * time.Millisecond
	// membersDelay is how long after its start a daemon reads the list of daemons. When many
	// daemons start at once, their entries exist by then, with the keys that they need to
	// connect to each other.
	membersDelay = 300 * time.Millisecond
	// settleDelay is the pause after a full read. In this time the daemon finds out whether
	// another daemon follows the topics for it.
	settleDelay = 2*tickInterval + 50*time.Millisecond
)

// inForceWithin is the time in which a configuration must be in force everywhere.
func (sy *Syncer) inForceWithin() time.Duration {
	if sy.InForceWithin <= 0 {
		return defaultInForce
	}
	return sy.InForceWithin
}

// pollWait is how long the store holds a call about the configuration.
func (sy *Syncer) pollWait() time.Duration { return sy.inForceWithin() / holdDivisor }

// follower keeps one topic up to date from the store.
type follower struct {
	topic gossip.Topic
	// pollWait is how long the store holds a call, batchDelay the pause after an answer with
	// changes.
	pollWait   time.Duration
	batchDelay time.Duration
	// readTimeout is the time for a read of all rows. The goroutine that follows the topic owns it.
	readTimeout time.Duration
	// delay is the time between the start and the first call.
	delay time.Duration
	// enabled reports whether the topic is to be followed now.
	enabled func() bool

	// returned is the latest version that a call has returned. newer is a later version of the
	// store, if one is known, and newerAt when it was first seen. The syncer's goroutine owns them.
	returned revision.Revision
	newer    revision.Revision
	newerAt  time.Time

	mu     sync.Mutex
	cancel context.CancelFunc
	// readsAll is set if the current call reads all rows. heldSince is its start if the store may
	// hold it, or zero.
	readsAll  bool
	heldSince time.Time
	// stopped is set if the current call was interrupted, nextHold is then the hold time of the next.
	stopped  bool
	nextHold time.Duration
}

// maxUnseen is how long a call may go on after the store is known to have a newer version than the
// last call returned. A change to the topic is returned sooner.
const maxUnseen = 900 * time.Millisecond

// recordReturned records the version that a call about the topic has returned.
func (f *follower) recordReturned(version revision.Revision) {
	f.returned = revision.Latest(f.returned, version)
	if !f.newer.After(f.returned) {
		f.newerAt = time.Time{}
	}
}

// recordNewest records the version of the whole store that a call about another topic has returned.
func (f *follower) recordNewest(version revision.Revision, now time.Time) {
	if f.newerAt.IsZero() && version.After(f.returned) {
		f.newer, f.newerAt = version, now
	}
}

// interruptUnseen ends the current call if it should have returned a newer version of the store by
// now, had the topic changed. The answer may be lost. The next call returns at once if the topic has
// changed.
func (f *follower) interruptUnseen(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel == nil || f.heldSince.IsZero() || f.newerAt.IsZero() || now.Sub(latest(f.newerAt, f.heldSince)) < maxUnseen {
		return
	}
	f.returned, f.newerAt = f.newer, time.Time{}
	f.stop(f.pollWait)
}

// interrupt ends the current call. The next call finds out whether the store answers.
func (f *follower) interrupt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.stop(unheld)
	}
}

// interruptHeld ends the current call unless it reads all rows, which has a time-out of its own.
func (f *follower) interruptHeld() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil && !f.readsAll {
		f.stop(unheld)
	}
}

// stop ends the current call. The store may hold the next one for nextHold.
func (f *follower) stop(nextHold time.Duration) {
	f.stopped, f.nextHold = true, nextHold
	f.cancel()
}

// begin starts a call that the store may hold for a time, and that has the given time for its answer.
func (f *follower) begin(ctx context.Context, hold, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, hold+timeout)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel, f.stopped, f.readsAll, f.heldSince = cancel, false, hold == 0, time.Time{}
	if hold > unheld {
		f.heldSince = time.Now()
	}
	return ctx, cancel
}

// end clears the current call and reports whether it was interrupted, and the hold time of the next.
func (f *follower) end() (stopped bool, nextHold time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = nil
	return f.stopped, f.nextHold
}

// follow keeps a topic up to date while it is enabled.
func (sy *Syncer) follow(ctx context.Context, f *follower) {
	var after revision.Revision
	known := false
	random := sy.draws(string(f.topic))
	pause, hold := minBackoff, f.pollWait
	clock.Wait(ctx, f.delay)
	// At the start the list of daemons is read later than the other topics.
	pauseAfterAll := settleDelay + membersDelay - f.delay
	for ctx.Err() == nil {
		if !f.enabled() {
			known = false
			clock.Wait(ctx, tickInterval)
			continue
		}
		if sy.deferReading.Load() && (known || f.topic != gossip.Members) {
			clock.Wait(ctx, tickInterval)
			continue
		}
		if f.topic != gossip.Operator && sy.storeUnavailable.Load() {
			hold = unheld
			clock.Wait(ctx, tickInterval/2)
			continue
		}
		at, suspended := time.Now(), sy.SuspendClock.Now()
		page, full, err := sy.fetch(ctx, f, known, after, hold)
		if ctx.Err() != nil {
			return
		}
		if stopped, nextHold := f.end(); stopped && err != nil {
			hold = nextHold
			continue
		}
		sy.deliver(ctx, storeAnswer{topic: f.topic, page: page, full: full, at: at, suspendedTotal: suspended, err: err})
		if err != nil {
			known = known && !needsFullRead(err)
			pause = sy.backOff(ctx, pause, random, err)
			// The next call returns at once: its answer shows that the store is available
			// again.
			hold = unheld
			continue
		}
		known, after, pause, hold = true, page.Version, minBackoff, f.pollWait
		switch {
		case full:
			clock.Wait(ctx, pauseAfterAll)
			pauseAfterAll = settleDelay
		case len(page.Rows)+len(page.Removed) > 0:
			clock.Wait(ctx, f.batchDelay)
		}
	}
}

// needsFullRead reports whether an error means that all rows must be read again.
func needsFullRead(err error) bool { return isKind(err, HistoryLost) || isKind(err, EraChanged) }

// backOff waits after a call that failed with an error and returns the next pause.
func (sy *Syncer) backOff(ctx context.Context, pause time.Duration, random *rand.Rand, err error) time.Duration {
	ceiling := maxBackoff
	if needsFullRead(err) {
		// The store has answered.
		pause = minBackoff
	}
	if sy.passive.Load() {
		pause, ceiling = max(pause, minPassiveBackoff), maxPassiveBackoff
	}
	clock.Wait(ctx, pause/2+time.Duration(random.Int64N(int64(pause/2))))
	return min(2*pause, ceiling)
}

// fetch reads all rows of a topic if none are known, and otherwise waits for changes.
func (sy *Syncer) fetch(ctx context.Context, f *follower, known bool, after revision.Revision, hold time.Duration) (Page, bool, error) {
	sy.Calls.Add(1)
	if !known {
		f.readTimeout = max(f.readTimeout, callTimeout)
		ctx, cancel := f.begin(ctx, 0, f.readTimeout)
		defer cancel()
		page, err := sy.Store.Read(ctx, f.topic)
		switch {
		case err == nil:
			f.readTimeout = callTimeout
		case errors.Is(err, context.DeadlineExceeded):
			f.readTimeout = min(2*f.readTimeout, maxReadTimeout)
		}
		return page, true, err
	}
	callCtx, cancel := f.begin(ctx, hold, callTimeout)
	defer cancel()
	page, err := sy.Store.Follow(callCtx, f.topic, after, hold)
	if err == nil && page.hasUnknownKey() {
		// Any row may have changed. Only a read of all rows tells.
		return sy.fetch(ctx, f, false, after, 0)
	}
	return page, false, err
}
