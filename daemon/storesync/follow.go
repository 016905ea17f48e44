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
	// holdPart is the part of the time in which a configuration must be in
	// force, as a divisor, for which the store holds a call about it that has
	// nothing to tell. What a reader knows is then at most two calls old; a
	// daemon that sees it grow older has time left to read for itself.
	holdPart = 4
	// standardInForce is that time if the settings name none.
	standardInForce = 2 * time.Second
	// followLong is how long it holds the other calls: what they tell need
	// not be confirmed, and a failure of the first one ends them.
	followLong = 6 * time.Second
	// callTimeout is what is added to that before a call counts as lost.
	callTimeout = 900 * time.Millisecond
	// pauseFloor and pauseCeiling bound the pause after a failed call, which
	// doubles. It is drawn between a half of it and the whole.
	pauseFloor   = 150 * time.Millisecond
	pauseCeiling = time.Second
	// bystanderFloor and bystanderCeiling bound it where others of the hall try again
	// soon.
	bystanderFloor   = 2 * time.Second
	bystanderCeiling = 4 * time.Second
	// gather is the pause after an answer with changes, so that more of them
	// come with the next one: when many servers start, each would cost a call.
	// Of servers and daemons it may be longer than of the configuration: a server
	// that leaves must be known within two seconds, which leaves time for an
	// answer and the news of it to be lost.
	gather     = 150 * time.Millisecond
	gatherLong = 400 * time.Millisecond
	// membersDelay is how long after its start a daemon reads the list of daemons.
	// When many start at once their entries are there by then, with the keys
	// without which they cannot speak to each other.
	membersDelay = 300 * time.Millisecond
	// settle is the pause after all rows were read, in which this daemon finds
	// out whether another one is there to follow them.
	settle = 2*tickEvery + 50*time.Millisecond
)

// hold is how long the store holds a call about the configuration.
func (k *Keeper) hold() time.Duration {
	if k.InForceWithin <= 0 {
		return standardInForce / holdPart
	}
	return k.InForceWithin / holdPart
}

// follower keeps one topic up to date from the store.
type follower struct {
	topic gossip.Topic
	// hold is how long the store holds a call, gather how long changes are
	// gathered after one.
	hold   time.Duration
	gather time.Duration
	// delay is how long after the start the first call is made.
	delay time.Duration
	// wanted reports whether the topic is to be followed now.
	wanted func() bool

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
func (k *Keeper) follow(ctx context.Context, f *follower) {
	var after revision.Revision
	known := false
	random := k.draws(string(f.topic))
	pause, hold := pauseFloor, f.hold
	clock.Wait(ctx, f.delay)
	// The first time the list of daemons comes later than the other rows.
	pauseAfterAll := settle + membersDelay - f.delay
	for ctx.Err() == nil {
		if !f.wanted() {
			known = false
			clock.Wait(ctx, tickEvery)
			continue
		}
		if k.leavesReading.Load() && (known || f.topic != gossip.Members) {
			clock.Wait(ctx, tickEvery)
			continue
		}
		if f.topic != gossip.Operator && k.away.Load() {
			hold = time.Millisecond
			clock.Wait(ctx, tickEvery/2)
			continue
		}
		at, stood := time.Now(), k.StoodStill.Now()
		page, whole, err := k.call(ctx, f, known, after, hold)
		if ctx.Err() != nil {
			return
		}
		if f.end() && err != nil {
			hold = time.Millisecond
			continue
		}
		k.deliver(ctx, paged{topic: f.topic, page: page, whole: whole, at: at, stood: stood, err: err})
		if err != nil {
			known = known && !mustReadAll(err)
			pause = k.rest(ctx, pause, random)
			// The next answer is wanted at once: it tells that the store is back.
			hold = time.Millisecond
			continue
		}
		known, after, pause, hold = true, page.Version, pauseFloor, f.hold
		switch {
		case whole:
			clock.Wait(ctx, pauseAfterAll)
			pauseAfterAll = settle
		case len(page.Rows)+len(page.Removed) > 0:
			clock.Wait(ctx, f.gather)
		}
	}
}

// mustReadAll reports whether what has changed is only safely known from all rows.
func mustReadAll(err error) bool { return isKind(err, HistoryLost) || isKind(err, EraChanged) }

// rest waits after a failed call and returns the next pause.
func (k *Keeper) rest(ctx context.Context, pause time.Duration, random *rand.Rand) time.Duration {
	ceiling := pauseCeiling
	if k.bystander.Load() {
		pause, ceiling = max(pause, bystanderFloor), bystanderCeiling
	}
	clock.Wait(ctx, pause/2+time.Duration(random.Int64N(int64(pause/2))))
	return min(2*pause, ceiling)
}

// call reads all rows of a topic if none are known, and otherwise follows it.
func (k *Keeper) call(ctx context.Context, f *follower, known bool, after revision.Revision, hold time.Duration) (Page, bool, error) {
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
