package fleet

import (
	"time"

	"ladderridge.example/core/notice"
	"ladderridge.example/core/quota"
)

// limit is what a daemon may send to a server that announces a rate limit. The owner
// locks it.
type limit struct {
	// active reports whether the server has a limit; since is when this daemon started
	// to apply it.
	active bool
	since  time.Time
	bucket quota.Bucket
	// sent is the number of requests since then.
	sent int64
}

// full reports whether the server may receive no request now.
func (l *limit) full(now time.Time) bool { return l.active && !l.bucket.Ready(now) }

// take counts a request, and reports whether it may be sent.
func (l *limit) take(now time.Time) bool {
	if !l.active {
		return true
	}
	if !l.bucket.Ready(now) {
		return false
	}
	l.bucket = l.bucket.Taken(now)
	l.sent++
	return true
}

// Quota is what this daemon may send to a server that announces a rate limit.
type Quota struct {
	quota.Share
	// Since is when this daemon started to apply the limit, Sent how many requests it
	// has sent since then.
	Since time.Time
	Sent  int64
}

// ApplyLimit reads the limit that the server has announced, and takes this daemon's
// share of it.
func (s *Server) ApplyLimit(among quota.Daemons, now time.Time) {
	state := s.State
	state.mu.Lock()
	defer state.mu.Unlock()
	// Several answers may arrive at once. The limit is read under the lock, so that the
	// last reader applies the latest limit.
	rate := state.Notices.State().Limit.Rate
	if rate == 0 {
		state.limit = limit{}
		return
	}
	if !state.limit.active {
		state.limit = limit{active: true, since: now}
	}
	state.limit.bucket = state.limit.bucket.With(among.Share(s.Incarnation().String(), s.Hall, rate), now)
}

// Quota returns what this daemon may send to the server, and whether the server
// announces a limit.
func (s *ServerState) Quota() (q Quota, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Quota{Share: s.limit.bucket.Share(), Since: s.limit.since, Sent: s.limit.sent}, s.limit.active
}

// Admit reports whether a request for which the server was chosen at the time chosen
// may be sent now. A request that was chosen before the limit was known has not been
// counted yet.
func (s *ServerState) Admit(chosen, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.limit.active || !chosen.Before(s.limit.since) || s.limit.take(now)
}

// AvailableAt returns when the first server of a service accepts a request of this
// daemon again, if all servers that stay in service are in back-off or have reached
// their limit; limited reports whether one has reached its limit.
func (l *List) AvailableAt(service string, now time.Time) (at time.Time, limited, ok bool) {
	listed := func(yield func(notice.State) bool) {
		for _, s := range l.open[service] {
			if !s.Usable() {
				continue
			}
			available, atLimit := s.State.availableAt(now)
			limited = limited || atLimit
			if !yield(notice.State{BackoffUntil: available}) {
				return
			}
		}
	}
	at, ok = notice.EarliestBackoffEnd(listed, now)
	return at, limited, ok
}

// availableAt returns when the server accepts a request of this daemon again.
func (s *ServerState) availableAt(now time.Time) (at time.Time, limited bool) {
	at = s.Notices.State().BackoffUntil
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limit.full(now) {
		return at, false
	}
	if refilled := now.Add(s.limit.bucket.Wait(now)); refilled.After(at) {
		at = refilled
	}
	return at, true
}
