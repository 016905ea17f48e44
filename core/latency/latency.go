// Package latency predicts how long the first part of an answer takes by how large
// the request is, from the answers that came before. It tells slow servers and
// slow versions from slow work, and how likely an answer is in time.
package latency

import (
	"math"
	"time"
)

const (
	// weight is that of the newest answer in the recent means: they follow a
	// change of load within some twenty answers.
	weight = 0.05
	// slopeWeight is that of the newest answer in how much longer larger
	// requests take, which changes seldom and needs many answers to be told.
	slopeWeight = 0.02
	// known is how many answers make a pace known.
	known = 10
	// outlier is how many times the expected an answer counts at most, so that
	// a very long one does not make the usual long.
	outlier = 4
	// halfLife is the time without an answer in which what is expected falls by
	// half: what is passed over because it was busy is tried again.
	halfLife = 1500 * time.Millisecond
	// floorPart is the part of the mean that is expected of the smallest request
	// at least: some of the time does not depend on the size.
	floorPart = 0.2
	// firstSpread, leastSpread and mostSpread are of the logarithm of the time in
	// terms of the expected one: 0.5 is a factor of 1.6 up or down.
	firstSpread = 0.5
	leastSpread = 0.25
	mostSpread  = 1
)

// Estimate is the pace of one kind of answer. The zero value knows nothing. It is
// a value.
type Estimate struct {
	n    int
	last time.Time
	// size and took are recent means; took is in seconds.
	size float64
	took float64
	// variance is that of the sizes, shared is how sizes and times vary
	// together.
	variance float64
	shared   float64
	// spread is the recent mean square of the logarithm of times in terms of the
	// expected ones.
	spread float64
}

// Known reports whether enough answers came to predict others.
func (e Estimate) Known() bool { return e.n >= known && e.took > 0 }

// With returns the estimate with an answer to a request of a size, in any unit
// that is kept to, which took a time.
func (e Estimate) With(size float64, took time.Duration, now time.Time) Estimate {
	seconds := took.Seconds()
	if e.Known() {
		expected := e.expected(size)
		seconds = min(seconds, outlier*expected)
		ratio := math.Log(max(seconds, expected/outlier) / expected)
		e.spread += weight * (ratio*ratio - e.spread)
	} else {
		e.spread = firstSpread * firstSpread
	}
	e.n++
	e.last = now
	fast, slow := max(weight, 1/float64(e.n)), max(slopeWeight, 1/float64(e.n))
	off := size - e.size
	e.variance += slow * ((1-slow)*off*off - e.variance)
	e.shared += slow * ((1-slow)*off*(seconds-e.took) - e.shared)
	e.size += fast * off
	e.took += fast * (seconds - e.took)
	return e
}

// expected is what a request of a size takes, in seconds.
func (e Estimate) expected(size float64) float64 {
	slope := 0.0
	if e.variance > 0 {
		slope = max(0, e.shared/e.variance)
	}
	return max(floorPart*e.took, e.took+slope*(size-e.size))
}

// Usual is what an answer to a request of a size may be expected to take now, or
// 0 if that is not known yet.
func (e Estimate) Usual(size float64, now time.Time) time.Duration {
	if !e.Known() {
		return 0
	}
	idle := max(0, now.Sub(e.last))
	return time.Duration(e.expected(size) * math.Exp2(-float64(idle)/float64(halfLife)) * float64(time.Second))
}

// Lately is what an answer to a request of a size would have taken when the last one
// came, or 0 if that is not known yet.
func (e Estimate) Lately(size float64) time.Duration { return e.Usual(size, e.last) }

// Mean is what answers take now whatever their size, or 0 if that is not known
// yet.
func (e Estimate) Mean(now time.Time) time.Duration { return e.Usual(e.size, now) }

// Relative is how long an answer took in terms of the expected, or 0 if that is
// not known yet.
func (e Estimate) Relative(size float64, took time.Duration) float64 {
	if !e.Known() {
		return 0
	}
	return took.Seconds() / e.expected(size)
}

// Within is the probability that an answer to a request of a size comes within a
// time; 1 if nothing is known.
func (e Estimate) Within(size float64, left time.Duration, now time.Time) float64 {
	usual := e.Usual(size, now)
	switch {
	case left <= 0:
		return 0
	case usual <= 0:
		return 1
	}
	spread := min(mostSpread, max(leastSpread, math.Sqrt(e.spread)))
	// Times are spread evenly by factors (log-normal).
	return 0.5 * math.Erfc(-math.Log(float64(left)/float64(usual))/(spread*math.Sqrt2))
}
