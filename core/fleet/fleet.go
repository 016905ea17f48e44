// Package fleet chooses a backend server for a request from those that the platform
// lists. Health is derived only from the answers to this daemon's own requests: reports
// of servers' health by anybody else are not used.
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

// Incarnation identifies one run of a server. A server that restarts under the same id
// is another incarnation, which holds none of the state of the previous one.
type Incarnation struct {
	ID string
	// Born is the start time in Unix milliseconds, 0 if the server does not report it.
	Born int64
}

// String names the incarnation: by the id alone if its start time is not known.
func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 10)
}

// Server is one backend server as the platform lists it. It is immutable; what requests
// have observed of it is in State, which later lists share.
type Server struct {
	ID string
	// Born is the start time in Unix milliseconds, 0 if the server does not report it.
	Born    int64
	Service string
	Addr    string
	Hall    string
	// Version is the version of the server's software.
	Version string
	// Slots is how many requests the server processes at the same time; 0 is unknown.
	Slots int
	// Spot servers cost less, and the provider may reclaim them.
	Spot bool
	// Leaving servers accept no new requests.
	Leaving bool
	// Models are the models that the server has loaded. It is empty if the server runs
	// no models.
	Models []string
	// ColdFor is the remaining warm-up time that the server reports.
	ColdFor time.Duration
	State   *ServerState

	// hash is the hash of ID, name the name of the incarnation.
	hash uint64
	name string
}

// Incarnation returns the identity of this run of the server.
func (s *Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, Born: s.Born} }

// Usable reports whether the server stays in service, by its platform entry and its own
// notices.
func (s *Server) Usable() bool { return !s.Leaving && !s.State.Notices.State().Leaving() }

// Open reports whether the server may receive new requests now.
//
// A server's own notice counts as much as its platform entry, which may be late or
// never arrive. Without it a server that declines every request is idle and would be
// preferred.
func (s *Server) Open(now time.Time) bool { return !s.Leaving && s.State.Notices.Open(now) }

// identify computes the hash and name once, before the server is shared by lists in
// use.
func (s *Server) identify() {
	if s.hash == 0 {
		s.hash = xxhash.Sum64String(s.ID)
		s.name = s.Incarnation().String()
	}
}

// List holds the servers of all services. It is immutable.
type List struct {
	byService map[string][]*Server
	// open holds the servers whose data halls are not drained.
	open map[string][]*Server
}

// NewList returns a list of the servers.
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

// With returns the list without the removed servers and with the added ones, which may
// have the same ids. Its cost grows with the number of changes; the rest of the list is
// only copied.
func (l *List) With(removed, added []*Server) *List {
	out := &List{byService: maps.Clone(l.byService)}
	copied := map[string]bool{}
	serversOf := func(service string) []*Server {
		if !copied[service] {
			copied[service] = true
			out.byService[service] = slices.Clone(out.byService[service])
		}
		return out.byService[service]
	}
	for _, s := range removed {
		servers := serversOf(s.Service)
		if at, found := position(servers, s.ID); found {
			out.byService[s.Service] = slices.Delete(servers, at, at+1)
		}
	}
	for _, s := range added {
		s.identify()
		servers := serversOf(s.Service)
		at, _ := position(servers, s.ID)
		out.byService[s.Service] = slices.Insert(servers, at, s)
	}
	maps.DeleteFunc(out.byService, func(_ string, servers []*Server) bool { return len(servers) == 0 })
	out.open = out.byService
	return out
}

// position returns the index at which a server id stands, or would be inserted, in a
// sorted slice.
func position(servers []*Server, id string) (at int, found bool) {
	return slices.BinarySearchFunc(servers, id, func(s *Server, id string) int { return cmp.Compare(s.ID, id) })
}

// WithDrained returns the list with these data halls drained: requests in flight there
// continue, and no new ones are sent there.
func (l *List) WithDrained(halls map[string]bool) *List {
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

// At returns the server that is listed at an address, or nil.
func (l *List) At(addr string) *Server {
	for _, of := range l.byService {
		if i := slices.IndexFunc(of, func(s *Server) bool { return s.Addr == addr }); i >= 0 {
			return of[i]
		}
	}
	return nil
}

// OpenSlots returns how many requests the servers of a service that accept new ones process at the
// same time; servers that do not report their slots count as none.
func (l *List) OpenSlots(service string, now time.Time) int {
	slots := 0
	for _, s := range l.open[service] {
		if s.Open(now) {
			slots += s.Slots
		}
	}
	return slots
}

// Criteria are the requirements and preferences of a request for its server.
type Criteria struct {
	Service string
	// Allowed reports whether a version may be used; nil allows all.
	Allowed func(version string) bool
	// HallAllowed reports whether servers of a data hall may be used; nil allows all.
	HallAllowed func(hall string) bool
	// Fraction is the fraction of the allowed servers in use, the same servers for all
	// daemons; 0 is all.
	Fraction float64
	// Progress is how far a trial of the version has come, from 0 to 1: if the fraction
	// amounts to fewer servers than the trial needs, different ones are used in turn.
	Progress float64
	// Affinity is a hash of what the request shares with earlier ones, such as a
	// session's prompt; 0 is none.
	Affinity uint64
	// Prompt is what the server has to process. BlockCost is the cost of BlockTokens
	// tokens of it, with a small request as 1.
	Prompt    prefixcache.Prompt
	BlockCost float64
	// Hall is preferred while its servers are not much busier than others.
	Hall string
	// KeepInHall keeps a request with an affinity in its hall as well. The part that it
	// shares is small: processing it again costs less than traffic between halls.
	KeepInHall bool
	// Exclude lists the servers that the request has already been sent to.
	Exclude []Incarnation
	// Ejected lists the names of incarnations that are used only if there is no other
	// server, like those that have failed recently.
	Ejected []string
	// MaxPace is the highest pace of a server at which the request can end in time; servers
	// that are known to be slower are used only if all others are in back-off or are not to be
	// used for other reasons. 0 is no limit.
	MaxPace float64
	// TimedOutHalls lists halls in which a server timed out for this request. They are
	// used only if there is no other.
	TimedOutHalls []string
}

const (
	// otherHallCost is the load, in requests, by which a server of another hall must be
	// less busy to be preferred, because traffic between halls is paid for.
	otherHallCost = 2
	// BlockTokens is about how many tokens of a prompt a model server processes in one
	// step. The output tokens of all other requests wait for the step.
	BlockTokens = 2000
)

// subset returns the fraction of the servers that the request may use. All daemons
// order the servers alike. The number is rounded, so that each server has about the
// load that it would have with all requests: rounded down, one server carried nearly
// twice its load and made good versions look slow. More servers are used only while all
// of these are busier than the bound.
func (l *List) subset(servers []*Server, w Criteria) []*Server {
	n := max(1, int(math.Round(w.Fraction*float64(len(servers)))))
	if w.Fraction <= 0 || n >= len(servers) {
		return servers
	}
	offset := subsetOffset(n, w.Progress) % len(servers)
	slices.SortFunc(servers, func(a, b *Server) int { return cmp.Compare(rendezvousHash(a, 0), rendezvousHash(b, 0)) })
	servers = slices.Concat(servers[offset:], servers[:offset])
	limit := l.subsetLimit(w)
	for n < len(servers) && minRequests(servers[:n]) > limit {
		n++
	}
	return servers[:n]
}

// minTrialServers is how many servers a version in roll-out is tried on. Servers of one
// version differ in speed: if one server received all requests of the version, its
// speed would decide the verdict.
const minTrialServers = 3

// subsetOffset returns the index of the first server of the subset at a stage of the
// trial, when n servers are used at a time.
func subsetOffset(n int, progress float64) int {
	stages := (minTrialServers + n - 1) / n
	return n * min(stages-1, int(progress*float64(stages)))
}

const (
	// subsetFactor and subsetExtra bound the requests of a server in the subset: a
	// multiple of the mean of the other versions' servers, and some more.
	subsetFactor = 1.5
	subsetExtra  = 2
)

// subsetLimit returns how many requests a server in the subset may have. Without a
// bound, sessions that are busier than others concentrate on one server and make a good
// version look slow.
func (l *List) subsetLimit(w Criteria) float64 {
	sum, n := 0.0, 0.0
	for _, s := range l.byService[w.Service] {
		if s.Usable() && w.Allowed != nil && !w.Allowed(s.Version) {
			sum, n = sum+float64(s.State.Requests()), n+1
		}
	}
	return subsetFactor*sum/max(1, n) + subsetExtra
}

// minRequests returns the lowest number of requests that any of the servers has.
func minRequests(servers []*Server) float64 {
	least := math.Inf(1)
	for _, s := range servers {
		least = min(least, float64(s.State.Requests()))
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
