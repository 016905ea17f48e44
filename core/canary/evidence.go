package canary

import (
	"fmt"
	"maps"
	"slices"

	"ladderridge.example/core/evidence"
)

// Count holds the counts of answers of a version on one route.
type Count struct {
	Answers uint64
	Failed  uint64
	// First counts the times to the first part of an answer, Between the times between the events
	// of a stream.
	First   LatencyHistogram
	Between LatencyHistogram
}

// Plus returns the sum of two counts.
func (c Count) Plus(d Count) Count {
	return Count{Answers: c.Answers + d.Answers, Failed: c.Failed + d.Failed, First: c.First.Plus(d.First), Between: c.Between.Plus(d.Between)}
}

// Counts holds the counts of a version by route.
type Counts map[string]Count

// Plus returns the sum of the counts by route.
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

// all returns the sum over the routes.
func (c Counts) all() Count {
	var out Count
	for _, n := range c {
		out = out.Plus(n)
	}
	return out
}

// Evidence holds what all daemons have seen of both versions of a service.
type Evidence struct {
	Old Counts
	// New holds the counts of the new version by server; the key "" holds those of servers that
	// are not told apart.
	New map[string]Counts
	// Caching is set if the servers cache prompts: those of the new version have empty caches at
	// first, so that its answers take longer.
	Caching bool
}

// Answers returns the number of answers of the new version.
func (e Evidence) Answers() uint64 {
	sum := uint64(0)
	for _, counts := range e.New {
		sum += counts.all().Answers
	}
	return sum
}

const (
	// minSampleServers and minSampleAnswers are how many servers and answers a suspicion must rest
	// on, so that chance on a few servers does not explain it.
	minSampleServers = 3
	minSampleAnswers = 300
)

// SampleSufficient reports whether enough answers from enough servers have been counted that a
// suspicion is enough to reject the version, whatever time is left. On a large service a few
// seconds bring more bad answers than a whole order does on a small one.
func (e Evidence) SampleSufficient() bool {
	return len(e.New) >= minSampleServers && e.Answers() >= minSampleAnswers
}

// Prior assumptions about a version before any answer was counted.
const (
	// minFailureRate is the smallest failure rate that a good version is tested against, since no
	// version never fails.
	minFailureRate = 0.001
	// priorFailureRate is the failure rate that is assumed of the old version, with the weight of
	// priorAnswers answers.
	priorFailureRate = 0.02
	priorAnswers     = 20
)

// thresholds holds how much of each kind of evidence is enough for a decision.
type thresholds struct {
	// failures and latency are log likelihood ratios.
	failures float64
	latency  float64
	// pairs is by how many standard deviations the share of slower pairs exceeds toleratedShare.
	pairs float64
}

// criteria holds the thresholds for all routes together, and higher ones for a single route, since
// several routes are tested.
type criteria struct {
	all   thresholds
	route thresholds
}

// The criteria rest on 36 recorded roll-outs of good versions of three services and 72 of bad
// ones, which had a tenth to all of their answers slowed down. The few servers of a good version
// differ from the old ones by more than sampling error: their latency ratio reached 14, and 21
// once; their share of slower pairs stayed below 2.5 standard deviations. For failures, a good
// version reaches a log likelihood ratio of 9 once in more than e^9 (8,000) decisions.
var (
	// rejectCriteria is what it takes to stop the use of a version.
	rejectCriteria = criteria{
		all:   thresholds{failures: 9, latency: 20, pairs: 2.5},
		route: thresholds{failures: 9, latency: 20, pairs: 3.5},
	}
	// suspectCriteria is what it takes not to complete a version. It is lower, because a completed
	// version serves all callers and leaves no old one to roll back to. Two failures in 165
	// answers are enough where the old version has none in thousands.
	suspectCriteria = criteria{
		all:   thresholds{failures: 2, latency: 16, pairs: 0.25},
		route: thresholds{failures: 5, latency: 16, pairs: 3.2},
	}
)

// Up to smallSample answers the latency comparison needs smallSampleFactor times the evidence,
// since the caches of a new version's servers are empty at first. On 65 daemons a good version
// showed 0.76 of slower pairs, 2.8 standard deviations above the tolerated share, with 55 answers
// of one data hall after four seconds, and 0.67 with all 119 answers. Bad versions with a third of
// their requests eight times slower showed 0.86, more than five standard deviations, with 74
// answers.
const (
	smallSample       = 80
	smallSampleFactor = 1.4
)

const (
	// minConfirmation is the fraction of a threshold that must remain without the worst server: a
	// single faulty or slow server does not count against its version.
	minConfirmation = 0.65
	// minOthersFraction is the fraction of the answers that servers other than the worst must have
	// given before they can clear a suspected version. What a single server showed is no reason to
	// complete it.
	minOthersFraction = 0.25
)

// failureRateIncreases are the increases over the old version's failure rate that are tested,
// since the increase is not known beforehand.
var failureRateIncreases = []float64{0.02, 0.05, 0.15, 0.4}

// Verdict is the result of judging a new version.
type Verdict struct {
	// Summary describes the comparison, for logs.
	Summary string
	// Rejection is the reason why the version is rejected, or "".
	Rejection string
	// Suspicion is the reason why the version may not be completed, or "". The evidence is weaker
	// than for a rejection, but stronger than good versions produce.
	Suspicion string
	// Unproven is the reason why the answers so far do not show that the version is good, or "". Such
	// a version may not be opened to all sessions, nor completed.
	Unproven string
	// ErrorBudgetSpent reports whether callers have met so many bad answers, from more than one
	// server, that a suspicion is enough to reject the version.
	ErrorBudgetSpent bool
	// Ejected lists servers that look faulty themselves. Requests go to other servers to tell
	// whether the server or the version is at fault.
	Ejected []string
}

const (
	// errorBudget is how many bad answers callers may meet from a suspected version before it is
	// rejected. On recorded versions with half of the requests slowed down twofold it raises the
	// share rejected before the last step from 0.61, 0.89, 0.72 and 0.78 to 0.89, 1, 0.72 and 0.89
	// on the four services (18 draws each); good versions are completed as often as without it.
	errorBudget = 25
	// minOtherAnswers is how many answers servers other than the worst must have given for a
	// suspicion to concern the version.
	minOtherAnswers = 12
)

// Judge compares the new version with the old one. Each route is judged separately, and all
// together, since a version may be faulty on a single route.
func (e Evidence) Judge() Verdict {
	var v Verdict
	all := Counts{}
	worst, worstWeight := "", 0.0
	for server, counts := range e.New {
		all = all.Plus(counts)
		if server == "" {
			continue
		}
		// With a lower threshold the servers of a faulty version would be ejected one by one as
		// soon as each has shown the fault, and requests would go to servers that have shown
		// nothing yet.
		weight, _ := e.weighRoutes(counts, 1).weight(rejectCriteria)
		if weight >= 1 {
			v.Ejected = append(v.Ejected, server)
		}
		if weight > worstWeight {
			worst, worstWeight = server, weight
		}
	}
	combined, rest := e.weighRoutes(all, len(e.New)), e.weighRoutes(e.withoutServer(worst), len(e.New)-1)
	v.Summary = combined[""].String()
	v.Rejection = reason(combined, rest, rejectCriteria)
	v.Suspicion = reason(combined, rest, suspectCriteria)
	if !rest.clear(combined) {
		v.Suspicion = reason(combined, combined, suspectCriteria)
	}
	if v.Unproven = combined[""].unproven(e.Caching); slices.Contains(v.Ejected, worst) && len(e.New) > minSampleServers {
		// That server is faulty, and so many others answered that they have to show that the version is good.
		v.Unproven = rest[""].unproven(e.Caching)
	}
	v.ErrorBudgetSpent = v.Suspicion != "" && combined[""].badAnswers() >= errorBudget && rest[""].degraded()
	if v.Suspicion != "" && combined[""].badAnswers() >= errorBudget && rest[""].candidate.Answers < minOtherAnswers && worst != "" && !slices.Contains(v.Ejected, worst) {
		// Other servers get requests, to tell whether the server or the version is at fault.
		v.Ejected = append(v.Ejected, worst)
	}
	return v
}

// badAnswers estimates how many answers are worse than those of a good version: the failed ones,
// and the part of the slower ones that exceeds the tolerated share.
func (f finding) badAnswers() float64 {
	bad := float64(f.candidate.Failed)
	if f.pairs.stdDev > 0 {
		bad += max(0, f.pairs.slower-toleratedShare) / (1 - toleratedShare) * float64(f.candidate.Answers)
	}
	return bad
}

// degraded reports whether there are enough answers, and they are slower than tolerated or more
// than one of them failed.
func (f finding) degraded() bool {
	return f.candidate.Answers >= minOtherAnswers && (f.pairs.excessStdDevs() > 0 || f.candidate.Failed > 1)
}

// clear reports whether the servers other than the worst clear the version: they have given enough
// of the answers, and their share of slower pairs is more than one standard deviation below the
// tolerated one. Less evidence against the version is not enough: one server in three would then
// be enough to complete a version with half of its requests slowed down twofold.
func (f findings) clear(all findings) bool {
	rest := f[""]
	if float64(rest.candidate.Answers) < minOthersFraction*float64(all[""].candidate.Answers) {
		return false
	}
	return rest.pairs.stdDev == 0 || rest.pairs.excessStdDevs() < -1
}

// reason returns why a version meets the criteria, or "" if it does not meet them.
func reason(all, rest findings, s criteria) string {
	weight, describe := all.weight(s)
	if confirmed, _ := rest.weight(s); weight < 1 || confirmed < minConfirmation {
		return ""
	}
	return describe()
}

// withoutServer returns the new version's counts without those of one server.
func (e Evidence) withoutServer(excluded string) Counts {
	rest := Counts{}
	for server, counts := range e.New {
		if server == "" || server != excluded {
			rest = rest.Plus(counts)
		}
	}
	return rest
}

// findings holds the comparison by route, and under "" the one of all routes together.
type findings map[string]finding

// weighRoutes compares the counts with those of the old version, on each route and on all
// together. The counts come from the given number of servers.
func (e Evidence) weighRoutes(counts Counts, servers int) findings {
	out := findings{"": weigh(counts, e.Old, servers)}
	for route, n := range counts {
		out[route] = weigh(Counts{route: n}, Counts{route: e.Old[route]}, servers)
	}
	return out
}

// weight returns the strongest evidence against the version as a fraction of its threshold, and a
// function that describes it.
func (f findings) weight(s criteria) (weight float64, describe func() string) {
	strongest := ""
	for route, found := range f {
		b := s.route
		if route == "" {
			b = s.all
		}
		if w := found.weight(b); w > weight {
			weight, strongest = w, route
		}
	}
	return weight, func() string {
		if strongest == "" {
			return f[strongest].String()
		}
		return f[strongest].String() + " on " + strongest
	}
}

// finding is the comparison of a new version with the old one.
type finding struct {
	candidate, old Count
	// failures and latency are log likelihood ratios of a bad version against a good one.
	failures float64
	latency  float64
	pairs    comparison
}

// weigh compares failures, the distribution of latencies and the share of slower pairs with those
// of the old version.
func weigh(candidate, old Counts, servers int) finding {
	f := finding{candidate: candidate.all(), old: old.all(), pairs: compare(candidate, old, servers)}
	f.failures = failureRatio(f.candidate, f.old)
	f.latency = latencyRatio(f.candidate.First, f.old.First) + latencyRatio(f.candidate.Between, f.old.Between)
	return f
}

// weight returns the evidence against the version as a fraction of its threshold. A faulty version
// often both fails and is slow, so the fractions of failures and of latency are added.
func (f finding) weight(b thresholds) float64 {
	pairs := f.pairs.excessStdDevs() / b.pairs
	if f.candidate.Answers < smallSample {
		pairs /= smallSampleFactor
	}
	return f.failures/b.failures + max(f.latency/b.latency, pairs, 0)
}

// String describes the comparison for operators.
func (f finding) String() string {
	return fmt.Sprintf("slower than the old version in %.2f of pairs (sd %.2f, tolerated %.2f); log likelihood ratios: failures %.1f, latency %.1f; new version: %d answers, %d failed, %d slow first parts, %d slow streams; old version: %d answers, %d failed, %d slow first parts, %d slow streams",
		f.pairs.slower, f.pairs.stdDev, toleratedShare, f.failures, f.latency, f.candidate.Answers, f.candidate.Failed, f.candidate.First.slowCount(), f.candidate.Between.slowCount(), f.old.Answers, f.old.Failed, f.old.First.slowCount(), f.old.Between.slowCount())
}

// maxFailureRate is the largest failure rate that is tested.
const maxFailureRate = 0.99

// failureRate estimates the failure rate from the counts and the prior.
func (c Count) failureRate() float64 {
	return max(minFailureRate, (float64(c.Failed)+priorFailureRate*priorAnswers)/(float64(c.Answers)+priorAnswers))
}

// failureRatio returns the log likelihood ratio of an increased failure rate against the old
// version's.
func failureRatio(candidate, old Count) float64 {
	good := old.failureRate()
	highest := 0.0
	for _, increase := range failureRateIncreases {
		if good+increase < 1 {
			highest = max(highest, evidence.Test{Good: good, Bad: good + increase}.WithCounts(candidate.Answers, candidate.Failed).Sum)
		}
	}
	return highest
}
