package canary

import (
	"fmt"

	"ladderridge.example/core/evidence"
)

// Count is what has been seen of a version on one route.
type Count struct {
	Answers uint64
	Failed  uint64
	// Slow answers took several times as long as the like of the other version.
	Slow uint64
}

// Plus adds two counts.
func (c Count) Plus(d Count) Count {
	return Count{Answers: c.Answers + d.Answers, Failed: c.Failed + d.Failed, Slow: c.Slow + d.Slow}
}

// Pair has the counts of the new and the old version on one route.
type Pair struct {
	New Count
	Old Count
}

// The bounds of the judgement.
const (
	// worse is how much larger than the old version's share of bad answers a
	// bad version's is: versions that are bad fail a fifth of their requests or
	// more, while the share of an old one is known to a few in a hundred.
	worse = 0.15
	// least is the smallest share of bad answers a good version is tested
	// against: nothing fails never.
	least = 0.02
	// threshold is the log likelihood ratio that condemns a version; a good one
	// comes to it once in more than e^9 (8,000) judgements.
	threshold = 9
	// prior is how many answers the old version's share is taken to rest on
	// beside those seen, at the share `least`.
	prior = 20
)

// Judge returns why a version is bad, or "". The routes are judged each for
// itself and together: a version may be bad on a single one.
func Judge(routes map[string]Pair) string {
	var all Pair
	for name, p := range routes {
		if why := judge(p); why != "" {
			return why + " on " + name
		}
		all.New, all.Old = all.New.Plus(p.New), all.Old.Plus(p.Old)
	}
	return judge(all)
}

func judge(p Pair) string {
	if why := test(p.New.Answers, p.New.Failed, p.Old.Answers, p.Old.Failed); why != "" {
		return "failures: " + why
	}
	if why := test(p.New.Answers, p.New.Slow, p.Old.Answers, p.Old.Slow); why != "" {
		return "slow answers: " + why
	}
	return ""
}

// test weighs the new version's share of bad answers: is it the old one's, or
// that much worse?
func test(answers, bad, oldAnswers, oldBad uint64) string {
	good := max(least, (float64(oldBad)+least*prior)/(float64(oldAnswers)+prior))
	if good+worse >= 1 {
		return ""
	}
	t := evidence.Test{Good: good, Bad: good + worse, Threshold: threshold}.WithCounts(answers, bad)
	if !t.Alarmed() {
		return ""
	}
	return fmt.Sprintf("%d of %d answers bad, %d of %d of the old version", bad, answers, oldBad, oldAnswers)
}
