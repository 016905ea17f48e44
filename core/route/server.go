package route

import (
	"sync/atomic"
	"time"

	"ladderridge.example/core/notice"
	"ladderridge.example/core/table"
)

// ServerState is this daemon's own state of one backend server, above all the
// number of its requests in flight there. It outlives the views that point to it
// and is safe for concurrent use.
type ServerState struct {
	// InFlight is the number of requests that this daemon has in flight there.
	InFlight atomic.Int64
	// Notices holds what the server reported about itself in answers.
	Notices notice.Tracker

	// fullUntil is the end of the back-off after the server reported that it
	// is full, in Unix nanoseconds.
	fullUntil atomic.Int64
}

// FullBackoff is how long a server counts as full after it has declined a request for that
// reason, unless one of its slots is known to be free sooner. It is about the time of a
// short answer. Without it, a full server of unknown capacity is the first choice again for
// the next attempt: a request waited for a minute in this way while another server was free.
const FullBackoff = 100 * time.Millisecond

// MarkFull records that the server declined a request because it is full.
func (s *ServerState) MarkFull(now time.Time) { s.fullUntil.Store(now.Add(FullBackoff).UnixNano()) }

// ClearFull records that a slot on the server is free again.
func (s *ServerState) ClearFull() { s.fullUntil.Store(0) }

// Server describes one backend server as this daemon knows it at one moment.
type Server struct {
	ID   string
	Addr string
	Hall string
	// Leaving servers get no new requests.
	Leaving bool
	// Reported is the number of requests in flight from all daemons, by the
	// server's last report.
	Reported int
	// Capacity is the number of requests that it serves at once; 0 is unknown.
	Capacity int
	// ReportedAt is when that report was taken.
	ReportedAt time.Time
	// OwnAtReport is State.InFlight at ReportedAt.
	OwnAtReport int
	// EjectedUntil is the time until which a failing server gets no requests.
	EjectedUntil time.Time
	// State is this daemon's own state of the server; all views share it.
	State *ServerState
}

// Estimate is the estimated number of requests in flight on the server: its last
// report, corrected by the requests that this daemon has sent and finished since.
func (s *Server) Estimate() int {
	own := int(s.State.InFlight.Load())
	return max(own, s.Reported+own-s.OwnAtReport)
}

// Available reports whether the server may get new requests.
func (s *Server) Available(now time.Time) bool {
	return !s.Leaving && !now.Before(s.EjectedUntil) && s.State.Notices.Open(now)
}

// full reports whether the server has no free slot.
func (s *Server) full(now time.Time) bool {
	return s.Capacity > 0 && s.Estimate() >= s.Capacity || now.UnixNano() < s.State.fullUntil.Load()
}

// retryAfter returns the Retry-After for servers none of which can take a request now: if all
// that aren't leaving asked for back-off, the time until the first back-off ends, and
// otherwise DefaultRetryAfter.
func retryAfter(servers []*Server, now time.Time) time.Duration {
	listed := func(yield func(notice.State) bool) {
		for _, s := range servers {
			if !s.Leaving && !yield(s.State.Notices.State()) {
				return
			}
		}
	}
	if at, ok := notice.EarliestBackoffEnd(listed, now); ok {
		return at.Sub(now)
	}
	return DefaultRetryAfter
}

// QualityKey identifies a quality estimate.
type QualityKey struct {
	Organisation string
	// Kind is the kind of request; "" stands for all kinds together.
	Kind string
	Ref  table.Ref
}

// Estimate is the confidence interval of the quality of a version's answers, by
// their ratings.
type Estimate struct {
	Low  float64
	High float64
}

// Ages are the maximum ages of the table, by status, at which a daemon still
// serves a version whose row gives no max_age. Zero means any age.
type Ages struct {
	Steady     time.Duration
	RollingOut time.Duration
}

// View is the immutable snapshot from which decisions are made.
type View struct {
	Generation table.Generation
	Table      *table.Table
	// ConfirmedAt is when Generation was last known to be the newest.
	ConfirmedAt time.Time
	// PublishedAt is when the control loop last published a view. A view older
	// than StalledAfter was published before a pause of the process.
	PublishedAt time.Time
	// Unconfirmed is set while the process has not confirmed, after a pause, that its
	// generation is still the newest. No request is sent meanwhile.
	Unconfirmed bool
	Hall        string
	Ages        Ages
	// Engines are the model engines by loaded version, those of this daemon's
	// data hall first.
	Engines map[table.Ref][]*Server
	// Services are the servers of plain services, by service name.
	Services map[string][]*Server
	// Quality holds the quality estimates from ratings.
	Quality map[QualityKey]Estimate
	// Guarded holds the versions that are faulty by the evidence of this daemon
	// or of all daemons together, with the reason.
	Guarded map[table.Ref]string
	// BadFor holds the versions that single organisations rate as bad.
	BadFor map[QualityKey]bool
}

// guarded reports whether a version gets no new sessions for a kind of request of
// an organisation.
func (v *View) guarded(organisation, kind string, ref table.Ref) bool {
	return v.Guarded[ref] != "" || v.BadFor[QualityKey{Organisation: organisation, Ref: ref}] ||
		v.BadFor[QualityKey{Organisation: organisation, Kind: kind, Ref: ref}]
}

// quality returns the estimate for a kind of request, or else the lower bound for
// all kinds, or else the operator's figure. Only an estimate for that very kind
// has an upper bound below 1.
func (v *View) quality(organisation, kind string, c table.Candidate) Estimate {
	key := QualityKey{Organisation: organisation, Kind: kind, Ref: c.Version.Ref}
	if q, ok := v.Quality[key]; ok {
		return q
	}
	key.Kind = ""
	if q, ok := v.Quality[key]; ok {
		return Estimate{Low: q.Low, High: 1}
	}
	return Estimate{Low: c.Version.Quality, High: 1}
}

// Age is the time since the view's generation was last confirmed as the newest.
func (v *View) Age(now time.Time) time.Duration { return now.Sub(v.ConfirmedAt) }

// maxAge is the age of the view up to which a version may be served; 0 means any.
func (v *View) maxAge(c table.Candidate) time.Duration {
	switch {
	case c.Version.MaxAge > 0:
		return c.Version.MaxAge
	case c.Status == table.RollingOut:
		return v.Ages.RollingOut
	default:
		return v.Ages.Steady
	}
}

// StalledAfter is the age from which a view counts as published before a pause of
// the process: the control loop publishes one at least once a second.
const StalledAfter = 3 * time.Second

// unconfirmed reports whether the process was paused and may have missed an edit.
func (v *View) unconfirmed(now time.Time) bool {
	return v.Unconfirmed || (!v.PublishedAt.IsZero() && now.Sub(v.PublishedAt) > StalledAfter)
}

// stale reports whether the view is too old to serve the candidate.
func (v *View) stale(c table.Candidate, now time.Time) bool {
	limit := v.maxAge(c)
	return v.unconfirmed(now) || (limit > 0 && v.Age(now) > limit)
}
