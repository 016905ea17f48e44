// Package evidence detects from counts of good and bad answers that a version has become faulty.
package evidence

import "math"

// Test is a cumulative-sum (CUSUM) test (Page, 1954) of the share of bad answers. It sums the log
// likelihood ratio of each answer under the bad against the good share, never below zero, and
// raises an alarm when the sum reaches a threshold. It is immutable.
type Test struct {
	// Good and Bad are the shares of bad answers that the test distinguishes.
	Good float64
	Bad  float64
	// Threshold is the sum that raises an alarm. A false alarm takes more than e^Threshold answers
	// of a good version on average.
	Threshold float64
	// Sum is the present sum.
	Sum float64
}

// Default distinguishes 2% from 10% of bad answers, with a false alarm once in more than e^14 (1.2
// million) answers of a good version.
var Default = Test{Good: 0.02, Bad: 0.10, Threshold: 14}

// Pooled distinguishes 2% from 5% of bad answers in the counts of all daemons together, which are
// large enough for so fine a test. Its rate of false alarms is that of Default.
var Pooled = Test{Good: 0.02, Bad: 0.05, Threshold: 14}

// Ratings distinguishes 10% from 40% of bad ratings, with a false alarm once in more than e^9
// (8,000) ratings of a good version.
var Ratings = Test{Good: 0.10, Bad: 0.40, Threshold: 9}

// WithCounts returns the test after a number of answers, some of them bad. The order of answers
// within a batch is unknown; the whole batch is added at once, as if the bad answers were spread
// evenly.
func (t Test) WithCounts(answers, bad uint64) Test {
	bad = min(bad, answers)
	good := answers - bad
	llr := float64(bad)*math.Log(t.Bad/t.Good) + float64(good)*math.Log((1-t.Bad)/(1-t.Good))
	t.Sum = max(0, t.Sum+llr)
	return t
}

// Alarmed reports whether the test rejects the version.
func (t Test) Alarmed() bool { return t.Sum >= t.Threshold }
