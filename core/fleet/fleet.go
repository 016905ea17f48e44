// Package fleet chooses a backend server for a request from those that the
// platform lists, by what this daemon's own requests have seen of them. Health
// that somebody else reports is not asked for: only answers count.
package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"ladderridge.example/core/prefixcache"
)

// Incarnation is one start of a server. A server that begins again under its id is another
// incarnation, which holds nothing of what the one before did.
type Incarnation struct {
	ID string
	// Born is the Unix millisecond of the start, 0 if the server does not tell it.
	Born int64
}

// String names the incarnation: by the id alone if its start is not known.
func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 10)
}

// Server is one backend server as the platform lists it. It is never changed;
// what requests have seen of it is in Load, which later lists share.
type Server struct {
	ID string
	// Born is the Unix millisecond of its start, 0 if it does not tell it.
	Born    int64
	Service string
	Addr    string
	Hall    string
	// Version is that of its software.
	Version string
	// Slots is how many requests it works on; 0 is unknown.
	Slots int
	// Spot servers cost less, and the provider may take them back.
	Spot bool
	// Leaving servers take no new work.
	Leaving bool
	// Models are those that it has in memory; none means that it has no models.
	Models []string
	// ColdFor is how much longer the server is cold, as it says itself.
	ColdFor time.Duration
	Load    *Load

	// hash is that of the ID, name the incarnation's.
	hash uint64
	name string
}

// Incarnation is the server's start that this is.
func (s *Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, Born: s.Born} }

// Usable reports whether the server stays, by its entry and by its own word.
func (s *Server) Usable() bool { return !s.Leaving && !s.Load.Notices.State().Leaving() }

// Open reports whether the server may get new work now.
//
// A server's own word counts as much as its entry, which may be late or never come. One that
// declines everything is idle and would be preferred.
func (s *Server) Open(now time.Time) bool { return !s.Leaving && s.Load.Notices.Open(now) }

// identify works out what the server is told apart by, once: lists that are in use share it.
func (s *Server) identify() {
	if s.hash == 0 {
		s.hash = xxhash.Sum64String(s.ID)
		s.name = s.Incarnation().String()
	}
}

// List is the servers of all services. It is never changed.
type List struct {
	byService map[string][]*Server
	// open are those whose data halls are not emptied.
	open map[string][]*Server
}

// NewList makes a list.
func NewList(servers []*Server) *List {
	l := &List{byService: map[string][]*Server{}}
	for _, s := range servers {
		s.identify()
		l.byService[s.Service] = append(l.byService[s.Service], s)
	}
	for _, of := range l.byService {
		slices.SortFunc(of, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	l.open = l.byService
	return l
}

// With returns the list without some of its servers and with others, which may have the same
// ids. What it costs grows with these, and with the list only by copying it.
func (l *List) With(removed, added []*Server) *List {
	out := &List{byService: maps.Clone(l.byService)}
	copied := map[string]bool{}
	of := func(service string) []*Server {
		if !copied[service] {
			copied[service] = true
			out.byService[service] = slices.Clone(out.byService[service])
		}
		return out.byService[service]
	}
	for _, s := range removed {
		servers := of(s.Service)
		if at, found := position(servers, s.ID); found {
			out.byService[s.Service] = slices.Delete(servers, at, at+1)
		}
	}
	for _, s := range added {
		s.identify()
		servers := of(s.Service)
		at, _ := position(servers, s.ID)
		out.byService[s.Service] = slices.Insert(servers, at, s)
	}
	maps.DeleteFunc(out.byService, func(_ string, servers []*Server) bool { return len(servers) == 0 })
	out.open = out.byService
	return out
}

// position is where a server of an id stands among servers in order, or would.
func position(servers []*Server, id string) (at int, found bool) {
	return slices.BinarySearchFunc(servers, id, func(s *Server, id string) int { return cmp.Compare(s.ID, id) })
}

// WithEmptied returns the list with these data halls emptied: what runs there goes on,
// and nothing new is sent there.
func (l *List) WithEmptied(halls map[string]bool) *List {
	if len(halls) == 0 {
		return &List{byService: l.byService, open: l.byService}
	}
	open := make(map[string][]*Server, len(l.byService))
	for service, of := range l.byService {
		open[service] = slices.DeleteFunc(slices.Clone(of), func(s *Server) bool { return halls[s.Hall] })
	}
	return &List{byService: l.byService, open: open}
}

// Service returns the servers of a service.
func (l *List) Service(name string) []*Server { return l.byService[name] }

// Want is what a request wants of its server.
type Want struct {
	Service string
	// Allowed reports whether a version may be used; nil allows all.
	Allowed func(version string) bool
	// Home reports whether servers of a data hall may be used; nil allows all.
	Home func(hall string) bool
	// Part is the part of the allowed servers that is used, the same ones by all
	// daemons; 0 is all.
	Part float64
	// Phase is how far that use has come, from 0 to 1: if the part is less than a few
	// servers, others of them are used one after the other.
	Phase float64
	// Affinity is a hash of what the request shares with earlier ones, such as
	// a session's prompt; 0 is nothing.
	Affinity uint64
	// Prompt is what the server has to read, and Piece how much of its work a piece
	// of PieceTokens of it is, with a small request as 1.
	Prompt prefixcache.Prompt
	Piece  float64
	// Hall is preferred while its servers are not much busier than others.
	Hall string
	// Near keeps a request with an affinity to its hall as well: what it shares
	// is soon read again, and costs less than bytes between halls.
	Near bool
	// Avoid are servers that the request has been to.
	Avoid []Incarnation
	// Aside are servers that go last, as those do that have just failed, by the names of
	// their incarnations.
	Aside []string
	// Silent are halls of which a server has timed out for the request: others
	// go first.
	Silent []string
}

const (
	// awayCost is what a server of another hall must be less loaded by, in
	// requests, to be preferred: bytes between halls are paid for.
	awayCost = 2
	// PieceTokens is about how much of a prompt a model server reads in one step,
	// between which the tokens of all other requests wait.
	PieceTokens = 2000
)

// few returns a part of the servers by a draw that all daemons make alike, rounded,
// so that each of them has about the load that it would have with all requests; more
// are used only while all of these have more to do than others. Rounded down, one
// server carries nearly twice its load, and good versions look slow.
func (l *List) few(fit []*Server, w Want) []*Server {
	n := max(1, int(math.Round(w.Part*float64(len(fit)))))
	if w.Part <= 0 || n >= len(fit) {
		return fit
	}
	turn := turnOfFew(n, w.Phase) % len(fit)
	slices.SortFunc(fit, func(a, b *Server) int { return cmp.Compare(score(a, 0), score(b, 0)) })
	fit = slices.Concat(fit[turn:], fit[:turn])
	most := l.mostOfFew(w)
	for n < len(fit) && leastRequests(fit[:n]) > most {
		n++
	}
	return fit[:n]
}

// leastTried is how many servers a version in roll-out is tried on. Servers of one version
// differ in how fast they are: where one carries all requests of the version, it decides
// what comes out.
const leastTried = 3

// turnOfFew is how many servers are passed over in a phase when n are used at a time.
func turnOfFew(n int, phase float64) int {
	turns := (leastTried + n - 1) / n
	return n * min(turns-1, int(phase*float64(turns)))
}

const (
	// fewFactor and fewExtra are how many requests a server that is one of few may
	// have: so many times those of a server of another version, and some more.
	fewFactor = 1.5
	fewExtra  = 2
)

// mostOfFew is how many requests a server may have that is one of few. Without a
// bound, sessions that are busier than others meet on one server and make a good
// version look slow.
func (l *List) mostOfFew(w Want) float64 {
	sum, n := 0.0, 0.0
	for _, s := range l.byService[w.Service] {
		if s.Usable() && w.Allowed != nil && !w.Allowed(s.Version) {
			sum, n = sum+float64(s.Load.Requests()), n+1
		}
	}
	return fewFactor*sum/max(1, n) + fewExtra
}

// leastRequests is how many requests the one of some servers has that has the fewest.
func leastRequests(servers []*Server) float64 {
	least := math.Inf(1)
	for _, s := range servers {
		least = min(least, float64(s.Load.Requests()))
	}
	return least
}

// All returns the servers of all services.
func (l *List) All() []*Server {
	var out []*Server
	for _, of := range l.byService {
		out = append(out, of...)
	}
	return out
}
