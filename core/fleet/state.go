package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/brittle"
	"ladderridge.example/core/notice"
	"ladderridge.example/core/prefixcache"
)

// ServerState is what this daemon has observed of a server through its requests. It is
// safe for concurrent use.
type ServerState struct {
	// PrefixCache predicts which prompts the server has cached.
	PrefixCache *prefixcache.Cache
	// Notices holds what the server has announced about itself in its answers.
	Notices *notice.Tracker
	// withdrawn is set while the latest list lacks the server or has it as leaving.
	withdrawn atomic.Bool

	mu       sync.Mutex
	inFlight int
	// load is the sum of the weights of the requests in flight.
	load float64
	// failures counts consecutive failures; backoffUntil is until when the server is
	// used only if there is no other.
	failures     int
	backoffUntil time.Time
	// declines counts consecutive declined requests.
	declines int
	// failureRate is the moving average of the share of failures.
	failureRate float64
	// slowness is the moving average of the response time relative to that of other
	// servers for similar requests, 1 if they are equal.
	slowness float64
	// pace is the figure of all daemons, used until paceUntil, or 0.
	pace float64
	// reported is how many requests the server had according to its latest report.
	reported int
	cold     coldState
	limit    limit
	remote   remoteLoad
	hall     *HallState
	// service is nil in a daemon that does not share states of services. phase and slots
	// determine this daemon's share of the slots of a brittle server, bound what it may have
	// in flight there.
	service *ServiceState
	phase   float64
	slots   int
	bound   brittle.Bound
	chosen  chosen
	// paceUntil is read only if there is a pace.
	paceUntil time.Time
}

// Back-off of failing servers, and the weights of failures.
const (
	// backoffThreshold is how many consecutive failures back off a server.
	backoffThreshold = 2
	// backoffMin and backoffMax bound the back-off, which doubles with each further
	// failure: a server that restarts is back within seconds.
	backoffMin = 500 * time.Millisecond
	backoffMax = 4 * time.Second
	// declineBackoffMin and declineBackoffMax bound the back-off of a server that
	// declines a request without a retry time: about the duration of a short request,
	// and of a load peak.
	declineBackoffMin = 100 * time.Millisecond
	declineBackoffMax = 1600 * time.Millisecond
	// smoothing is the weight of the newest answer in the moving averages.
	smoothing = 0.1
	// maxSlowness bounds the slowness of a server, so that it still receives a request
	// now and then that can show that it has recovered.
	maxSlowness = 20
	// failureCost converts the failure rate to slowness: a server that fails half of
	// its requests counts as busy as one with three times its load.
	failureCost = 4
)

// NewServerState returns the state of a server that has answered nothing yet. All
// servers of a data hall share one HallState.
func NewServerState(hall *HallState) *ServerState {
	return &ServerState{PrefixCache: prefixcache.NewCache(), Notices: &notice.Tracker{}, slowness: 1, hall: hall}
}

// SetWithdrawn records whether the latest list lacks the server or has it as leaving.
func (s *ServerState) SetWithdrawn(withdrawn bool) { s.withdrawn.Store(withdrawn) }

// Withdrawn reports whether the latest list lacks the server or has it as leaving. A request holds
// the server of an earlier list.
func (s *ServerState) Withdrawn() bool { return s.withdrawn.Load() }

// InFlight returns the number of this daemon's requests in flight at the server.
func (s *ServerState) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// OwnLoad returns the sum of the weights of this daemon's requests in flight at the
// server.
func (s *ServerState) OwnLoad() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load
}

// TotalLoad returns the load of all daemons at the server, as far as it is known.
func (s *ServerState) TotalLoad() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load + s.remote.recent
}

// Begin counts a request that is sent, by its weight: 1 is a small one.
func (s *ServerState) Begin(weight float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.chosen.begin()
	s.load += weight
}

// End counts a request that has ended, by the weight that it began with.
func (s *ServerState) End(weight float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.load = max(0, s.load-weight)
}

// availability is whether a server can be chosen.
type availability uint8

const (
	available availability = iota
	// inBackoff is a server that is chosen only if there is no other.
	inBackoff
	// full is a server that is cold, brittle or has a limit, while this daemon's share
	// is used up.
	full
)

// snapshot holds the state that the choice of a server depends on. It has at most four
// fields, which the compiler can keep in registers: with five, a choice among 116 servers
// took a quarter longer.
type snapshot struct {
	// load is OwnLoad plus ExcessLoad; slowness is as Slowness returns it. pace is 1 if it
	// is not known or less than slowPace.
	load     float64
	slowness float64
	pace     float64
	availability
}

func (s *ServerState) snapshot(now time.Time) snapshot {
	hallInBackoff := s.hall.inBackoff(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	pace := 1.0
	if s.pace >= slowPace && now.Before(s.paceUntil) {
		pace = s.pace
	}
	can := available
	switch {
	case s.cold.full(now) || s.limit.full(now) || s.atBound(now):
		can = full
	case hallInBackoff || now.Before(s.backoffUntil):
		can = inBackoff
	}
	return snapshot{s.load + s.remote.current(now), s.slowness * (1 + failureCost*s.failureRate), pace, can}
}

// SetReportedRequests records how many requests the server reports that it has.
func (s *ServerState) SetReportedRequests(requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reported = requests
}

// Requests returns how many requests the server has: by its own report, or else those
// of this daemon.
func (s *ServerState) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reported > 0 {
		return s.reported
	}
	return s.inFlight
}

// Slowness returns how much longer than others the server takes, with failures weighted
// in.
func (s *ServerState) Slowness() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slowness * (1 + failureCost*s.failureRate)
}

// InBackoff reports whether the server, or its hall, has failed so recently that other
// servers are preferred.
func (s *ServerState) InBackoff(now time.Time) bool {
	if s.hall.inBackoff(now) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.backoffUntil)
}

// ConnectTimedOut records that a connection attempt to the server timed out. The server
// is backed off at once.
func (s *ServerState) ConnectTimedOut(now time.Time) {
	s.Unreachable(now)
}

// Answered records a good answer; relative is its response time relative to that of
// similar requests, or 0 if that is unknown.
func (s *ServerState) Answered(relative float64) {
	s.hall.answered()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures, s.declines = 0, 0
	s.failureRate *= 1 - smoothing
	if relative > 0 {
		s.slowness = min(maxSlowness, max(1/maxSlowness, s.slowness*(1-smoothing)+relative*smoothing))
	}
}

// Declined records that the server declined a request without a retry time. Other
// servers are preferred for a while, which doubles until the server answers. Without
// this the server, which is idle, would be the first choice of the next request again.
func (s *ServerState) Declined(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	backoff := min(declineBackoffMin<<min(s.declines, 4), declineBackoffMax)
	s.declines++
	if until := now.Add(backoff); until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
}

// Failed records an answer that reports a server failure.
func (s *ServerState) Failed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failureRate = s.failureRate*(1-smoothing) + smoothing
}

// NoResponse records that the server did not answer or was unreachable. It is backed
// off if that happens repeatedly, and so is its hall if it happens to several of its
// servers.
func (s *ServerState) NoResponse(now time.Time) {
	s.hall.failure(s, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
	s.failureRate = s.failureRate*(1-smoothing) + smoothing
	if s.failures < backoffThreshold {
		return
	}
	backoff := backoffMin << min(s.failures-backoffThreshold, 4)
	s.backoffUntil = now.Add(min(backoff, backoffMax))
}

// Unreachable records that no connection to the server could be established. The server
// is backed off at once.
func (s *ServerState) Unreachable(now time.Time) {
	s.mu.Lock()
	s.failures = max(s.failures, backoffThreshold-1)
	s.mu.Unlock()
	s.NoResponse(now)
}
