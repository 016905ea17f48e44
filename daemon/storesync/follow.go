package storesync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
)

// The rhythm of calls to the store.
const (
	// holdDivisor is the part of the time in which a configuration must be in
	// force, as a divisor, for which the store holds a call about it that has
	// nothing to tell. What a reader knows is then at most two calls old; a
	// daemon that sees it grow older has time left to read for itself.
	holdDivisor = 4
	// defaultInForce is that time if the settings name none.
	defaultInForce = 2 * time.Second
	// longPollWait is how long it holds the other calls: what they tell need
	// not be confirmed, and a failure of the first one ends them.
	longPollWait = 6 * time.Second
	// callTimeout is what is added to that before a call counts as lost.
	callTimeout = 900 * time.Millisecond
	// minBackoff and pauseCeiling bound the pause after a failed call, which
	// doubles. It is drawn between a half of it and the whole.
	minBackoff = 150 * time.Millisecond
	maxBackoff = time.Second
	// minPassiveBackoff and bystanderCeiling bound it where others of the hall try again
	// soon.
	minPassiveBackoff = 2 * time.Second
	maxPassiveBackoff = 4 * time.Second
	// batchDelay is the pause after an answer with changes, so that more of them
	// come with the next one: when many servers start, each would cost a call.
	// Of servers and daemons it may be longer than of the configuration: a server
	// that leaves must be known within two seconds, which leaves time for an
	// answer and the news of it to be lost.
	batchDelay     = 150 * time.Millisecond
	longBatchDelay = 400 * time.Millisecond
	// membersDelay is how long after its start a daemon reads the list of daemons.
	// When many start at once their entries are there by then, with the keys
	// without which they cannot speak to each other.
	membersDelay = 300 * time.Millisecond
	// settleDelay is the pause after all rows were read, in which this daemon finds
	// out whether another one is there to follow them.
	settleDelay = 2*tickInterval + 50*time.Millisecond
)

// pollWait is how long the store holds a call about the configuration.
func (k *Syncer) pollWait() time.Duration {
	if k.InForceWithin <= 0 {
		return defaultInForce / holdDivisor
	}
	return k.InForceWithin / holdDivisor
}

// follower keeps one topic up to date from the store.
type follower struct {
	topic gossip.Topic
	// pollWait is how long the store holds a call, gather how long changes are
	// gathered after one.
	pollWait   time.Duration
	batchDelay time.Duration
	// delay is how long after the start the first call is made.
	delay time.Duration
	// enabled reports whether the topic is to be followed now.
	enabled func() bool

	mu     sync.Mutex
	cancel context.CancelFunc
	// stopped tells that the call under way was ended from here.
	stopped bool
}

// interrupt ends the call under way: the next one finds out whether the store
// is there.
func (f *follower) interrupt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.stopped = true
		f.cancel()
	}
}

func (f *follower) begin(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel, f.stopped = cancel, false
	return ctx, cancel
}

// end forgets the call under way and reports whether it was ended from here.
func (f *follower) end() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = nil
	return f.stopped
}

// follow keeps a topic up to date while it is wanted.
func (k *Syncer) follow(ctx context.Context, f *follower) {
	var after revision.Revision
	known := false
	random := k.draws(string(f.topic))
	pause, hold := minBackoff, f.pollWait
	clock.Wait(ctx, f.delay)
	// The first time the list of daemons comes later than the other rows.
	pauseAfterAll := settleDelay + membersDelay - f.delay
	for ctx.Err() == nil {
		if !f.enabled() {
			known = false
			clock.Wait(ctx, tickInterval)
			continue
		}
		if k.deferReading.Load() && (known || f.topic != gossip.Members) {
			clock.Wait(ctx, tickInterval)
			continue
		}
		if f.topic != gossip.Operator && k.storeUnavailable.Load() {
			hold = time.Millisecond
			clock.Wait(ctx, tickInterval/2)
			continue
		}
		at, stood := time.Now(), k.SuspendClock.Now()
		page, whole, err := k.fetch(ctx, f, known, after, hold)
		if ctx.Err() != nil {
			return
		}
		if f.end() && err != nil {
			hold = time.Millisecond
			continue
		}
		k.deliver(ctx, storeAnswer{topic: f.topic, page: page, full: whole, at: at, suspendedTotal: stood, err: err})
		if err != nil {
			known = known && !needsFullRead(err)
			pause = k.backOff(ctx, pause, random)
			// The next answer is wanted at once: it tells that the store is back.
			hold = time.Millisecond
			continue
		}
		known, after, pause, hold = true, page.Version, minBackoff, f.pollWait
		switch {
		case whole:
			clock.Wait(ctx, pauseAfterAll)
			pauseAfterAll = settleDelay
		case len(page.Rows)+len(page.Removed) > 0:
			clock.Wait(ctx, f.batchDelay)
		}
	}
}

// needsFullRead reports whether what has changed is only safely known from all rows.
func needsFullRead(err error) bool { return isKind(err, HistoryLost) || isKind(err, EraChanged) }

// backOff waits after a failed call and returns the next pause.
func (k *Syncer) backOff(ctx context.Context, pause time.Duration, random *rand.Rand) time.Duration {
	ceiling := maxBackoff
	if k.passive.Load() {
		pause, ceiling = max(pause, minPassiveBackoff), maxPassiveBackoff
	}
	clock.Wait(ctx, pause/2+time.Duration(random.Int64N(int64(pause/2))))
	return min(2*pause, ceiling)
}

// fetch reads all rows of a topic if none are known, and otherwise follows it.
func (k *Syncer) fetch(ctx context.Context, f *follower, known bool, after revision.Revision, hold time.Duration) (Page, bool, error) {
	k.Calls.Add(1)
	if !known {
		ctx, cancel := f.begin(ctx, callTimeout)
		defer cancel()
		page, err := k.Store.Read(ctx, f.topic)
		return page, true, err
	}
	ctx, cancel := f.begin(ctx, hold+callTimeout)
	defer cancel()
	page, err := k.Store.Follow(ctx, f.topic, after, hold)
	return page, false, err
}
