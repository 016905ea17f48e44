package canary

import "math"

// comparison holds the Mann-Whitney statistic of the new version's latencies against the old
// version's: the share of pairs, one answer of each version on the same route, in which the new
// version was slower. It is 0.5 if both are alike. Unlike a mean it is not dominated by the few
// answers that were queued behind a long prompt, and it detects a third of the answers taking
// several times as long as well as all of them taking a little longer.
type comparison struct {
	slower float64
	// stdDev is the standard deviation of slower, 0 if nothing is known.
	stdDev float64
}

const (
	// toleratedShare is the share of slower pairs that a good version may reach, since the caches
	// of its servers are less full. In 20 recorded roll-outs of good versions on four services it
	// was 0.46 to 0.61, with two exceptions of 0.64 and 0.66; in 20 of versions with half of the
	// requests slowed down twofold it was 0.64 and more.
	toleratedShare = 0.62
	// minOldAnswers is how many answers of the old version a route needs to be compared.
	minOldAnswers = 20
	// serverStdDev is the standard deviation of the share between servers of one version, which
	// differ in speed and in the requests that they get: 0.05 in 24 recorded roll-outs of good
	// versions on one server each.
	serverStdDev = 0.05
	// tieWeight is what a pair counts whose answers fall into the same bin.
	tieWeight = 0.5
)

// excessStdDevs returns by how many standard deviations the share exceeds toleratedShare.
func (c comparison) excessStdDevs() float64 {
	if c.stdDev == 0 {
		return 0
	}
	return (c.slower - toleratedShare) / c.stdDev
}

// compare compares latencies route by route. The times to the first part and the times between
// events are combined with the square roots of their counts as weights (Stouffer's method), since
// the two are not independent of each other. The new version's answers come from the given number
// of servers.
func compare(candidate, old Counts, servers int) comparison {
	var sum, weights, kinds float64
	for _, times := range []func(Count) LatencyHistogram{firstTimes, betweenTimes} {
		share, n := slowerShare(candidate, old, times)
		if n == 0 {
			continue
		}
		sum, weights, kinds = sum+share*math.Sqrt(n), weights+math.Sqrt(n), kinds+1
	}
	if kinds == 0 {
		return comparison{}
	}
	// The share of slower pairs among n answers of one kind has a variance of 1/12n.
	sampling := kinds / 12 / (weights * weights)
	return comparison{slower: sum / weights, stdDev: math.Sqrt(sampling + serverStdDev*serverStdDev/float64(max(1, servers)))}
}

func firstTimes(c Count) LatencyHistogram { return c.First }

func betweenTimes(c Count) LatencyHistogram { return c.Between }

// slowerShare returns the share of pairs in which the new version was slower, over the routes with
// enough answers of the old one, and the effective sample size.
func slowerShare(candidate, old Counts, times func(Count) LatencyHistogram) (share, n float64) {
	sum, answers := 0.0, 0.0
	for route, c := range candidate {
		newTimes, oldTimes := times(c), times(old[route])
		if newTimes.total() == 0 || oldTimes.total() < minOldAnswers {
			continue
		}
		a, b := float64(newTimes.total()), float64(oldTimes.total())
		sum, answers = sum+a*newTimes.slowerThan(oldTimes), answers+a
		n += a * b / (a + b)
	}
	if answers == 0 {
		return 0, 0
	}
	return sum / answers, n
}

// slowerThan returns the share of pairs in which the answer of p took longer than that of q.
func (p LatencyHistogram) slowerThan(q LatencyHistogram) float64 {
	below, sum := 0.0, 0.0
	for i := range p {
		sum += float64(p[i]) * (below + tieWeight*float64(q[i]))
		below += float64(q[i])
	}
	return sum / (float64(p.total()) * below)
}
