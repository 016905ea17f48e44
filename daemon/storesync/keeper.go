// Package storesync keeps what a daemon knows of the platform's store: the
// configuration, the backend servers and the roll-outs, each with its age. Each
// daemon follows the store; one that the store turns away is kept going by the
// others. One goroutine owns the state and publishes immutable views.
package storesync

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/clock"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/notice"
	"ladderridge.example/core/quarantine"
	"ladderridge.example/core/revision"
	"ladderridge.example/core/serverload"
	"ladderridge.example/daemon/suspend"
)

// The rhythm of the keeper.
const (
	// tickEvery is the time between two looks at what is due.
	tickEvery = 100 * time.Millisecond
	// askPeers is how many daemons are asked then.
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
	// SendAll sends one message to several daemons, by id and address.
	SendAll(to map[string]string, m any)
	// Forget drops the connections to a daemon.
	Forget(id string)
}

// Keeper keeps what a daemon knows. Get one from New, set the exported fields,
// then Run.
type Keeper struct {
	Store   Store
	Decoder Decoder
	Peers   Sender
	// Self is this daemon's entry in the list of daemons.
	Self Member
	// InForceWithin is how soon a configuration must be in force everywhere; 0
	// is two seconds.
	InForceWithin time.Duration
	// SessionPause is how long a session rests before it may move to a version in
	// roll-out; 0 is five seconds.
	SessionPause time.Duration
	// Exposure bounds what a new version may get before it is known to be good.
	Exposure canary.Exposure
	// Regions are the regions of the data halls.
	Regions map[string]string
	// StoodStill tells how long the VM has stood still; nil is never.
	StoodStill suspend.Clock
	// ColdOverage and ColdSlack are what a cold server bears beyond the rate that its
	// service names: a factor, and some requests more.
	ColdOverage float64
	ColdSlack   float64
	// Rate is how many requests for a service this daemon gets a second; nil is
	// unknown.
	Rate func(service string) float64
	// Usage is what daemons exchange of usage; nil is nothing.
	Usage UsageExchange
	// BeganAgain, if set, is told of a server that has begun again under its id, as it was
	// before.
	BeganAgain func(was *fleet.Server)
	// Limited, if set, is told of a server whose limit begins, changes or ends by what another
	// daemon has heard.
	Limited func(s *fleet.Server, was, is notice.LimitState)
	Log     log.Logger
	// FirstStart tells that all daemons start for the first time: nobody waits for an
	// answer yet, and what a hall's reader reads is told to the others.
	FirstStart bool
	// Seed is what pauses and turns are drawn from; 0 draws one.
	Seed uint64

	// Lost and Regained count the times that the store stopped and began
	// again to answer.
	Lost     atomic.Int64
	Regained atomic.Int64
	// Calls counts calls to the store.
	Calls atomic.Int64
	// Standstills counts the times that the VM has stood still.
	Standstills atomic.Int64
	// Spoiled counts rows that came and do not decode.
	Spoiled atomic.Int64
	// Returns counts topics whose rows the store has had from a copy.
	Returns atomic.Int64
	// Ended counts servers that ended while requests of this daemon were under way there.
	Ended atomic.Int64

	// republish asks for this daemon's entry to be written again; progressLost tells that the
	// store may lack states of roll-outs.
	republish    chan struct{}
	progressLost atomic.Bool
	// left are the servers that leave by their entries, by the era of the store that said so.
	left map[fleet.Incarnation]uint64

	view    atomic.Pointer[View]
	members atomic.Pointer[map[string]Member]
	events  chan event
	run     func(ctx context.Context) error

	// reading tells that this daemon reads the store, away that the store does
	// not answer it.
	reading atomic.Bool
	away    atomic.Bool
	// bystander tells that others of the hall try the store again and again while it
	// does not answer.
	bystander atomic.Bool
	// answeredAt is the start of the last call about the operator's topic that the
	// store answered.
	answeredAt time.Time
	// source is a daemon that last told something new enough while this one had
	// nobody to read for it, or "".
	source string
	// leavesReading tells that at the first start all but the list of daemons is left
	// to the hall's reader, until startedAt is firstStartPatience ago.
	leavesReading atomic.Bool
	startedAt     time.Time
	readers       *readers
	followers     []*follower
	// listeners are the daemons that this one reads for, by when they last
	// asked.
	listeners map[string]time.Time
	topics    map[gossip.Topic]*topicState
	// toldSums are the sums of the topics at the last news.
	toldSums map[gossip.Topic]uint64
	loads    map[fleet.Incarnation]*fleet.ServerState
	// entries are the servers' rows as they were decoded, by key; atAddress is how many of the
	// listed servers have an address.
	entries   map[string]serverEntry
	atAddress map[string]int
	// hidden tells that servers are left out at whose address a later one has begun: they come
	// back when that one goes.
	hidden bool
	// unlisted are the notices of servers that are not listed any more.
	unlisted map[fleet.Incarnation]unlisted
	halls    map[string]*fleet.HallState
	// emptied are the data halls that are emptied, by since when this daemon knows;
	// returned are those that were, by when they were taken back.
	emptied  map[string]time.Time
	returned map[string]time.Time
	// stood is how long the VM had stood still at the last look, wokeAt when it last began
	// to run again.
	stood  time.Duration
	wokeAt time.Time
	// starts are the latest known starts of servers, by id.
	starts map[string]int64
	// coldUntil is until when servers are cold by their own word, coldRows the
	// versions of the entries that said so.
	coldUntil map[fleet.Incarnation]time.Time
	coldRows  map[fleet.Incarnation]revision.Revision
	lapsed    map[string]time.Time
	firstSeen map[string]time.Time
	asked     map[uint64]time.Time
	nonce     uint64
	random    *rand.Rand
	askedAt   time.Time
	// askedBack is when a daemon was last asked that holds more than this one.
	askedBack time.Time
	rollouts  *rollouts
	sessions  *sessions
	limits    *limits
	// board is what is known of the work at servers, workAskedAt when this daemon last
	// told its own with a question, workAbroadAt when other halls were last told of this
	// one's.
	board        *serverload.Tracker
	workAskedAt  time.Time
	workAbroadAt time.Time
	// usageAt is when other readers were last told of usage.
	usageAt time.Time
	// hallSessions and awaySessions are sessions heard of since the last
	// message about them, of this hall and of others.
	hallSessions []uint64
	awaySessions []uint64
	sessionsAt   time.Time
	// ledger has the crash counts of requests, crashNews what is to be told of them,
	// ownCrashes what this daemon has seen lately, crashReader whom it told last; confine
	// are the requests in quarantine.
	ledger      *quarantine.Registry
	crashNews   []crashNews
	ownCrashes  []quarantine.Crash
	crashReader string
	confine     map[quarantine.Fingerprint]confined
	// bad are rows that did not decode, by key, so that each is logged once.
	bad map[string]uint64
}

// event is something for the keeper's goroutine.
type event interface{ event() }

// paged is an answer of the store.
type paged struct {
	topic gossip.Topic
	page  Page
	whole bool
	at    time.Time
	// stood is how long the VM had stood still then.
	stood time.Duration
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
		events: make(chan event, eventBacklog), republish: make(chan struct{}, 1), left: map[fleet.Incarnation]uint64{},
		topics: map[gossip.Topic]*topicState{}, loads: map[fleet.Incarnation]*fleet.ServerState{}, unlisted: map[fleet.Incarnation]unlisted{}, halls: map[string]*fleet.HallState{},
		emptied: map[string]time.Time{}, returned: map[string]time.Time{}, coldUntil: map[fleet.Incarnation]time.Time{}, coldRows: map[fleet.Incarnation]revision.Revision{}, lapsed: map[string]time.Time{},
		firstSeen: map[string]time.Time{}, asked: map[uint64]time.Time{}, listeners: map[string]time.Time{}, toldSums: map[gossip.Topic]uint64{}, readers: newReaders(),
		bad: map[string]uint64{}, rollouts: newRollouts(), sessions: newSessions(), board: serverload.NewTracker(), limits: newLimits(),
		entries: map[string]serverEntry{}, starts: map[string]int64{}, ledger: quarantine.NewRegistry(), confine: map[quarantine.Fingerprint]confined{},
	}
	for _, t := range []gossip.Topic{gossip.Operator, gossip.Servers, gossip.Progress, gossip.Members} {
		k.topics[t] = newTopicState()
	}
	k.topics[gossip.Servers].takeFresh()
	k.view.Store(&View{sessions: k.sessions, Quarantine: k.ledger})
	k.members.Store(&map[string]Member{})
	k.reading.Store(true)
	// The first one is about the configuration; Run sets its hold.
	k.followers = []*follower{
		{topic: gossip.Operator, gather: gather, wanted: k.reading.Load},
		{topic: gossip.Servers, hold: followLong, gather: gatherLong, wanted: k.reading.Load},
		{topic: gossip.Members, hold: followLong, gather: gatherLong, delay: membersDelay, wanted: k.reading.Load},
		{topic: gossip.Progress, hold: followLong, gather: gather, wanted: func() bool { return k.reading.Load() && (k.rollouts.open.Load() || k.progressLost.Load()) }},
	}
	k.run = func(ctx context.Context) error { return k.loop(ctx) }
	return k
}

// View returns what is known now.
func (k *Keeper) View() *View { return k.view.Load() }

// Reads reports whether this daemon reads the store now.
func (k *Keeper) Reads() bool { return k.reading.Load() }

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
	if k.SessionPause > 0 {
		k.sessions.pause = k.SessionPause
	}
	if k.Seed == 0 {
		k.Seed = rand.Uint64()
	}
	k.stood = k.StoodStill.Now()
	v := *k.view.Load()
	v.Regions, v.StoodStill, v.Stood = k.Regions, k.StoodStill, k.stood
	k.view.Store(&v)
	k.random = k.draws("keeper")
	k.nonce = k.random.Uint64()
	k.readers.self, k.readers.usefulAge = k.Self, 2*k.hold()+usefulSlack
	k.followers[0].hold = k.hold()
	k.startedAt = time.Now()
	k.leavesReading.Store(k.FirstStart)
	for _, f := range k.followers {
		go k.follow(ctx, f)
	}
	go k.publish(ctx)
	// Daemons that start together do not speak at the same moments.
	clock.Wait(ctx, time.Duration(k.random.Int64N(int64(tickEvery))))
	tick := clock.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case e := <-k.events:
			k.handle(e)
		case <-tick.C:
			k.tick(ctx, time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

// draws returns the random numbers of one goroutine.
func (k *Keeper) draws(name string) *rand.Rand {
	return rand.New(rand.NewPCG(k.Seed, xxhash.Sum64String(name)))
}

func (k *Keeper) handle(e event) {
	k.noteStandstill(time.Now())
	switch e := e.(type) {
	case paged:
		k.paged(e, time.Now())
	case heard:
		k.heard(e, time.Now())
	case observed:
		k.rollouts.observe(e.fact, time.Now())
	case wrote:
		k.wrote(e)
	case crashed:
		k.crashed(e, time.Now())
	case limitHeard:
		k.limitHeard(e)
	}
}

// deliver hands an answer over, whatever the inbox holds.
func (k *Keeper) deliver(ctx context.Context, e event) {
	select {
	case k.events <- e:
	case <-ctx.Done():
	}
}

// paged takes an answer of the store.
func (k *Keeper) paged(e paged, now time.Time) {
	// An answer is as old as its question, whatever the VM did meanwhile.
	e.at = e.at.Add(e.stood - k.StoodStill.Now())
	t := k.topics[e.topic]
	if e.err != nil {
		k.failed(e, t, now)
		return
	}
	if e.topic == gossip.Operator {
		k.away.Store(false)
		k.answeredAt = e.at
		if k.readers.met && now.Sub(t.confirmed) > k.readers.usefulAge {
			k.tellFound()
		}
	}
	if !t.away.IsZero() {
		k.Regained.Add(1)
		k.Log.Info().Str("topic", string(e.topic)).Dur("away", now.Sub(t.away)).Stringer("version", e.page.Version).Msg("knowledge: the store answers again")
		t.away, t.returned = time.Time{}, now
	}
	k.rollouts.clock(e.page.ClockMS, now)
	var gone []string
	var newer bool
	k.noteEra(e.topic, e.page.Version, now)
	if e.whole {
		gone, newer = t.replace(e.page.Rows, e.page.Version, e.at, now)
	} else {
		gone, newer = t.change(e.page, e.at, now)
	}
	k.learned(e.topic, gone, newer, now)
}

// failed notes a call to the store that came to nothing.
func (k *Keeper) failed(e paged, t *topicState, now time.Time) {
	if isKind(e.err, EraChanged) {
		k.Log.Info().Str("topic", string(e.topic)).Stringer("version", t.version).Err(e.err).Msg("knowledge: the store is in another era: all rows are read again")
		return
	}
	if isKind(e.err, HistoryLost) {
		k.Log.Info().Str("topic", string(e.topic)).Stringer("version", t.version).Msg("knowledge: the store has forgotten its history: all rows are read again")
		return
	}
	if e.topic == gossip.Operator {
		k.interruptOthers(now)
	}
	if t.away.IsZero() {
		t.away = now
		k.Lost.Add(1)
		k.Log.Warn().Str("topic", string(e.topic)).Err(e.err).Stringer("version", t.version).Dur("age", now.Sub(t.confirmed)).Msg("knowledge: the store does not answer")
	}
}

// interruptOthers ends the calls about all but the operator's topic, which alone
// is tried until the store answers again.
func (k *Keeper) interruptOthers(now time.Time) {
	k.away.Store(true)
	for _, f := range k.followers {
		if f.topic == gossip.Operator {
			continue
		}
		f.interrupt()
		if t := k.topics[f.topic]; t.away.IsZero() {
			t.away = now
		}
	}
}

// learned works out what changed rows mean.
func (k *Keeper) learned(topic gossip.Topic, gone []string, newer bool, now time.Time) {
	if topic == gossip.Servers {
		k.lapse(gone, now)
	}
	if !newer {
		k.refresh()
		return
	}
	switch topic {
	case gossip.Operator:
		k.readOperator(now)
	case gossip.Servers:
		k.serversChanged(now)
	case gossip.Progress:
		k.readProgress(now)
	case gossip.Members:
		k.readMembers(now)
		k.chill(now)
	}
	k.refresh()
}

// lapse notes servers whose entries are gone. While the store was away entries
// lapse of servers that live: they have a while from its return to come back.
func (k *Keeper) lapse(gone []string, now time.Time) {
	t := k.topics[gossip.Servers]
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
	v.ConfigAt = k.topics[gossip.Operator].confirmed
	v.ServersAt = k.topics[gossip.Servers].confirmed
	v.Daemons = k.daemons()
	v.Stood, v.WokeAt = k.stood, k.wokeAt
	v.rollouts, v.withdrawn, v.aside, v.firstSeen = k.rollouts.snapshot(), k.rollouts.withdrawnCopy(), maps.Clone(k.rollouts.aside), k.firstSeen
	k.view.Store(&v)
}

// tick does what is due.
func (k *Keeper) tick(ctx context.Context, now time.Time) {
	k.noteStandstill(now)
	for id, until := range k.lapsed {
		if now.After(until) {
			delete(k.lapsed, id)
			k.readServers(now)
		}
	}
	k.askReader(now)
	k.endPatience(now)
	k.askAround(now)
	k.tellNews(now)
	k.tellSessions(now)
	k.tellCrashes(now)
	k.tellLimits(now)
	k.writeQuarantines(ctx, now)
	k.shareWork(now)
	k.shareUsage(now)
	k.driveRollouts(ctx, now)
	k.afterReturn(ctx, now)
	k.refresh()
}
