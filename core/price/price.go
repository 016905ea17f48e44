// Package price computes the price of server time: what a run on the model servers of a service
// costs the other requests there, as a fraction of the value of one request. The price is zero
// while servers are calm and rises with the time that callers wait. A run whose gain is below its
// price is not started.
//
// Runs are compared by their cost, which is their work divided by the value of the request. The
// value halves with each rank, so that runs of less urgent requests are given up first. It grows
// with the square root of the work: a caller of ten times the work values the answer more, but not
// ten times as much.
//
// A daemon sees a few answers a second, so that its own level of congestion is late and noisy. The
// level is therefore the mean over the answers of all daemons, as far as their figures are fresh.
package price

import (
	"math"
	"time"
)

const (
	// scarcity is the price of a run of average cost at a level of 1. Times of answers are log-normal
	// with a spread of about 0.7, so that one in forty is late at a level of 0.3, and one in twenty
	// at 0.4. By then a run of average cost has to cost the value of one request, so that it is not
	// started.
	scarcity = 10
	// tokenWork is the work of a token to process, relative to that of an output token, as billed.
	tokenWork = 0.25
	// maxTokens bounds the tokens of a run. No model has a context that large.
	maxTokens = 1e7
	maxRank   = 9
	// MaxShare bounds the share of the objective that one answer has waited, so that a single
	// answer after a stall does not dominate the level.
	MaxShare = 4
	// runWeight and waitWeight are the weights of the newest run in the scale and of the newest
	// answer in the level.
	runWeight  = 0.02
	waitWeight = 0.1
	// maxPauseWeight bounds the weight that an answer takes over from answers before a pause. A
	// single slow answer after a long pause is usually one of a cold prompt and no congestion.
	maxPauseWeight = 0.15
	// levelHalfLife is the time in which a level without new answers halves.
	levelHalfLife = 1500 * time.Millisecond
	// countHalfLife is the half-life of the sums of a Wait: a half-life of the interval between
	// two figures or more would delay the total by another interval.
	countHalfLife = 300 * time.Millisecond
	// totalInterval is the usual time between two totals. Between it and TotalLifetime the weight of
	// the last total falls, without a step of the level.
	totalInterval = 450 * time.Millisecond
	// maxTotalWeight bounds the weight of the total, as a number of recent own answers. More
	// answers do not make a total fresher. Weighted by their number alone, a total that is a
	// second old makes the level swing several-fold under a constant load.
	maxTotalWeight = 1
)

// TotalLifetime is the time after which the last total is not used any more.
const TotalLifetime = 1500 * time.Millisecond

// Run is a run of a model on a server.
type Run struct {
	// Tokens are the tokens to process, Output the expected output tokens.
	Tokens, Output float64
	// Rank is the rank of the route, 0 the most urgent.
	Rank int
}

// Work returns the billed tokens of the run, at least 1.
func (r Run) Work() float64 {
	return max(1, bounded(r.Output, maxTokens)+tokenWork*bounded(r.Tokens, maxTokens))
}

// Cost returns the work of the run divided by the value of the request.
func (r Run) Cost() float64 {
	return math.Ldexp(math.Sqrt(r.Work()), min(max(r.Rank, 0), maxRank))
}

// Wait is a sum over recent answers, in which an answer loses half of its weight in 300 ms.
type Wait struct {
	// Count is the number of answers, Share the sum of the times to the first part of the
	// smallest model's answer relative to the objective of the route.
	Count, Share float64
}

// Mean returns the mean share of the answers, or 0 if there are none.
func (w Wait) Mean() float64 {
	if w.Count <= 0 {
		return 0
	}
	return w.Share / w.Count
}

// valid returns w within its bounds, or the zero value if it is not a sum of answers.
func (w Wait) valid() Wait {
	if !(w.Count > 0) || math.IsInf(w.Count, 1) || !(w.Share >= 0) {
		return Wait{}
	}
	return Wait{Count: w.Count, Share: min(w.Share, MaxShare*w.Count)}
}

// Market is the state of a service's price. It is immutable. The zero value is calm.
type Market struct {
	// scale is the mean cost of runs, runs their number.
	scale, runs float64
	// mean is the moving average of the shares that own answers have waited, and recent their
	// sum, both as of waitedAt.
	mean     float64
	recent   Wait
	waitedAt time.Time
	// reported is the sum in the last report of this daemon's figures.
	reported Wait
	// others is the sum over the answers of other daemons, as of totalAt.
	others  Wait
	totalAt time.Time
}

// WithWait returns the market after an answer whose first part took that share of its objective.
// Shares that are negative or not finite are ignored.
//
// After a pause an answer takes over the weight that the answers before it have lost. Otherwise
// the level of a daemon with few answers would be too low: by a third at seven answers a second.
func (m Market) WithWait(share float64, now time.Time) Market {
	if !(share >= 0) || math.IsInf(share, 1) {
		return m
	}
	share = min(share, MaxShare)
	gap := now.Sub(m.waitedAt)
	kept := (1 - waitWeight) * halvings(gap, levelHalfLife)
	m.mean = kept*m.mean + min(1-kept, waitWeight+maxPauseWeight)*share
	d := halvings(gap, countHalfLife)
	m.recent = Wait{Count: d*m.recent.Count + 1, Share: d*m.recent.Share + share}
	if gap > 0 {
		m.waitedAt = now
	}
	return m
}

// WithRun returns the market after a run of that cost was considered.
func (m Market) WithRun(cost float64) Market {
	if !(cost > 0) || math.IsInf(cost, 1) {
		return m
	}
	m.runs++
	m.scale += max(runWeight, 1/m.runs) * (cost - m.scale)
	return m
}

// WithReport returns the market after a report of its sum to the other daemons, and the sum.
func (m Market) WithReport(now time.Time) (Market, Wait) {
	gap := now.Sub(m.waitedAt)
	d := halvings(gap, countHalfLife)
	m.reported = Wait{Count: d * m.recent.Count, Share: d * halvings(gap, levelHalfLife) * m.recent.Share}
	return m, m.reported
}

// WithTotal returns the market after the sum over all daemons has arrived. The answers that this
// daemon has reported are deducted, since its level counts them already. A sum that is not valid
// means that there is no total.
func (m Market) WithTotal(t Wait, now time.Time) Market {
	t = t.valid()
	m.others = Wait{Count: t.Count - m.reported.Count, Share: max(0, t.Share-m.reported.Share)}.valid()
	m.totalAt = now
	return m
}

// Level returns the level of congestion: the mean time to the first part of answers relative to
// their objectives.
func (m Market) Level(now time.Time) float64 {
	gap := now.Sub(m.waitedAt)
	own := m.mean * halvings(gap, levelHalfLife)
	age := max(0, now.Sub(m.totalAt))
	if m.others.Count <= 0 || age >= TotalLifetime {
		return own
	}
	ownWeight := m.recent.Count * halvings(gap, countHalfLife)
	weight := m.others.Count / (1 + m.others.Count/maxTotalWeight) * min(1, float64(TotalLifetime-age)/float64(TotalLifetime-totalInterval))
	others := m.others.Mean() * halvings(age-totalInterval, levelHalfLife)
	return (own*ownWeight + others*weight) / (ownWeight + weight)
}

// Relative returns the cost relative to the mean of the runs considered, or 1 if it is unknown.
func (m Market) Relative(cost float64) float64 {
	if m.scale <= 0 || !(cost > 0) || math.IsInf(cost, 1) {
		return 1
	}
	return cost / m.scale
}

// Price returns what a run of that cost costs other requests, as a fraction of a request's value.
func (m Market) Price(cost float64, now time.Time) float64 {
	level := m.Level(now)
	return scarcity * level * level * m.Relative(cost)
}

// halvings returns the factor by which a value falls in a time, 1 if the time is not positive.
func halvings(t, halfLife time.Duration) float64 {
	if t <= 0 {
		return 1
	}
	return math.Exp2(-float64(t) / float64(halfLife))
}

// bounded returns x between 0 and most, and 0 if x is not a number.
func bounded(x, most float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, most)
}
