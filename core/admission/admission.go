// Package admission decides whether a request is sent to the model servers of its service or is
// refused now, with a time after which it may be tried again. It refuses only what is of use to
// callers: requests that cannot end before their deadlines, except for a few probes, and under
// severe congestion, when most answers are late, some of the requests whose runs delay others the
// most.
package admission

import (
	"math"
	"time"
)

const (
	// severeLevel is the level of congestion above which requests are refused: most answers are
	// late there. At fullLevel as many are refused as may be.
	severeLevel = 0.8
	fullLevel   = 1.6
	// calmLevel is the level at which answers begin to be late: callers return when it is reached.
	calmLevel = 0.4
	// maxRefused bounds the refusal probability, so that no route, rank or organisation starves.
	maxRefused = 0.5
	// leastPossible is the probability of an end before the deadline below which a request is
	// refused at once.
	leastPossible = 0.02
	// probes is the fraction of the requests that are expected to end too late but are sent. Only
	// runs that end correct the estimate: without probes, a service that was slow for a while would
	// refuse all requests with short deadlines from then on.
	probes = 0.05
	// lateValue is the value of a late answer relative to one in time. Users state 0.3 to 0.5.
	lateValue = 0.35
	// shareWeight is how much severity rises with an organisation's share above the fair one.
	// maxShareAbove and maxShareBelow bound the difference. The others are then refused only when
	// more than half of the refusals possible have not reduced the congestion.
	shareWeight   = 0.5
	maxShareAbove = 1
	maxShareBelow = 0.5
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	maxRank       = 9
)

// Request is a request before its first attempt.
type Request struct {
	// Organisation is the caller's organisation.
	Organisation string
	// Rank is the rank of the route, 0 the most urgent.
	Rank int
	// Cost is the cost of the first run, relative to the mean of the service's runs.
	Cost float64
	// InTime is the probability that the first part arrives before the objective, and Possible the
	// one that the run ends before the deadline; 1 if unknown.
	InTime, Possible float64
	// Returned reports whether the request returns after a refusal.
	Returned bool
}

// State is the state of the service.
type State struct {
	// Level is the level of congestion, and Change its change per second.
	Level, Change float64
	// Share is the server time used by the request's organisation relative to its fair share; 0
	// if unknown.
	Share float64
}

// Decision is Send or Refuse.
type Decision interface{ decision() }

// Send is the decision to send the request.
type Send struct{}

// Refuse is the decision to refuse the request before it runs.
type Refuse struct {
	Reason     Reason
	RetryAfter time.Duration
}

func (Send) decision()   {}
func (Refuse) decision() {}

// Reason is the reason of a refusal.
type Reason uint8

// The reasons of refusals.
const (
	// Congested means that most answers of the service are late.
	Congested Reason = iota
	// TooLate means that the request cannot end before its deadline.
	TooLate
	// Reasons is the number of reasons.
	Reasons
)

// String returns the reason as in the counters of refusals.
func (r Reason) String() string {
	switch r {
	case Congested:
		return "congested"
	case TooLate:
		return "too late"
	}
	return "unknown"
}

// Decide returns the decision for a request. The draw is uniform in [0, 1).
func Decide(r Request, s State, draw float64) Decision {
	if !(draw >= 0 && draw < 1) {
		draw = 0
	}
	if r.Possible < leastPossible && draw < 1-probes {
		return Refuse{Reason: TooLate, RetryAfter: retryAfter(s, draw)}
	}
	if p := Probability(r, s); draw < p {
		return Refuse{Reason: Congested, RetryAfter: retryAfter(s, draw/p)}
	}
	return Send{}
}

// Probability returns the probability with which a request is refused because of congestion.
//
// Ranks take disjoint ranges of the order in which requests are refused: no request of a rank is
// refused with a higher probability than one of a less urgent rank, whatever their costs, if the
// shares of their organisations are the same. Within a rank the order is that of cost.
func Probability(r Request, s State) float64 {
	if !(s.Level > severeLevel) {
		return 0
	}
	severity := min(1, (s.Level-severeLevel)/(fullLevel-severeLevel))
	if s.Share > 0 {
		severity = min(1, severity+shareWeight*min(maxShareAbove, max(-maxShareBelow, s.Share-1)))
	}
	width := math.Ldexp(1, -1-min(max(r.Rank, 0), maxRank))
	order := 1 - 2*width + width*costOrder(r)
	p := min(maxRefused, max(0, severity+order-1))
	if r.Returned {
		p /= 2
	}
	return p
}

// costOrder maps the cost per expected value of the answer to [0, 1]. The mean cost is at a half,
// and so is one that is not a number.
func costOrder(r Request) float64 {
	cost := r.Cost
	if !(cost >= 0) {
		cost = 1
	}
	if r.InTime >= 0 && r.InTime < 1 {
		cost /= r.InTime + lateValue*(1-r.InTime)
	}
	return 1 - 1/(1+cost)
}

// retryAfter returns the time in which the level falls to the calm one at its present change,
// spread over one to two times of it, so that callers don't return together.
func retryAfter(s State, spread float64) time.Duration {
	after := maxRetryAfter
	switch excess := s.Level - calmLevel; {
	case !(excess > 0):
		after = minRetryAfter
	case s.Change < 0:
		after = time.Duration(min(float64(maxRetryAfter), -excess/s.Change*float64(time.Second)))
	}
	return time.Duration(float64(max(minRetryAfter, after)) * (1 + spread))
}
