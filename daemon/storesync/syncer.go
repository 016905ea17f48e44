// Package storesync keeps a daemon's copy of the platform's store: the configuration, the
// backend servers and the roll-outs, each with its age. In each data hall one daemon reads the
// store and the others receive its contents from that one. A daemon that the store does not
// serve is updated by the other daemons. One goroutine owns the state and publishes immutable
// views.
package storesync

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/clock"
	"ladderridge.example/core/contact"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/notice"
	"ladderridge.example/core/revision"
	"ladderridge.example/core/serverload"
	"ladderridge.example/daemon/suspend"
)

// Intervals and limits of the syncer.
const (
	// tickInterval is the time between two runs of the periodic work.
	tickInterval = 100 * time.Millisecond
	// peersPerQuery is how many daemons are asked at once when the state is too old.
	peersPerQuery = 3
	// relistTimeout is how long a server may take to be listed again after the store was
	// unavailable. The documentation of the platform gives about two seconds.
	relistTimeout = 2000 * time.Millisecond
	// minOutage is how long reads must fail until entries of running servers may have expired. That
	// takes three reports that the store does not accept; the first failure of a read is known up to
	// pollWait and callTimeout after the store became unavailable.
	minOutage = time.Second
	// expiryReports is the least time from the last answer of the store to anybody until entries of running
	// servers may have expired, in intervals of their reports: three are missing, and the first was due at
	// once.
	expiryReports = 2
	// defaultReportInterval replaces ReportInterval if the settings do not set it.
	defaultReportInterval = time.Second
	// eventBacklog bounds the event queue of the syncer.
	eventBacklog = 4096
)

// Sender sends messages to other daemons without blocking.
type Sender interface {
	Send(id, addr string, m any)
	// SendAll sends one message to several daemons, by ID and address.
	SendAll(to map[string]string, m any)
	// CloseConnections closes the connections to a daemon.
	CloseConnections(id string)
}

// Syncer follows the store and publishes views of it. Create it with New, set the exported
// fields, then call Run.
type Syncer struct {
	Store   Store
	Decoder Decoder
	Peers   Sender
	// Self is this daemon's entry in the list of daemons.
	Self Member
	// InForceWithin is the time in which a configuration must be in force everywhere. 0 means
	// two seconds.
	InForceWithin time.Duration
	// ReportInterval is the time between two reports of a server to the store. 0 means one second.
	ReportInterval time.Duration
	// SessionPause is how long a session must be idle before it may move to a version in
	// roll-out. 0 means five seconds.
	SessionPause time.Duration
	// Exposure bounds the share of a new version until there is enough evidence that it is
	// good.
	Exposure canary.Exposure
	// Regions has the regions of the data halls.
	Regions map[string]string
	// SuspendClock returns how long the VM has been suspended in all. nil means never.
	SuspendClock suspend.Clock
	// ColdOverage and ColdSlack are what a cold server accepts beyond the rate that its service
	// sets: a factor and a number of requests.
	ColdOverage float64
	ColdSlack   float64
	// Rate returns how many requests per second this daemon receives for a service. nil means
	// unknown.
	Rate func(service string) float64
	// Unreachable reports whether this daemon reaches no servers, or did not until a moment ago.
	// nil means never.
	Unreachable func(now time.Time) bool
	// Usage is the usage data that daemons exchange. nil means none.
	Usage UsageExchange
	// Figures are the counters that daemons add up, by name. nil means none.
	Figures map[string]Figures
	// OnServerRestart, if set, is called when a server has restarted under the same ID, with
	// the server as it was before and as it is now.
	OnServerRestart func(was, is *fleet.Server)
	// OnServerExit, if set, is called with the address of a listed server when another daemon has
	// found that it exited.
	OnServerExit func(addr string)
	// OnLimitChange, if set, is called when a limit of a server starts, changes or ends by the
	// message of another daemon.
	OnLimitChange func(s *fleet.Server, was, is notice.LimitState)
	Log           log.Logger
	// FirstStart is set if all daemons start for the first time: there are no callers yet, and
	// the other daemons receive what the reader of their hall reads.
	FirstStart bool
	// Seed seeds the random numbers of pauses and turns. 0 means a random seed.
	Seed uint64

	// Outages and Recoveries count the times that the store stopped answering and answered
	// again.
	Outages    atomic.Int64
	Recoveries atomic.Int64
	// Calls counts calls to the store, Verifications those that verify the configuration.
	Calls         atomic.Int64
	Verifications atomic.Int64
	// SlowExchanges counts exchanges about the configuration that took longer than half a second,
	// OldConfigurations the times that the configuration became older than InForceWithin.
	SlowExchanges     atomic.Int64
	OldConfigurations atomic.Int64
	// Suspensions counts the suspensions of the VM.
	Suspensions atomic.Int64
	// CorruptedRows counts received rows that could not be decoded.
	CorruptedRows atomic.Int64
	// Restores counts topics that were restored from a backup copy of the store.
	Restores atomic.Int64
	// Mismatches counts topics whose rows differed from those of the reader at the same version
	// and were replaced.
	Mismatches atomic.Int64
	// ServerExits counts servers that exited while requests of this daemon were in flight
	// there.
	ServerExits atomic.Int64
	// ExitsAfterAnswer counts those at which all of these requests had just been answered.
	ExitsAfterAnswer atomic.Int64
	// PlannedExits counts servers of which it was known, when they exited with requests of this daemon in
	// flight, that they were due to end.
	PlannedExits atomic.Int64

	// republish requests that the entry of this daemon is written again. progressLost is set if
	// the store may lack states of roll-outs.
	republish chan struct{}
	// publishedAt is when the store last accepted the entry, in Unix nanoseconds, unlistedSince since when
	// the list lacks it, relistedAt when it was last written again for that.
	publishedAt   atomic.Int64
	unlistedSince time.Time
	relistedAt    time.Time
	progressLost  atomic.Bool
	// leaving has the servers that leave according to their entries, with the era of the store
	// in which they announced it.
	leaving map[fleet.Incarnation]uint64

	view    atomic.Pointer[View]
	members atomic.Pointer[map[string]Member]
	events  chan event
	run     func(ctx context.Context) error

	// reading is set if this daemon reads the store, storeUnavailable if the store does not
	// answer it.
	reading          atomic.Bool
	storeUnavailable atomic.Bool
	// passive is set if other daemons of the hall keep retrying while the store does not
	// answer.
	passive atomic.Bool
	// storeAnsweredAt is the start of the last call about the operator topic that the store
	// answered.
	storeAnsweredAt time.Time
	// source is a daemon that last sent a recent enough state while no daemon read the store
	// for this one, or "".
	source string
	// deferReading is set at the first start while this daemon reads only the list of daemons
	// and leaves the rest to the reader of its hall, for at most firstStartTimeout from
	// startedAt.
	deferReading atomic.Bool
	startedAt    time.Time
	readers      *readers
	trace        confirmationTrace
	verification verification
	// contact is what this daemon has observed of its path to the store.
	contact contact.State
	// tickedAt is when the periodic work last ran.
	tickedAt  time.Time
	followers []*follower
	// subscribers are the daemons that this one reads the store for, by the time of their last
	// request.
	subscribers map[string]time.Time
	topics      map[gossip.Topic]*topicState
	// announcedSums are the checksums of the topics at the last update sent.
	announcedSums map[gossip.Topic]uint64
	states        map[fleet.Incarnation]*fleet.ServerState
	// entries has the decoded rows of servers, by key. atAddress is how many listed servers
	// have an address.
	entries   map[string]serverEntry
	atAddress map[string]int
	// hasSuperseded is set if servers are left out because a later one has started at the same
	// address. They are listed again when that one is removed.
	hasSuperseded bool
	// unlisted has the notices of servers that are not listed any more.
	unlisted map[fleet.Incarnation]unlisted
	halls    map[string]*fleet.HallState
	services map[string]*fleet.ServiceState
	// drained has the drained data halls, by when this daemon learned of it. undrainedAt is
	// when halls that were drained were taken into use again.
	drained     map[string]time.Time
	undrainedAt map[string]time.Time
	// suspendedTotal is how long the VM had been suspended in all at the last check, resumedAt
	// when it last resumed.
	suspendedTotal time.Duration
	resumedAt      time.Time
	// starts has the latest known start times of servers, by ID.
	starts map[string]int64
	// coldUntil is until when servers are cold according to their entries, coldRows the
	// versions of these entries.
	coldUntil       map[fleet.Incarnation]time.Time
	coldRows        map[fleet.Incarnation]revision.Revision
	lapsed          map[string]time.Time
	firstSeen       map[string]time.Time
	pendingRequests map[uint64]time.Time
	nonce           uint64
	random          *rand.Rand
	peersQueriedAt  time.Time
	// heldQueriedAt is when this daemon last sent a request to one that holds more rows that
	// the store has lost.
	heldQueriedAt time.Time
	rollouts      *rollouts
	sessions      *sessions
	limits        *limits
	// serverLoad tracks the in-flight load of servers over all daemons. loadReportedAt is when
	// this daemon last sent its own load with a request, loadBroadcastAt when it last sent the
	// load of its hall to other halls.
	serverLoad      *serverload.Tracker
	loadReportedAt  time.Time
	loadBroadcastAt time.Time
	// figuresReportedAt is when this daemon last sent its figures to the reader, figuresSentAt
	// when it last sent those of its hall to other halls.
	figuresReportedAt time.Time
	figuresSentAt     time.Time
	// usageSentAt is when usage was last sent to other readers.
	usageSentAt time.Time
	// hallSessions and remoteSessions are sessions reported since the last message about them,
	// by daemons of this hall and of other halls.
	hallSessions   []uint64
	remoteSessions []uint64
	sessionsSentAt time.Time
	// contents and parts share the crash counts of requests.
	contents *confinementSync
	parts    *confinementSync
	// planned has the servers that are due to end.
	planned *plannedEnds
	// reportedExits has when the exits of servers were last reported, by the hash of the server.
	reportedExits map[uint64]time.Time
	// servedOthersAt is the latest time at which the store is known to have answered another daemon.
	servedOthersAt time.Time
	// malformedSums has the checksums of rows that could not be decoded, so that each is logged once.
	malformedSums map[malformedRow]uint64
	// selfMalformed is set if the entry of this daemon cannot be decoded.
	selfMalformed bool
}

// event is an input of the syncer's goroutine.
type event interface{ event() }

// storeAnswer is an answer of the store.
type storeAnswer struct {
	topic gossip.Topic
	page  Page
	full  bool
	at    time.Time
	// suspendedTotal is how long the VM had been suspended in all when the call started.
	suspendedTotal time.Duration
	err            error
}

// peerMessage is a message of another daemon.
type peerMessage struct {
	from    string
	message any
}

// answerObserved is an observation of a version that may be in roll-out.
type answerObserved struct{ observation Observation }

// writeDone is the outcome of writing the state of a roll-out.
type writeDone struct {
	service string
	err     error
}

func (storeAnswer) event()    {}
func (peerMessage) event()    {}
func (answerObserved) event() {}
func (writeDone) event()      {}

// New returns a syncer without any data.
func New() *Syncer {
	sy := &Syncer{
		events: make(chan event, eventBacklog), republish: make(chan struct{}, 1), leaving: map[fleet.Incarnation]uint64{},
		topics: map[gossip.Topic]*topicState{}, states: map[fleet.Incarnation]*fleet.ServerState{}, unlisted: map[fleet.Incarnation]unlisted{}, halls: map[string]*fleet.HallState{}, services: map[string]*fleet.ServiceState{},
		drained: map[string]time.Time{}, undrainedAt: map[string]time.Time{}, coldUntil: map[fleet.Incarnation]time.Time{}, coldRows: map[fleet.Incarnation]revision.Revision{}, lapsed: map[string]time.Time{},
		firstSeen: map[string]time.Time{}, pendingRequests: map[uint64]time.Time{}, subscribers: map[string]time.Time{}, announcedSums: map[gossip.Topic]uint64{}, readers: newReaders(),
		malformedSums: map[malformedRow]uint64{}, rollouts: newRollouts(), sessions: newSessions(), serverLoad: serverload.NewTracker(), limits: newLimits(),
		entries: map[string]serverEntry{}, starts: map[string]int64{}, contents: newContentSync(), parts: newPartSync(), planned: newPlannedEnds(), reportedExits: map[uint64]time.Time{},
	}
	for _, t := range []gossip.Topic{gossip.Operator, gossip.Servers, gossip.Progress, gossip.Members} {
		sy.topics[t] = newTopicState()
	}
	sy.topics[gossip.Servers].takeDirty()
	sy.contents.registry.TrialDelay, sy.parts.registry.TrialDelay = sy.trialDelay, sy.trialDelay
	sy.view.Store(&View{sessions: sy.sessions, Quarantine: sy.contents.registry, Parts: sy.parts.registry})
	sy.members.Store(&map[string]Member{})
	sy.reading.Store(true)
	// The first follower is for the configuration. Run sets its hold time.
	sy.followers = []*follower{
		{topic: gossip.Operator, batchDelay: batchDelay, enabled: sy.reading.Load},
		{topic: gossip.Servers, pollWait: longPollWait, batchDelay: longBatchDelay, enabled: sy.reading.Load},
		{topic: gossip.Members, pollWait: longPollWait, batchDelay: longBatchDelay, delay: membersDelay, enabled: sy.reading.Load},
		{topic: gossip.Progress, pollWait: longPollWait, batchDelay: batchDelay, enabled: func() bool { return sy.reading.Load() && (sy.rollouts.open.Load() || sy.progressLost.Load()) }},
	}
	sy.run = func(ctx context.Context) error { return sy.loop(ctx) }
	return sy
}

// View returns the latest view.
func (sy *Syncer) View() *View { return sy.view.Load() }

// ReadsStore reports whether this daemon reads the store now.
func (sy *Syncer) ReadsStore() bool { return sy.reading.Load() }

// HandleMessage enqueues a message of another daemon.
func (sy *Syncer) HandleMessage(from string, message any) {
	sy.enqueue(peerMessage{from: from, message: message})
}

// enqueue passes an event to the syncer's goroutine. If the queue is full the event is dropped:
// its contents will be sent again.
func (sy *Syncer) enqueue(e event) {
	select {
	case sy.events <- e:
	default:
	}
}

// Run follows the store until ctx ends.
func (sy *Syncer) Run(ctx context.Context) error { return sy.run(ctx) }

func (sy *Syncer) loop(ctx context.Context) error {
	if sy.SessionPause > 0 {
		sy.sessions.pause = sy.SessionPause
	}
	if sy.Seed == 0 {
		sy.Seed = rand.Uint64()
	}
	sy.suspendedTotal = sy.SuspendClock.Now()
	v := *sy.view.Load()
	v.Regions, v.SuspendClock, v.SuspendedTotal = sy.Regions, sy.SuspendClock, sy.suspendedTotal
	v.InForceWithin = sy.inForceWithin()
	sy.view.Store(&v)
	sy.random = sy.draws("keeper")
	sy.nonce = sy.random.Uint64()
	sy.readers.self, sy.readers.maxUsableAge = sy.Self, 2*sy.pollWait()+usableAgeSlack
	sy.followers[0].pollWait = sy.pollWait()
	sy.startedAt = time.Now()
	sy.deferReading.Store(sy.FirstStart)
	for _, f := range sy.followers {
		go sy.follow(ctx, f)
	}
	go sy.publishMember(ctx)
	// Daemons that start together must not send at the same moments.
	clock.Wait(ctx, time.Duration(sy.random.Int64N(int64(tickInterval))))
	tick := clock.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case e := <-sy.events:
			sy.handle(e)
		case <-tick.C:
			sy.tick(ctx, time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

// draws returns the random number generator of one goroutine.
func (sy *Syncer) draws(name string) *rand.Rand {
	return rand.New(rand.NewPCG(sy.Seed, xxhash.Sum64String(name)))
}

func (sy *Syncer) handle(e event) {
	sy.detectSuspension(time.Now())
	switch e := e.(type) {
	case storeAnswer:
		sy.handleStoreAnswer(e, time.Now())
	case peerMessage:
		sy.handlePeerMessage(e, time.Now())
	case answerObserved:
		sy.rollouts.observe(e.observation, time.Now())
	case writeDone:
		sy.handleWriteDone(e)
	case verified:
		sy.handleVerified(e, time.Now())
	case crashObserved:
		sy.handleCrash(e, time.Now())
	case limitObserved:
		sy.handleLimitObserved(e)
	}
}

// deliver passes an event on, waiting while the queue is full.
func (sy *Syncer) deliver(ctx context.Context, e event) {
	select {
	case sy.events <- e:
	case <-ctx.Done():
	}
}

// handleStoreAnswer handles an answer of the store.
func (sy *Syncer) handleStoreAnswer(e storeAnswer, now time.Time) {
	// The age of an answer counts from the start of the call, including any suspension of the
	// VM.
	e.at = e.at.Add(e.suspendedTotal - sy.SuspendClock.Now())
	t := sy.topics[e.topic]
	if e.err != nil {
		sy.handleStoreError(e, t, now)
		return
	}
	if e.topic == gossip.Operator {
		sy.contact = sy.contact.With(contact.Answered{Start: e.at, End: now})
		sy.storeUnavailable.Store(false)
		sy.storeAnsweredAt = e.at
		if sy.readers.hadReader && now.Sub(t.confirmed) > sy.readers.maxUsableAge {
			sy.announceStoreFound()
		}
	}
	if !t.unavailableSince.IsZero() {
		sy.Recoveries.Add(1)
		sy.Log.Info().Str("topic", string(e.topic)).Dur("away", now.Sub(t.unavailableSince)).Stringer("version", e.page.Version).Msg("storesync: store available again")
		t.endOutage(sy.entriesMayHaveExpired(now), now)
	}
	sy.recordStoreVersion(e.topic, e.page.Version, now)
	t.served, t.lostAtPeer = true, 0
	sy.rollouts.clock(e.page.ClockMS, now)
	var gone []string
	var newer bool
	sy.checkEra(e.topic, e.page.Version, now)
	sy.unreadable(e.topic, e.page)
	if e.full {
		gone, newer = t.replace(e.page.Rows, e.page.Version, e.at, now)
	} else {
		gone, newer = t.applyPage(e.page, e.at, now)
	}
	if e.topic == gossip.Operator {
		sy.traceExchange("store", e.at, now, sy.pollWait(), false)
	}
	sy.applyTopicChange(e.topic, gone, newer, now)
}

// recordStoreVersion records the version of the store in an answer. All topics share one counter.
func (sy *Syncer) recordStoreVersion(topic gossip.Topic, version revision.Revision, now time.Time) {
	for _, f := range sy.followers {
		switch {
		case f.topic == topic:
			f.recordReturned(version)
		case topic == gossip.Operator:
			f.recordNewest(version, now)
		}
	}
}

// handleStoreError handles a failed call to the store.
func (sy *Syncer) handleStoreError(e storeAnswer, t *topicState, now time.Time) {
	if e.topic == gossip.Operator {
		sy.traceExchange("store", e.at, now, sy.pollWait(), true)
		sy.recordCallFailed(e, now)
	}
	if isKind(e.err, EraChanged) {
		sy.Log.Info().Str("topic", string(e.topic)).Stringer("version", t.version).Err(e.err).Msg("storesync: era of the store has changed; all rows are read again")
		return
	}
	if isKind(e.err, HistoryLost) {
		sy.Log.Info().Str("topic", string(e.topic)).Stringer("version", t.version).Msg("storesync: store no longer has the history of changes; all rows are read again")
		return
	}
	if e.topic == gossip.Operator {
		sy.interruptOthers(now)
	}
	if t.unavailableSince.IsZero() {
		t.unavailableSince = now
		sy.Outages.Add(1)
		sy.Log.Warn().Str("topic", string(e.topic)).Err(e.err).Stringer("version", t.version).Dur("age", now.Sub(t.confirmed)).Msg("storesync: store unavailable")
	}
}

// interruptOthers ends the calls about all topics but the operator topic. Only that one is
// tried until the store answers again.
func (sy *Syncer) interruptOthers(now time.Time) {
	sy.storeUnavailable.Store(true)
	for _, f := range sy.followers {
		if f.topic == gossip.Operator {
			continue
		}
		f.interruptHeld()
		if t := sy.topics[f.topic]; t.unavailableSince.IsZero() {
			t.unavailableSince = now
		}
	}
}

// applyTopicChange updates the view after rows of a topic have changed.
func (sy *Syncer) applyTopicChange(topic gossip.Topic, gone []string, newer bool, now time.Time) {
	if topic == gossip.Servers {
		sy.recordLapsed(gone, now)
	}
	if !newer {
		sy.publishView()
		return
	}
	switch topic {
	case gossip.Operator:
		sy.readOperator(now)
	case gossip.Servers:
		sy.applyServerChanges(now)
	case gossip.Progress:
		sy.readProgress(now)
		sy.recordEndedRollouts(now)
	case gossip.Members:
		sy.readMembers(now)
		sy.updateColdLimits(now)
	}
	sy.publishView()
}

// recordLapsed records servers whose entries are gone. While the store is unavailable for at least
// minOutage, entries of running servers expire. They get relistTimeout after its recovery to be listed
// again.
func (sy *Syncer) recordLapsed(gone []string, now time.Time) {
	t := sy.topics[gossip.Servers]
	until := t.recoveredAt.Add(relistTimeout)
	if t.longUnavailable(now) && sy.entriesMayHaveExpired(now) {
		until = now.Add(relistTimeout)
	}
	for _, id := range gone {
		if now.Before(until) {
			sy.lapsed[id] = until
		}
	}
}

// entriesMayHaveExpired reports whether the store has answered no other daemon for so long that entries of
// running servers may have expired.
func (sy *Syncer) entriesMayHaveExpired(now time.Time) bool {
	interval := cmp.Or(sy.ReportInterval, defaultReportInterval)
	return now.Sub(sy.servedOthersAt) >= expiryReports*interval
}

// publishView publishes a view of the current state.
func (sy *Syncer) publishView() {
	v := *sy.view.Load()
	v.ConfigAt, v.ConfirmedBy, v.Contact = sy.configConfirmed(), sy.trace.by, sy.contact
	v.ServersAt = sy.topics[gossip.Servers].confirmed
	v.Daemons = sy.daemons()
	v.Topics = sy.topicStatus()
	v.SuspendedTotal, v.ResumedAt = sy.suspendedTotal, sy.resumedAt
	v.rollouts, v.withdrawn, v.rejected = sy.rollouts.snapshot(), sy.rollouts.withdrawnCopy(), sy.rollouts.rejectedCopy()
	v.ejected, v.firstSeen = maps.Clone(sy.rollouts.ejected), sy.firstSeen
	sy.view.Store(&v)
}

// tick performs the periodic work.
func (sy *Syncer) tick(ctx context.Context, now time.Time) {
	sy.detectSuspension(now)
	if !sy.tickedAt.IsZero() {
		sy.contact = sy.contact.With(contact.Delayed{Start: sy.tickedAt.Add(tickInterval), End: now})
	}
	sy.traceTick(now)
	for id, until := range sy.lapsed {
		if now.After(until) {
			delete(sy.lapsed, id)
			sy.readServers(now)
		}
	}
	for _, f := range sy.followers {
		f.interruptUnseen(now)
	}
	sy.verify(ctx, now)
	sy.queryReader(now)
	sy.endFirstStart(now)
	sy.queryPeers(now)
	sy.sendUpdates(now)
	sy.sendSessions(now)
	sy.sendReports(sy.contents, now)
	sy.sendReports(sy.parts, now)
	sy.sendLimits(now)
	sy.writeRows(ctx, sy.contents, now)
	sy.writeRows(ctx, sy.parts, now)
	sy.sendLoad(now)
	sy.sendFigures(now)
	sy.sendUsage(now)
	sy.advanceRollouts(ctx, now)
	sy.recordEndedRollouts(now)
	sy.handleRestore(ctx, now)
	sy.relist(now)
	sy.publishView()
}
