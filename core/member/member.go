// Package member keeps what one daemon knows of the other daemons: who they
// are, in which data hall, and whether they live.
//
// The list of VMs lags, so it only says who exists. Whether a member lives is
// found by probes: the members of a data hall stand on a ring in the order of
// the hash of their ids, and each one probes the one that follows it at every
// tick and one further finger in turn, so that the work of a daemon does not
// grow with the number of daemons. What it finds travels as updates on the
// probes themselves. Incarnations, as in the SWIM protocol (Das, Gupta and
// Motivala, 2002), let a suspected member speak for itself.
package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is believed of a member.
type State uint8

// The states of a member.
const (
	// Alive members answer, or have not been probed yet.
	Alive State = iota
	// Suspect members have not answered for a while.
	Suspect
	// Down members are no longer counted on.
	Down
	// Left members have said that they stop.
	Left
)

// String names the state.
func (s State) String() string {
	return [...]string{"alive", "suspect", "down", "left"}[s]
}

// The times that membership goes by.
const (
	// SuspectAfter is how long a probe may go unanswered.
	SuspectAfter = 2500 * time.Millisecond
	// DownAfter is how long a suspect has to speak for itself.
	DownAfter = 3 * time.Second
	// ForgetAfter is how long a member that no list names is remembered.
	ForgetAfter = time.Minute
)

// Listed is an entry VM of the platform's list.
type Listed struct {
	ID      string
	Hall    string
	Addr    string
	Leaving bool
}

// Update is a claim about a member that travels among daemons.
type Update struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation uint64
	State       State
}

// Member is what is known of one daemon.
type Member struct {
	ID          string
	Hall        string
	Addr        string
	Incarnation uint64
	State       State
	// Leaving is what the platform's list says.
	Leaving bool

	listed  bool
	hash    uint64
	heard   time.Time
	since   time.Time
	pending time.Time
}

// Hash is the hash of the member's id, by which the ring is ordered.
func (m Member) Hash() uint64 { return m.hash }

// usable reports whether the member is counted on.
func (m *Member) usable() bool { return m.State == Alive || m.State == Suspect }

// queued is an update with the number of times it is still to be sent.
type queued struct {
	update Update
	left   int
}

// Group is the membership that one daemon knows. It is owned by one goroutine.
type Group struct {
	self    string
	hall    string
	members map[string]*Member
	// ring has the usable members of the own data hall by hash, self included.
	ring  []*Member
	halls map[string][]*Member
	queue []queued
	turn  int
}

// New starts a group that knows only itself. The incarnation must be greater
// than that of any earlier process of the same id: its start time serves.
func New(self Listed, incarnation uint64, now time.Time) *Group {
	g := &Group{self: self.ID, hall: self.Hall, members: map[string]*Member{}}
	m := g.add(self, now)
	m.Incarnation = incarnation
	m.listed = true
	g.rebuild()
	return g
}

func (g *Group) add(l Listed, now time.Time) *Member {
	m := &Member{ID: l.ID, Hall: l.Hall, Addr: l.Addr, hash: xxhash.Sum64String(l.ID), heard: now, since: now}
	g.members[l.ID] = m
	return m
}

// rebuild derives the rings from the members.
func (g *Group) rebuild() {
	g.halls = map[string][]*Member{}
	for _, m := range g.members {
		if m.usable() {
			g.halls[m.Hall] = append(g.halls[m.Hall], m)
		}
	}
	for _, ring := range g.halls {
		slices.SortFunc(ring, func(a, b *Member) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
		})
	}
	g.ring = g.halls[g.hall]
}

// List takes the platform's list: new members are added, those it no longer
// names are forgotten once they are down or were not heard for a while.
func (g *Group) List(list []Listed, now time.Time) {
	for _, m := range g.members {
		m.listed = m.ID == g.self
	}
	for _, l := range list {
		m := g.members[l.ID]
		if m == nil {
			m = g.add(l, now)
		}
		m.listed, m.Leaving, m.Addr, m.Hall = true, l.Leaving, l.Addr, l.Hall
	}
	g.forget(now)
	g.rebuild()
}

func (g *Group) forget(now time.Time) {
	for id, m := range g.members {
		if !m.listed && (!m.usable() || now.Sub(m.heard) > ForgetAfter) {
			delete(g.members, id)
		}
	}
}

// Heard notes a message that came from a member itself. A member that no list
// names yet is added: its certificate has shown that it belongs here.
func (g *Group) Heard(l Listed, incarnation uint64, now time.Time) {
	m := g.members[l.ID]
	if m == nil {
		if l.Addr == "" {
			return
		}
		m = g.add(l, now)
		m.Incarnation = incarnation
		g.rebuild()
	}
	m.heard, m.pending = now, time.Time{}
	if l.Addr != "" {
		m.Addr = l.Addr
	}
	if l.Hall != "" && l.Hall != m.Hall {
		m.Hall = l.Hall
		g.rebuild()
	}
	if m.Incarnation == 0 {
		// Its first message is no news for the others.
		m.Incarnation = incarnation
	}
	if incarnation > m.Incarnation {
		g.set(m, Update{ID: m.ID, Incarnation: incarnation, State: Alive}, now)
	}
}

// Apply takes an update from another daemon.
func (g *Group) Apply(u Update, now time.Time) {
	m := g.members[u.ID]
	if m == nil {
		return
	}
	if u.ID == g.self {
		g.refute(m, u)
		return
	}
	newer := u.Incarnation > m.Incarnation || (u.Incarnation == m.Incarnation && u.State > m.State)
	if newer {
		g.set(m, u, now)
	}
}

// refute answers a false claim about this daemon with a higher incarnation.
func (g *Group) refute(self *Member, u Update) {
	if u.State == Alive || self.State == Left || u.Incarnation < self.Incarnation {
		return
	}
	self.Incarnation = u.Incarnation + 1
	g.enqueue(Update{ID: self.ID, Incarnation: self.Incarnation, State: Alive})
}

func (g *Group) set(m *Member, u Update, now time.Time) {
	was := m.usable()
	m.Incarnation, m.State, m.since = u.Incarnation, u.State, now
	g.enqueue(u)
	if was != m.usable() {
		g.rebuild()
	}
}

// repeats is how often an update is sent for each doubling of the group.
const repeats = 3

func (g *Group) enqueue(u Update) {
	left := repeats * bits.Len(uint(len(g.ring)+1))
	for i := range g.queue {
		if g.queue[i].update.ID == u.ID {
			g.queue[i] = queued{update: u, left: left}
			return
		}
	}
	g.queue = append(g.queue, queued{update: u, left: left})
}

// Updates returns up to n updates to put on a message, fewest sent first.
func (g *Group) Updates(n int) []Update {
	slices.SortStableFunc(g.queue, func(a, b queued) int { return b.left - a.left })
	n = min(n, len(g.queue))
	out := make([]Update, 0, n)
	for i := range n {
		out = append(out, g.queue[i].update)
		g.queue[i].left--
	}
	g.queue = slices.DeleteFunc(g.queue, func(q queued) bool { return q.left <= 0 })
	return out
}

// Believes returns the update to send to a member that this daemon wrongly
// holds to be gone, so that it can refute it.
func (g *Group) Believes(id string) (Update, bool) {
	m := g.members[id]
	if m == nil || m.State == Alive {
		return Update{}, false
	}
	return Update{ID: id, Incarnation: m.Incarnation, State: m.State}, true
}

// Tick finds who has not answered in time and returns the members to probe.
func (g *Group) Tick(now time.Time) []string {
	for _, m := range g.members {
		switch {
		case m.ID == g.self:
		case m.State == Alive && !m.pending.IsZero() && now.Sub(m.pending) >= SuspectAfter:
			g.set(m, Update{ID: m.ID, Incarnation: m.Incarnation, State: Suspect}, now)
		case m.State == Suspect && now.Sub(m.since) >= DownAfter:
			g.set(m, Update{ID: m.ID, Incarnation: m.Incarnation, State: Down}, now)
		}
	}
	g.turn++
	return g.probes(now)
}

// nearProbes is how many of the following members are probed at every tick.
const nearProbes = 1

func (g *Group) probes(now time.Time) []string {
	fingers := g.Fingers()
	targets := slices.Clone(fingers[:min(nearProbes, len(fingers))])
	if far := len(fingers) - nearProbes; far > 0 {
		targets = append(targets, fingers[nearProbes+g.turn%far])
	}
	for _, id := range targets {
		if m := g.members[id]; m.pending.IsZero() {
			m.pending = now
		}
	}
	if lost := g.returning(); lost != "" {
		targets = append(targets, lost)
	}
	return targets
}

// returning picks a listed member that is down, in turn: it may be back, and
// those who know may all have started anew since, with nobody left to tell it.
func (g *Group) returning() string {
	var down []string
	for _, m := range g.members {
		if m.State == Down && m.listed {
			down = append(down, m.ID)
		}
	}
	if len(down) == 0 {
		return ""
	}
	slices.Sort(down)
	return down[g.turn%len(down)]
}

// Fingers are the members at the distances 1, 2, 4, 8 ... on the ring.
func (g *Group) Fingers() []string {
	n, at := len(g.ring), g.index()
	if at < 0 {
		return nil
	}
	var out []string
	for d := 1; d < n; d *= 2 {
		out = append(out, g.ring[(at+d)%n].ID)
	}
	return out
}

func (g *Group) index() int {
	return slices.IndexFunc(g.ring, func(m *Member) bool { return m.ID == g.self })
}

// fanOut is the number of children in the tree that tallies climb.
const fanOut = 3

// Parent is the member above this one in the data hall's tree; the root, the
// first of the ring, has none.
func (g *Group) Parent() (string, bool) {
	at := g.index()
	if at <= 0 {
		return "", false
	}
	return g.ring[(at-1)/fanOut].ID, true
}

// Children are the members below this one in the data hall's tree.
func (g *Group) Children() []string {
	at := g.index()
	if at < 0 {
		return nil
	}
	var out []string
	for i := at*fanOut + 1; i <= at*fanOut+fanOut && i < len(g.ring); i++ {
		out = append(out, g.ring[i].ID)
	}
	return out
}

// Rank is this member's place among those of its data hall, from 0.
func (g *Group) Rank() int { return g.index() }

// Size is the number of usable members in the own data hall, self included.
func (g *Group) Size() int { return len(g.ring) }

// Set is the sum of the hashes of the own data hall's usable members.
func (g *Group) Set() uint64 {
	sum := uint64(0)
	for _, m := range g.ring {
		sum += m.hash
	}
	return sum
}

// Missing is how many listed members of the own data hall are not counted on.
func (g *Group) Missing() int {
	n := 0
	for _, m := range g.members {
		if m.listed && m.Hall == g.hall && !m.usable() {
			n++
		}
	}
	return n
}

// Halls are the data halls that have usable members, in order of name.
func (g *Group) Halls() []string {
	out := make([]string, 0, len(g.halls))
	for hall := range g.halls {
		out = append(out, hall)
	}
	slices.Sort(out)
	return out
}

// First returns up to n members that lead the ring of a data hall.
func (g *Group) First(hall string, n int) []string {
	ring := g.halls[hall]
	out := make([]string, 0, n)
	for i := range min(n, len(ring)) {
		out = append(out, ring[i].ID)
	}
	return out
}

// Pick returns the usable member of a data hall at a place that seed chooses.
func (g *Group) Pick(hall string, seed uint64) (string, bool) {
	ring := g.halls[hall]
	if len(ring) == 0 {
		return "", false
	}
	return ring[seed%uint64(len(ring))].ID, true
}

// Usable reports whether a member is counted on.
func (g *Group) Usable(id string) bool {
	m := g.members[id]
	return m != nil && m.usable()
}

// Addr is where a member is reached, or "".
func (g *Group) Addr(id string) string {
	if m := g.members[id]; m != nil {
		return m.Addr
	}
	return ""
}

// Self is what this daemon says of itself.
func (g *Group) Self() Member { return *g.members[g.self] }

// Leave makes this daemon say that it stops.
func (g *Group) Leave() {
	self := g.members[g.self]
	self.State = Left
	g.enqueue(Update{ID: self.ID, Incarnation: self.Incarnation, State: Left})
	g.rebuild()
}

// Members returns what is known of every member, in order of id.
func (g *Group) Members() []Member {
	out := make([]Member, 0, len(g.members))
	for _, m := range g.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
