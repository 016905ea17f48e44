// Package cascade decides whether the answer of a small model is good enough to be returned, or is
// dropped and the request sent to the largest model of its model cascade. The decision rests on
// the confidence that the model states, and on what a larger model's answer can still gain given
// the load of the servers.
package cascade

import (
	"fmt"
	"math"
	"time"
)

const (
	// minGain is the least expected gain of a larger model's answer, as a fraction of the value of
	// a good answer in time: the larger model costs more and processes the prompt again. With this
	// margin an answer is dropped below a confidence of 60 if the servers are idle. Any threshold
	// between 45 and 70 gives nearly the same result.
	minGain = 0.4
	// delayCost is the cost of delaying requests by one objective in total, on servers so busy
	// that the smallest model's answer took its whole objective: there each delayed request is
	// late. On idle servers a delay costs nothing. During incidents the term keeps runs of larger
	// models from making other requests late where prompt processing is the bottleneck, at a small
	// cost on calm days. That cost would be larger if the term were not multiplied by WaitShare.
	delayCost = 2
	// idlePrice is the least price of a larger model's run: also on idle servers it processes the
	// prompt again and is paid for.
	idlePrice = 0.1
	// lateWorth is the value of a late answer to callers as a fraction of one in time. The users
	// state 0.3 to 0.5.
	lateWorth = 0.35
)

// Step is the position of a request in its cascade.
type Step struct {
	// Index is the present model, 0 the smallest.
	Index int
	// Top is the index of the largest model.
	Top int
}

// Start returns the first step of a cascade of n models.
func Start(n int) Step { return Step{Index: 0, Top: n - 1} }

// Largest reports whether there is no larger model.
func (s Step) Largest() bool { return s.Index >= s.Top }

// Next returns the step that follows if an answer is dropped: the largest model. Models in between
// are skipped, since each further run costs time and prompt memory again and gains less than it
// costs.
func (s Step) Next() Step { return Step{Index: s.Top, Top: s.Top} }

// Load describes the load of the servers as far as it matters for a request.
type Load struct {
	// InTime is the probability that a larger model answers in time.
	InTime float64
	// WaitShare is the time of the smallest model's answer as a fraction of the objective. It
	// measures how long other requests wait for the capacity that a larger model's run takes.
	WaitShare float64
	// Delay is by how much the run of a larger model delays the requests at its server, in total,
	// as a multiple of the objective.
	Delay float64
	// Priced is set if the service has a price of server time. Price is then what the run of a
	// larger model costs other requests, as a fraction of the value of a good answer in time; it
	// replaces WaitShare and Delay. These two are relative to the objective of the route, so that
	// routes with short objectives, often the most urgent ones with the smallest requests, would
	// lose their larger models first.
	Priced bool
	Price  float64
}

// String describes the confidence threshold and the values it results from, for logs.
func (l Load) String() string {
	if l.Priced {
		return fmt.Sprintf("line %.0f (in time %.2f, price %.2f)", ConfidenceThreshold(l), l.InTime, l.Price)
	}
	return fmt.Sprintf("line %.0f (in time %.2f, waited %.2f, delays %.2f)", ConfidenceThreshold(l), l.InTime, l.WaitShare, l.Delay)
}

// WaitShare returns the time that the smallest model's answer takes, as a fraction of the
// objective: the geometric mean of this request's own time and of the mean time of such answers,
// or 0 if either is unknown.
//
// It reacts to a burst in time. The mean follows a burst by some twenty answers, which for one of
// many daemons is seconds: at the beginning of a burst the runs of larger models overloaded the
// servers, and for two seconds after it answers were still dropped as rarely as on full servers
// though they took a tenth of a second. A request's own time reacts at once, but is also long if
// the server has to process a long prompt for the first time.
//
// The geometric mean balances the two: the mean alone loses value in bursts, and the request's own
// time alone loses value on calm days.
func WaitShare(elapsed, mean, objective time.Duration) float64 {
	if mean <= 0 || elapsed <= 0 || objective <= 0 {
		return 0
	}
	return math.Sqrt(elapsed.Seconds()*mean.Seconds()) / objective.Seconds()
}

// ConfidenceThreshold returns the confidence, from 0 to 100, below which an answer is dropped. It
// falls with the load of the servers for three reasons: a larger model is less likely to answer in
// time, its run takes capacity that other requests wait for, and it delays the requests at its
// server.
func ConfidenceThreshold(l Load) float64 {
	return 100 * (l.InTime + lateWorth*(1-l.InTime) - minGain - l.costToOthers())
}

// costToOthers returns what the run of a larger model costs other requests, as a fraction of the
// value of a good answer in time.
func (l Load) costToOthers() float64 {
	if l.Priced {
		return max(l.Price, idlePrice)
	}
	return l.WaitShare + delayCost*l.WaitShare*l.Delay
}

// Escalate reports whether an answer of that confidence is dropped for one of a larger model. An
// answer without a stated confidence is kept.
func (s Step) Escalate(confidence int, stated bool, l Load) bool {
	return !s.Largest() && stated && float64(confidence) < ConfidenceThreshold(l)
}
