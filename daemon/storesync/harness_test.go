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

// rows is a store in memory with faults. All keepers of a test share it.
type rows struct {
	mu      sync.Mutex
	version uint64
	// era counts the returns from a copy.
	era     uint64
	tables  map[gossip.Topic]map[string]gossip.Row
	removed []removal
	changed chan struct{}
	began   time.Time
	// forgotten is the version up to which the history is gone.
	forgotten uint64
	reads     int
}

type removal struct {
	topic   gossip.Topic
	key     string
	version uint64
}

func newRows() *rows {
	return &rows{era: 1, tables: map[gossip.Topic]map[string]gossip.Row{}, changed: make(chan struct{}), began: time.Now()}
}

// set writes a row, or removes it if data is empty.
func (s *rows) set(topic gossip.Topic, key, data string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(topic, key, data)
}

func (s *rows) put(topic gossip.Topic, key, data string) {
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

func (s *rows) get(topic gossip.Topic, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.tables[topic][key].Data)
}

// since returns what has changed after a version.
func (s *rows) since(topic gossip.Topic, after uint64) storesync.Page {
	p := storesync.Page{Version: revision.New(s.era, s.version), ClockMS: 1000 + uint64(time.Since(s.began).Milliseconds())}
	for _, row := range s.tables[topic] {
		if row.Version.Number > after {
			// The store knows rows by number alone.
			row.Version.Era = s.era
			p.Rows = append(p.Rows, row)
		}
	}
	for _, r := range s.removed {
		// What was set again is there: the last change of a key stands.
		if _, back := s.tables[topic][r.key]; r.topic == topic && r.version > after && !back {
			p.Removed = append(p.Removed, r.key)
		}
	}
	return p
}

// state is a copy of the rows at a moment.
type state struct {
	version uint64
	tables  map[gossip.Topic]map[string]gossip.Row
	removed []removal
}

// copied returns the rows as they are.
func (s *rows) copied() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := state{version: s.version, tables: map[gossip.Topic]map[string]gossip.Row{}, removed: slices.Clone(s.removed)}
	for topic, of := range s.tables {
		out.tables[topic] = maps.Clone(of)
	}
	return out
}

// returns has the store come back from a copy.
func (s *rows) returns(from state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, s.removed, s.tables = from.version, slices.Clone(from.removed), map[gossip.Topic]map[string]gossip.Row{}
	for topic, of := range from.tables {
		s.tables[topic] = maps.Clone(of)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// link is one daemon's way to the store, which may be cut.
type link struct {
	*rows
	mu sync.Mutex
	// down is the error of all calls, hold what is added to the time of a
	// read's answer.
	down error
	hold time.Duration
	// silent answers no call.
	silent bool
	// loseWrites does writes and loses their answers.
	loseWrites bool
	// stood is how long the daemon's VM has stood still, in nanoseconds.
	stood atomic.Int64
}

func (l *link) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = err
}

// silence begins or ends that no call is answered; one that waits is not either.
func (l *link) silence(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = on
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// swallow waits until the caller gives up.
func swallow(ctx context.Context) error {
	<-ctx.Done()
	return &storesync.Error{Op: "call", Kind: storesync.Unavailable, Err: ctx.Err()}
}

func (l *link) state() (error, time.Duration, bool) { //nolint:revive,staticcheck // The error is a state here.
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down, l.hold, l.loseWrites
}

var errDown = &storesync.Error{Op: "call", Kind: storesync.Unavailable, Err: errors.New("down")}

func (l *link) Read(ctx context.Context, topic gossip.Topic) (storesync.Page, error) {
	if l.isSilent() {
		return storesync.Page{}, swallow(ctx)
	}
	down, hold, _ := l.state()
	if down != nil {
		return storesync.Page{}, down
	}
	l.rows.mu.Lock()
	l.reads++
	p := l.since(topic, 0)
	p.Removed = nil
	l.rows.mu.Unlock()
	time.Sleep(hold)
	return p, nil
}

func (l *link) Follow(ctx context.Context, topic gossip.Topic, after revision.Revision, wait time.Duration) (storesync.Page, error) {
	timeout := clock.After(wait)
	for {
		down, hold, _ := l.state()
		if down != nil {
			return storesync.Page{}, down
		}
		l.rows.mu.Lock()
		p, changed := l.since(topic, after.Number), l.changed
		lost, other := after.Number < l.forgotten, after.Era != l.era
		l.rows.mu.Unlock()
		if l.isSilent() {
			return storesync.Page{}, swallow(ctx)
		}
		if other {
			return storesync.Page{}, &storesync.Error{Op: "follow", Kind: storesync.EraChanged}
		}
		if lost {
			return storesync.Page{}, &storesync.Error{Op: "follow", Kind: storesync.HistoryLost}
		}
		if len(p.Rows)+len(p.Removed) > 0 {
			time.Sleep(hold)
			return p, nil
		}
		select {
		case <-changed:
		case <-timeout:
			time.Sleep(hold)
			return p, nil
		case <-ctx.Done():
			return storesync.Page{}, &storesync.Error{Op: "follow", Kind: storesync.Unavailable, Err: ctx.Err()}
		}
	}
}

func (l *link) Write(_ context.Context, topic gossip.Topic, key string, data []byte, was revision.Revision) error {
	down, _, lose := l.state()
	if down != nil {
		return down
	}
	l.rows.mu.Lock()
	defer l.rows.mu.Unlock()
	if l.tables[topic][key].Version.Number != was.Number {
		return &storesync.Error{Op: "write", Kind: storesync.Conflict}
	}
	l.put(topic, key, string(data))
	if lose {
		return errDown
	}
	if was.Era != l.era {
		return &storesync.Error{Op: "write", Kind: storesync.EraChanged}
	}
	return nil
}

func (l *link) Put(_ context.Context, topic gossip.Topic, key string, data []byte) error {
	down, _, _ := l.state()
	if down != nil {
		return down
	}
	l.set(topic, key, string(data))
	return nil
}

// decoder reads rows of the tests' own form: configurations and servers are
// JSON of a few fields.
type decoder struct{}

type configRow struct {
	Number uint64
	Keys   []string
	// Cold is how many seconds servers of "s" are cold after their start.
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

// Server reads VERSION, VERSION@HALL or VERSION@HALL@COLD, a duration, with #BORN behind it
// if the server tells its start. Its address is its id, or what comes behind = there. A row
// that begins with ! does not decode.
func (decoder) Server(row gossip.Row) (fleet.Server, error) {
	s := fleet.Server{ID: row.Key, Service: "s", Addr: row.Key}
	if _, addr, ok := strings.Cut(row.Key, "="); ok {
		s.Addr = addr
	}
	if row.Data[0] == '!' {
		return s, errors.New("spoiled")
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

// mesh carries messages between the keepers of a test at once.
type mesh struct {
	mu      sync.Mutex
	keepers map[string]*storesync.Syncer
	// sessions counts the sessions in all messages.
	sessions int
	// held are messages to a daemon that are kept back.
	holding map[string]bool
	held    map[string][]func()
	// gone are daemons of which nothing is heard any more.
	gone map[string]bool
}

type sender struct {
	mesh *mesh
	from string
}

func (s sender) Send(id, _ string, m any) {
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	if tell, ok := m.(gossip.Response); ok {
		s.mesh.sessions += len(tell.Sessions)
	}
	k := s.mesh.keepers[id]
	if k == nil || s.mesh.gone[s.from] {
		return
	}
	deliver := func() { k.HandleMessage(s.from, m) }
	if s.mesh.holding[id] {
		s.mesh.held[id] = append(s.mesh.held[id], deliver)
		return
	}
	deliver()
}

func (s sender) SendAll(to map[string]string, m any) {
	for id, addr := range to {
		s.Send(id, addr, m)
	}
}

func (s sender) Forget(string) {}

// system is a store with daemons that follow it.
type system struct {
	t     *testing.T
	rows  *rows
	mesh  *mesh
	links map[string]*link
	// firstStart tells the daemons that are started that all start for the first time.
	firstStart bool
	// decode returns the decoder of a daemon; nil is that of all tests.
	decode func(id string) storesync.Decoder
	// stops end the daemons.
	stops []context.CancelFunc
}

// stopAll ends all daemons at once.
func (s *system) stopAll() {
	for _, stop := range s.stops {
		stop()
	}
	s.stops = nil
	synctest.Wait()
}

// deafen has a daemon hear nobody any more.
func (m *mesh) deafen(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.keepers, id)
}

// lose has nobody hear a daemon any more.
func (m *mesh) lose(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gone[id] = true
}

func newSystem(t *testing.T) *system {
	t.Helper()
	return &system{t: t, rows: newRows(), links: map[string]*link{}, mesh: &mesh{
		keepers: map[string]*storesync.Syncer{}, holding: map[string]bool{}, held: map[string][]func(){}, gone: map[string]bool{},
	}}
}

// daemon starts one.
func (s *system) daemon(id string) *storesync.Syncer {
	s.t.Helper()
	return s.daemonIn(id, "h")
}

// daemonIn starts one in a hall.
func (s *system) daemonIn(id, hall string) *storesync.Syncer {
	s.t.Helper()
	k := storesync.New()
	l := &link{rows: s.rows}
	k.Store, k.Decoder, k.Peers = l, decoder{}, sender{s.mesh, id}
	if s.decode != nil {
		k.Decoder = s.decode(id)
	}
	k.Self = storesync.Member{ID: id, Hall: hall, Addr: id, Public: make([]byte, 32), Start: 1}
	k.Log = log.Logger{Level: log.PanicLevel}
	k.ColdOverage, k.ColdSlack = 1.5, 5
	k.FirstStart, k.Seed = s.firstStart, xxhash.Sum64String(id)
	s.mesh.mu.Lock()
	s.mesh.keepers[id] = k
	s.mesh.mu.Unlock()
	k.SuspendClock = func() time.Duration { return time.Duration(l.stood.Load()) }
	s.links[id] = l
	ctx, cancel := context.WithCancel(s.t.Context())
	s.stops = append(s.stops, cancel)
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			s.t.Error(err)
		}
	})
	return k
}

// config puts a configuration into the store.
func (s *system) config(number uint64, keys ...string) {
	data, err := json.Marshal(configRow{Number: number, Keys: keys})
	if err != nil {
		s.t.Fatal(err)
	}
	s.rows.set(gossip.Operator, "config", string(data))
}

// inBubble runs a test on the clock of a bubble.
func inBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}

// pass lets time pass until nothing more happens.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// servers are the ids of the servers that a daemon uses.
func servers(k *storesync.Syncer) []string {
	out := []string{}
	for _, s := range k.View().Servers.Service("s") {
		out = append(out, s.ID)
	}
	slices.Sort(out)
	return out
}
