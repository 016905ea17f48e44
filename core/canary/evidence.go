package canary

import (
	"fmt"
	"maps"

	"ladderridge.example/core/evidence"
)

// Count is what has been seen of a version on one route.
type Count struct {
	Answers uint64
	Failed  uint64
	// First are the times to the first part of an answer, Between those between
	// the events of a stream.
	First   Paces
	Between Paces
}

// Plus adds two counts.
func (c Count) Plus(d Count) Count {
	return Count{Answers: c.Answers + d.Answers, Failed: c.Failed + d.Failed, First: c.First.Plus(d.First), Between: c.Between.Plus(d.Between)}
}

// Counts are what has been seen of a version, by route.
type Counts map[string]Count

// Plus adds what else has been seen.
func (c Counts) Plus(d Counts) Counts {
	out := maps.Clone(c)
	if out == nil {
		out = Counts{}
	}
	for route, n := range d {
		out[route] = out[route].Plus(n)
	}
	return out
}

// all is the sum over the routes.
func (c Counts) all() Count {
	var out Count
	for _, n := range c {
		out = out.Plus(n)
	}
	return out
}

// Evidence is what has been seen of both versions of a service.
type Evidence struct {
	Old Counts
	// New has the counts of each server of the new version; "" has those of
	// servers that are not told apart.
	New map[string]Counts
}

// Answers is how many answers of the new version have been seen.
func (e Evidence) Answers() uint64 {
	sum := uint64(0)
	for _, counts := range e.New {
		sum += counts.all().Answers
	}
	return sum
}

// The bounds of the judgement.
const (
	// worse is how much larger than the old version's share of failures a bad
	// version's is: versions that are bad fail a fifth of their requests or more,
	// while the share of an old one is known to a few in a hundred.
	worse = 0.15
	// least is the smallest share of failures a good version is tested against:
	// nothing fails never.
	least = 0.02
	// condemned is the log likelihood ratio that condemns a version; a good one
	// comes to it once in more than e^9 (8,000) judgements.
	condemned = 9
	// suspected is the ratio at which one server is set aside, so that another one
	// confirms or clears the version.
	suspected = 6
	// confirmed is the least ratio without the worst server: one that is broken or
	// slow itself does not speak for its version.
	confirmed = 3
	// prior is how many answers the old version's shares are taken to rest on
	// beside those seen.
	prior = 20
)

// Verdict is what evidence says of a new version.
type Verdict struct {
	// Why says why the version is bad, or "".
	Why string
	// Aside are servers that look bad themselves: others speak for the version.
	Aside []string
}

// Judge weighs the evidence. The routes are judged each for itself and together,
// since a version may be bad on a single one.
func (e Evidence) Judge() Verdict {
	var v Verdict
	worst, worstRatio := "", 0.0
	all := Counts{}
	for server, counts := range e.New {
		all = all.Plus(counts)
		if server == "" {
			continue
		}
		ratio, _ := e.ratio(counts)
		if ratio >= suspected {
			v.Aside = append(v.Aside, server)
		}
		if ratio > worstRatio {
			worst, worstRatio = server, ratio
		}
	}
	ratio, why := e.ratio(all)
	if ratio < condemned || !e.confirmed(worst) {
		return v
	}
	v.Why = why
	return v
}

// confirmed reports whether more than one server speaks against the version.
func (e Evidence) confirmed(worst string) bool {
	if worst == "" {
		return true
	}
	rest := Counts{}
	for server, counts := range e.New {
		if server != worst {
			rest = rest.Plus(counts)
		}
	}
	ratio, _ := e.ratio(rest)
	return ratio >= confirmed
}

// ratio is the largest log likelihood ratio of a bad version against a good one,
// over the routes and the ways of being bad, and what it rests on.
func (e Evidence) ratio(counts Counts) (most float64, why string) {
	most, why = ratio(counts.all(), e.Old.all())
	for route, n := range counts {
		if r, w := ratio(n, e.Old[route]); r > most {
			most, why = r, w+" on "+route
		}
	}
	return most, why
}

// ratio adds up what failures, first parts and events say: a version that is bad in
// one way is often bad in others.
func ratio(fresh, old Count) (sum float64, why string) {
	failures, first, between := failureRatio(fresh, old), paceRatio(fresh.First, old.First), paceRatio(fresh.Between, old.Between)
	why = fmt.Sprintf("failures %.1f, slow first parts %.1f, slow streams %.1f: of %d answers %d failed, %d and %d were several times slower than usual; of the old version's %d it were %d, %d and %d",
		failures, first, between, fresh.Answers, fresh.Failed, fresh.First.slow(), fresh.Between.slow(), old.Answers, old.Failed, old.First.slow(), old.Between.slow())
	return failures + first + between, why
}

// failureRatio weighs the new version's share of failures: is it the old one's,
// or that much worse?
func failureRatio(fresh, old Count) float64 {
	good := max(least, (float64(old.Failed)+least*prior)/(float64(old.Answers)+prior))
	if good+worse >= 1 {
		return 0
	}
	return evidence.Test{Good: good, Bad: good + worse}.WithCounts(fresh.Answers, fresh.Failed).Sum
}
