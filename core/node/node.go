// Package node combines membership, replicated documents, aggregated counters and bills of one
// daemon into a state machine without I/O. It takes an event and a time and returns actions. The
// daemon, the fuzz tests and the benchmarks drive the same code.
package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ladderridge.example/core/aggregation"
	"ladderridge.example/core/bill"
	"ladderridge.example/core/member"
	"ladderridge.example/core/replication"
)

// Intervals and time limits.
const (
	// TickInterval is the interval between ticks.
	TickInterval = time.Second
	// PauseThreshold is the time without any event after which the process is taken to have been paused.
	PauseThreshold = 3 * time.Second
	// ConfirmTimeout is how long a process that was paused tries to confirm its table before it treats
	// itself as disconnected.
	ConfirmTimeout = 5 * time.Second
	// FlushInterval is the interval between flushes while bills are held.
	FlushInterval = 50 * time.Millisecond
	// OverdueAge is the age of a document, per tick of its read interval, from which daemons that are
	// not the readers of their data hall read it from the platform themselves, a few at a time.
	OverdueAge = 3 * time.Second
	// LeavingTTL is how long a report of a leaving backend server is valid if it is not repeated.
	LeavingTTL = time.Minute
)

// Intervals between reads from the platform, in ticks.
const (
	configTicks  = 1
	vmsTicks     = 2
	qualityTicks = 5
)

// readersPerHall is how many daemons of a data hall read from the platform.
const readersPerHall = 2

// updatesPerMessage is the maximum number of updates in one heartbeat.
const updatesPerMessage = 8

// Limits of the back-off after a failed read.
const (
	minReadBackoff = time.Second
	maxReadBackoff = 4 * time.Second
)

// readState is the state of the reads of one topic.
type readState struct {
	busy      bool
	since     time.Time
	backoff   time.Duration
	notBefore time.Time
}

// readTimeout is how long a read may stay unanswered before another one may start.
const readTimeout = 10 * time.Second

// Node is the state of one daemon. It must be used by one goroutine only.
type Node struct {
	// Seeds are the daemons to contact while no VM list is known. Set them before the first event.
	Seeds []member.Listed

	Group   *member.Group
	Store   replication.Store
	Tree    *aggregation.Tree
	Pending *bill.Pending
	Copies  *bill.Copies

	self    member.Listed
	halls   int
	own     aggregation.Sums
	turn    uint64
	reads   [replication.TopicCount]readState
	leaving map[string]time.Time
	// copyHolders maps the key of each bill to the daemon that has its copy.
	copyHolders map[string]holder
	stopped     bool
	actions     []Action
	// lastEventAt is the time of the last event, resumedAt the end of the last pause, and
	// resumedTurn the turn at that time.
	lastEventAt time.Time
	startedAt   time.Time
	resumedAt   time.Time
	resumedTurn uint64
}

// New returns a node.
func New(self member.Listed, incarnation uint64, now time.Time) *Node {
	return &Node{
		Group:       member.New(self, incarnation, now),
		Tree:        aggregation.NewTree(),
		Pending:     bill.NewPending(),
		Copies:      bill.NewCopies(),
		self:        self,
		halls:       1,
		leaving:     map[string]time.Time{},
		copyHolders: map[string]holder{},
		lastEventAt: now,
		startedAt:   now,
	}
}

// Handle processes an event and returns the actions that follow from it.
func (n *Node) Handle(e Event, now time.Time) []Action {
	n.actions = nil
	if now.Sub(n.lastEventAt) > PauseThreshold {
		n.resumedAt, n.resumedTurn = now, n.turn
	}
	n.lastEventAt = now
	switch e := e.(type) {
	case Suspended:
		n.resumedAt, n.resumedTurn = now, n.turn
		n.Store.AddAge(e.For)
	case Tick:
		n.tick(e, now)
	case Flush:
		n.flush(now)
	case Received:
		n.handleMessage(e, now)
	case ReadDone:
		n.handleReadDone(e, now)
	case VMsKnown:
		n.halls = max(e.Halls, 1)
		n.Group.SetListed(e.Entries, now)
	case BillAdded:
		n.addBill(e.Bill, now)
	case BillCopyTimedOut:
		n.resendCopy(e.Key, now)
	case BillsWritten:
		n.handleBillsWritten(e.Found, now)
	case BillsFailed:
		n.Pending.BatchFailed(e.RetryAfter, now)
	case ServerLeaving:
		n.handleServerLeaving(e.ID, now, now)
	case Leave:
		n.leave(now)
	}
	return n.actions
}

// recentlyResumed reports whether the node resumed so recently that its inbox may still hold messages from
// before the pause.
func (n *Node) recentlyResumed(now time.Time) bool { return now.Sub(n.resumedAt) < ConfirmTimeout }

// LastEvent returns the time of the last event.
func (n *Node) LastEvent() time.Time { return n.lastEventAt }

// Unconfirmed reports whether the table has not been confirmed since the last pause.
func (n *Node) Unconfirmed(now time.Time) bool {
	return n.recentlyResumed(now) && n.Store.ConfirmedAt(replication.Config).Before(n.resumedAt)
}

func (n *Node) send(to string, m Message) {
	if addr := n.Group.Addr(to); addr != "" && to != n.self.ID {
		n.actions = append(n.actions, Send{To: to, Addr: addr, Message: m})
	}
}

func (n *Node) tick(t Tick, now time.Time) {
	n.turn++
	for _, id := range n.Group.Tick(now) {
		m := n.probe(now)
		if u, gone := n.Group.NotAliveUpdate(id); gone {
			// The member can refute this update if it is wrong.
			m.Updates = append(m.Updates, u)
		}
		n.send(id, m)
	}
	n.probeOtherHalls(now)
	n.probeSeeds(now)
	n.aggregate(t.Own, now)
	n.adopt(now)
	n.resendCopies(now)
	n.flush(now)
	for topic := range replication.TopicCount {
		n.maybeRead(topic, now)
	}
	for id, at := range n.leaving {
		if now.Sub(at) > LeavingTTL {
			delete(n.leaving, id)
		}
	}
}

// probe returns a heartbeat that requests an answer.
func (n *Node) probe(now time.Time) Heartbeat {
	m := n.heartbeat(now)
	m.WantsReply, m.Turn = true, n.turn
	m.Hall, m.Addr = n.self.Hall, n.self.Addr
	return m
}

// heartbeat returns a heartbeat with the current updates.
func (n *Node) heartbeat(now time.Time) Heartbeat {
	self := n.Group.Self()
	return Heartbeat{
		Incarnation: self.Incarnation,
		Offers:      n.Store.Offers(now),
		Updates:     n.Group.Updates(updatesPerMessage),
		Leaving:     n.leavingUpdates(now),
	}
}

// announceLeavingFor is how long a leaving server is included in heartbeats.
const announceLeavingFor = 10 * time.Second

func (n *Node) leavingUpdates(now time.Time) []LeavingServer {
	var out []LeavingServer
	for id, at := range n.leaving {
		if age := now.Sub(at); age < announceLeavingFor {
			out = append(out, LeavingServer{ID: id, AgeMS: uint64(max(0, age.Milliseconds()))})
		}
	}
	slices.SortFunc(out, func(a, b LeavingServer) int { return cmp.Compare(a.ID, b.ID) })
	return out[:min(len(out), updatesPerMessage)]
}

// contactsPerHall is how many daemons of another data hall are probed in turn. It is small so that the
// connections to them stay open.
const contactsPerHall = 4

// probeOtherHalls keeps each data hall in contact with all others: at every tick two of its daemons
// probe one daemon of each other hall.
func (n *Node) probeOtherHalls(now time.Time) {
	for _, id := range n.otherHallContacts() {
		n.send(id, n.probe(now))
	}
}

// otherHallContacts returns one daemon of each other data hall for this turn, or none if this daemon is not
// one of the first of its own hall.
func (n *Node) otherHallContacts() []string {
	if n.Group.Rank() < 0 || n.Group.Rank() >= readersPerHall {
		return nil
	}
	var out []string
	for _, hall := range n.Group.Halls() {
		if first := n.Group.First(hall, contactsPerHall); hall != n.self.Hall {
			out = append(out, first[int(n.turn)%len(first)])
		}
	}
	return out
}

// probeSeeds probes up to two seeds, in turn, until a VM list is known.
func (n *Node) probeSeeds(now time.Time) {
	if n.Store.Get(replication.VMs).Number > 0 {
		return
	}
	for i := range min(readersPerHall, len(n.Seeds)) {
		seed := n.Seeds[(int(n.turn)+i)%len(n.Seeds)]
		if seed.ID != n.self.ID {
			n.actions = append(n.actions, Send{To: seed.ID, Addr: seed.Addr, Message: n.probe(now)})
		}
	}
}

// turnHash returns a pseudo-random number that depends on the daemon, the turn and the purpose.
func (n *Node) turnHash(purpose string) uint64 {
	var h xxhash.Digest
	h.ResetWithSeed(n.turn)
	_, _ = h.WriteString(n.self.ID)
	_, _ = h.WriteString(purpose)
	return h.Sum64()
}

// aggregate adds up the counters of this subtree and sends them to the parent; the root sends them to
// the other halls.
func (n *Node) aggregate(own aggregation.Sums, now time.Time) {
	n.own = own
	own.Daemons, own.MemberChecksum = 1, n.Group.Self().Hash()
	own.OldestGeneration = n.Store.Get(replication.Config).Number
	total := n.Tree.Sum(own, n.Group.Children(), now)
	if parent, ok := n.Group.Parent(); ok {
		n.send(parent, SubtreeSums{Sums: total})
		return
	}
	hallTotal := n.Tree.ComposeTotal(aggregation.HallTotal{Sums: total, Status: aggregation.HallStatus{
		Name: n.self.Hall, Members: uint32(n.Group.Size()), Daemons: total.Daemons, Down: uint32(n.Group.Missing()),
		Complete: total.MemberChecksum == n.Group.MemberChecksum(), OldestGeneration: total.OldestGeneration,
	}}, now)
	n.sendTotals(now)
	for _, hall := range n.Group.Halls() {
		if hall == n.self.Hall {
			continue
		}
		// Alternates between the first two daemons of the hall, in case one of them has failed.
		if first := n.Group.First(hall, readersPerHall); len(first) > 0 {
			n.send(first[int(n.turn)%len(first)], HallReport{Hall: hallTotal})
		}
	}
}

func (n *Node) sendTotals(now time.Time) {
	totals, _ := n.Tree.Totals(now)
	for _, id := range n.Group.Children() {
		n.send(id, TotalsReport{Totals: totals})
	}
}

// handleMessage handles a message from another daemon.
func (n *Node) handleMessage(r Received, now time.Time) {
	switch m := r.Message.(type) {
	case Heartbeat:
		n.handleHeartbeat(r.From, m, now)
	case Fetch:
		n.handleFetch(r.From, m, now)
	case Deliver:
		n.handleDeliver(m, now)
	case SubtreeSums:
		n.Tree.SetChild(r.From, m.Sums, now)
	case TotalsReport:
		n.handleTotals(r.From, m, now)
	case HallReport:
		n.Tree.SetHall(m.Hall, now)
	case Copies:
		n.handleCopies(r.From, m, now)
	case CopiesHeld:
		n.handleCopiesHeld(r.From, m.Keys)
	case Release:
		n.Copies.Release(r.From, m.Keys)
	}
}

func (n *Node) handleHeartbeat(from string, m Heartbeat, now time.Time) {
	n.Group.ObserveMessage(member.Listed{ID: from, Hall: m.Hall, Addr: m.Addr}, m.Incarnation, now)
	for _, u := range m.Updates {
		n.Group.Apply(u, now)
	}
	trusted := !n.recentlyResumed(now) || (!m.WantsReply && m.Turn > n.resumedTurn)
	for _, o := range m.Offers {
		if n.Store.ReceiveOffer(o, trusted, now) {
			n.send(from, Fetch{Topic: o.Topic})
		}
	}
	for _, l := range m.Leaving {
		n.handleServerLeaving(l.ID, now.Add(-time.Duration(l.AgeMS)*time.Millisecond), now)
	}
	if !m.WantsReply {
		return
	}
	answer := n.heartbeat(now)
	answer.Turn = m.Turn
	if u, wrong := n.Group.NotAliveUpdate(from); wrong {
		answer.Updates = append(answer.Updates, u)
	}
	n.send(from, answer)
}

func (n *Node) handleFetch(from string, m Fetch, now time.Time) {
	if m.Topic >= replication.TopicCount {
		return
	}
	doc := n.Store.Get(m.Topic)
	if doc.Number == 0 {
		return
	}
	age := now.Sub(n.Store.ConfirmedAt(m.Topic)).Milliseconds()
	n.send(from, Deliver{Document: doc, AgeMS: uint64(max(0, age))})
}

// handleDeliver handles a document from another daemon. Shortly after a pause the message may have been
// sent before the pause, so it does not confirm that the document is current.
func (n *Node) handleDeliver(m Deliver, now time.Time) {
	confirmed := now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
	if n.recentlyResumed(now) && !confirmed.Before(n.resumedAt) {
		confirmed = n.resumedAt.Add(-1)
	}
	n.accept(m.Document, confirmed, now)
}

// accept stores a document if it is newer, and announces it at once.
func (n *Node) accept(doc replication.Document, confirmed, now time.Time) {
	if err := n.Store.Accept(doc, confirmed); err != nil {
		return
	}
	n.actions = append(n.actions, Changed{Document: doc})
	n.announce(now)
}

// announce sends a heartbeat to every finger, and from the first daemons of the hall to one daemon of
// each other hall.
func (n *Node) announce(now time.Time) {
	for _, id := range n.Group.Fingers() {
		n.send(id, n.heartbeat(now))
	}
	for _, id := range n.otherHallContacts() {
		n.send(id, n.heartbeat(now))
	}
}

func (n *Node) handleTotals(from string, m TotalsReport, now time.Time) {
	if parent, ok := n.Group.Parent(); ok && parent == from {
		n.Tree.SetTotals(m.Totals, now)
		n.sendTotals(now)
	}
}

// handleServerLeaving records a leaving backend server and announces it if it was not known.
func (n *Node) handleServerLeaving(id string, at, now time.Time) {
	was, known := n.leaving[id]
	if at.After(was) {
		n.leaving[id] = at
	}
	if !known && now.Sub(at) < LeavingTTL {
		n.announce(now)
	}
}

// Leaving reports whether a backend server is currently reported as leaving.
func (n *Node) Leaving(id string) bool {
	_, ok := n.leaving[id]
	return ok
}

// LeavingServers returns the ids of all backend servers currently reported as leaving.
func (n *Node) LeavingServers() []string {
	out := make([]string, 0, len(n.leaving))
	for id := range n.leaving {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// OwnSums returns the counters of this daemon as of the last tick.
func (n *Node) OwnSums() aggregation.Sums { return n.own }

// Halls returns the number of data halls of the cluster.
func (n *Node) Halls() int { return n.halls }

// leave announces the shutdown and hands over the bills. It may be called again: the bills that no
// daemon has acknowledged then go to another daemon.
func (n *Node) leave(now time.Time) {
	if !n.stopped {
		n.stopped = true
		n.Group.Leave()
	}
	n.turn++
	for _, id := range n.Group.First(n.self.Hall, readersPerHall) {
		n.send(id, n.heartbeat(now))
	}
	holderID, ok := n.copyHolder()
	bills := append(n.Pending.Bills(), n.Copies.All()...)
	if len(bills) == 0 || !ok {
		return
	}
	for chunk := range slices.Chunk(bills, bill.MaxBatch) {
		n.send(holderID, Copies{Bills: chunk, Adopt: true})
	}
}
