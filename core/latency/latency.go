// Package latency estimates the time to the first part of an answer by the size of the
// request, from earlier answers. It separates slow servers and slow versions from large
// requests, and estimates the probability that an answer arrives in time.
package latency

import (
	"math"
	"time"
)

const (
	// meanWeight is the weight of the newest answer in the moving averages: they follow
	// a change of load within about twenty answers.
	meanWeight = 0.05
	// slopeWeight is the weight of the newest answer in the slope of the latency over
	// the request size, which changes seldom and needs many answers to estimate.
	slopeWeight = 0.02
	// minAnswers is how many answers an estimate needs.
	minAnswers = 10
	// maxRatio bounds an answer's time as a multiple of the expected one, so that a
	// single very long answer does not distort the estimate.
	maxRatio = 4
	// halfLife is the time without an answer in which the estimate falls by half, so
	// that a server or model that was skipped because it was busy is tried again.
	halfLife = 1500 * time.Millisecond
	// minFraction is the lowest estimate for the smallest request as a fraction of the
	// mean: part of the latency does not depend on the size.
	minFraction = 0.2
	// initialSpread, minSpread and maxSpread are standard deviations of the logarithm
	// of the ratio of the actual to the expected latency: 0.5 is a factor of 1.6 up or
	// down.
	initialSpread = 0.5
	minSpread     = 0.25
	maxSpread     = 1
)

// Estimate is the latency estimate for one kind of answer. Its zero value is an
// estimate without answers. It is immutable.
type Estimate struct {
	n    int
	last time.Time
	// meanSize and meanSeconds are moving averages of the request size and the latency.
	meanSize    float64
	meanSeconds float64
	// variance is the variance of the sizes, covariance the covariance of sizes and
	// latencies.
	variance   float64
	covariance float64
	// spread is the moving average of the squared logarithm of the ratio of the actual
	// to the expected latency.
	spread float64
}

// Known reports whether there were enough answers for an estimate.
func (e Estimate) Known() bool { return e.n >= minAnswers && e.meanSeconds > 0 }

// With returns the estimate updated by an answer to a request of a size, in any unit
// that is used consistently, with its latency.
func (e Estimate) With(size float64, took time.Duration, now time.Time) Estimate {
	seconds := took.Seconds()
	if e.Known() {
		expected := e.expected(size)
		seconds = min(seconds, maxRatio*expected)
		ratio := math.Log(max(seconds, expected/maxRatio) / expected)
		e.spread += meanWeight * (ratio*ratio - e.spread)
	} else {
		e.spread = initialSpread * initialSpread
	}
	e.n++
	e.last = now
	fast, slow := max(meanWeight, 1/float64(e.n)), max(slopeWeight, 1/float64(e.n))
	deviation := size - e.meanSize
	e.variance += slow * ((1-slow)*deviation*deviation - e.variance)
	e.covariance += slow * ((1-slow)*deviation*(seconds-e.meanSeconds) - e.covariance)
	e.meanSize += fast * deviation
	e.meanSeconds += fast * (seconds - e.meanSeconds)
	return e
}

// expected returns the estimated latency of a request of a size, in seconds.
func (e Estimate) expected(size float64) float64 {
	slope := 0.0
	if e.variance > 0 {
		slope = max(0, e.covariance/e.variance)
	}
	return max(minFraction*e.meanSeconds, e.meanSeconds+slope*(size-e.meanSize))
}

// Typical returns the estimated latency of a request of a size now, or 0 if it is not
// known yet.
func (e Estimate) Typical(size float64, now time.Time) time.Duration {
	if !e.Known() {
		return 0
	}
	idle := max(0, now.Sub(e.last))
	return time.Duration(e.expected(size) * math.Exp2(-float64(idle)/float64(halfLife)) * float64(time.Second))
}

// Recent returns the estimated latency of a request of a size as of the last answer, or
// 0 if it is not known yet.
func (e Estimate) Recent(size float64) time.Duration { return e.Typical(size, e.last) }

// Mean returns the estimated latency now for requests of average size, or 0 if it is
// not known yet.
func (e Estimate) Mean(now time.Time) time.Duration { return e.Typical(e.meanSize, now) }

// Relative returns the ratio of an answer's latency to the estimate, or 0 if the
// estimate is not known yet.
func (e Estimate) Relative(size float64, took time.Duration) float64 {
	if !e.Known() {
		return 0
	}
	return took.Seconds() / e.expected(size)
}

// ProbabilityWithin returns the probability that a request of a size is answered within
// a time; 1 if nothing is known.
func (e Estimate) ProbabilityWithin(size float64, left time.Duration, now time.Time) float64 {
	typical := e.Typical(size, now)
	switch {
	case left <= 0:
		return 0
	case typical <= 0:
		return 1
	}
	spread := min(maxSpread, max(minSpread, math.Sqrt(e.spread)))
	// Latencies are log-normally distributed.
	return 0.5 * math.Erfc(-math.Log(float64(left)/float64(typical))/(spread*math.Sqrt2))
}
