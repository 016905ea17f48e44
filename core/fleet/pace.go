package fleet

import "time"

// paceLifetime is how long a pace is used. It covers several losses of the figures in a
// row, which arrive twice a second.
const paceLifetime = 5 * time.Second

// slowPace is the pace from which a server counts as slow in the choice of a server; all
// others count as usual. All daemons know the same paces. If servers faster than usual
// were preferred, all daemons would send the prompts that leave their preferred server to
// the fastest one, before they see its load. With equal costs the prompts spread by their
// hashes. The bound is above 1 because a few fast servers lower the mean, so that all
// others are slightly slower than it.
const slowPace = 1.2

// SetPace records how long work takes at the server relative to the other servers of
// its service, by the observations of all daemons. The choice of a server uses it
// instead of this daemon's own observations for five seconds. A pace that is not
// positive is ignored.
func (s *ServerState) SetPace(pace float64, now time.Time) {
	if !(pace > 0) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace, s.paceUntil = pace, now.Add(paceLifetime)
}

// Pace returns the pace that was set last, and whether it is still used.
func (s *ServerState) Pace(now time.Time) (pace float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.paceUntil) {
		return 1, false
	}
	return s.pace, true
}
