package fleet

import "time"

// paceLifetime is how long a pace is used. It covers several losses of the figures in a
// row, which arrive twice a second.
const paceLifetime = 5 * time.Second

// slowPace is the pace from which a server counts as slow; all others count as usual. A few fast
// servers lower the mean, so that all others are slightly slower than it.
const slowPace = 1.2

// SetPace records how long work takes at the server relative to the other servers of
// its service, by the observations of all daemons. It is used for five seconds. A pace
// that is not positive is ignored.
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
