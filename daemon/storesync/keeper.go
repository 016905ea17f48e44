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
	// tickInterval is the time between two looks at what is due.
	tickInterval = 100 * time.Millisecond
	// peersPerQuery is how many daemons are asked then.
	peersPerQuery = 3
	// relistTimeout is how long a server may take to be listed again after the
	// store was away; the platform's pages give about two seconds.
	relistTimeout = 2000 * time.Millisecond
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

// Syncer keeps what a daemon knows. Get one from New, set the exported fields,
// then Run.
type Syncer struct {
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
	// SuspendClock tells how long the VM has stood still; nil is never.
	SuspendClock suspend.Clock
	// ColdOverage and ColdSlack are what a cold server bears beyond the rate that its
	// service names: a factor, and some requests more.
	ColdOverage float64
	ColdSlack   float64
	// Rate is how many requests for a service this daemon gets a second; nil is
	// unknown.
	Rate func(service string) float64
	// Usage is what daemons exchange of usage; nil is nothing.
	Usage UsageExchange
	// OnServerRestart, if set, is told of a server that has begun again under its id, as it was
	// before.
	OnServerRestart func(was *fleet.Server)
	// OnLimitChange, if set, is told of a server whose limit begins, changes or ends by what another
	// daemon has heard.
	OnLimitChange func(s *fleet.Server, was, is notice.LimitState)
	Log           log.Logger
	// FirstStart tells that all daemons start for the first time: nobody waits for an
	// answer yet, and what a hall's reader reads is told to the others.
	FirstStart bool
	// Seed is what pauses and turns are drawn from; 0 draws one.
	Seed uint64

	// Outages and Regained count the times that the store stopped and began
	// again to answer.
	Outages    atomic.Int64
	Recoveries atomic.Int64
	// Calls counts calls to the store.
	Calls atomic.Int64
	// Suspensions counts the times that the VM has stood still.
	Suspensions atomic.Int64
	// CorruptedRows counts rows that came and do not decode.
	CorruptedRows atomic.Int64
	// Restores counts topics whose rows the store has had from a copy.
	Restores atomic.Int64
	// ServerExits counts servers that ended while requests of this daemon were under way there.
	ServerExits atomic.Int64

	// republish asks for this daemon's entry to be written again; progressLost tells that the
	// store may lack states of roll-outs.
	republish    chan struct{}
	progressLost atomic.Bool
	// leaving are the servers that leave by their entries, by the era of the store that said so.
	leaving map[fleet.Incarnation]uint64

	view    atomic.Pointer[View]
	members atomic.Pointer[map[string]Member]
	events  chan event
	run     func(ctx context.Context) error

	// reading tells that this daemon reads the store, away that the store does
	// not answer it.
	reading          atomic.Bool
	storeUnavailable atomic.Bool
	// passive tells that others of the hall try the store again and again while it
	// does not answer.
	passive atomic.Bool
	// storeAnsweredAt is the start of the last call about the operator's topic that the
	// store answered.
	storeAnsweredAt time.Time
	// source is a daemon that last told something new enough while this one had
	// nobody to read for it, or "".
	source string
	// deferReading tells that at the first start all but the list of daemons is left
	// to the hall's reader, until startedAt is firstStartPatience ago.
	deferReading atomic.Bool
	startedAt    time.Time
	readers      *readers
	followers    []*follower
	// subscribers are the daemons that this one reads for, by when they last
	// asked.
	subscribers map[string]time.Time
	topics      map[gossip.Topic]*topicState
	// announcedSums are the sums of the topics at the last news.
	announcedSums map[gossip.Topic]uint64
	loads         map[fleet.Incarnation]*fleet.ServerState
	// entries are the servers' rows as they were decoded, by key; atAddress is how many of the
	// listed servers have an address.
	entries   map[string]serverEntry
	atAddress map[string]int
	// hasSuperseded tells that servers are left out at whose address a later one has begun: they come
	// back when that one goes.
	hasSuperseded bool
	// unlisted are the notices of servers that are not listed any more.
	unlisted map[fleet.Incarnation]unlisted
	halls    map[string]*fleet.HallState
	// drained are the data halls that are drained, by since when this daemon knows;
	// returned are those that were, by when they were taken back.
	drained     map[string]time.Time
	undrainedAt map[string]time.Time
	// suspendedTotal is how long the VM had suspendedTotal still at the last look, wokeAt when it last began
	// to run again.
	suspendedTotal time.Duration
	resumedAt      time.Time
	// starts are the latest known starts of servers, by id.
	starts map[string]int64
	// coldUntil is until when servers are cold by their own word, coldRows the
	// versions of the entries that said so.
	coldUntil       map[fleet.Incarnation]time.Time
	coldRows        map[fleet.Incarnation]revision.Revision
	lapsed          map[string]time.Time
	firstSeen       map[string]time.Time
	pendingRequests map[uint64]time.Time
	nonce           uint64
	random          *rand.Rand
	peersQueriedAt  time.Time
	// heldQueriedAt is when a daemon was last asked that holds more than this one.
	heldQueriedAt time.Time
	rollouts      *rollouts
	sessions      *sessions
	limits        *limits
	// serverLoad is what is known of the work at servers, workAskedAt when this daemon last
	// told its own with a question, workAbroadAt when other halls were last told of this
	// one's.
	serverLoad      *serverload.Tracker
	loadReportedAt  time.Time
	loadBroadcastAt time.Time
	// usageSentAt is when other readers were last told of usage.
	usageSentAt time.Time
	// hallSessions and awaySessions are sessions heard of since the last
	// message about them, of this hall and of others.
	hallSessions   []uint64
	remoteSessions []uint64
	sessionsSentAt time.Time
	// registry has the crash counts of requests, crashNews what is to be told of them,
	// ownCrashes what this daemon has seen lately, crashReader whom it told last; confine
	// are the requests in quarantine.
	registry       *quarantine.Registry
	pendingCrashes []crashReport
	ownCrashes     []quarantine.Crash
	crashReader    string
	quarantineRows map[quarantine.Fingerprint]quarantineRow
	// malformedSums are rows that did not decode, by key, so that each is logged once.
	malformedSums map[string]uint64
}

// event is something for the keeper's goroutine.
type event interface{ event() }

// storeAnswer is an answer of the store.
type storeAnswer struct {
	topic gossip.Topic
	page  Page
	full  bool
	at    time.Time
	// suspendedTotal is how long the VM had suspendedTotal still then.
	suspendedTotal time.Duration
	err            error
}

// peerMessage is a message of another daemon.
type peerMessage struct {
	from    string
	message any
}

// observation is an answer of a version that may be in roll-out.
type observation struct{ fact Observation }

// writeDone is the outcome of writing the state of a roll-out.
type writeDone struct {
	service string
	err     error
}

func (storeAnswer) event() {}
func (peerMessage) event() {}
func (observation) event() {}
func (writeDone) event()   {}

// New returns a keeper that knows nothing.
func New() *Syncer {
	k := &Syncer{
		events: make(chan event, eventBacklog), republish: make(chan struct{}, 1), leaving: map[fleet.Incarnation]uint64{},
		topics: map[gossip.Topic]*topicState{}, loads: map[fleet.Incarnation]*fleet.ServerState{}, unlisted: map[fleet.Incarnation]unlisted{}, halls: map[string]*fleet.HallState{},
		drained: map[string]time.Time{}, undrainedAt: map[string]time.Time{}, coldUntil: map[fleet.Incarnation]time.Time{}, coldRows: map[fleet.Incarnation]revision.Revision{}, lapsed: map[string]time.Time{},
		firstSeen: map[string]time.Time{}, pendingRequests: map[uint64]time.Time{}, subscribers: map[string]time.Time{}, announcedSums: map[gossip.Topic]uint64{}, readers: newReaders(),
		malformedSums: map[string]uint64{}, rollouts: newRollouts(), sessions: newSessions(), serverLoad: serverload.NewTracker(), limits: newLimits(),
		entries: map[string]serverEntry{}, starts: map[string]int64{}, registry: quarantine.NewRegistry(), quarantineRows: map[quarantine.Fingerprint]quarantineRow{},
	}
	for _, t := range []gossip.Topic{gossip.Operator, gossip.Servers, gossip.Progress, gossip.Members} {
		k.topics[t] = newTopicState()
	}
	k.topics[gossip.Servers].takeDirty()
	k.view.Store(&View{sessions: k.sessions, Quarantine: k.registry})
	k.members.Store(&map[string]Member{})
	k.reading.Store(true)
	// The first one is about the configuration; Run sets its hold.
	k.followers = []*follower{
		{topic: gossip.Operator, batchDelay: batchDelay, enabled: k.reading.Load},
		{topic: gossip.Servers, pollWait: longPollWait, batchDelay: longBatchDelay, enabled: k.reading.Load},
		{topic: gossip.Members, pollWait: longPollWait, batchDelay: longBatchDelay, delay: membersDelay, enabled: k.reading.Load},
		{topic: gossip.Progress, pollWait: longPollWait, batchDelay: batchDelay, enabled: func() bool { return k.reading.Load() && (k.rollouts.open.Load() || k.progressLost.Load()) }},
	}
	k.run = func(ctx context.Context) error { return k.loop(ctx) }
	return k
}

// View returns what is known now.
func (k *Syncer) View() *View { return k.view.Load() }

// ReadsStore reports whether this daemon reads the store now.
func (k *Syncer) ReadsStore() bool { return k.reading.Load() }

// HandleMessage takes a message of another daemon.
func (k *Syncer) HandleMessage(from string, message any) {
	k.enqueue(peerMessage{from: from, message: message})
}

// enqueue hands an event to the keeper's goroutine; with a full inbox it is lost,
// and what it said will be said again.
func (k *Syncer) enqueue(e event) {
	select {
	case k.events <- e:
	default:
	}
}

// Run keeps the knowledge until ctx ends.
func (k *Syncer) Run(ctx context.Context) error { return k.run(ctx) }

func (k *Syncer) loop(ctx context.Context) error {
	if k.SessionPause > 0 {
		k.sessions.pause = k.SessionPause
	}
	if k.Seed == 0 {
		k.Seed = rand.Uint64()
	}
	k.suspendedTotal = k.SuspendClock.Now()
	v := *k.view.Load()
	v.Regions, v.SuspendClock, v.SuspendedTotal = k.Regions, k.SuspendClock, k.suspendedTotal
	k.view.Store(&v)
	k.random = k.draws("keeper")
	k.nonce = k.random.Uint64()
	k.readers.self, k.readers.maxUsableAge = k.Self, 2*k.pollWait()+usableAgeSlack
	k.followers[0].pollWait = k.pollWait()
	k.startedAt = time.Now()
	k.deferReading.Store(k.FirstStart)
	for _, f := range k.followers {
		go k.follow(ctx, f)
	}
	go k.publishMember(ctx)
	// Daemons that start together do not speak at the same moments.
	clock.Wait(ctx, time.Duration(k.random.Int64N(int64(tickInterval))))
	tick := clock.NewTicker(tickInterval)
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
func (k *Syncer) draws(name string) *rand.Rand {
	return rand.New(rand.NewPCG(k.Seed, xxhash.Sum64String(name)))
}

func (k *Syncer) handle(e event) {
	k.detectSuspension(time.Now())
	switch e := e.(type) {
	case storeAnswer:
		k.handleStoreAnswer(e, time.Now())
	case peerMessage:
		k.handlePeerMessage(e, time.Now())
	case observation:
		k.rollouts.observe(e.fact, time.Now())
	case writeDone:
		k.handleWriteDone(e)
	case crashesObserved:
		k.handleCrashes(e, time.Now())
	case limitObserved:
		k.handleLimitObserved(e)
	}
}

// deliver hands an answer over, whatever the inbox holds.
func (k *Syncer) deliver(ctx context.Context, e event) {
	select {
	case k.events <- e:
	case <-ctx.Done():
	}
}

// handleStoreAnswer takes an answer of the store.
func (k *Syncer) handleStoreAnswer(e storeAnswer, now time.Time) {
	// An answer is as old as its question, whatever the VM did meanwhile.
	e.at = e.at.Add(e.suspendedTotal - k.SuspendClock.Now())
	t := k.topics[e.topic]
	if e.err != nil {
		k.handleStoreError(e, t, now)
		return
	}
	if e.topic == gossip.Operator {
		k.storeUnavailable.Store(false)
		k.storeAnsweredAt = e.at
		if k.readers.hadReader && now.Sub(t.confirmed) > k.readers.maxUsableAge {
			k.announceStoreFound()
		}
	}
	if !t.unavailableSince.IsZero() {
		k.Recoveries.Add(1)
		k.Log.Info().Str("topic", string(e.topic)).Dur("away", now.Sub(t.unavailableSince)).Stringer("version", e.page.Version).Msg("knowledge: the store answers again")
		t.unavailableSince, t.recoveredAt = time.Time{}, now
	}
	k.rollouts.clock(e.page.ClockMS, now)
	var gone []string
	var newer bool
	k.checkEra(e.topic, e.page.Version, now)
	if e.full {
		gone, newer = t.replace(e.page.Rows, e.page.Version, e.at, now)
	} else {
		gone, newer = t.applyPage(e.page, e.at, now)
	}
	k.applyTopicChange(e.topic, gone, newer, now)
}

// handleStoreError notes a call to the store that came to nothing.
func (k *Syncer) handleStoreError(e storeAnswer, t *topicState, now time.Time) {
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
	if t.unavailableSince.IsZero() {
		t.unavailableSince = now
		k.Outages.Add(1)
		k.Log.Warn().Str("topic", string(e.topic)).Err(e.err).Stringer("version", t.version).Dur("age", now.Sub(t.confirmed)).Msg("knowledge: the store does not answer")
	}
}

// interruptOthers ends the calls about all but the operator's topic, which alone
// is tried until the store answers again.
func (k *Syncer) interruptOthers(now time.Time) {
	k.storeUnavailable.Store(true)
	for _, f := range k.followers {
		if f.topic == gossip.Operator {
			continue
		}
		f.interrupt()
		if t := k.topics[f.topic]; t.unavailableSince.IsZero() {
			t.unavailableSince = now
		}
	}
}

// applyTopicChange works out what changed rows mean.
func (k *Syncer) applyTopicChange(topic gossip.Topic, gone []string, newer bool, now time.Time) {
	if topic == gossip.Servers {
		k.recordLapsed(gone, now)
	}
	if !newer {
		k.publishView()
		return
	}
	switch topic {
	case gossip.Operator:
		k.readOperator(now)
	case gossip.Servers:
		k.applyServerChanges(now)
	case gossip.Progress:
		k.readProgress(now)
	case gossip.Members:
		k.readMembers(now)
		k.updateColdLimits(now)
	}
	k.publishView()
}

// recordLapsed notes servers whose entries are gone. While the store was away entries
// recordLapsed of servers that live: they have a while from its return to come back.
func (k *Syncer) recordLapsed(gone []string, now time.Time) {
	t := k.topics[gossip.Servers]
	until := t.recoveredAt.Add(relistTimeout)
	if !t.unavailableSince.IsZero() {
		until = now.Add(relistTimeout)
	}
	for _, id := range gone {
		if now.Before(until) {
			k.lapsed[id] = until
		}
	}
}

// publishView publishes a view with the present state.
func (k *Syncer) publishView() {
	v := *k.view.Load()
	v.ConfigAt = k.topics[gossip.Operator].confirmed
	v.ServersAt = k.topics[gossip.Servers].confirmed
	v.Daemons = k.daemons()
	v.SuspendedTotal, v.ResumedAt = k.suspendedTotal, k.resumedAt
	v.rollouts, v.withdrawn, v.ejected, v.firstSeen = k.rollouts.snapshot(), k.rollouts.withdrawnCopy(), maps.Clone(k.rollouts.ejected), k.firstSeen
	k.view.Store(&v)
}

// tick does what is due.
func (k *Syncer) tick(ctx context.Context, now time.Time) {
	k.detectSuspension(now)
	for id, until := range k.lapsed {
		if now.After(until) {
			delete(k.lapsed, id)
			k.readServers(now)
		}
	}
	k.queryReader(now)
	k.endFirstStart(now)
	k.queryPeers(now)
	k.sendUpdates(now)
	k.sendSessions(now)
	k.sendCrashes(now)
	k.sendLimits(now)
	k.writeQuarantines(ctx, now)
	k.sendLoad(now)
	k.sendUsage(now)
	k.driveRollouts(ctx, now)
	k.handleRestore(ctx, now)
	k.publishView()
}
