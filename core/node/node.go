// Package node is one daemon's part in the whole: membership, documents, sums
// and bills, put together as a state machine without I/O. An event and a time
// go in; orders come out. A daemon's shell, a fuzzer and a measurement drive
// the same code.
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

// The times of a node.
const (
	// TickEvery is the time between two ticks.
	TickEvery = time.Second
	// PausedAfter is the time without any event from which a node takes its
	// process to have been paused.
	PausedAfter = 3 * time.Second
	// DoubtFor is how long a process that was paused tries to confirm its
	// table, before it takes itself for cut off.
	DoubtFor = 5 * time.Second
	// FlushEvery is the time between two flushes while bills are held.
	FlushEvery = 50 * time.Millisecond
	// OverdueAfter is the age of the table from which daemons that are not
	// their hall's readers read it from the platform themselves, in turn.
	OverdueAfter = 3 * time.Second
	// LeavingFor is how long a backend server is believed to be leaving when
	// nobody repeats it.
	LeavingFor = time.Minute
)

// The rhythm of reads from the platform, in ticks.
const (
	configTicks  = 1
	vmsTicks     = 2
	qualityTicks = 5
)

// readers is how many daemons of a data hall read from the platform.
const readers = 2

// updatesPerMessage bounds the updates on one heartbeat.
const updatesPerMessage = 8

// The bounds of the pause after a failed read.
const (
	readPauseFloor   = time.Second
	readPauseCeiling = 4 * time.Second
)

// reading is the state of one topic's reads from the platform.
type reading struct {
	busy  bool
	since time.Time
	pause time.Duration
	next  time.Time
}

// readTimeout frees a read whose answer never came.
const readTimeout = 10 * time.Second

// Node is one daemon's state. It is owned by one goroutine.
type Node struct {
	// Seeds are daemons to ask while no list of VMs is known. Set it before
	// the first event.
	Seeds []member.Listed

	Group  *member.Group
	Store  replication.Store
	Tree   *aggregation.Tree
	Ledger *bill.Ledger
	Copies *bill.Copies

	self    member.Listed
	halls   int
	own     aggregation.Sums
	turn    uint64
	reads   [replication.Topics]reading
	leaving map[string]time.Time
	// holders have the copies of this daemon's bills, by key.
	holders map[string]holder
	stopped bool
	orders  []Order
	// last is when the last event came, resumed when the last pause ended, and
	// resumedTurn the turn then.
	last        time.Time
	started     time.Time
	resumed     time.Time
	resumedTurn uint64
}

// New starts a node.
func New(self member.Listed, incarnation uint64, now time.Time) *Node {
	return &Node{
		Group:   member.New(self, incarnation, now),
		Tree:    aggregation.NewTree(),
		Ledger:  bill.NewLedger(),
		Copies:  bill.NewCopies(),
		self:    self,
		halls:   1,
		leaving: map[string]time.Time{},
		holders: map[string]holder{},
		last:    now,
		started: now,
	}
}

// Handle takes an event and returns what to do.
func (n *Node) Handle(e Event, now time.Time) []Order {
	n.orders = nil
	if now.Sub(n.last) > PausedAfter {
		n.resumed, n.resumedTurn = now, n.turn
	}
	n.last = now
	switch e := e.(type) {
	case StoodStill:
		n.resumed, n.resumedTurn = now, n.turn
		n.Store.Older(e.For)
	case Tick:
		n.tick(e, now)
	case Flush:
		n.flush(now)
	case Received:
		n.received(e, now)
	case ReadDone:
		n.readDone(e, now)
	case VMsKnown:
		n.halls = max(e.Halls, 1)
		n.Group.List(e.Entries, now)
	case BillAdded:
		n.addBill(e.Bill, now)
	case BillAgain:
		n.billAgain(e.Key, now)
	case BillsWritten:
		n.billsWritten(e.Found, now)
	case BillsFailed:
		n.Ledger.Failed(e.After, now)
	case ServerLeaving:
		n.serverLeaving(e.ID, now, now)
	case Leave:
		n.leave(now)
	}
	return n.orders
}

// doubting reports whether the node has so lately resumed that messages may
// wait in its inbox from before.
func (n *Node) doubting(now time.Time) bool { return now.Sub(n.resumed) < DoubtFor }

// LastEvent is when the last event came.
func (n *Node) LastEvent() time.Time { return n.last }

// Doubt reports whether the table has still to be confirmed after a pause.
func (n *Node) Doubt(now time.Time) bool {
	return n.doubting(now) && n.Store.ConfirmedAt(replication.Config).Before(n.resumed)
}

func (n *Node) send(to string, m Message) {
	if addr := n.Group.Addr(to); addr != "" && to != n.self.ID {
		n.orders = append(n.orders, Send{To: to, Addr: addr, Message: m})
	}
}

func (n *Node) tick(t Tick, now time.Time) {
	n.turn++
	for _, id := range n.Group.Tick(now) {
		m := n.probe(now)
		if u, gone := n.Group.Believes(id); gone {
			// It can refute what it is told.
			m.Updates = append(m.Updates, u)
		}
		n.send(id, m)
	}
	n.probeAbroad(now)
	n.askSeeds(now)
	n.sums(t.Own, now)
	n.adopt(now)
	n.recopy(now)
	n.flush(now)
	for topic := range replication.Topics {
		n.maybeRead(topic, now)
	}
	for id, at := range n.leaving {
		if now.Sub(at) > LeavingFor {
			delete(n.leaving, id)
		}
	}
}

// probe makes a heartbeat that wants an answer.
func (n *Node) probe(now time.Time) Heartbeat {
	m := n.heartbeat(now)
	m.Ask, m.Turn = true, n.turn
	m.Hall, m.Addr = n.self.Hall, n.self.Addr
	return m
}

// heartbeat makes one that tells news.
func (n *Node) heartbeat(now time.Time) Heartbeat {
	self := n.Group.Self()
	return Heartbeat{
		Incarnation: self.Incarnation,
		Offers:      n.Store.Offers(now),
		Updates:     n.Group.Updates(updatesPerMessage),
		Leaving:     n.leavingNews(now),
	}
}

// newsFor is how long a leaving server is told on heartbeats.
const newsFor = 10 * time.Second

func (n *Node) leavingNews(now time.Time) []LeavingServer {
	var out []LeavingServer
	for id, at := range n.leaving {
		if age := now.Sub(at); age < newsFor {
			out = append(out, LeavingServer{ID: id, AgeMS: uint64(max(0, age.Milliseconds()))})
		}
	}
	slices.SortFunc(out, func(a, b LeavingServer) int { return cmp.Compare(a.ID, b.ID) })
	return out[:min(len(out), updatesPerMessage)]
}

// contacts is how many daemons of another data hall are asked in turn: few, so
// that the connections to them stay open.
const contacts = 4

// probeAbroad keeps each data hall in touch with every other one: two of its
// daemons ask one daemon there at every tick.
func (n *Node) probeAbroad(now time.Time) {
	for _, id := range n.otherHalls() {
		n.send(id, n.probe(now))
	}
}

// otherHalls are the daemons of other data halls, one each, that this one is in
// touch with at this turn; none if it does not lead its hall.
func (n *Node) otherHalls() []string {
	if n.Group.Rank() < 0 || n.Group.Rank() >= readers {
		return nil
	}
	var out []string
	for _, hall := range n.Group.Halls() {
		if first := n.Group.First(hall, contacts); hall != n.self.Hall {
			out = append(out, first[int(n.turn)%len(first)])
		}
	}
	return out
}

// askSeeds asks up to two seeds, in turn, until a list of VMs is known.
func (n *Node) askSeeds(now time.Time) {
	if n.Store.Get(replication.VMs).Number > 0 {
		return
	}
	for i := range min(readers, len(n.Seeds)) {
		seed := n.Seeds[(int(n.turn)+i)%len(n.Seeds)]
		if seed.ID != n.self.ID {
			n.orders = append(n.orders, Send{To: seed.ID, Addr: seed.Addr, Message: n.probe(now)})
		}
	}
}

// draw is a number that differs by daemon, turn and purpose.
func (n *Node) draw(purpose string) uint64 {
	var h xxhash.Digest
	h.ResetWithSeed(n.turn)
	_, _ = h.WriteString(n.self.ID)
	_, _ = h.WriteString(purpose)
	return h.Sum64()
}

// sums adds up and passes on the figures of the tree.
func (n *Node) sums(own aggregation.Sums, now time.Time) {
	n.own = own
	own.Daemons, own.Set = 1, n.Group.Self().Hash()
	own.Oldest = n.Store.Get(replication.Config).Number
	total := n.Tree.Sum(own, n.Group.Children(), now)
	if parent, ok := n.Group.Parent(); ok {
		n.send(parent, TallyUp{Sums: total})
		return
	}
	made := n.Tree.Root(aggregation.Hall{Sums: total, Status: aggregation.Status{
		Name: n.self.Hall, Members: uint32(n.Group.Size()), Daemons: total.Daemons, Down: uint32(n.Group.Missing()),
		Complete: total.Set == n.Group.Set(), Oldest: total.Oldest,
	}}, now)
	n.tellTotals(now)
	for _, hall := range n.Group.Halls() {
		if hall == n.self.Hall {
			continue
		}
		// In turn to the two that lead the hall, should one of them be gone.
		if first := n.Group.First(hall, readers); len(first) > 0 {
			n.send(first[int(n.turn)%len(first)], TallyAcross{Hall: made})
		}
	}
}

func (n *Node) tellTotals(now time.Time) {
	totals, _ := n.Tree.Totals(now)
	for _, id := range n.Group.Children() {
		n.send(id, TallyDown{Totals: totals})
	}
}

// received takes a message from another daemon.
func (n *Node) received(r Received, now time.Time) {
	switch m := r.Message.(type) {
	case Heartbeat:
		n.heartbeatFrom(r.From, m, now)
	case Fetch:
		n.fetchFrom(r.From, m, now)
	case Deliver:
		n.delivered(m, now)
	case TallyUp:
		n.Tree.Child(r.From, m.Sums, now)
	case TallyDown:
		n.totalsFrom(r.From, m, now)
	case TallyAcross:
		n.Tree.Learn(m.Hall, now)
	case Copies:
		n.copiesFrom(r.From, m, now)
	case CopiesHeld:
		n.copiesHeld(r.From, m.Keys)
	case Release:
		n.Copies.Release(r.From, m.Keys)
	}
}

func (n *Node) heartbeatFrom(from string, m Heartbeat, now time.Time) {
	n.Group.Heard(member.Listed{ID: from, Hall: m.Hall, Addr: m.Addr}, m.Incarnation, now)
	for _, u := range m.Updates {
		n.Group.Apply(u, now)
	}
	trusted := !n.doubting(now) || (!m.Ask && m.Turn > n.resumedTurn)
	for _, o := range m.Offers {
		if n.Store.Hear(o, trusted, now) {
			n.send(from, Fetch{Topic: o.Topic})
		}
	}
	for _, l := range m.Leaving {
		n.serverLeaving(l.ID, now.Add(-time.Duration(l.AgeMS)*time.Millisecond), now)
	}
	if !m.Ask {
		return
	}
	answer := n.heartbeat(now)
	answer.Turn = m.Turn
	if u, wrong := n.Group.Believes(from); wrong {
		answer.Updates = append(answer.Updates, u)
	}
	n.send(from, answer)
}

func (n *Node) fetchFrom(from string, m Fetch, now time.Time) {
	if m.Topic >= replication.Topics {
		return
	}
	doc := n.Store.Get(m.Topic)
	if doc.Number == 0 {
		return
	}
	age := now.Sub(n.Store.ConfirmedAt(m.Topic)).Milliseconds()
	n.send(from, Deliver{Document: doc, AgeMS: uint64(max(0, age))})
}

// delivered takes a document from another daemon. After a pause it may come
// from before, and confirms nothing.
func (n *Node) delivered(m Deliver, now time.Time) {
	confirmed := now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
	if n.doubting(now) && !confirmed.Before(n.resumed) {
		confirmed = n.resumed.Add(-1)
	}
	n.accept(m.Document, confirmed, now)
}

// accept takes a document if it is newer, and tells the fingers at once.
func (n *Node) accept(doc replication.Document, confirmed, now time.Time) {
	if err := n.Store.Accept(doc, confirmed); err != nil {
		return
	}
	n.orders = append(n.orders, Changed{Document: doc})
	n.tellNews(now)
}

// tellNews sends a heartbeat to every finger, and, from the daemons that lead
// the hall, to one daemon of each other hall.
func (n *Node) tellNews(now time.Time) {
	for _, id := range n.Group.Fingers() {
		n.send(id, n.heartbeat(now))
	}
	for _, id := range n.otherHalls() {
		n.send(id, n.heartbeat(now))
	}
}

func (n *Node) totalsFrom(from string, m TallyDown, now time.Time) {
	if parent, ok := n.Group.Parent(); ok && parent == from {
		n.Tree.FromParent(m.Totals, now)
		n.tellTotals(now)
	}
}

// serverLeaving notes a leaving backend server and tells it on if it is news.
func (n *Node) serverLeaving(id string, at, now time.Time) {
	was, known := n.leaving[id]
	if at.After(was) {
		n.leaving[id] = at
	}
	if !known && now.Sub(at) < LeavingFor {
		n.tellNews(now)
	}
}

// Leaving reports whether a backend server is believed to be leaving.
func (n *Node) Leaving(id string) bool {
	_, ok := n.leaving[id]
	return ok
}

// LeavingServers are all backend servers believed to be leaving.
func (n *Node) LeavingServers() []string {
	out := make([]string, 0, len(n.leaving))
	for id := range n.leaving {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// OwnSums are this daemon's figures as of the last tick.
func (n *Node) OwnSums() aggregation.Sums { return n.own }

// Halls is the number of data halls of the system.
func (n *Node) Halls() int { return n.halls }

// leave says good-bye and hands over the bills. It may be called again: then
// the bills that nobody has taken go to another daemon.
func (n *Node) leave(now time.Time) {
	if !n.stopped {
		n.stopped = true
		n.Group.Leave()
	}
	n.turn++
	for _, id := range n.Group.First(n.self.Hall, readers) {
		n.send(id, n.heartbeat(now))
	}
	buddy, ok := n.buddy()
	bills := append(n.Ledger.Bills(), n.Copies.All()...)
	if len(bills) == 0 || !ok {
		return
	}
	for chunk := range slices.Chunk(bills, bill.MaxBatch) {
		n.send(buddy, Copies{Bills: chunk, Adopt: true})
	}
}
