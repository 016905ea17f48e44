package canary

import "math"

// comparison tells how the times of a new version stand beside those of the old
// one: the share of pairs, one answer of each on the same route, in which the new
// version's took longer (the statistic of Mann and Whitney). Alike is 0.5. Unlike a
// mean it does not follow the few answers that waited behind a long prompt, and it
// sees a third of the answers that take several times as long as well as all of them
// that take a little longer.
type comparison struct {
	slower float64
	// deviation is the standard deviation of slower, 0 if nothing is known.
	deviation float64
}

const (
	// tolerated is the share of pairs in which a good version's answer may take longer: its
	// servers have read less. 20 recorded roll-outs
	// of good versions on four services came to 0.46 to 0.61 but for two of 0.64 and 0.66,
	// 20 of versions of which half of the requests take twice as long to 0.64 and more.
	tolerated = 0.62
	// leastOld is how many answers of the old version make a route comparable.
	leastOld = 20
	// luck is the standard deviation of the share over servers of one version, which
	// differ in how fast they are and in what they happen to get: 0.05 over 24 recorded
	// roll-outs of good versions on one server each.
	luck = 0.05
	// tied is the part of a pair that counts if both fall into the same bin.
	tied = 0.5
)

// excess is by how many standard deviations the share is above what is tolerated.
func (c comparison) excess() float64 {
	if c.deviation == 0 {
		return 0
	}
	return (c.slower - tolerated) / c.deviation
}

// compare sets the times of a new version beside those of the old one, route by
// route: those to the first part and those between events are weighed by the square
// root of their number (Stouffer), since they are not independent of each other. The
// answers come from a number of servers.
func compare(fresh, old Counts, servers int) comparison {
	var sum, weights, kinds float64
	for _, times := range []func(Count) LatencyHistogram{firstTimes, betweenTimes} {
		share, n := pairs(fresh, old, times)
		if n == 0 {
			continue
		}
		sum, weights, kinds = sum+share*math.Sqrt(n), weights+math.Sqrt(n), kinds+1
	}
	if kinds == 0 {
		return comparison{}
	}
	// The share of pairs among n answers of one kind has a variance of 1/12n.
	chance := kinds / 12 / (weights * weights)
	return comparison{slower: sum / weights, deviation: math.Sqrt(chance + luck*luck/float64(max(1, servers)))}
}

func firstTimes(c Count) LatencyHistogram { return c.First }

func betweenTimes(c Count) LatencyHistogram { return c.Between }

// pairs is the share of pairs in which the new version took longer, over the routes
// on which the old one is known, and by how many answers it is known.
func pairs(fresh, old Counts, times func(Count) LatencyHistogram) (share, n float64) {
	sum, answers := 0.0, 0.0
	for route, c := range fresh {
		theirs, ours := times(c), times(old[route])
		if theirs.total() == 0 || ours.total() < leastOld {
			continue
		}
		a, b := float64(theirs.total()), float64(ours.total())
		sum, answers = sum+a*theirs.slowerThan(ours), answers+a
		n += a * b / (a + b)
	}
	if answers == 0 {
		return 0, 0
	}
	return sum / answers, n
}

// slowerThan is the share of pairs in which the one of p took longer than the one of
// q.
func (p LatencyHistogram) slowerThan(q LatencyHistogram) float64 {
	below, sum := 0.0, 0.0
	for i := range p {
		sum += float64(p[i]) * (below + tied*float64(q[i]))
		below += float64(q[i])
	}
	return sum / (float64(p.total()) * below)
}
