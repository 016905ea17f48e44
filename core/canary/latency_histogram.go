package canary

import "math"

// LatencyBins is the number of bins of a LatencyHistogram.
const LatencyBins = 24

// LatencyHistogram counts answers by relative latency: the time taken divided by what the settled
// version takes for a similar request. Each bin is a quarter wider than the one before it; the
// first and the last are open.
type LatencyHistogram [LatencyBins]uint64

const (
	// binFactor is the ratio of a bin's upper bound to its lower one.
	binFactor = 1.25
	// typicalBin is the bin whose lower bound is 1.
	typicalBin = 9
	// slowBin is the first bin of answers that count as slow: 3.1 times slower than usual or more.
	slowBin = typicalBin + 5
)

// binOf returns the bin of a relative latency.
func binOf(relative float64) int {
	i := typicalBin + int(math.Floor(math.Log(relative)/math.Log(binFactor)))
	return min(LatencyBins-1, max(0, i))
}

// With returns the histogram with one more answer. A relative latency of 0 is unknown and is not
// counted.
func (p LatencyHistogram) With(relative float64) LatencyHistogram {
	if relative > 0 {
		p[binOf(relative)]++
	}
	return p
}

// WithAtLeast returns the histogram with an answer that was cancelled after a relative latency. It
// is counted only if it was slow by then, as otherwise nothing is known of it.
func (p LatencyHistogram) WithAtLeast(relative float64) LatencyHistogram {
	if relative <= 0 || binOf(relative) < slowBin {
		return p
	}
	return p.With(relative)
}

// Plus returns the sum of two histograms.
func (p LatencyHistogram) Plus(q LatencyHistogram) LatencyHistogram {
	for i := range p {
		p[i] += q[i]
	}
	return p
}

// total returns the number of answers.
func (p LatencyHistogram) total() uint64 {
	sum := uint64(0)
	for _, n := range p {
		sum += n
	}
	return sum
}

// slowCount returns the number of answers that were several times slower than usual.
func (p LatencyHistogram) slowCount() uint64 {
	sum := uint64(0)
	for _, n := range p[slowBin:] {
		sum += n
	}
	return sum
}

// The prior distribution of latencies: log-normal with a standard deviation of priorLogStdDev, a
// factor of two either way, and a share priorUniform of answers spread evenly over all bins.
const (
	priorLogStdDev = 0.7
	priorUniform   = 0.03
	// binMiddle is the offset of a bin's middle from its lower bound, in bins.
	binMiddle = 0.5
)

// priorShares is the prior share of answers in each bin.
var priorShares = logNormalShares()

// logNormalShares returns the shares of the prior distribution.
func logNormalShares() [LatencyBins]float64 {
	var out [LatencyBins]float64
	sum := 0.0
	for i := range out {
		z := (float64(i-typicalBin) + binMiddle) * math.Log(binFactor) / priorLogStdDev
		out[i] = math.Exp(-z * z / 2)
		sum += out[i]
	}
	for i := range out {
		out[i] = out[i]/sum*(1-priorUniform) + priorUniform/LatencyBins
	}
	return out
}

// expectedShares returns the share of answers that is expected in each bin, from the counts and
// the prior.
func (p LatencyHistogram) expectedShares() [LatencyBins]float64 {
	var out [LatencyBins]float64
	n := float64(p.total()) + priorAnswers
	for i := range p {
		out[i] = (float64(p[i]) + priorAnswers*priorShares[i]) / n
	}
	return out
}

// slowdown describes slower answers: a share of them is slower by a number of bins.
type slowdown struct {
	share float64
	bins  int
}

var (
	// goodSlowdowns are those that a good version may show, as its servers may be a little slower
	// than those they are compared with. The share stays below 1 so that no answer is impossible.
	goodSlowdowns = []slowdown{{0, 0}, {0.4, 2}, {0.95, 2}}
	// badSlowdowns are those of a bad version: some of its answers are 3.1 or 7.5 times slower.
	// Several are tested, since neither share nor factor is known beforehand.
	badSlowdowns = []slowdown{{0.1, 5}, {0.2, 5}, {0.4, 5}, {0.8, 5}, {0.1, 9}, {0.2, 9}, {0.4, 9}, {0.8, 9}}
)

// slowedShares returns the shares of the bins after a slowdown.
func slowedShares(shares [LatencyBins]float64, s slowdown) [LatencyBins]float64 {
	var out [LatencyBins]float64
	for i, share := range shares {
		out[i] += (1 - s.share) * share
		out[min(LatencyBins-1, i+s.bins)] += s.share * share
	}
	return out
}

// maxLogLikelihood returns the log likelihood of the counts under the most likely of the
// slowdowns.
func (p LatencyHistogram) maxLogLikelihood(expected [LatencyBins]float64, slowdowns []slowdown) float64 {
	highest := math.Inf(-1)
	for _, s := range slowdowns {
		shares, sum := slowedShares(expected, s), 0.0
		for i, n := range p {
			if n > 0 {
				sum += float64(n) * math.Log(shares[i])
			}
		}
		highest = max(highest, sum)
	}
	return highest
}

// latencyRatio returns the log likelihood ratio of a new version that is several times slower
// against one that is as fast as the old version or a little slower. The old version's own
// distribution serves as the reference.
func latencyRatio(candidate, old LatencyHistogram) float64 {
	if candidate.total() == 0 {
		return 0
	}
	expected := old.expectedShares()
	return max(0, candidate.maxLogLikelihood(expected, badSlowdowns)-candidate.maxLogLikelihood(expected, goodSlowdowns))
}
