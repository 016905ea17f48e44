package congestion

import (
	"maps"
	"math"
	"time"
)

const (
	// useHalfLife is the time in which the use of server time halves. A shorter one makes shares
	// of organisations with a few requests a second noisy.
	useHalfLife = 4 * time.Second
	// totalUsesLifetime is the lifetime of uses in figures: three times the interval at which they
	// are sent for one service, so that three services may be congested.
	totalUsesLifetime = 13 * time.Second
	// sharesInterval is the interval at which the fair share is computed.
	sharesInterval = 250 * time.Millisecond
	// maxOrganisations bounds the organisations of a service in memory.
	maxOrganisations = 1024
	// priorRuns is a use, in runs of average work, that is added to each organisation. It keeps a
	// daemon that sees a few runs of each organisation from refusing one for its last run.
	priorRuns = 3
	// maxWork bounds the work of one run, in billed tokens.
	maxWork = 1e7
)

// usage is the server time used by organisations, by hash, as of a time.
type usage struct {
	at   time.Time
	work map[uint32]float64
	// rest is the work of organisations that are not listed, and restCount their number.
	rest      float64
	restCount int
}

// uses is the server time of a service used by organisations. The zero value is ready for use.
type uses struct {
	own, total usage
	// meanWork is the moving average of the work of own runs.
	meanWork float64
	// fair is the mean work of an organisation as of fairAt.
	fair   float64
	fairAt time.Time
}

// decay returns the factor by which a use falls in a time.
func decay(t time.Duration) float64 {
	return math.Exp2(-float64(max(0, t)) / float64(useHalfLife))
}

// add records own work of an organisation. Work that is not a positive number is ignored.
func (u *uses) add(organisation uint32, work float64, now time.Time) {
	if !(work > 0) {
		return
	}
	work = min(work, maxWork)
	if u.meanWork == 0 {
		u.meanWork = work
	}
	u.meanWork += 0.02 * (work - u.meanWork)
	if u.own.work == nil {
		u.own = usage{at: now, work: map[uint32]float64{}}
	}
	if gap := now.Sub(u.own.at); gap > sharesInterval {
		u.own.decayTo(now, u.meanWork)
	}
	if _, ok := u.own.work[organisation]; !ok && len(u.own.work) >= maxOrganisations {
		u.own.rest += work
		return
	}
	u.own.work[organisation] += work
}

// decayTo reduces the work by the time that has passed, and removes organisations that use less
// than a hundredth of a run.
func (g *usage) decayTo(now time.Time, run float64) {
	d := decay(now.Sub(g.at))
	g.at, g.rest = now, g.rest*d
	for o, w := range g.work {
		if g.work[o] = w * d; w*d < run/100 {
			delete(g.work, o)
		}
	}
}

// plus returns the sum of two usages as of a time.
func (g usage) plus(h usage, now time.Time) usage {
	sum := usage{at: now, work: map[uint32]float64{}, restCount: max(g.restCount, h.restCount)}
	for _, part := range []usage{g, h} {
		d := decay(now.Sub(part.at))
		sum.rest += d * part.rest
		for o, w := range part.work {
			sum.work[o] += d * w
		}
	}
	return sum
}

// current returns the usage that decides: the total, or the own one if the total is too old.
func (u *uses) current(now time.Time) usage {
	if u.total.work != nil && now.Sub(u.total.at) < totalUsesLifetime {
		return u.total
	}
	return u.own
}

// share returns the server time that an organisation uses relative to the mean of those that use
// any, or 0 if it is unknown.
func (u *uses) share(organisation uint32, now time.Time) float64 {
	g := u.current(now)
	n := float64(len(g.work) + g.restCount)
	if n < 2 {
		return 0
	}
	if age := now.Sub(u.fairAt); age >= sharesInterval || age < 0 {
		u.fairAt, u.fair = now, g.rest
		for w := range maps.Values(g.work) {
			u.fair += w
		}
		u.fair /= n
	}
	used, listed := g.work[organisation]
	if !listed && g.restCount > 0 {
		used = g.rest / float64(g.restCount)
	}
	prior := priorRuns * u.meanWork
	if u.fair+prior <= 0 {
		return 0
	}
	return (used + prior) / (u.fair + prior)
}
