package canary

import (
	"fmt"
	"math"
)

// alternative is a kind of bad version. A version may be completed only if its answers are likelier for
// a good version by a factor of e^odds.
type alternative struct {
	slowdowns []slowdown
	// failures is the increase of the failure rate.
	failures float64
	odds     float64
}

// alternatives are the bad versions that must be ruled out. With fewer than eight answers none is;
// smaller shares would need more answers than a version may give before its opening.
var alternatives = []alternative{
	{slowdowns: []slowdown{{0.2, 5}, {0.2, 9}}, failures: 0.15, odds: 1},
	{slowdowns: []slowdown{{0.3, 5}, {0.3, 9}, {0.4, 5}, {0.4, 9}, {0.8, 5}, {0.8, 9}}, failures: 0.4, odds: 2},
}

// minWarmingAnswers is how many answers with known times take the place of the alternatives of slow
// answers if the servers cache prompts: the empty caches of a good version look like some of them.
const minWarmingAnswers = 30

// unproven returns why the answers do not show that the version is good, or "" if they do.
func (f finding) unproven(caching bool) string {
	n := f.candidate.First.total()
	if caching && n < minWarmingAnswers {
		return fmt.Sprintf("%d answers with known times, %d needed", n, minWarmingAnswers)
	}
	for _, a := range alternatives {
		if odds := -f.failureOdds(a.failures); odds < a.odds {
			return fmt.Sprintf("%d of %d answers failed; log odds of %.1f against %.0f more failures in 100, %.0f needed", f.candidate.Failed, f.candidate.Answers, odds, 100*a.failures, a.odds)
		}
		if odds := -f.slownessOdds(a.slowdowns); !caching && odds < a.odds {
			return fmt.Sprintf("%d of %d answers with known times were slow; log odds of %.1f against a share of %.1f slow answers, %.0f needed", f.candidate.First.slowCount(), n, odds, a.slowdowns[0].share, a.odds)
		}
	}
	return ""
}

// slownessOdds returns the log likelihood ratio of slowed answers against those of a good version.
func (f finding) slownessOdds(bad []slowdown) float64 {
	expected := f.old.First.expectedShares()
	return f.candidate.First.maxLogLikelihood(expected, bad) - f.candidate.First.maxLogLikelihood(expected, goodSlowdowns)
}

// failureOdds returns the log likelihood ratio of an increased failure rate against the old
// version's.
func (f finding) failureOdds(increase float64) float64 {
	good := f.old.failureRate()
	bad := math.Min(good+increase, maxFailureRate)
	failed, others := float64(f.candidate.Failed), float64(f.candidate.Answers)-float64(f.candidate.Failed)
	return failed*math.Log(bad/good) + others*math.Log((1-bad)/(1-good))
}
