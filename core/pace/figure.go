package pace

import (
	"math"
	"time"
)

const (
	// steadyTime and recentTime are the time constants of the decay of observations in
	// the two parts of a figure.
	steadyTime = 10 * time.Second
	recentTime = 500 * time.Millisecond
	// steadyPrior and recentPrior are the observations that the assumption of a usual
	// pace is worth. With 4, a single answer of eight times the usual time changes the
	// steady part of a new server by a factor of 1.5. The recent part holds only a few
	// answers of a server, whose lengths differ.
	steadyPrior = 4
	recentPrior = 8
	// reportedWeight is the weight of a server's own figure, in observations. An
	// observation depends on the answer's length, a server's own figure does not.
	reportedWeight = 8
	// minCount is the number of observations below which a figure is unknown. A single
	// observation counts for 14 s, or for 0.7 s in the recent part.
	minCount = 0.25
	// maxLog bounds the binary logarithm of a ratio, maxPaceLog that of a pace.
	maxLog     = 3
	maxPaceLog = 2
)

// figure is a sum of binary logarithms of ratios and the number of observations in it.
type figure struct{ sum, count float64 }

func (f figure) plus(g figure) figure { return figure{f.sum + g.sum, f.count + g.count} }

func (f figure) times(w float64) figure { return figure{f.sum * w, f.count * w} }

// mean returns the mean logarithm, or 0 without observations.
func (f figure) mean() float64 {
	if f.count <= 0 {
		return 0
	}
	return f.sum / f.count
}

// weight returns the weight of the mean against the assumption of a usual pace.
func (f figure) weight(prior float64) float64 {
	if f.count < minCount {
		return 0
	}
	return f.count / (f.count + prior)
}

// decaying is a figure whose observations decay with age.
type decaying struct {
	figure
	at time.Time
}

func (d decaying) current(now time.Time, over time.Duration) figure {
	return d.times(decay(now.Sub(d.at), over))
}

func (d *decaying) add(f figure, now time.Time, over time.Duration) {
	d.figure, d.at = d.current(now, over).plus(f), now
}

func decay(age, over time.Duration) float64 { return math.Exp(-float64(max(0, age)) / float64(over)) }

// figures are those of all servers, in their order.
type figures struct{ steady, recent []figure }

func newFigures(n int) figures { return figures{make([]figure, n), make([]figure, n)} }

// add adds figures of an age.
func (f figures) add(g figures, age time.Duration) {
	steady, recent := decay(age, steadyTime), decay(age, recentTime)
	for i := range f.steady {
		f.steady[i] = f.steady[i].plus(g.steady[i].times(steady))
		f.recent[i] = f.recent[i].plus(g.recent[i].times(recent))
	}
}

// serviceMean sums up the servers of a service.
type serviceMean struct{ steady, weight, recent, servers float64 }

// paces returns the pace of each server relative to the mean of its service, 0 if it has
// fewer than least observations. services has the index of each server's service.
//
// Means are taken over servers and not over observations: a fast server has more
// answers, which would move the mean towards it.
func (f figures) paces(services []int, least float64) []float64 {
	// A service index is less than the number of servers.
	means := make([]serviceMean, len(services))
	for i, s := range services {
		w := f.steady[i].weight(steadyPrior)
		means[s].steady += w * f.steady[i].mean()
		means[s].weight += w
	}
	// steady and recent are logarithms; recent is the deviation from the steady part.
	steady, recent := make([]float64, len(services)), make([]float64, len(services))
	for i, s := range services {
		mean := means[s].steady / max(math.SmallestNonzeroFloat64, means[s].weight)
		steady[i] = f.steady[i].weight(steadyPrior) * (f.steady[i].mean() - mean)
		recent[i] = f.recent[i].weight(recentPrior) * (f.recent[i].mean() - mean - steady[i])
		if f.known(i, minCount) {
			means[s].recent += recent[i]
			means[s].servers++
		}
	}
	out := make([]float64, len(services))
	for i, s := range services {
		if f.known(i, least) {
			log := steady[i] + recent[i] - means[s].recent/means[s].servers
			out[i] = math.Exp2(max(-maxPaceLog, min(maxPaceLog, log)))
		}
	}
	return out
}

// known reports whether there are enough observations of a server.
func (f figures) known(server int, least float64) bool {
	return max(f.steady[server].count, f.recent[server].count) >= least
}
