// Package control runs the control loop of a daemon: one goroutine owns the
// node, the state of the backend servers and the evidence on versions, and
// publishes immutable snapshots that the request goroutines read.
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

// Sender sends messages to other daemons without blocking.
type Sender interface {
	Send(id, addr string, m node.Message)
}

// Share is the part of an organisation's limits that this daemon may use at
// present. Zero means no limit.
type Share struct {
	Requests    float64
	Tokens      float64
	Concurrency int
}

// Snapshot is the immutable state that is read for each request.
type Snapshot struct {
	View   *route.View
	Shares map[string]Share
	// ServersPolled is set once each backend server of the own data hall has
	// been polled.
	ServersPolled bool
	// Evidence returns the counts of all daemons under a key.
	Evidence func(aggregation.Key) aggregation.Evidence
	// BillsFull is set while the queue of unwritten bills is full, because the
	// platform has been unavailable for too long. No new requests are accepted
	// meanwhile.
	BillsFull bool

	// suspendedTotal is the total suspension of the VM when the snapshot was made.
	suspendedTotal time.Duration
}

// Capacities of the channels to the control goroutine.
const (
	eventBacklog       = 1024
	observationBacklog = 8192
)

// publishInterval is the minimum time between two snapshots that are made only
// because of server reports.
const publishInterval = 50 * time.Millisecond

// Control is the control loop. Get one from New, set the exported fields, then
// Run it.
type Control struct {
	Settings *settings.Settings
	Platform *platform.Client
	Peers    Sender
	Log      log.Logger
	// Demands returns the demand of each organisation on this daemon since the
	// last call, per second, sorted by key.
	Demands func() []aggregation.Demand
	// Crashes returns how many servers have crashed while they processed a
	// request, by request content and sorted by key.
	Crashes func() []aggregation.Evidence
	// OnPublish, if set, is called after each new snapshot.
	OnPublish func()
	// SuspendClock returns the total suspension of the VM; nil means that the VM is
	// never suspended.
	SuspendClock suspend.Clock
	// Incarnation is the daemon's start time in milliseconds.
	Incarnation uint64

	// DroppedObservations counts the observations dropped because their channel was full.
	DroppedObservations atomic.Int64
	// Busy is the working time of the control goroutine in nanoseconds.
	Busy atomic.Int64

	events       chan event
	observations chan Observation
	stopped      chan struct{}
	snapshot     atomic.Pointer[Snapshot]
}

// New returns a control that accepts events. They are handled once it runs.
func New() *Control {
	c := &Control{
		events:       make(chan event, eventBacklog),
		observations: make(chan Observation, observationBacklog),
		stopped:      make(chan struct{}),
	}
	c.snapshot.Store(&Snapshot{View: &route.View{Table: table.New(table.Table{})}, Evidence: func(aggregation.Key) aggregation.Evidence { return aggregation.Evidence{} }})
	return c
}

// Snapshot returns the newest snapshot. A snapshot from before a suspension of the VM is
// marked as unconfirmed: the clock does not advance during a suspension, so its age is wrong.
func (c *Control) Snapshot() *Snapshot {
	s := c.snapshot.Load()
	if c.SuspendClock.Now()-s.suspendedTotal < suspend.MinSuspension {
		return s
	}
	out, view := *s, *s.View
	view.Unconfirmed = true
	out.View = &view
	return &out
}

// Ready reports whether the daemon has a table and has polled each backend
// server of its data hall.
func (c *Control) Ready() bool {
	s := c.Snapshot()
	return s.View.Generation.Number > 0 && s.ServersPolled
}

// Observe passes on an observation without blocking. It drops the observation if the
// channel is full.
func (c *Control) Observe(o Observation) {
	select {
	case c.observations <- o:
	default:
		c.DroppedObservations.Add(1)
	}
}

// Received passes on a message from another daemon.
func (c *Control) Received(from string, m node.Message) {
	c.post(nodeEvent{node.Received{From: from, Message: m}})
}

// Bill queues a bill. The channel receives true once another daemon or the
// platform has the bill, or false if there is no other daemon.
func (c *Control) Bill(b bill.Bill) <-chan bool {
	durable := make(chan bool, 1)
	c.post(billEvent{bill: b, durable: durable})
	return durable
}

// BillCopyTimedOut requests another copy of a bill from a second daemon, because the
// first one has not acknowledged the bill in time.
func (c *Control) BillCopyTimedOut(key string) { c.post(nodeEvent{node.BillCopyTimedOut{Key: key}}) }

func (c *Control) post(e event) {
	select {
	case c.events <- e:
	case <-c.stopped:
	}
}

// runOnLoop runs a function on the control goroutine and waits until it returns.
func (c *Control) runOnLoop(run func(*loop)) error {
	done := make(chan struct{})
	c.post(callEvent{run: run, done: done})
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
	// rollouts are driven by the daemon at the root of the data hall's
	// aggregation tree.
	rollouts *rollouts
	// placer sends orders to the engines, on the same daemon.
	placer      *placer
	table       *table.Table
	gen         table.Generation
	vms         platform.VMList
	quality     map[route.QualityKey]route.Estimate
	billWaiters map[string]chan bool
	dirty       bool
	pollers     *pollers
	lastTick    time.Time
	// suspendedTotal is the total suspension of the VM at the last check.
	suspendedTotal time.Duration
}

// Run runs the control goroutine until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	defer close(c.stopped)
	now := time.Now()
	self := member.Listed{ID: c.Settings.ID, Hall: c.Settings.Hall, Addr: c.Settings.Peers}
	l := &loop{
		Control:        c,
		ctx:            ctx,
		node:           node.New(self, c.Incarnation, now),
		store:          &tablestore.Store{Platform: c.Platform},
		servers:        newServers(c.Settings.Hall),
		guard:          newGuard(),
		rollouts:       newRollouts(),
		placer:         newPlacer(c.Platform, c.Settings.ID),
		table:          table.New(table.Table{}),
		billWaiters:    map[string]chan bool{},
		pollers:        newPollers(c.post),
		suspendedTotal: c.SuspendClock.Now(),
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
	poll := clock.NewTicker(pollInterval)
	publish := clock.NewTicker(publishInterval)
	defer tick.Stop()
	defer flush.Stop()
	defer poll.Stop()
	defer publish.Stop()
	l.tick(time.Now())
	for {
		var started time.Time
		select {
		case <-l.ctx.Done():
			return
		case e := <-l.events:
			started = time.Now()
			l.handleSuspension(started)
			l.handle(e, started)
		case o := <-l.observations:
			started = time.Now()
			l.handleObservation(o, started)
		case <-tick.C:
			started = time.Now()
			l.handleSuspension(started)
			l.tick(started)
		case <-flush.C:
			started = time.Now()
			if l.node.Pending.Len() > 0 {
				l.feed(node.Flush{}, started)
			}
		case <-poll.C:
			started = time.Now()
			for _, b := range l.servers.duePolls(started) {
				l.pollers.poll(l.ctx, b)
			}
		case <-publish.C:
			started = time.Now()
			if l.dirty {
				l.publish(started)
			}
		}
		l.Busy.Add(int64(time.Since(started)))
	}
}

// handleSuspension checks whether the VM was suspended. After a suspension the table is
// unconfirmed until it is read again, as after a pause of the process.
func (l *loop) handleSuspension(now time.Time) {
	d := l.SuspendClock.Now() - l.suspendedTotal
	if d < suspend.MinSuspension {
		return
	}
	l.suspendedTotal += d
	l.Log.Warn().Dur("for", d).Msg("control: VM was suspended, no requests are sent until the table is confirmed")
	l.feed(node.Suspended{For: d}, now)
	l.publish(now)
}

func (l *loop) handle(e event, now time.Time) {
	switch e := e.(type) {
	case nodeEvent:
		leavingBefore := len(l.node.LeavingServers())
		l.feed(e.inner, now)
		if len(l.node.LeavingServers()) != leavingBefore || l.Snapshot().View.Unconfirmed {
			l.publish(now)
		}
	case billEvent:
		l.billWaiters[e.bill.Key] = e.durable
		l.feed(node.BillAdded{Bill: e.bill}, now)
	case reportEvent:
		l.handleReport(e, now)
	case orderEvent:
		l.placer.orderDone(e.engine, now)
	case stepEvent:
		l.rollouts.busy = false
	case callEvent:
		e.run(l)
		close(e.done)
	}
}

func (l *loop) handleReport(e reportEvent, now time.Time) {
	if e.err != nil {
		l.servers.recordPollFailure(e.server, now)
		l.dirty = true
		return
	}
	l.servers.applyReport(e, now)
	l.dirty = true
	if e.report.Leaving && !l.node.Leaving(e.server) {
		l.feed(node.ServerLeaving{ID: e.server}, now)
		l.publish(now)
	}
}

func (l *loop) handleObservation(o Observation, now time.Time) {
	switch o := o.(type) {
	case Answered:
		l.servers.recordAnswer(o.Server, o.InFlight, now)
		l.dirty = true
		l.recordAnswer(o.Ref, o.Bad, now)
	case Failed:
		l.servers.recordFailure(o.Server, now)
		l.dirty = true
		l.recordAnswer(o.Ref, true, now)
	case Declined:
		l.servers.recordDecline(o.Server, o.NotLoaded, now)
		l.dirty = true
		if o.NotLoaded != (table.Ref{}) {
			l.publish(now)
		}
	case ServerLeaving:
		l.Log.Info().Str("server", o.Server).Msg("control: server announced that it is leaving")
		l.feed(node.ServerLeaving{ID: o.Server}, now)
		l.publish(now)
	}
}

// recordAnswer counts an answer of a version and publishes a snapshot if the evidence now
// rejects the version.
func (l *loop) recordAnswer(ref table.Ref, bad bool, now time.Time) {
	if ref != (table.Ref{}) && l.guard.recordAnswer(ref, bad, now) {
		l.Log.Warn().Str("version", ref.String()).Msg("control: version rejected, it gets no new sessions")
		l.publish(now)
	}
}

func (l *loop) tick(now time.Time) {
	l.lastTick = now
	own := aggregation.Sums{Evidence: l.guard.ownCounts()}
	if l.Crashes != nil {
		own.Evidence = aggregation.Sums{Daemons: 1, Evidence: own.Evidence}.Add(aggregation.Sums{Daemons: 1, Evidence: l.Crashes()}).Evidence
	}
	if l.Demands != nil {
		own.Demands = l.Demands()
	}
	l.feed(node.Tick{Own: own}, now)
	l.guard.addPooled(l.pooledEvidence(now), now)
	l.driveRollouts(now)
	l.drivePlacement(now)
	l.publish(now)
}

// pooledEvidence returns a function that looks up the evidence on a version, summed over all
// daemons whose counts have arrived.
func (l *loop) pooledEvidence(now time.Time) func(aggregation.Key) aggregation.Evidence {
	totals, _ := l.node.Tree.Totals(now)
	return totals.Evidence
}

// feed passes an event to the node and carries out the actions that it returns.
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
			l.resolveBill(o.Key, true)
		case node.BillNotReplicated:
			l.resolveBill(o.Key, false)
		case node.Changed:
			l.applyDocument(o.Document, now)
		}
	}
}

// resolveBill reports to the request of a bill whether the bill is durable.
func (l *loop) resolveBill(key string, durable bool) {
	if waiter := l.billWaiters[key]; waiter != nil {
		waiter <- durable
		delete(l.billWaiters, key)
	}
}

// applyDocument applies a newer version of a replicated document.
func (l *loop) applyDocument(doc replication.Document, now time.Time) {
	var err error
	switch doc.Topic {
	case replication.Config:
		err = l.applyTable(doc)
	case replication.VMs:
		err = l.applyVMs(doc, now)
	case replication.Quality:
		err = l.applyQuality(doc)
	}
	if err != nil {
		l.Log.Error().Err(err).Msg("control: cannot apply document")
	}
	l.publish(now)
}

func (l *loop) applyQuality(doc replication.Document) error {
	var ratings quality.Document
	if err := json.Unmarshal(doc.Data, &ratings); err != nil {
		return &Error{Op: "apply quality ratings", Kind: BadDocument, Err: err}
	}
	l.quality = ratings.Estimates()
	l.guard.badFor = ratings.RejectedBy()
	return nil
}

func (l *loop) applyTable(doc replication.Document) error {
	t, err := table.Parse(doc.Data)
	if err != nil {
		return &Error{Op: "apply table", Kind: BadDocument, Err: err}
	}
	l.table = t
	l.gen = table.Generation{Number: doc.Number, Digest: t.Digest()}
	l.Log.Info().Uint64("generation", doc.Number).Msg("control: a table is in force")
	return nil
}

func (l *loop) applyVMs(doc replication.Document, now time.Time) error {
	var list platform.VMList
	if err := json.Unmarshal(doc.Data, &list); err != nil {
		return &Error{Op: "apply VM list", Kind: BadDocument, Err: err}
	}
	l.vms = list
	l.servers.setVMs(list.VMs)
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

// publish stores a new snapshot.
func (l *loop) publish(now time.Time) {
	l.dirty = false
	v := &route.View{
		Generation:  l.gen,
		Table:       l.table,
		ConfirmedAt: l.node.Store.ConfirmedAt(replication.Config),
		PublishedAt: l.lastTick,
		Unconfirmed: l.node.Unconfirmed(now),
		Hall:        l.Settings.Hall,
		Ages:        route.Ages{Steady: l.Settings.SteadyAge, RollingOut: l.Settings.RollingOutAge},
		Quality:     l.quality,
		Guarded:     l.guard.guarded(),
		BadFor:      l.guard.badFor,
	}
	l.servers.fillView(v, l.node.Leaving)
	l.snapshot.Store(&Snapshot{View: v, Shares: l.shares(now), ServersPolled: l.servers.allPolled(), BillsFull: l.node.Pending.Full(), Evidence: l.pooledEvidence(now), suspendedTotal: l.suspendedTotal})
	if l.OnPublish != nil {
		l.OnPublish()
	}
}

// Leave announces to the other daemons that this one leaves, and hands over the
// bills that the platform has not acknowledged.
func (c *Control) Leave() error {
	c.post(nodeEvent{node.Leave{}})
	return c.runOnLoop(func(*loop) {})
}
