// Package cascade decides which model of a ladder, from the smallest to the
// largest, answers a request, and whether a first answer is good enough to be
// shown, by the model's own confidence in it and by what a larger model can
// still do for the request.
package cascade

import (
	"fmt"
	"math"
	"time"
)

const (
	// margin is what an answer of a larger model must be expected to gain, as a
	// part of a good answer in time: it costs more, and its prompt is read
	// once more. With it an answer is dropped below a confidence of 60 when
	// nothing is busy. Trials on recorded days of two users served best there;
	// between 45 and 70 the result moved by less than 0.02.
	margin = 0.4
	// delayCost is what it costs to hold up requests for as long as an objective,
	// all together, where servers are so busy that the smallest model's answer took all
	// of its objective: by then each of them is late. Where nothing waits it costs
	// nothing. With it the mean worth of days with trouble rose from 0.628 to 0.641
	// of what is owed where reading binds (a calm day fell from 0.732 to 0.728), and
	// stayed at 0.787 where it does not (0.850 to 0.846); six and three seeds of five
	// days. Without the part of how busy servers are it costs calm days up to 0.03.
	delayCost = 2
	// lateWorth is what a late answer is worth to callers, as a part of one in
	// time: the users state 0.3 to 0.5.
	lateWorth = 0.35
)

// Step is the place of a request on its ladder.
type Step struct {
	// Index is the present model, 0 the smallest.
	Index int
	// Top is the index of the largest model.
	Top int
}

// Start is where a request begins on a ladder of n models.
func Start(n int) Step { return Step{Index: 0, Top: n - 1} }

// Largest reports whether there is no larger model.
func (s Step) Largest() bool { return s.Index >= s.Top }

// Next returns the step to go to if an answer is dropped. Models between the first
// and the largest are passed over: each more run costs time and prompt memory
// again, and gains less than it costs.
func (s Step) Next() Step { return Step{Index: s.Top, Top: s.Top} }

// Load is how busy servers are, for a request.
type Load struct {
	// InTime is the probability that a larger model answers in time.
	InTime float64
	// WaitShare is the part of the objective that the smallest model's answer takes: what a
	// larger model takes of the servers, others wait for.
	WaitShare float64
	// Delay is how long its run holds up the requests that are at the server, all
	// together, in terms of the objective.
	Delay float64
}

// String says what the line follows from, for logs.
func (l Load) String() string {
	return fmt.Sprintf("line %.0f (in time %.2f, waited %.2f, delays %.2f)", ConfidenceThreshold(l), l.InTime, l.WaitShare, l.Delay)
}

// WaitShare is the part of an objective that the smallest model's answer takes: the
// geometric mean of what this request has waited for it and of what such answers usually
// take, 0 if that is not known.
//
// The load that this answers is a burst. What is usual follows it by some twenty answers,
// which for one of many daemons is seconds: at its beginning larger models' runs crowded
// the servers, and for two seconds after it answers that took a tenth of a second were
// dropped as seldom as if servers were full. A request's own wait knows at once, but also
// counts a long prompt that is new to a server. Against the usual alone the mean worth with
// five times the traffic for six seconds rose from 0.587 to 0.609 of what is owed, with
// 2.5 times for seven from 0.698 to 0.714, and stayed at 0.80 on a calm day (small twins,
// three seeds); the own wait alone came to 0.621, 0.722 and 0.790, and at full size to
// 0.802, 0.750 and 0.736 on three days where both together came to 0.807, 0.769 and 0.736.
func WaitShare(own, usual, objective time.Duration) float64 {
	if usual <= 0 || own <= 0 || objective <= 0 {
		return 0
	}
	return math.Sqrt(own.Seconds()*usual.Seconds()) / objective.Seconds()
}

// ConfidenceThreshold is the confidence, from 0 to 100, below which an answer is dropped. When
// servers are busy it falls, three times: a larger model is less likely in time,
// its run costs more of what others wait for, and it holds up those that are there.
func ConfidenceThreshold(l Load) float64 {
	return 100 * (l.InTime + lateWorth*(1-l.InTime) - margin - l.WaitShare - delayCost*l.WaitShare*l.Delay)
}

// Escalate reports whether an answer of that confidence is to be dropped. One
// without a stated confidence is kept.
func (s Step) Escalate(confidence int, stated bool, l Load) bool {
	return !s.Largest() && stated && float64(confidence) < ConfidenceThreshold(l)
}
