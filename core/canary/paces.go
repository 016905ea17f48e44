package canary

import "math"

// LatencyBins is how many bins Paces has.
const LatencyBins = 24

// LatencyHistogram counts answers by how long they took in terms of what the settled
// version takes for the like. Each bin is a quarter wider than the one before it;
// the first and the last are open.
type LatencyHistogram [LatencyBins]uint64

const (
	// binFactor is the width of a bin, as a factor.
	binFactor = 1.25
	// usualBin is the bin that begins at 1.
	usualBin = 9
	// slowBin is the first bin of answers that are several times slower than
	// usual, 3.1 times here.
	slowBin = usualBin + 5
)

// bin is the bin of a relative time.
func bin(relative float64) int {
	at := usualBin + int(math.Floor(math.Log(relative)/math.Log(binFactor)))
	return min(LatencyBins-1, max(0, at))
}

// With returns the counts with an answer that took a relative time; 0 is not
// known and counts nothing.
func (p LatencyHistogram) With(relative float64) LatencyHistogram {
	if relative > 0 {
		p[bin(relative)]++
	}
	return p
}

// WithAtLeast returns the counts with an answer that was not awaited longer than
// a relative time. It says something only if that was slow already.
func (p LatencyHistogram) WithAtLeast(relative float64) LatencyHistogram {
	if relative <= 0 || bin(relative) < slowBin {
		return p
	}
	return p.With(relative)
}

// Plus adds two counts.
func (p LatencyHistogram) Plus(q LatencyHistogram) LatencyHistogram {
	for i := range p {
		p[i] += q[i]
	}
	return p
}

// total is the number of answers.
func (p LatencyHistogram) total() uint64 {
	sum := uint64(0)
	for _, n := range p {
		sum += n
	}
	return sum
}

// slow is the number of answers that took several times the usual.
func (p LatencyHistogram) slow() uint64 {
	sum := uint64(0)
	for _, n := range p[slowBin:] {
		sum += n
	}
	return sum
}

// usualSpread is the standard deviation of the logarithm of times that is expected
// before any were seen: a factor of two up and down. usualRest is the share of
// answers that may take any time.
const (
	usualSpread = 0.7
	usualRest   = 0.03
	// middle is where the middle of a bin is.
	middle = 0.5
)

// usualShares is the share of answers in each bin that is expected before any were
// seen.
var usualShares = spreadEvenly()

// spreadEvenly spreads answers by factors (log-normal).
func spreadEvenly() [LatencyBins]float64 {
	var out [LatencyBins]float64
	sum := 0.0
	for i := range out {
		off := (float64(i-usualBin) + middle) * math.Log(binFactor) / usualSpread
		out[i] = math.Exp(-off * off / 2)
		sum += out[i]
	}
	for i := range out {
		out[i] = out[i]/sum*(1-usualRest) + usualRest/LatencyBins
	}
	return out
}

// shares is the expected share of answers in each bin.
func (p LatencyHistogram) shares() [LatencyBins]float64 {
	var out [LatencyBins]float64
	n := float64(p.total()) + prior
	for i := range p {
		out[i] = (float64(p[i]) + prior*usualShares[i]) / n
	}
	return out
}

// slowness is a way in which answers may be slower: a share of them, by a number
// of bins.
type slowness struct {
	share float64
	bins  int
}

var (
	// fair are the ways of a good version: its servers may be a little slower than
	// what they are compared with says. One answer in twenty need not be, so that
	// no answer is impossible.
	fair = []slowness{{0, 0}, {0.4, 2}, {0.95, 2}}
	// foul are those of a bad one, of which some answers take several times the
	// usual, 3.1 or 7.5 times here. Which and how much is not known beforehand.
	foul = []slowness{{0.1, 5}, {0.2, 5}, {0.4, 5}, {0.8, 5}, {0.1, 9}, {0.2, 9}, {0.4, 9}, {0.8, 9}}
)

// slower returns the shares of the bins if answers are slower.
func slower(usual [LatencyBins]float64, by slowness) [LatencyBins]float64 {
	var out [LatencyBins]float64
	for i, q := range usual {
		out[i] += (1 - by.share) * q
		out[min(LatencyBins-1, i+by.bins)] += by.share * q
	}
	return out
}

// likeliest is the log likelihood of the counts under the likeliest of some ways.
func (p LatencyHistogram) likeliest(usual [LatencyBins]float64, ways []slowness) float64 {
	most := math.Inf(-1)
	for _, way := range ways {
		shares, sum := slower(usual, way), 0.0
		for i, n := range p {
			if n > 0 {
				sum += float64(n) * math.Log(shares[i])
			}
		}
		most = max(most, sum)
	}
	return most
}

// paceRatio is the log likelihood ratio of a new version that is several times
// slower against one that is as the old one or a little slower. The old one's own
// spread of times tells how likely either is.
func paceRatio(fresh, old LatencyHistogram) float64 {
	if fresh.total() == 0 {
		return 0
	}
	usual := old.shares()
	return max(0, fresh.likeliest(usual, foul)-fresh.likeliest(usual, fair))
}
