// Package brittle bounds the requests of a daemon to a server that fails if it has to reject too many
// requests in a second. All daemons share what such a server may reject.
package brittle

import (
	"math"
	"time"
)

// Announcement is what the servers of a service announce: how many requests in a second a server
// may reject, from all daemons together. The zero value is none.
type Announcement struct {
	// Rejections is that number, 0 for none.
	Rejections float64
	// At is when the answer was read.
	At time.Time
}

// announcementTTL is how long an announcement counts without another one: each answer repeats it.
const announcementTTL = 10 * time.Second

// With returns the announcement after an answer to a request that was sent at a time; rejections is
// 0 if the answer has none. Only an answer to a request that was sent after the announcement ends it.
func (a Announcement) With(rejections float64, sent, now time.Time) Announcement {
	if rejections == 0 && sent.Before(a.At) {
		return a
	}
	return Announcement{Rejections: rejections, At: now}
}

// Active reports whether the announcement counts.
func (a Announcement) Active(now time.Time) bool {
	return a.Rejections > 0 && now.Sub(a.At) < announcementTTL
}

const (
	// plannedFraction is the part of the rejections that daemons plan for together. The rest is for
	// requests that are under way when a server becomes full.
	plannedFraction = 0.5
	// backoffFactor is what is left of a daemon's requests at a server after a rejection.
	backoffFactor = 0.8
	// minInterval and maxInterval bound the time between two steps up.
	minInterval = 250 * time.Millisecond
	maxInterval = 10 * time.Second
)

// Share returns how many of a server's slots a daemon may use now; slots is 0 if their number is
// unknown, which sets no bound. The remainder of an even division rotates among the daemons; phase,
// in [0, 1), is the daemon's place in the rotation at this server.
func Share(slots, daemons int, phase float64, now time.Time) int {
	if slots <= 0 {
		return math.MaxInt
	}
	_, turn := math.Modf(phase + float64(now.UnixMilli()%turnPeriod.Milliseconds())/float64(turnPeriod.Milliseconds()))
	return int(float64(slots)/float64(max(1, daemons)) + turn)
}

// turnPeriod is the time of one rotation.
const turnPeriod = time.Second

// Bound is the number of requests that a daemon may have in flight at a server. It begins at the
// daemon's share of the server's slots, so that no request waits there: how many may wait is not
// known. A rejection lowers it; it rises by one at a time, so that all daemons together cause
// fewer rejections than the server bears. The zero value has seen no rejection. It is immutable.
type Bound struct {
	// base is the bound after the last rejection, at the time rejected.
	base     int
	rejected time.Time
}

// WithRejection returns the bound after a rejection; inFlight is the number of the daemon's other
// requests at the server.
func (b Bound) WithRejection(inFlight int, now time.Time) Bound {
	return Bound{base: int(backoffFactor * float64(inFlight)), rejected: now}
}

// Capacity is what the bound follows from.
type Capacity struct {
	// Share is the daemon's share of the server's slots.
	Share int
	// Daemons is the number of daemons.
	Daemons int
	// Rejections is how many requests in a second the server may reject.
	Rejections float64
}

// Max returns how many requests may be in flight.
func (b Bound) Max(c Capacity, now time.Time) int {
	if b.rejected.IsZero() {
		return c.Share
	}
	return min(c.Share, b.base+int(now.Sub(b.rejected)/c.interval()))
}

// interval returns the time between two steps up of one daemon.
func (c Capacity) interval() time.Duration {
	perDaemon := plannedFraction * c.Rejections / float64(max(1, c.Daemons))
	if perDaemon <= 0 {
		return maxInterval
	}
	return min(maxInterval, max(minInterval, time.Duration(float64(time.Second)/perDaemon)))
}
