package route

import (
	"sync/atomic"
	"time"

	"ladderridge.example/core/notice"
	"ladderridge.example/core/table"
)

// Load counts what this daemon has under way on one backend server. It
// outlives the views that point to it and is safe for concurrent use.
type Load struct {
	InFlight atomic.Int64
	// Notices is what the server has said of itself in answers.
	Notices notice.Held

	// fullUntil is until when it counts as full by its own word, in Unix nanoseconds.
	fullUntil atomic.Int64
}

// FullRest is how long a server counts as full that has said so, unless a place there is
// known to be free sooner: about what a short answer takes. Without it a server that tells
// no capacity is the first choice of the next request again: one waited for a minute with
// another server free.
const FullRest = 100 * time.Millisecond

// DeclinedFull notes that the server has said that it has no place.
func (l *Load) DeclinedFull(now time.Time) { l.fullUntil.Store(now.Add(FullRest).UnixNano()) }

// FreedPlace notes that a place there is free again.
func (l *Load) FreedPlace() { l.fullUntil.Store(0) }

// Server is what a daemon knows of one backend server at one moment.
type Server struct {
	ID   string
	Addr string
	Hall string
	// Leaving servers get no new work.
	Leaving bool
	// Reported is the number of requests the server said it had, from all
	// daemons, when it last reported.
	Reported int
	// Capacity is the number of requests it serves at once; 0 is unknown.
	Capacity int
	// ReportedAt is when that report was taken.
	ReportedAt time.Time
	// OwnAtReport is Load.InFlight at ReportedAt.
	OwnAtReport int
	// EjectedUntil keeps a failing server out until then.
	EjectedUntil time.Time
	// Load counts this daemon's own requests; it is shared among views.
	Load *Load
}

// Estimate is the number of requests the server has now: its lagged report
// corrected by what this daemon sent and finished since.
func (s *Server) Estimate() int {
	own := int(s.Load.InFlight.Load())
	return max(own, s.Reported+own-s.OwnAtReport)
}

// Available reports whether the server may get new work.
func (s *Server) Available(now time.Time) bool {
	return !s.Leaving && !now.Before(s.EjectedUntil) && s.Load.Notices.Open(now)
}

// full reports whether the server has no free place.
func (s *Server) full(now time.Time) bool {
	return s.Capacity > 0 && s.Estimate() >= s.Capacity || now.UnixNano() < s.Load.fullUntil.Load()
}

// comeBack is when to come back where none of some servers can take work now: when the first
// one's rest ends if all that stay want rest, and otherwise after RetryCapacity.
func comeBack(servers []*Server, now time.Time) time.Duration {
	listed := func(yield func(notice.Kept) bool) {
		for _, s := range servers {
			if !s.Leaving && !yield(s.Load.Notices.Kept()) {
				return
			}
		}
	}
	if at, ok := notice.RestEnds(listed, now); ok {
		return at.Sub(now)
	}
	return RetryCapacity
}

// QualityKey names what a quality estimate is about.
type QualityKey struct {
	Organisation string
	// Kind is the kind of request; "" stands for all kinds together.
	Kind string
	Ref  table.Ref
}

// Estimate bounds how good a version's answers are, by their ratings.
type Estimate struct {
	Low  float64
	High float64
}

// Ages are how old a daemon's knowledge of the table may be, by status, for it
// to serve a version whose row gives no max_age. Zero means any age.
type Ages struct {
	Steady     time.Duration
	RollingOut time.Duration
}

// View is the immutable snapshot from which requests are decided.
type View struct {
	Generation table.Generation
	Table      *table.Table
	// ConfirmedAt is when Generation was last known to be the newest.
	ConfirmedAt time.Time
	// PublishedAt is when the control state last made a view. A view that is
	// older than StalledAfter comes from before a pause of the process.
	PublishedAt time.Time
	// Doubt tells that the process was paused and has not yet found out
	// whether there is a newer generation: nothing is served meanwhile.
	Doubt bool
	Hall  string
	Ages  Ages
	// Engines are the model engines by the version they have loaded, the own
	// data hall's first.
	Engines map[table.Ref][]*Server
	// Services are the servers of plain services by the service's name.
	Services map[string][]*Server
	// Quality holds confidence bounds from ratings.
	Quality map[QualityKey]Estimate
	// Guarded versions have gone bad by pooled or local evidence.
	Guarded map[table.Ref]string
	// BadFor are versions that single organisations rate as bad.
	BadFor map[QualityKey]bool
}

// guarded reports whether a version gets no new sessions of an organisation,
// for a kind of request.
func (v *View) guarded(organisation, kind string, ref table.Ref) bool {
	return v.Guarded[ref] != "" || v.BadFor[QualityKey{Organisation: organisation, Ref: ref}] ||
		v.BadFor[QualityKey{Organisation: organisation, Kind: kind, Ref: ref}]
}

// quality is the estimate for a kind of request, or else the lower bound for
// all kinds, or else the operator's figure. Only an estimate for just that kind
// says how good a version is at most.
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

// Age is how old the view's knowledge of the newest generation is.
func (v *View) Age(now time.Time) time.Duration { return now.Sub(v.ConfirmedAt) }

// maxAge is the age up to which a version may be served; 0 means any.
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

// StalledAfter is the age from which a view is taken for one from before a
// pause: the control state makes one at least once a second.
const StalledAfter = 3 * time.Second

// doubtful reports whether the process may have slept through an edit.
func (v *View) doubtful(now time.Time) bool {
	return v.Doubt || (!v.PublishedAt.IsZero() && now.Sub(v.PublishedAt) > StalledAfter)
}

// stale reports whether the view is too old to serve the candidate.
func (v *View) stale(c table.Candidate, now time.Time) bool {
	limit := v.maxAge(c)
	return v.doubtful(now) || (limit > 0 && v.Age(now) > limit)
}
