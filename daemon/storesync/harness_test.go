package storesync_test

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/clock"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/storesync"
)

// fakeStore is an in-memory store with fault injection, shared by all daemons of a test.
type fakeStore struct {
	mu      sync.Mutex
	version uint64
	// era counts how often the store was restored from a copy.
	era       uint64
	tables    map[gossip.Topic]map[string]gossip.Row
	removed   []removal
	changed   chan struct{}
	startedAt time.Time
	// historyLostTo is the version up to which the change history is discarded.
	historyLostTo uint64
	reads         int
	// unreadable has the rows whose records cannot be read, by whether their keys can.
	unreadable map[string]bool
}

type removal struct {
	topic   gossip.Topic
	key     string
	version uint64
}

func newFakeStore() *fakeStore {
	return &fakeStore{era: 1, tables: map[gossip.Topic]map[string]gossip.Row{}, changed: make(chan struct{}), startedAt: time.Now()}
}

// set writes a row, or removes it if data is empty.
func (s *fakeStore) set(topic gossip.Topic, key, data string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(topic, key, data)
}

func (s *fakeStore) put(topic gossip.Topic, key, data string) {
	s.version++
	if s.tables[topic] == nil {
		s.tables[topic] = map[string]gossip.Row{}
	}
	if data == "" {
		delete(s.tables[topic], key)
		s.removed = append(s.removed, removal{topic, key, s.version})
	} else {
		s.tables[topic][key] = gossip.Row{Key: key, Data: []byte(data), Version: revision.New(s.era, s.version)}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) get(topic gossip.Topic, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.tables[topic][key].Data)
}

// since returns the changes after a version.
func (s *fakeStore) since(topic gossip.Topic, after uint64) storesync.Page {
	p := storesync.Page{Version: revision.New(s.era, s.version), ClockMS: 1000 + uint64(time.Since(s.startedAt).Milliseconds())}
	for _, row := range s.tables[topic] {
		if row.Version.Number > after {
			// The store compares rows by version number alone, without the era.
			row.Version.Era = s.era
			keyed, unreadable := s.unreadable[row.Key]
			if unreadable {
				row.Data, row.Version.Number = nil, s.version
				p.Unreadable = append(p.Unreadable, storesync.UnreadableRow{Key: map[bool]string{true: row.Key}[keyed], Err: errors.New("unreadable")})
			}
			if !unreadable || keyed {
				p.Rows = append(p.Rows, row)
			}
		}
	}
	for _, r := range s.removed {
		// A row that was written again is not removed: the last change of a key counts.
		if _, back := s.tables[topic][r.key]; r.topic == topic && r.version > after && !back {
			if keyed, unreadable := s.unreadable[r.key]; unreadable && !keyed {
				p.Unreadable = append(p.Unreadable, storesync.UnreadableRow{Err: errors.New("unreadable")})
				continue
			}
			p.Removed = append(p.Removed, r.key)
		}
	}
	return p
}

// spoil makes the record of a row unreadable from its next change on.
func (s *fakeStore) spoil(key string, keyed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreadable == nil {
		s.unreadable = map[string]bool{}
	}
	s.unreadable[key] = keyed
}

// storeCopy is a backup of the rows at one moment.
type storeCopy struct {
	version uint64
	tables  map[gossip.Topic]map[string]gossip.Row
	removed []removal
}

// copyState returns a backup of the current rows.
func (s *fakeStore) copyState() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := storeCopy{version: s.version, tables: map[gossip.Topic]map[string]gossip.Row{}, removed: slices.Clone(s.removed)}
	for topic, rows := range s.tables {
		out.tables[topic] = maps.Clone(rows)
	}
	return out
}

// restore replaces the rows by those of a copy and begins a new era.
func (s *fakeStore) restore(from storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, s.removed, s.tables = from.version, slices.Clone(from.removed), map[gossip.Topic]map[string]gossip.Row{}
	for topic, rows := range from.tables {
		s.tables[topic] = maps.Clone(rows)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// link is the connection of one daemon to the store, with fault injection.
type link struct {
	*fakeStore
	mu sync.Mutex
	// down is the error of all calls, answerDelay the delay before the answer to a read.
	down        error
	answerDelay time.Duration
	// unresponsive leaves calls to Read and Follow unanswered; Write and Put still work.
	unresponsive bool
	// silent is the topic whose calls to Follow get no answer until one of them is given up, as on a
	// connection that delivers nothing any more.
	silent gossip.Topic
	// stalled blocks the goroutines that call Read and Follow until it is closed, whatever their contexts.
	stalled chan struct{}
	// loseWrites applies writes, but returns an error for them.
	loseWrites bool
	// suspended is how long the daemon's VM has been suspended, in nanoseconds.
	suspended atomic.Int64
}

func (l *link) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = err
}

// setUnresponsive sets whether reads stay unanswered. A call to Follow under way then gets no answer
// to a later change; if there is none, it is still answered when its time is over.
func (l *link) setUnresponsive(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresponsive = on
}

func (l *link) isUnresponsive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unresponsive
}

// waitForCancel blocks until the caller gives up.
func waitForCancel(ctx context.Context) error {
	<-ctx.Done()
	return &storesync.Error{Op: "call", Kind: storesync.Unavailable, Err: ctx.Err()}
}

func (l *link) faults() (error, time.Duration, bool) { //nolint:revive,staticcheck // The error is an injected fault.
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down, l.answerDelay, l.loseWrites
}

// silence leaves the call about a topic without an answer until it is given up.
func (l *link) silence(topic gossip.Topic) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = topic
}

// waitWhileSilent blocks until the caller gives up if the topic is silent.
func (l *link) waitWhileSilent(ctx context.Context, topic gossip.Topic) error {
	l.mu.Lock()
	silent := l.silent == topic
	l.mu.Unlock()
	if !silent {
		return nil
	}
	err := waitForCancel(ctx)
	l.silence("")
	return err
}

// delayAnswers delays the answers to Read and Follow.
func (l *link) delayAnswers(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answerDelay = d
}

// stall blocks the goroutines that read the store until resume is called.
func (l *link) stall() (resume func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stalled := make(chan struct{})
	l.stalled = stalled
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		close(stalled)
		l.stalled = nil
	}
}

// answer returns a page after the delay of the link, or an error if the caller gives up before.
func (l *link) answer(ctx context.Context, p storesync.Page, delay time.Duration) (storesync.Page, error) {
	clock.Wait(ctx, delay)
	l.mu.Lock()
	stalled := l.stalled
	l.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
	if ctx.Err() != nil {
		return storesync.Page{}, waitForCancel(ctx)
	}
	return p, nil
}

var errDown = &storesync.Error{Op: "call", Kind: storesync.Unavailable, Err: errors.New("down")}

func (l *link) Read(ctx context.Context, topic gossip.Topic) (storesync.Page, error) {
	if l.isUnresponsive() {
		return storesync.Page{}, waitForCancel(ctx)
	}
	down, delay, _ := l.faults()
	if down != nil {
		return storesync.Page{}, down
	}
	l.fakeStore.mu.Lock()
	l.reads++
	p := l.since(topic, 0)
	p.Removed = nil
	l.fakeStore.mu.Unlock()
	return l.answer(ctx, p, delay)
}

func (l *link) Follow(ctx context.Context, topic gossip.Topic, after revision.Revision, wait time.Duration) (storesync.Page, error) {
	timeout := clock.After(wait)
	for {
		down, delay, _ := l.faults()
		if down != nil {
			return storesync.Page{}, down
		}
		l.fakeStore.mu.Lock()
		p, changed := l.since(topic, after.Number), l.changed
		lost, otherEra := after.Number < l.historyLostTo, after.Era != l.era
		l.fakeStore.mu.Unlock()
		if l.isUnresponsive() {
			return storesync.Page{}, waitForCancel(ctx)
		}
		if err := l.waitWhileSilent(ctx, topic); err != nil {
			return storesync.Page{}, err
		}
		if otherEra {
			return storesync.Page{}, &storesync.Error{Op: "follow", Kind: storesync.EraChanged}
		}
		if lost {
			return storesync.Page{}, &storesync.Error{Op: "follow", Kind: storesync.HistoryLost}
		}
		if len(p.Rows)+len(p.Removed)+len(p.Unreadable) > 0 {
			return l.answer(ctx, p, delay)
		}
		select {
		case <-changed:
		case <-timeout:
			return l.answer(ctx, p, delay)
		case <-ctx.Done():
			return storesync.Page{}, &storesync.Error{Op: "follow", Kind: storesync.Unavailable, Err: ctx.Err()}
		}
	}
}

func (l *link) Verify(ctx context.Context, topic gossip.Topic, after revision.Revision) (storesync.Page, error) {
	return l.Follow(ctx, topic, after, time.Millisecond)
}

func (l *link) Write(_ context.Context, topic gossip.Topic, key string, data []byte, was revision.Revision) error {
	down, _, loseAnswer := l.faults()
	if down != nil {
		return down
	}
	l.fakeStore.mu.Lock()
	defer l.fakeStore.mu.Unlock()
	if l.tables[topic][key].Version.Number != was.Number {
		return &storesync.Error{Op: "write", Kind: storesync.Conflict}
	}
	l.put(topic, key, string(data))
	if loseAnswer {
		return errDown
	}
	if was.Era != l.era {
		return &storesync.Error{Op: "write", Kind: storesync.EraChanged}
	}
	return nil
}

func (l *link) Put(_ context.Context, topic gossip.Topic, key string, data []byte) error {
	down, _, _ := l.faults()
	if down != nil {
		return down
	}
	l.set(topic, key, string(data))
	return nil
}

// decoder reads rows in a format of the tests: configurations are JSON with a few fields, servers
// are short strings.
type decoder struct{}

type configRow struct {
	Number uint64
	Keys   []string
	// Cold is how many seconds the servers of "s" count as cold after their start.
	Cold int
}

type orderRow struct {
	Version string
	Seconds int
}

func (decoder) Operator(row gossip.Row) (storesync.Operator, error) {
	if service, ok := strings.CutPrefix(row.Key, "order/"); ok {
		var o orderRow
		err := json.Unmarshal(row.Data, &o)
		return storesync.Order{Order: canary.Order{Service: service, Version: o.Version, Within: time.Duration(o.Seconds) * time.Second, Number: row.Version}}, err
	}
	if hall, ok := strings.CutPrefix(row.Key, "empty/"); ok {
		return storesync.DrainedHall{Hall: hall}, nil
	}
	var c configRow
	if err := json.Unmarshal(row.Data, &c); err != nil {
		return nil, err
	}
	parts := routemap.Parts{Number: c.Number, Organisations: []routemap.Organisation{{Name: "o", Keys: c.Keys}}}
	if c.Cold > 0 {
		parts.Services = []routemap.Service{{Name: "s", ColdFor: time.Duration(c.Cold) * time.Second, ColdRate: 13}}
	}
	return storesync.Config{Map: routemap.New(parts)}, nil
}

// Server reads VERSION, VERSION@HALL or VERSION@HALL@COLD, where COLD is a duration, optionally
// followed by #BORN, the start time of the server. The address is the id, or what follows =
// in the id. A row that begins with ! is corrupted, the version "leaving" is of a server that leaves.
func (decoder) Server(row gossip.Row) (fleet.Server, error) {
	s := fleet.Server{ID: row.Key, Service: "s", Addr: row.Key}
	if _, addr, ok := strings.Cut(row.Key, "="); ok {
		s.Addr = addr
	}
	if len(row.Data) == 0 || row.Data[0] == '!' {
		return s, errors.New("corrupted row")
	}
	data, born, _ := strings.Cut(string(row.Data), "#")
	if born != "" {
		var err error
		if s.Born, err = strconv.ParseInt(born, 10, 64); err != nil {
			return s, err
		}
	}
	var cold string
	s.Version, s.Hall, _ = strings.Cut(data, "@")
	s.Hall, cold, _ = strings.Cut(s.Hall, "@")
	s.Leaving = s.Version == "leaving"
	if cold != "" {
		var err error
		if s.ColdFor, err = time.ParseDuration(cold); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (decoder) Progress(row gossip.Row) (string, canary.Progress, error) {
	var p canary.Progress
	err := json.Unmarshal(row.Data, &p)
	return row.Key, p, err
}

func (decoder) WriteProgress(service string, p canary.Progress) (gossip.Row, error) {
	data, err := json.Marshal(p)
	return gossip.Row{Key: service, Data: data}, err
}

// network delivers messages between the daemons of a test without delay.
type network struct {
	mu      sync.Mutex
	syncers map[string]*storesync.Syncer
	// sessions counts the sessions in all responses.
	sessions int
	// delaying marks daemons whose incoming messages are queued, delayed holds these messages.
	delaying map[string]bool
	delayed  map[string][]func()
	// muted marks daemons whose outgoing messages are dropped.
	muted map[string]bool
	// latency is how much later the messages to a daemon arrive, by its ID.
	latency map[string]time.Duration
	// losesUpdates marks daemons that receive no responses but those to their requests.
	losesUpdates map[string]bool
}

type sender struct {
	network *network
	from    string
}

func (s sender) Send(id, _ string, m any) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	if response, ok := m.(gossip.Response); ok {
		s.network.sessions += len(response.Sessions)
		if response.Nonce == 0 && s.network.losesUpdates[id] {
			return
		}
	}
	d := s.network.syncers[id]
	if d == nil || s.network.muted[s.from] {
		return
	}
	deliver := func() { d.HandleMessage(s.from, m) }
	if s.network.delaying[id] {
		s.network.delayed[id] = append(s.network.delayed[id], deliver)
		return
	}
	if latency := s.network.latency[id]; latency > 0 {
		time.AfterFunc(latency, deliver)
		return
	}
	deliver()
}

func (s sender) SendAll(to map[string]string, m any) {
	for id, addr := range to {
		s.Send(id, addr, m)
	}
}

func (s sender) CloseConnections(string) {}

// cluster is a store with daemons that follow it.
type cluster struct {
	// unreachable reports whether daemons reach no servers; nil means never.
	// onServerExit is called when a daemon learns of an exit from another one.
	onServerExit func(addr string)
	unreachable  func(now time.Time) bool
	t            *testing.T
	store        *fakeStore
	network      *network
	links        map[string]*link
	// firstStart is passed to the daemons: all of them start for the first time.
	firstStart bool
	// inForceWithin is passed to the daemons.
	inForceWithin time.Duration
	// figures are the figures of a daemon, by its ID.
	figures map[string]map[string]storesync.Figures
	// newDecoder returns the decoder of a daemon; if nil, all use decoder.
	newDecoder func(id string) storesync.Decoder
	// cancels stop the daemons.
	cancels []context.CancelFunc
}

// stopAll stops all daemons at once.
func (s *cluster) stopAll() {
	for _, stop := range s.cancels {
		stop()
	}
	s.cancels = nil
	synctest.Wait()
}

// dropIncoming drops all messages to a daemon from now on.
func (m *network) dropIncoming(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.syncers, id)
}

// dropOutgoing drops all messages from a daemon from now on.
func (m *network) dropOutgoing(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.muted[id] = true
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	return &cluster{t: t, store: newFakeStore(), links: map[string]*link{}, network: &network{
		syncers: map[string]*storesync.Syncer{}, delaying: map[string]bool{}, delayed: map[string][]func(){}, muted: map[string]bool{}, latency: map[string]time.Duration{}, losesUpdates: map[string]bool{},
	}}
}

// startDaemon starts a daemon in the hall "h".
func (s *cluster) startDaemon(id string) *storesync.Syncer {
	s.t.Helper()
	return s.startDaemonIn(id, "h")
}

// startDaemonIn starts a daemon in a hall.
func (s *cluster) startDaemonIn(id, hall string) *storesync.Syncer {
	s.t.Helper()
	d := storesync.New()
	l := &link{fakeStore: s.store}
	d.Store, d.Decoder, d.Peers = l, decoder{}, sender{s.network, id}
	if s.newDecoder != nil {
		d.Decoder = s.newDecoder(id)
	}
	d.Self = storesync.Member{ID: id, Hall: hall, Addr: id, Public: make([]byte, 32), Start: 1}
	d.Log = log.Logger{Level: log.PanicLevel}
	d.ColdOverage, d.ColdSlack = 1.5, 5
	d.Figures, d.Unreachable, d.OnServerExit = s.figures[id], s.unreachable, s.onServerExit
	d.InForceWithin = s.inForceWithin
	d.FirstStart, d.Seed = s.firstStart, xxhash.Sum64String(id)
	s.network.mu.Lock()
	s.network.syncers[id] = d
	s.network.mu.Unlock()
	d.SuspendClock = func() time.Duration { return time.Duration(l.suspended.Load()) }
	s.links[id] = l
	ctx, cancel := context.WithCancel(s.t.Context())
	s.cancels = append(s.cancels, cancel)
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			s.t.Error(err)
		}
	})
	return d
}

// writeConfig writes a configuration to the store.
func (s *cluster) writeConfig(number uint64, keys ...string) {
	data, err := json.Marshal(configRow{Number: number, Keys: keys})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.set(gossip.Operator, "config", string(data))
}

// inBubble runs a test in a synctest bubble, with a fake clock.
func inBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}

// advance advances the fake clock and waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// serverIDs returns the sorted ids of the servers that a daemon uses.
func serverIDs(d *storesync.Syncer) []string {
	out := []string{}
	for _, s := range d.View().Servers.Service("s") {
		out = append(out, s.ID)
	}
	slices.Sort(out)
	return out
}
