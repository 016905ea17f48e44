// Package evidence finds out, from counts of good and bad answers, that a
// version has gone bad.
package evidence

import "math"

// Test is a cumulative-sum test (Page, 1954) of the share of bad answers. It
// sums the log likelihood ratio of each answer under a bad against a good
// share, never below zero, and alarms when the sum passes a threshold. It is a
// value.
type Test struct {
	// Good and Bad are the shares of bad answers to tell apart.
	Good float64
	Bad  float64
	// Threshold is the sum at which it alarms: a false alarm needs on average
	// more than e^Threshold answers of a good version.
	Threshold float64
	// Sum is the present sum.
	Sum float64
}

// Default tells 2% from 10% of bad answers, with a false alarm once in more
// than e^14 (1.2 million) answers of a good version.
var Default = Test{Good: 0.02, Bad: 0.10, Threshold: 14}

// Pooled tells 2% from 5% of bad answers in the counts of all daemons together,
// which come fast enough for so fine a test, with the same rate of false alarms.
var Pooled = Test{Good: 0.02, Bad: 0.05, Threshold: 14}

// Ratings tells 10% from 40% of bad ratings, with a false alarm once in more
// than e^9 (8,000) ratings of a good version.
var Ratings = Test{Good: 0.10, Bad: 0.40, Threshold: 9}

// WithCounts returns the test after a number of answers, of which some were
// bad. Within one batch the order of answers is unknown; the bad ones are
// taken as spread evenly, by summing the whole batch at once.
func (t Test) WithCounts(answers, bad uint64) Test {
	bad = min(bad, answers)
	good := answers - bad
	llr := float64(bad)*math.Log(t.Bad/t.Good) + float64(good)*math.Log((1-t.Bad)/(1-t.Good))
	t.Sum = max(0, t.Sum+llr)
	return t
}

// Alarmed reports whether the version has been found bad.
func (t Test) Alarmed() bool { return t.Sum >= t.Threshold }
