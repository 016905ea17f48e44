package canary

import (
	"fmt"
	"maps"
	"slices"

	"ladderridge.example/core/evidence"
)

// Count is what has been seen of a version on one route.
type Count struct {
	Answers uint64
	Failed  uint64
	// First are the times to the first part of an answer, Between those between
	// the events of a stream.
	First   LatencyHistogram
	Between LatencyHistogram
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

const (
	// triedServers and triedAnswers are how many servers of a version must have answered
	// how often for a doubt to rest on more than their luck.
	triedServers = 3
	triedAnswers = 300
)

// SampleSufficient reports whether so many answers of so many servers have been seen that a doubt is
// enough to stop the use of the version, whatever time is left: of a large service a few
// seconds bring more bad answers than a small one's order.
func (e Evidence) SampleSufficient() bool { return len(e.New) >= triedServers && e.Answers() >= triedAnswers }

// What is expected of versions before anything was seen.
const (
	// least is the smallest share of failures a good version is tested against:
	// nothing fails never.
	least = 0.001
	// usualFailed is the share of failures that is expected of the old version before
	// anything was seen, known as well as by prior answers.
	usualFailed = 0.02
	prior       = 20
)

// bounds are how much of each kind of evidence it takes for a judgement.
type bounds struct {
	// failures and times are log likelihood ratios.
	failures float64
	times    float64
	// pairs is how many standard deviations the comparison of times is above what is
	// tolerated.
	pairs float64
}

// standard is what it takes over all routes, and on a single one, of which several
// are looked at.
type standard struct {
	all   bounds
	route bounds
}

// The standards are set by 36 recorded roll-outs of good versions of three services
// and 72 of bad ones, of which a tenth to all of the answers were slower. A good
// version's few servers differ from the old ones by more than chance: the ratio of the
// spread of times came to 14 at most but for one of 21, the comparison to less than 2.5
// standard deviations. A good version comes to the ratio of failures once in more than e^9
// (8,000) judgements.
var (
	// condemning is what it takes to stop the use of a version.
	condemning = standard{
		all:   bounds{failures: 9, times: 20, pairs: 2.5},
		route: bounds{failures: 9, times: 20, pairs: 3.5},
	}
	// doubting is what it takes for a version not to be completed: completed, it serves
	// all callers and nothing is left to go back to. Two failures of 165 answers are enough
	// where the old version has none among thousands.
	doubting = standard{
		all:   bounds{failures: 2, times: 16, pairs: 0.25},
		route: bounds{failures: 5, times: 16, pairs: 3.2},
	}
)

// fewAnswers and fewCaution are up to how many answers a comparison of times takes how
// many times as much: servers of a new version have read nothing at first. A good version
// of 65 daemons stood at 0.76 of pairs, 2.8 deviations above what is tolerated, with 55
// answers of one data hall after four seconds, and at 0.67 with all 119; bad ones of which
// a third of the requests take eight times as long at 0.86 with 74, more than five.
const (
	fewAnswers = 80
	fewCaution = 1.4
)

const (
	// confirming is the least part of what condemns, or doubts, that is left without the
	// worst server: one that is broken or slow itself does not speak for its version.
	confirming = 0.65
	// othersPart is the part of the answers that other servers must have given for their
	// word to be asked where a version is only doubted: what a single server showed is no
	// reason to complete it.
	othersPart = 0.25
)

// worse are by how much a bad version's share of failures is larger than the old
// one's. Which is not known beforehand.
var worse = []float64{0.02, 0.05, 0.15, 0.4}

// Verdict is what evidence says of a new version.
type Verdict struct {
	// Summary says what was compared.
	Summary string
	// Rejection says why the version is bad, or "".
	Rejection string
	// Suspicion says why the version may not be completed, or "": there is less against it
	// than what condemns it, but more than good versions come to.
	Suspicion string
	// ErrorBudgetSpent tells that, if the version is bad, so many callers have met a bad answer of more
	// than one of its servers that a doubt is enough to stop its use.
	ErrorBudgetSpent bool
	// Ejected are servers that look bad themselves: others speak for the version.
	Ejected []string
}

const (
	// spentAnswers is how many bad answers callers may have met of a version that is doubted
	// before others are spared them. Of recorded versions of which half of the requests take
	// twice as long 0.89, 1, 0.72 and 0.89 are found before their last step with it, 0.61, 0.89,
	// 0.72 and 0.78 without; good ones are not completed as often as before (18 draws each).
	spentAnswers = 25
	// spentOthers is how many answers the other servers must have given for the doubt to be
	// about more than the worst one.
	spentOthers = 12
)

// Judge weighs the evidence. The routes are judged each for itself and together,
// since a version may be bad on a single one.
func (e Evidence) Judge() Verdict {
	var v Verdict
	all := Counts{}
	worst, most := "", 0.0
	for server, counts := range e.New {
		all = all.Plus(counts)
		if server == "" {
			continue
		}
		// If it took less to set a server aside, those of a bad version would be left one
		// after the other just when they have shown it, and idle ones asked.
		weight, _ := e.find(counts, 1).weight(condemning)
		if weight >= 1 {
			v.Ejected = append(v.Ejected, server)
		}
		if weight > most {
			worst, most = server, weight
		}
	}
	whole, rest := e.find(all, len(e.New)), e.find(e.without(worst), len(e.New)-1)
	v.Summary = whole[""].String()
	v.Rejection = verdict(whole, rest, condemning)
	v.Suspicion = verdict(whole, rest, doubting)
	if !rest.speakFor(whole) {
		v.Suspicion = verdict(whole, whole, doubting)
	}
	v.ErrorBudgetSpent = v.Suspicion != "" && whole[""].bad() >= spentAnswers && rest[""].slow()
	if v.Suspicion != "" && whole[""].bad() >= spentAnswers && rest[""].fresh.Answers < spentOthers && worst != "" && !slices.Contains(v.Ejected, worst) {
		// Others are asked whether it is the version or the server.
		v.Ejected = append(v.Ejected, worst)
	}
	return v
}

// bad is how many of the answers are worse than those of a good version, about: those that
// are slower than a good version's in so many pairs more, and those that failed.
func (f finding) bad() float64 {
	bad := float64(f.fresh.Failed)
	if f.pairs.deviation > 0 {
		bad += max(0, f.pairs.slower-tolerated) / (1 - tolerated) * float64(f.fresh.Answers)
	}
	return bad
}

// slow reports whether enough answers are slower than those of a good version, or fail.
func (f finding) slow() bool {
	return f.fresh.Answers >= spentOthers && (f.pairs.excess() > 0 || f.fresh.Failed > 1)
}

// speakFor reports whether what was found without the worst server speaks for the
// version: many others have answered, and they are not slow by more than chance. If they
// only say less against it, one server in three would be enough to complete a version of
// which half of the requests take twice as long.
func (f findings) speakFor(whole findings) bool {
	others := f[""]
	if float64(others.fresh.Answers) < othersPart*float64(whole[""].fresh.Answers) {
		return false
	}
	return others.pairs.deviation == 0 || others.pairs.excess() < -1
}

// verdict says why a version falls short of a standard, or "".
func verdict(whole, rest findings, s standard) string {
	weight, why := whole.weight(s)
	if confirmed, _ := rest.weight(s); weight < 1 || confirmed < confirming {
		return ""
	}
	return why()
}

// without is what was seen of the new version without one server's answers.
func (e Evidence) without(worst string) Counts {
	rest := Counts{}
	for server, counts := range e.New {
		if server == "" || server != worst {
			rest = rest.Plus(counts)
		}
	}
	return rest
}

// findings are what was found on all routes together, under "", and on each.
type findings map[string]finding

// find weighs what was seen of the new version, on all routes and on each.
// Its answers come from a number of servers.
func (e Evidence) find(counts Counts, servers int) findings {
	out := findings{"": weigh(counts, e.Old, servers)}
	for route, n := range counts {
		out[route] = weigh(Counts{route: n}, Counts{route: e.Old[route]}, servers)
	}
	return out
}

// weight is what speaks most against the version, in terms of what a standard takes,
// and what it rests on.
func (f findings) weight(s standard) (weight float64, why func() string) {
	on := ""
	for route, found := range f {
		b := s.route
		if route == "" {
			b = s.all
		}
		if w := found.weight(b); w > weight {
			weight, on = w, route
		}
	}
	return weight, func() string {
		if on == "" {
			return f[on].String()
		}
		return f[on].String() + " on " + on
	}
}

// finding is what was seen of a new version beside the old one.
type finding struct {
	fresh, old Count
	// failures and times are log likelihood ratios of a bad version against a good one.
	failures float64
	times    float64
	pairs    comparison
}

// weigh weighs failures, the spread of times, and how they stand beside those of the
// old version.
func weigh(fresh, old Counts, servers int) finding {
	f := finding{fresh: fresh.all(), old: old.all(), pairs: compare(fresh, old, servers)}
	f.failures = failureRatio(f.fresh, f.old)
	f.times = paceRatio(f.fresh.First, f.old.First) + paceRatio(f.fresh.Between, f.old.Between)
	return f
}

// weight is how much speaks against the version in terms of what it takes. A version
// that is bad in one way is often bad in others, so what failures and times say is
// added up.
func (f finding) weight(b bounds) float64 {
	pairs := f.pairs.excess() / b.pairs
	if f.fresh.Answers < fewAnswers {
		pairs /= fewCaution
	}
	return f.failures/b.failures + max(f.times/b.times, pairs, 0)
}

// String says for operators what was compared.
func (f finding) String() string {
	return fmt.Sprintf("slower than the old version in %.2f of pairs (sd %.2f, tolerated %.2f), log likelihood ratios of failures %.1f and of times %.1f; of %d answers %d failed, %d first parts and %d streams were several times slower than usual; of the old version's %d it were %d, %d and %d",
		f.pairs.slower, f.pairs.deviation, tolerated, f.failures, f.times, f.fresh.Answers, f.fresh.Failed, f.fresh.First.slow(), f.fresh.Between.slow(), f.old.Answers, f.old.Failed, f.old.First.slow(), f.old.Between.slow())
}

// failureRatio weighs the new version's share of failures: is it the old one's, or
// that much worse?
func failureRatio(fresh, old Count) float64 {
	good := max(least, (float64(old.Failed)+usualFailed*prior)/(float64(old.Answers)+prior))
	most := 0.0
	for _, by := range worse {
		if good+by < 1 {
			most = max(most, evidence.Test{Good: good, Bad: good + by}.WithCounts(fresh.Answers, fresh.Failed).Sum)
		}
	}
	return most
}
