package fleet

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"ladderridge.example/core/brittle"
)

// ServiceState is what all servers of a service share. It is safe for concurrent use.
type ServiceState struct {
	// Daemon is the id of this daemon, Daemons returns how many there are.
	Daemon  string
	Daemons func() int

	announced atomic.Pointer[brittle.Announcement]
}

// Announced returns how many rejections in a second the servers of the service bear.
func (s *ServiceState) Announced() brittle.Announcement {
	if s == nil {
		return brittle.Announcement{}
	}
	if a := s.announced.Load(); a != nil {
		return *a
	}
	return brittle.Announcement{}
}

// observe records an answer to a request that was sent at a time, and reports whether the bound on
// rejections has begun or ended.
func (s *ServiceState) observe(rejections float64, sent, now time.Time) (changed bool) {
	if s == nil || (rejections == 0 && s.announced.Load() == nil) {
		return false
	}
	for {
		old := s.announced.Load()
		was := s.Announced()
		is := was.With(rejections, sent, now)
		if s.announced.CompareAndSwap(old, &is) {
			return was.Active(now) != is.Active(now)
		}
	}
}

// ObserveRejectionBound records how many rejections in a second an answer of the server says that it
// bears, 0 for no bound, and reports whether that has begun or ended for its service.
func (s *Server) ObserveRejectionBound(rejections float64, sent, now time.Time) (changed bool) {
	return s.State.service.observe(rejections, sent, now)
}

// Brittle reports whether the server fails if it rejects too many requests.
func (s *Server) Brittle(now time.Time) bool { return s.State.service.Announced().Active(now) }

// RejectionBound returns how many requests in a second the servers of the service bear to reject, as
// last announced.
func (s *ServerState) RejectionBound() float64 { return s.service.Announced().Rejections }

// Rejected records that the server has rejected a request for want of room.
func (s *ServerState) Rejected(now time.Time) {
	if !s.service.Announced().Active(now) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bound = s.bound.WithRejection(max(0, s.inFlight-1), now)
}

// JoinService has the state share that of its service. It is called before the state is in use;
// slots is how many requests the server processes at the same time.
func (s *ServerState) JoinService(service *ServiceState, server string, slots int) {
	s.service, s.slots = service, slots
	const bits = 53
	s.phase = float64(xxhash.Sum64String(service.Daemon+"\x00"+server)>>(64-bits)) / (1 << bits)
}

// atBound reports whether this daemon has as many requests in flight at a server as it may have there
// for the server not to reject too many. The owner locks the state.
func (s *ServerState) atBound(now time.Time) bool {
	a := s.service.Announced()
	if !a.Active(now) {
		return false
	}
	daemons := s.service.Daemons()
	c := brittle.Capacity{Share: brittle.Share(s.slots, daemons, s.phase, now), Daemons: daemons, Rejections: a.Rejections}
	return s.inFlight+s.chosen.count(now) >= s.bound.Max(c, now)
}

// chosen counts requests that have been given a brittle server and not begun there yet. Without it
// requests that wait for the same slot would all be given it.
type chosen struct {
	n  int
	at time.Time
}

// chosenTTL is how long a request counts that does not begin.
const chosenTTL = 100 * time.Millisecond

func (c *chosen) count(now time.Time) int {
	if now.Sub(c.at) > chosenTTL {
		c.n = 0
	}
	return c.n
}

func (c *chosen) add(now time.Time) { c.n, c.at = c.count(now)+1, now }

// begin counts the begin of a request.
func (c *chosen) begin() { c.n = max(0, c.n-1) }

// takeSlot counts a request to a brittle server, and reports whether it may be sent. The owner locks
// the state.
func (s *ServerState) takeSlot(now time.Time) bool {
	if !s.service.Announced().Active(now) {
		return true
	}
	if s.atBound(now) {
		return false
	}
	s.chosen.add(now)
	return true
}

// Brittle reports whether the servers of a service fail if they reject too many requests.
func (l *List) Brittle(service string, now time.Time) bool {
	of := l.byService[service]
	return len(of) > 0 && of[0].Brittle(now)
}

// AtBound reports whether a server of a service, with the versions and halls that a request may use,
// gets no more requests of this daemon for the moment so that it does not reject too many.
func (l *List) AtBound(w Criteria, now time.Time) bool {
	for _, s := range l.open[w.Service] {
		if !s.Brittle(now) || !eligible(s, w, now) {
			continue
		}
		s.State.mu.Lock()
		full := s.State.atBound(now)
		s.State.mu.Unlock()
		if full {
			return true
		}
	}
	return false
}
