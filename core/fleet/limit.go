package fleet

import (
	"time"

	"ladderridge.example/core/notice"
	"ladderridge.example/core/quota"
)

// limit is what a daemon may send to a server that names a limit. The owner locks it.
type limit struct {
	// stands tells that there is one, since when this daemon keeps it.
	stands bool
	since  time.Time
	bucket quota.Bucket
	// sent counts the requests since then.
	sent int64
}

// full reports whether the server may get no request now.
func (l *limit) full(now time.Time) bool { return l.stands && !l.bucket.Ready(now) }

// take counts a request, and reports whether it may be sent.
func (l *limit) take(now time.Time) bool {
	if !l.stands {
		return true
	}
	if !l.bucket.Ready(now) {
		return false
	}
	l.bucket = l.bucket.Taken(now)
	l.sent++
	return true
}

// Quota is what this daemon may send to a server that names a limit.
type Quota struct {
	quota.Share
	// Since is when this daemon began to keep the limit, Sent how many requests it has sent
	// since then.
	Since time.Time
	Sent  int64
}

// KeepLimit takes the limit that stands for the server, and divides it among the daemons.
func (s *Server) KeepLimit(among quota.Daemons, now time.Time) {
	l := s.Load
	l.mu.Lock()
	defer l.mu.Unlock()
	// Several answers may come at once: whoever has the lock last reads what stands last.
	rate := l.Notices.State().Limit.Rate
	if rate == 0 {
		l.limit = limit{}
		return
	}
	if !l.limit.stands {
		l.limit = limit{stands: true, since: now}
	}
	l.limit.bucket = l.limit.bucket.With(among.Share(s.Incarnation().String(), s.Hall, rate), now)
}

// Quota returns what this daemon may send to the server, if that names a limit.
func (l *Load) Quota() (q Quota, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Quota{Share: l.limit.bucket.Share(), Since: l.limit.since, Sent: l.limit.sent}, l.limit.stands
}

// Admit reports whether a request for which the server was chosen at a time may be sent to it
// now. One that was chosen before the limit was known has not been counted.
func (l *Load) Admit(chosen, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.limit.stands || !chosen.Before(l.limit.since) || l.limit.take(now)
}

// OpensAt returns when the first server of a service takes a request of this daemon again, if
// all that stay want rest or have their limit; limited tells whether one has.
func (l *List) OpensAt(service string, now time.Time) (at time.Time, limited, ok bool) {
	listed := func(yield func(notice.State) bool) {
		for _, s := range l.open[service] {
			if !s.Usable() {
				continue
			}
			opens, atLimit := s.Load.opensAt(now)
			limited = limited || atLimit
			if !yield(notice.State{BackoffUntil: opens}) {
				return
			}
		}
	}
	at, ok = notice.EarliestBackoffEnd(listed, now)
	return at, limited, ok
}

// opensAt is when the server takes a request of this daemon again.
func (l *Load) opensAt(now time.Time) (at time.Time, limited bool) {
	at = l.Notices.State().BackoffUntil
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limit.full(now) {
		return at, false
	}
	if room := now.Add(l.limit.bucket.Wait(now)); room.After(at) {
		at = room
	}
	return at, true
}
