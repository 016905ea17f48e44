// Package knowledge keeps what a daemon knows of the platform's store: the
// configuration, the backend servers and the roll-outs, each with its age. Each
// daemon follows the store; one that the store turns away is kept going by the
// others. One goroutine owns the state and publishes immutable views.
package knowledge

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/relay"
)

// The rhythm of the keeper.
const (
	// followFor is how long the store holds a call that has nothing to tell.
	// Each answer confirms what is known; keys may be used for some seconds
	// after that, so several answers may be missed.
	followFor = 1500 * time.Millisecond
	// callTimeout is what is added to that before a call counts as lost.
	callTimeout = 900 * time.Millisecond
	// pauseFloor and pauseCeiling bound the pause after a failed call, which
	// doubles.
	pauseFloor   = 150 * time.Millisecond
	pauseCeiling = time.Second
	// membersEvery is the time between two reads of the list of daemons.
	membersEvery = 10 * time.Second
	// tickEvery is the time between two looks at what is due.
	tickEvery = 200 * time.Millisecond
	// askAfter is the age from which other daemons are asked: what is known is
	// as old as the start of a call, which is up to two calls ago.
	askAfter = 2*followFor + 150*time.Millisecond
	// askPeers is how many daemons are asked at a time.
	askPeers = 3
	// lapseWait is how long a server may take to be listed again after the
	// store was away; the platform's pages give about two seconds.
	lapseWait = 2000 * time.Millisecond
	// eventBacklog bounds the keeper's inbox.
	eventBacklog = 4096
)

// Sender carries messages to other daemons without waiting.
type Sender interface {
	Send(id, addr string, m any)
}

// Keeper keeps what a daemon knows. Get one from New, set the exported fields,
// then Run.
type Keeper struct {
	Store   Store
	Decoder Decoder
	Peers   Sender
	// Self is this daemon's entry in the list of daemons.
	Self Member
	Log  log.Logger

	// Lost and Regained count the times that the store stopped and began
	// again to answer.
	Lost     atomic.Int64
	Regained atomic.Int64
	// Calls counts calls to the store.
	Calls atomic.Int64

	view    atomic.Pointer[View]
	members atomic.Pointer[map[string]Member]
	events  chan event
	run     func(ctx context.Context) error

	topics    map[relay.Topic]*topicState
	loads     map[string]*fleet.Load
	lapsed    map[string]time.Time
	firstSeen map[string]time.Time
	asked     map[uint64]time.Time
	nonce     uint64
	peersSeen map[string]time.Time
	rollouts  *rollouts
	// bad are rows that did not decode, by key, so that each is logged once.
	bad map[string]uint64
}

// event is something for the keeper's goroutine.
type event interface{ event() }

// paged is an answer of the store.
type paged struct {
	topic relay.Topic
	page  Page
	whole bool
	at    time.Time
	err   error
}

// heard is a message of another daemon.
type heard struct {
	from    string
	message any
}

// observed is an answer of a version that may be in roll-out.
type observed struct{ fact Fact }

// wrote is the outcome of writing the state of a roll-out.
type wrote struct {
	service string
	err     error
}

func (paged) event()    {}
func (heard) event()    {}
func (observed) event() {}
func (wrote) event()    {}

// New returns a keeper that knows nothing.
func New() *Keeper {
	k := &Keeper{
		events: make(chan event, eventBacklog),
		topics: map[relay.Topic]*topicState{}, loads: map[string]*fleet.Load{}, lapsed: map[string]time.Time{},
		firstSeen: map[string]time.Time{}, asked: map[uint64]time.Time{}, peersSeen: map[string]time.Time{},
		bad: map[string]uint64{}, rollouts: newRollouts(), nonce: rand.Uint64(),
	}
	for _, t := range []relay.Topic{relay.Operator, relay.Servers, relay.Progress, relay.Members} {
		k.topics[t] = newTopicState()
	}
	k.view.Store(&View{})
	k.members.Store(&map[string]Member{})
	k.run = func(ctx context.Context) error { return k.loop(ctx) }
	return k
}

// View returns what is known now.
func (k *Keeper) View() *View { return k.view.Load() }

// Received takes a message of another daemon.
func (k *Keeper) Received(from string, message any) { k.tell(heard{from: from, message: message}) }

// tell hands an event to the keeper's goroutine; with a full inbox it is lost,
// and what it said will be said again.
func (k *Keeper) tell(e event) {
	select {
	case k.events <- e:
	default:
	}
}

// Run keeps the knowledge until ctx ends.
func (k *Keeper) Run(ctx context.Context) error { return k.run(ctx) }

func (k *Keeper) loop(ctx context.Context) error {
	go k.follow(ctx, relay.Operator, func() bool { return true })
	go k.follow(ctx, relay.Servers, func() bool { return true })
	go k.follow(ctx, relay.Progress, k.rollouts.open.Load)
	go k.keepMembers(ctx)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case e := <-k.events:
			k.handle(ctx, e)
		case <-tick.C:
			k.tick(ctx, time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

func (k *Keeper) handle(ctx context.Context, e event) {
	switch e := e.(type) {
	case paged:
		k.paged(e, time.Now())
	case heard:
		k.heard(e, time.Now())
	case observed:
		k.rollouts.observe(e.fact)
	case wrote:
		k.wrote(ctx, e)
	}
}

// follow keeps one topic up to date while wanted says so.
func (k *Keeper) follow(ctx context.Context, topic relay.Topic, wanted func() bool) {
	var after uint64
	known := false
	pause, hold := pauseFloor, followFor
	for ctx.Err() == nil {
		if !wanted() {
			known = false
			wait(ctx, tickEvery)
			continue
		}
		at := time.Now()
		page, whole, err := k.call(ctx, topic, known, after, hold)
		if ctx.Err() != nil {
			return
		}
		k.deliver(ctx, paged{topic: topic, page: page, whole: whole, at: at, err: err})
		if err != nil {
			// What has changed meanwhile is only safely known from all rows
			// if the store says that its history is gone.
			known = known && !isKind(err, HistoryLost)
			wait(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
			// The next answer is wanted at once: it tells that the store is back.
			pause, hold = min(2*pause, pauseCeiling), time.Millisecond
			continue
		}
		known, after, pause, hold = true, page.Version, pauseFloor, followFor
	}
}

// deliver hands an answer over, whatever the inbox holds.
func (k *Keeper) deliver(ctx context.Context, e event) {
	select {
	case k.events <- e:
	case <-ctx.Done():
	}
}

// call reads all rows of a topic if none are known, and otherwise follows it.
func (k *Keeper) call(ctx context.Context, topic relay.Topic, known bool, after uint64, hold time.Duration) (Page, bool, error) {
	k.Calls.Add(1)
	if !known {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		page, err := k.Store.Read(ctx, topic)
		return page, true, err
	}
	ctx, cancel := context.WithTimeout(ctx, hold+callTimeout)
	defer cancel()
	page, err := k.Store.Follow(ctx, topic, after, hold)
	return page, false, err
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// paged takes an answer of the store.
func (k *Keeper) paged(e paged, now time.Time) {
	t := k.topics[e.topic]
	if e.err != nil {
		k.failed(e, t, now)
		return
	}
	if !t.away.IsZero() {
		k.Regained.Add(1)
		k.Log.Info().Str("topic", string(e.topic)).Dur("away", now.Sub(t.away)).Uint64("version", e.page.Version).Msg("knowledge: the store answers again")
		t.away, t.returned = time.Time{}, now
	}
	k.rollouts.clock(e.page.ClockMS, now)
	var gone []string
	var newer bool
	if e.whole {
		gone, newer = t.replace(e.page.Rows, e.page.Version, e.at)
	} else {
		gone, newer = t.change(e.page, e.at)
	}
	k.learned(e.topic, gone, newer, now)
}

// failed notes a call to the store that came to nothing.
func (k *Keeper) failed(e paged, t *topicState, now time.Time) {
	if isKind(e.err, HistoryLost) {
		k.Log.Info().Str("topic", string(e.topic)).Uint64("version", t.version).Msg("knowledge: the store has forgotten its history: all rows are read again")
		return
	}
	if t.away.IsZero() {
		t.away = now
		k.Lost.Add(1)
		k.Log.Warn().Str("topic", string(e.topic)).Err(e.err).Uint64("version", t.version).Dur("age", now.Sub(t.confirmed)).Msg("knowledge: the store does not answer")
	}
}

// learned works out what changed rows mean.
func (k *Keeper) learned(topic relay.Topic, gone []string, newer bool, now time.Time) {
	if topic == relay.Servers {
		k.lapse(gone, now)
	}
	if !newer {
		k.refresh()
		return
	}
	switch topic {
	case relay.Operator:
		k.readOperator(now)
	case relay.Servers:
		k.readServers(now)
	case relay.Progress:
		k.readProgress(now)
	case relay.Members:
		k.readMembers()
	}
	k.refresh()
}

// lapse notes servers whose entries are gone. While the store was away entries
// lapse of servers that live: they have a while from its return to come back.
func (k *Keeper) lapse(gone []string, now time.Time) {
	t := k.topics[relay.Servers]
	until := t.returned.Add(lapseWait)
	if !t.away.IsZero() {
		until = now.Add(lapseWait)
	}
	for _, id := range gone {
		if now.Before(until) {
			k.lapsed[id] = until
		}
	}
}

// refresh publishes a view with the present state.
func (k *Keeper) refresh() {
	v := *k.view.Load()
	v.ConfigAt = k.topics[relay.Operator].confirmed
	v.ServersAt = k.topics[relay.Servers].confirmed
	v.Daemons = max(1, len(*k.members.Load()))
	v.rollouts, v.withdrawn, v.firstSeen = k.rollouts.snapshot(), k.rollouts.withdrawnCopy(), k.firstSeen
	k.view.Store(&v)
}

// tick does what is due.
func (k *Keeper) tick(ctx context.Context, now time.Time) {
	for id, until := range k.lapsed {
		if now.After(until) {
			delete(k.lapsed, id)
			k.readServers(now)
		}
	}
	k.askAround(now)
	k.driveRollouts(ctx, now)
	k.refresh()
}
