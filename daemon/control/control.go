// Package control runs a daemon's control state: one goroutine owns the node,
// the backend servers and the evidence, and publishes immutable snapshots that
// traffic goroutines read.
package control

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"ladderridge.example/core/aggregation"
	"ladderridge.example/core/bill"
	"ladderridge.example/core/clock"
	"ladderridge.example/core/member"
	"ladderridge.example/core/node"
	"ladderridge.example/core/quality"
	"ladderridge.example/core/replication"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/platform"
	"ladderridge.example/daemon/settings"
	"ladderridge.example/daemon/suspend"
	"ladderridge.example/daemon/tablestore"
)

// Sender carries messages to other daemons without waiting.
type Sender interface {
	Send(id, addr string, m node.Message)
}

// Share is what this daemon may use of an organisation's limits now. Zero is
// no limit.
type Share struct {
	Requests    float64
	Tokens      float64
	Concurrency int
}

// Snapshot is what traffic reads for each request. It is immutable.
type Snapshot struct {
	View   *route.View
	Shares map[string]Share
	// Acquainted tells that each backend server of the own data hall has been
	// asked once.
	Acquainted bool
	// Seen returns what all daemons together have counted under a key.
	Seen func(aggregation.Key) aggregation.Evidence
	// BillsFull stops new work: the platform has been away for too long.
	BillsFull bool

	// stood is how long the VM had stood still when the snapshot was made.
	stood time.Duration
}

// The bounds of the control goroutine's inboxes.
const (
	eventBacklog = 1024
	factBacklog  = 8192
)

// publishEvery bounds how often servers' reports alone make a new snapshot.
const publishEvery = 50 * time.Millisecond

// Control is the control state. Get one from New, set the exported fields,
// then Run it.
type Control struct {
	Settings *settings.Settings
	Platform *platform.Client
	Peers    Sender
	Log      log.Logger
	// Demands returns what organisations asked of this daemon since it was
	// last called, per second, sorted by key.
	Demands func() []aggregation.Demand
	// Crashes returns how many servers have ended under requests, sorted by key.
	Crashes func() []aggregation.Evidence
	// Published, if set, is told of every new snapshot.
	Published func()
	// StoodStill tells how long the VM has stood still; nil is never.
	StoodStill suspend.Clock
	// Incarnation is the daemon's start time in milliseconds.
	Incarnation uint64

	// DroppedFacts counts facts that found the inbox full.
	DroppedFacts atomic.Int64
	// Busy is the time that the control goroutine has worked, in nanoseconds.
	Busy atomic.Int64

	events   chan event
	facts    chan Fact
	stopped  chan struct{}
	snapshot atomic.Pointer[Snapshot]
}

// New returns a control whose inboxes are open.
func New() *Control {
	c := &Control{
		events:  make(chan event, eventBacklog),
		facts:   make(chan Fact, factBacklog),
		stopped: make(chan struct{}),
	}
	c.snapshot.Store(&Snapshot{View: &route.View{Table: table.New(table.Table{})}, Seen: func(aggregation.Key) aggregation.Evidence { return aggregation.Evidence{} }})
	return c
}

// Snapshot returns the newest snapshot. One from before the VM stood still is in doubt: its
// clock says that it is new.
func (c *Control) Snapshot() *Snapshot {
	s := c.snapshot.Load()
	if c.StoodStill.Now()-s.stood < suspend.MinSuspension {
		return s
	}
	out, view := *s, *s.View
	view.Unconfirmed = true
	out.View = &view
	return &out
}

// Ready reports whether the daemon has a table and has asked each backend
// server of its data hall once.
func (c *Control) Ready() bool {
	s := c.Snapshot()
	return s.View.Generation.Number > 0 && s.Acquainted
}

// Tell hands over a fact without waiting.
func (c *Control) Tell(f Fact) {
	select {
	case c.facts <- f:
	default:
		c.DroppedFacts.Add(1)
	}
}

// Received hands over a message from another daemon.
func (c *Control) Received(from string, m node.Message) {
	c.post(nodeEvent{node.Received{From: from, Message: m}})
}

// Bill hands over a bill. The channel tells true once the bill no longer
// depends on this daemon alone, or false if there is no other daemon.
func (c *Control) Bill(b bill.Bill) <-chan bool {
	safe := make(chan bool, 1)
	c.post(billEvent{bill: b, safe: safe})
	return safe
}

// BillAgain has a second daemon asked to hold a bill, since the first one has
// not answered.
func (c *Control) BillAgain(key string) { c.post(nodeEvent{node.BillCopyTimedOut{Key: key}}) }

func (c *Control) post(e event) {
	select {
	case c.events <- e:
	case <-c.stopped:
	}
}

// askLoop runs a function on the control goroutine and waits for it.
func (c *Control) askLoop(run func(*loop)) error {
	done := make(chan struct{})
	c.post(askEvent{run: run, done: done})
	select {
	case <-done:
		return nil
	case <-c.stopped:
		return &Error{Op: "ask control", Kind: Stopped}
	}
}

// loop is the state of the control goroutine.
type loop struct {
	*Control
	ctx     context.Context
	node    *node.Node
	store   *tablestore.Store
	servers *servers
	guard   *guard
	// rollouts are driven by the root of the data hall's tree.
	rollouts *rollouts
	// placer gives engines orders, on that same daemon.
	placer  *placer
	table   *table.Table
	gen     table.Generation
	vms     platform.VMList
	quality map[route.QualityKey]route.Estimate
	safe    map[string]chan bool
	dirty   bool
	pollers *pollers
	// ticked is when the last tick was.
	ticked time.Time
	// stood is how long the VM had stood still at the last look.
	stood time.Duration
}

// Run runs the control goroutine until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	defer close(c.stopped)
	now := time.Now()
	self := member.Listed{ID: c.Settings.ID, Hall: c.Settings.Hall, Addr: c.Settings.Peers}
	l := &loop{
		Control:  c,
		ctx:      ctx,
		node:     node.New(self, c.Incarnation, now),
		store:    &tablestore.Store{Platform: c.Platform},
		servers:  newServers(c.Settings.Hall),
		guard:    newGuard(),
		rollouts: newRollouts(),
		placer:   newPlacer(c.Platform, c.Settings.ID),
		table:    table.New(table.Table{}),
		safe:     map[string]chan bool{},
		pollers:  newPollers(c.post),
		stood:    c.StoodStill.Now(),
	}
	for _, seed := range c.Settings.Seeds {
		l.node.Seeds = append(l.node.Seeds, member.Listed{ID: seed.ID, Addr: seed.Addr})
	}
	l.run()
	return ctx.Err()
}

func (l *loop) run() {
	tick := clock.NewTicker(node.TickInterval)
	flush := clock.NewTicker(node.FlushInterval)
	poll := clock.NewTicker(pollEvery)
	publish := clock.NewTicker(publishEvery)
	defer tick.Stop()
	defer flush.Stop()
	defer poll.Stop()
	defer publish.Stop()
	l.tick(time.Now())
	for {
		var begun time.Time
		select {
		case <-l.ctx.Done():
			return
		case e := <-l.events:
			begun = time.Now()
			l.noteStandstill(begun)
			l.handle(e, begun)
		case f := <-l.facts:
			begun = time.Now()
			l.fact(f, begun)
		case <-tick.C:
			begun = time.Now()
			l.noteStandstill(begun)
			l.tick(begun)
		case <-flush.C:
			begun = time.Now()
			if l.node.Pending.Len() > 0 {
				l.feed(node.Flush{}, begun)
			}
		case <-poll.C:
			begun = time.Now()
			for _, b := range l.servers.duePolls(begun) {
				l.pollers.poll(l.ctx, b)
			}
		case <-publish.C:
			begun = time.Now()
			if l.dirty {
				l.publish(begun)
			}
		}
		l.Busy.Add(int64(time.Since(begun)))
	}
}

// noteStandstill notices that the VM has stood still: the table is in doubt until it is
// confirmed anew, as after a pause of the process.
func (l *loop) noteStandstill(now time.Time) {
	d := l.StoodStill.Now() - l.stood
	if d < suspend.MinSuspension {
		return
	}
	l.stood += d
	l.Log.Warn().Dur("for", d).Msg("control: the VM stood still: nothing is served until the table is confirmed")
	l.feed(node.Suspended{For: d}, now)
	l.publish(now)
}

func (l *loop) handle(e event, now time.Time) {
	switch e := e.(type) {
	case nodeEvent:
		leaving := len(l.node.LeavingServers())
		l.feed(e.inner, now)
		if len(l.node.LeavingServers()) != leaving || l.Snapshot().View.Unconfirmed {
			l.publish(now)
		}
	case billEvent:
		l.safe[e.bill.Key] = e.safe
		l.feed(node.BillAdded{Bill: e.bill}, now)
	case reportEvent:
		l.reported(e, now)
	case orderEvent:
		l.placer.ordered(e.engine, now)
	case stepEvent:
		l.rollouts.busy = false
	case askEvent:
		e.run(l)
		close(e.done)
	}
}

func (l *loop) reported(e reportEvent, now time.Time) {
	if e.err != nil {
		l.servers.unanswered(e.server, now)
		l.dirty = true
		return
	}
	l.servers.report(e, now)
	l.dirty = true
	if e.report.Leaving && !l.node.Leaving(e.server) {
		l.feed(node.ServerLeaving{ID: e.server}, now)
		l.publish(now)
	}
}

func (l *loop) fact(f Fact, now time.Time) {
	switch f := f.(type) {
	case Answered:
		l.servers.answered(f.Server, f.InFlight, now)
		l.dirty = true
		l.seen(f.Ref, f.Bad, now)
	case Failed:
		l.servers.failed(f.Server, now)
		l.dirty = true
		l.seen(f.Ref, true, now)
	case Declined:
		l.servers.declined(f.Server, f.NotLoaded, now)
		l.dirty = true
		if f.NotLoaded != (table.Ref{}) {
			l.publish(now)
		}
	case SaysLeaving:
		l.Log.Info().Str("server", f.Server).Msg("control: a server says that it leaves")
		l.feed(node.ServerLeaving{ID: f.Server}, now)
		l.publish(now)
	}
}

// seen counts an answer of a version, and guards it if that is once too often.
func (l *loop) seen(ref table.Ref, bad bool, now time.Time) {
	if ref != (table.Ref{}) && l.guard.answered(ref, bad, now) {
		l.Log.Warn().Str("version", ref.String()).Msg("control: a version is guarded")
		l.publish(now)
	}
}

func (l *loop) tick(now time.Time) {
	l.ticked = now
	own := aggregation.Sums{Evidence: l.guard.own()}
	if l.Crashes != nil {
		own.Evidence = aggregation.Sums{Daemons: 1, Evidence: own.Evidence}.Add(aggregation.Sums{Daemons: 1, Evidence: l.Crashes()}).Evidence
	}
	if l.Demands != nil {
		own.Demands = l.Demands()
	}
	l.feed(node.Tick{Own: own}, now)
	l.guard.pool(l.pooled(now), now)
	l.driveRollouts(now)
	l.drivePlacement(now)
	l.publish(now)
}

// pooled returns a version's evidence of all daemons that are heard of.
func (l *loop) pooled(now time.Time) func(aggregation.Key) aggregation.Evidence {
	totals, _ := l.node.Tree.Totals(now)
	return totals.Evidence
}

// feed gives the node an event and carries out its orders.
func (l *loop) feed(e node.Event, now time.Time) {
	for _, order := range l.node.Handle(e, now) {
		switch o := order.(type) {
		case node.Send:
			l.Peers.Send(o.To, o.Addr, o.Message)
		case node.Read:
			l.read(o)
		case node.WriteBills:
			l.writeBills(o.Bills)
		case node.BillDurable:
			l.tellSafe(o.Key, true)
		case node.BillNotReplicated:
			l.tellSafe(o.Key, false)
		case node.Changed:
			l.changed(o.Document, now)
		}
	}
}

// tellSafe tells the request that a bill belongs to whether the bill is safe.
func (l *loop) tellSafe(key string, safe bool) {
	if told := l.safe[key]; told != nil {
		told <- safe
		delete(l.safe, key)
	}
}

// changed puts a newer document in force.
func (l *loop) changed(doc replication.Document, now time.Time) {
	var err error
	switch doc.Topic {
	case replication.Config:
		err = l.changeTable(doc)
	case replication.VMs:
		err = l.changeVMs(doc, now)
	case replication.Quality:
		err = l.changeQuality(doc)
	}
	if err != nil {
		l.Log.Error().Err(err).Msg("control: a document was refused")
	}
	l.publish(now)
}

func (l *loop) changeQuality(doc replication.Document) error {
	var read quality.Document
	if err := json.Unmarshal(doc.Data, &read); err != nil {
		return &Error{Op: "take quality", Kind: BadDocument, Err: err}
	}
	l.quality = read.Estimates()
	l.guard.badFor = read.RejectedBy()
	return nil
}

func (l *loop) changeTable(doc replication.Document) error {
	t, err := table.Parse(doc.Data)
	if err != nil {
		return &Error{Op: "put table in force", Kind: BadDocument, Err: err}
	}
	l.table = t
	l.gen = table.Generation{Number: doc.Number, Digest: t.Digest()}
	l.Log.Info().Uint64("generation", doc.Number).Msg("control: a table is in force")
	return nil
}

func (l *loop) changeVMs(doc replication.Document, now time.Time) error {
	var list platform.VMList
	if err := json.Unmarshal(doc.Data, &list); err != nil {
		return &Error{Op: "take VM list", Kind: BadDocument, Err: err}
	}
	l.vms = list
	l.servers.list(list.VMs)
	var entries []member.Listed
	halls := map[string]bool{}
	for _, vm := range list.VMs {
		if vm.Role == platform.RoleEntry {
			entries = append(entries, member.Listed{ID: vm.ID, Hall: vm.Hall, Addr: vm.Peer, Leaving: vm.Leaving})
			halls[vm.Hall] = true
		}
	}
	l.feed(node.VMsKnown{Entries: entries, Halls: len(halls)}, now)
	return nil
}

// publish makes a new snapshot.
func (l *loop) publish(now time.Time) {
	l.dirty = false
	v := &route.View{
		Generation:  l.gen,
		Table:       l.table,
		ConfirmedAt: l.node.Store.ConfirmedAt(replication.Config),
		PublishedAt: l.ticked,
		Unconfirmed: l.node.Unconfirmed(now),
		Hall:        l.Settings.Hall,
		Ages:        route.Ages{Steady: l.Settings.SteadyAge, RollingOut: l.Settings.RollingOutAge},
		Quality:     l.quality,
		Guarded:     l.guard.guarded(),
		BadFor:      l.guard.badFor,
	}
	l.servers.view(v, l.node.Leaving)
	l.snapshot.Store(&Snapshot{View: v, Shares: l.shares(now), Acquainted: l.servers.acquainted(), BillsFull: l.node.Pending.Full(), Seen: l.pooled(now), stood: l.stood})
	if l.Published != nil {
		l.Published()
	}
}

// Leave says good-bye to the other daemons and hands over what the platform
// has not acknowledged.
func (c *Control) Leave() error {
	c.post(nodeEvent{node.Leave{}})
	return c.askLoop(func(*loop) {})
}
