// Package member maintains the view that one daemon has of the other daemons: their identity, data
// hall and liveness.
//
// The VM list of the platform lags behind, so it only defines which daemons exist. Failures are
// detected by probes. The members of a data hall form a ring ordered by the hash of their ids. At
// every tick each member probes its successor and one more finger in turn, where the fingers are the
// members at the distances 1, 2, 4, 8 and so on, as in Chord. The work of a daemon therefore does not
// grow with the number of daemons. Results are disseminated as updates on the probe messages.
// Incarnation numbers, as in the SWIM protocol (Das, Gupta and Motivala, 2002), let a suspected
// member refute the suspicion.
package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the believed state of a member.
type State uint8

// The states of a member.
const (
	// Alive members answer probes, or have not been probed yet.
	Alive State = iota
	// Suspect members have not answered for SuspectAfter.
	Suspect
	// Down members have not refuted a suspicion in time and are no longer used.
	Down
	// Left members have announced their shutdown.
	Left
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"alive", "suspect", "down", "left"}[s]
}

// Time limits of failure detection.
const (
	// SuspectAfter is how long a probe may stay unanswered before the member is suspected.
	SuspectAfter = 2500 * time.Millisecond
	// DownAfter is how long a suspected member has to refute the suspicion.
	DownAfter = 3 * time.Second
	// ForgetAfter is how long a member that is in no VM list is kept after its last message.
	ForgetAfter = time.Minute
)

// Listed is an entry VM in the VM list of the platform.
type Listed struct {
	ID      string
	Hall    string
	Addr    string
	Leaving bool
}

// Update is a statement about the state of a member that is spread among the daemons.
type Update struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation uint64
	State       State
}

// Member is the known state of one daemon.
type Member struct {
	ID          string
	Hall        string
	Addr        string
	Incarnation uint64
	State       State
	// Leaving is set if the VM list says that the VM is being shut down.
	Leaving bool

	listed          bool
	hash            uint64
	lastMessageAt   time.Time
	stateSince      time.Time
	unansweredSince time.Time
}

// Hash returns the hash of the member's id, which defines its position on the ring.
func (m Member) Hash() uint64 { return m.hash }

// usable reports whether the member is in use: it is alive or only suspected.
func (m *Member) usable() bool { return m.State == Alive || m.State == Suspect }

// queued is an update with the number of transmissions left.
type queuedUpdate struct {
	update    Update
	remaining int
}

// Group is the membership as one daemon knows it. It must be used by one goroutine only.
type Group struct {
	self    string
	hall    string
	members map[string]*Member
	// ring holds the usable members of the local data hall ordered by hash, including this daemon.
	ring  []*Member
	halls map[string][]*Member
	queue []queuedUpdate
	turn  int
}

// New returns a group that contains only this daemon. The incarnation must be greater than that of
// any earlier process with the same id, for example the start time of the process.
func New(self Listed, incarnation uint64, now time.Time) *Group {
	g := &Group{self: self.ID, hall: self.Hall, members: map[string]*Member{}}
	m := g.add(self, now)
	m.Incarnation = incarnation
	m.listed = true
	g.rebuild()
	return g
}

func (g *Group) add(l Listed, now time.Time) *Member {
	m := &Member{ID: l.ID, Hall: l.Hall, Addr: l.Addr, hash: xxhash.Sum64String(l.ID), lastMessageAt: now, stateSince: now}
	g.members[l.ID] = m
	return m
}

// rebuild recomputes the rings from the members.
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

// SetListed applies the VM list of the platform. New members are added; members that are no longer listed
// are removed once they are down or have not been heard from for ForgetAfter.
func (g *Group) SetListed(list []Listed, now time.Time) {
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
	g.removeUnlisted(now)
	g.rebuild()
}

func (g *Group) removeUnlisted(now time.Time) {
	for id, m := range g.members {
		if !m.listed && (!m.usable() || now.Sub(m.lastMessageAt) > ForgetAfter) {
			delete(g.members, id)
		}
	}
}

// ObserveMessage records a message received from a member itself. A member that is in no VM list yet is added,
// since its certificate has authenticated it.
func (g *Group) ObserveMessage(l Listed, incarnation uint64, now time.Time) {
	m := g.members[l.ID]
	if m == nil {
		if l.Addr == "" {
			return
		}
		m = g.add(l, now)
		m.Incarnation = incarnation
		g.rebuild()
	}
	m.lastMessageAt, m.unansweredSince = now, time.Time{}
	if l.Addr != "" {
		m.Addr = l.Addr
	}
	if l.Hall != "" && l.Hall != m.Hall {
		m.Hall = l.Hall
		g.rebuild()
	}
	if m.Incarnation == 0 {
		// The first message of a member need not be announced to others.
		m.Incarnation = incarnation
	}
	if incarnation > m.Incarnation {
		g.apply(m, Update{ID: m.ID, Incarnation: incarnation, State: Alive}, now)
	}
}

// Apply applies an update received from another daemon.
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
		g.apply(m, u, now)
	}
}

// refute answers a false statement about this daemon with a higher incarnation.
func (g *Group) refute(self *Member, u Update) {
	if u.State == Alive || self.State == Left || u.Incarnation < self.Incarnation {
		return
	}
	self.Incarnation = u.Incarnation + 1
	g.enqueue(Update{ID: self.ID, Incarnation: self.Incarnation, State: Alive})
}

func (g *Group) apply(m *Member, u Update, now time.Time) {
	wasUsable := m.usable()
	m.Incarnation, m.State, m.stateSince = u.Incarnation, u.State, now
	g.enqueue(u)
	if wasUsable != m.usable() {
		g.rebuild()
	}
}

// repeats is how many times an update is sent per doubling of the group size.
const transmitFactor = 3

func (g *Group) enqueue(u Update) {
	remaining := transmitFactor * bits.Len(uint(len(g.ring)+1))
	for i := range g.queue {
		if g.queue[i].update.ID == u.ID {
			g.queue[i] = queuedUpdate{update: u, remaining: remaining}
			return
		}
	}
	g.queue = append(g.queue, queuedUpdate{update: u, remaining: remaining})
}

// Updates returns up to n updates to send with a message. Those that were sent least often come first.
func (g *Group) Updates(n int) []Update {
	slices.SortStableFunc(g.queue, func(a, b queuedUpdate) int { return b.remaining - a.remaining })
	n = min(n, len(g.queue))
	out := make([]Update, 0, n)
	for i := range n {
		out = append(out, g.queue[i].update)
		g.queue[i].remaining--
	}
	g.queue = slices.DeleteFunc(g.queue, func(q queuedUpdate) bool { return q.remaining <= 0 })
	return out
}

// NotAliveUpdate returns the update to send to a member that this daemon wrongly believes not to be alive,
// so that the member can refute it.
func (g *Group) NotAliveUpdate(id string) (Update, bool) {
	m := g.members[id]
	if m == nil || m.State == Alive {
		return Update{}, false
	}
	return Update{ID: id, Incarnation: m.Incarnation, State: m.State}, true
}

// Tick detects members that have not answered in time and returns the members to probe.
func (g *Group) Tick(now time.Time) []string {
	for _, m := range g.members {
		switch {
		case m.ID == g.self:
		case m.State == Alive && !m.unansweredSince.IsZero() && now.Sub(m.unansweredSince) >= SuspectAfter:
			g.apply(m, Update{ID: m.ID, Incarnation: m.Incarnation, State: Suspect}, now)
		case m.State == Suspect && now.Sub(m.stateSince) >= DownAfter:
			g.apply(m, Update{ID: m.ID, Incarnation: m.Incarnation, State: Down}, now)
		}
	}
	g.turn++
	return g.probes(now)
}

// nearProbes is how many successors on the ring are probed at every tick.
const successorProbes = 1

func (g *Group) probes(now time.Time) []string {
	fingers := g.Fingers()
	targets := slices.Clone(fingers[:min(successorProbes, len(fingers))])
	if far := len(fingers) - successorProbes; far > 0 {
		targets = append(targets, fingers[successorProbes+g.turn%far])
	}
	for _, id := range targets {
		if m := g.members[id]; m.unansweredSince.IsZero() {
			m.unansweredSince = now
		}
	}
	if down := g.downMember(); down != "" {
		targets = append(targets, down)
	}
	return targets
}

// returning returns a listed member that is down, or "", taking them in turn. The member may be back
// up, and the daemons that knew it may all have restarted since, so that no other daemon probes it.
func (g *Group) downMember() string {
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

// Fingers returns the members at the distances 1, 2, 4, 8 and so on along the ring.
func (g *Group) Fingers() []string {
	n, at := len(g.ring), g.ringIndex()
	if at < 0 {
		return nil
	}
	var out []string
	for d := 1; d < n; d *= 2 {
		out = append(out, g.ring[(at+d)%n].ID)
	}
	return out
}

func (g *Group) ringIndex() int {
	return slices.IndexFunc(g.ring, func(m *Member) bool { return m.ID == g.self })
}

// fanOut is the number of children per node of the aggregation tree.
const fanOut = 3

// Parent returns the parent of this daemon in the aggregation tree of its data hall. The root, which
// is the first member of the ring, has none.
func (g *Group) Parent() (string, bool) {
	at := g.ringIndex()
	if at <= 0 {
		return "", false
	}
	return g.ring[(at-1)/fanOut].ID, true
}

// Children returns the children of this daemon in the aggregation tree of its data hall.
func (g *Group) Children() []string {
	at := g.ringIndex()
	if at < 0 {
		return nil
	}
	var out []string
	for i := at*fanOut + 1; i <= at*fanOut+fanOut && i < len(g.ring); i++ {
		out = append(out, g.ring[i].ID)
	}
	return out
}

// Rank returns the position of this daemon on the ring of its data hall, from 0, or -1 if it has left.
func (g *Group) Rank() int { return g.ringIndex() }

// Size returns the number of usable members of the local data hall, including this daemon.
func (g *Group) Size() int { return len(g.ring) }

// MemberChecksum returns a checksum of the usable members of the local data hall: the sum of their hashes.
func (g *Group) MemberChecksum() uint64 {
	sum := uint64(0)
	for _, m := range g.ring {
		sum += m.hash
	}
	return sum
}

// Missing returns the number of listed members of the local data hall that are not usable.
func (g *Group) Missing() int {
	n := 0
	for _, m := range g.members {
		if m.listed && m.Hall == g.hall && !m.usable() {
			n++
		}
	}
	return n
}

// Halls returns the data halls that have usable members, in order of name.
func (g *Group) Halls() []string {
	out := make([]string, 0, len(g.halls))
	for hall := range g.halls {
		out = append(out, hall)
	}
	slices.Sort(out)
	return out
}

// First returns the first n members on the ring of a data hall, or fewer if there are not as many.
func (g *Group) First(hall string, n int) []string {
	ring := g.halls[hall]
	out := make([]string, 0, n)
	for i := range min(n, len(ring)) {
		out = append(out, ring[i].ID)
	}
	return out
}

// Pick returns the usable member of a data hall that a seed selects.
func (g *Group) Pick(hall string, seed uint64) (string, bool) {
	ring := g.halls[hall]
	if len(ring) == 0 {
		return "", false
	}
	return ring[seed%uint64(len(ring))].ID, true
}

// Usable reports whether a member is in use: it is alive or only suspected.
func (g *Group) Usable(id string) bool {
	m := g.members[id]
	return m != nil && m.usable()
}

// Addr returns the address of a member, or "" if it is unknown.
func (g *Group) Addr(id string) string {
	if m := g.members[id]; m != nil {
		return m.Addr
	}
	return ""
}

// Self returns the state of this daemon as it announces it.
func (g *Group) Self() Member { return *g.members[g.self] }

// Leave announces that this daemon shuts down.
func (g *Group) Leave() {
	self := g.members[g.self]
	self.State = Left
	g.enqueue(Update{ID: self.ID, Incarnation: self.Incarnation, State: Left})
	g.rebuild()
}

// Members returns all known members, in order of id.
func (g *Group) Members() []Member {
	out := make([]Member, 0, len(g.members))
	for _, m := range g.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
