package permits

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// burst is the number of permits that a daemon can save. With one, a daemon with a limit
	// far below one refuses the second of two requests that arrive together.
	burst = 5
	// serviceWeight is the weight of a new value in the moving average of service times.
	serviceWeight = 0.125
	// serviceStep bounds a new service time relative to the average, and the part of a charge that
	// a short request gets back. Servers that reject at once would otherwise attract more requests.
	serviceStep = 2
	// overdue is the multiple of the service time after which a request no longer counts
	// against the limit, so that one that hangs does not block a daemon with a single permit.
	overdue = 4
	// fairInterval is the interval after which half of the work of an organisation is forgotten.
	fairInterval = 10 * time.Second
	// forgotten is the work in service times below which an organisation is not counted.
	forgotten = 0.1
	// oldestEvery is how often the oldest waiter is served first, whatever its rank.
	oldestEvery = 8
	// excess is the multiple of the mean work of organisations above which an organisation has to
	// leave reserve permits for the others. Most requests do not wait, so that the order of
	// those that wait is not enough.
	excess  = 2
	reserve = 3
	// rateInterval and stateInterval are the time constants of the means of a demand.
	rateInterval  = 2 * time.Second
	stateInterval = 500 * time.Millisecond
	// declinedHalfLife is the half-life of the rates of arrivals and declines. It keeps limits for
	// some seconds after the declines, which they stop, have ended.
	declinedHalfLife = 4 * time.Second
	// fewestDeclines is the number of declines within recentDeclines that a daemon has to see
	// before it limits itself without figures: of a few requests a second, one or two are
	// declined by chance.
	fewestDeclines = 3
	recentDeclines = 2 * declinedHalfLife
	// DefaultObjective applies to requests without an objective.
	DefaultObjective = time.Second
	// minRetryAfter and maxRetryAfter are the limits of retry-after times.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// minLimit avoids divisions by zero.
	minLimit = 1e-6
	// resolution is the accuracy of credit and wake-up times. It is above rounding errors.
	resolution = time.Microsecond
)

// ID identifies a request at a Gate.
type ID uint64

// Outcome is the decision about a request that has waited.
type Outcome struct {
	ID       ID
	Decision Decision
}

// waiter is a queued request.
type waiter struct {
	id    ID
	t     Ticket
	until time.Time
}

// grant is a request in flight. The charge is zero if it was granted without a limit.
type grant struct {
	at           time.Time
	charge       float64
	organisation string
}

// work is the recently granted work of an organisation, in seconds.
type work struct {
	sum float64
	at  time.Time
}

// after returns the work that has not been forgotten.
func (w work) after(now time.Time) float64 {
	return w.sum * math.Exp2(-max(now.Sub(w.at).Seconds(), 0)/fairInterval.Seconds())
}

func (w work) plus(sum float64, now time.Time) work {
	return work{sum: max(w.after(now)+sum, 0), at: now}
}

// Gate decides about the requests of one daemon to one service. It has one owner, which calls
// Expire before Enter and after each other event, and at the time that Next returns.
//
// Permits are a credit of time in flight. The limit is earned in each second, and a request uses
// what it takes. The mean number of requests in flight therefore stays below the limit, also for
// limits below one and when servers become slower.
type Gate struct {
	shares   []Share
	fallback float64
	lastID   ID
	waiters  []waiter // by arrival
	grants   map[ID]grant
	// works holds the work by organisation, worked their sum. They are swept at sweptAt.
	works   map[string]work
	worked  work
	sweptAt time.Time
	// service is the mean service time in seconds; zero is unknown.
	service float64
	// credit is the unused time in flight in seconds, at the time at.
	credit    float64
	limited   bool
	at        time.Time
	grantedAt time.Time
	queued    int // grants after a wait
	demand    Demand
	// declines are the times of the latest declines, the oldest first.
	declines [fewestDeclines]time.Time
}

// NewGate returns a gate without a limit.
func NewGate(now time.Time) *Gate {
	return &Gate{fallback: Unlimited, grants: map[ID]grant{}, works: map[string]work{}, at: now, grantedAt: now}
}

// SetShares sets the limits in the order of their ends, and the one after the last has expired. Only
// the first share follows from figures. The later ones and the fallback apply while servers decline
// the requests of this daemon; otherwise it is not limited.
func (g *Gate) SetShares(fallback float64, now time.Time, shares ...Share) {
	g.advance(now)
	g.shares, g.fallback = shares, fallback
	g.advance(now)
}

// Limit returns the number of requests that may be in flight.
func (g *Gate) Limit(now time.Time) float64 { return g.current(now).Limit }

// current returns the share that applies. One without a limit has no end if figures are missing.
func (g *Gate) current(now time.Time) Share {
	if len(g.shares) > 0 && now.Before(g.shares[0].Until) {
		return g.shares[0]
	}
	end := g.declines[0].Add(recentDeclines)
	if !now.Before(end) || !g.demand.declining(declinedPart) {
		return Share{Limit: Unlimited}
	}
	for _, s := range g.shares {
		if now.Before(s.Until) {
			return Share{Limit: s.Limit, Until: earlier(s.Until, end)}
		}
	}
	return Share{Limit: g.fallback, Until: end}
}

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int { return len(g.grants) }

// Waiting returns the number of queued requests.
func (g *Gate) Waiting() int { return len(g.waiters) }

// Service returns the mean service time, or zero if it is unknown.
func (g *Gate) Service() time.Duration { return seconds(g.service) }

// Demand returns the demand for the service.
func (g *Gate) Demand(now time.Time) Demand {
	g.advance(now)
	d := g.demand
	d.Rate *= g.service
	d.Daemons = 1
	return d
}

// Enter decides about a new request. The draw is uniform in [0, 1) and spreads retry-after times.
func (g *Gate) Enter(t Ticket, now time.Time, draw float64) (ID, Decision) {
	g.advance(now)
	g.demand.Rate += 1 / rateInterval.Seconds()
	g.lastID++
	if t.Objective <= 0 {
		t.Objective, t.Left = DefaultObjective, DefaultObjective
	}
	t.Left = min(t.Left, t.Objective)
	w := waiter{id: g.lastID, t: t, until: now.Add(t.Left - t.Objective/2)}
	if g.service > 0 {
		w.until = now.Add(t.Left - g.Service())
	}
	ahead := 0
	for _, other := range g.waiters {
		if g.compare(other, w, now) < 0 {
			ahead++
		}
	}
	if ahead == 0 && g.free(w, now) {
		g.grant(w, now)
		return w.id, Go{}
	}
	if left := w.until.Sub(now); left <= 0 || g.wait(w, ahead, now) > left {
		return w.id, Refuse{RetryAfter: g.retryAfter(w, ahead, now, draw)}
	}
	g.waiters = append(g.waiters, w)
	return w.id, Wait{Until: w.until}
}

// Declined records that a server has declined a request as full.
func (g *Gate) Declined(now time.Time) {
	g.advance(now)
	g.demand.Declined += math.Ln2 / declinedHalfLife.Seconds()
	copy(g.declines[:], g.declines[1:])
	g.declines[fewestDeclines-1] = now
	g.advance(now)
}

// Leave records the end of a request, in flight or queued, and whether a server has answered it.
// Others are ignored.
func (g *Gate) Leave(id ID, answered bool, now time.Time) {
	g.advance(now)
	g.waiters = slices.DeleteFunc(g.waiters, func(w waiter) bool { return w.id == id })
	gr, ok := g.grants[id]
	if !ok {
		return
	}
	delete(g.grants, id)
	took := max(now.Sub(gr.at), resolution).Seconds()
	// Without an answer, the time is only a lower bound.
	if answered || g.service > 0 && took > g.service {
		g.learn(took)
	}
	g.addWork(gr.organisation, took-gr.charge, now)
	if gr.charge > 0 {
		// A charge is not refunded in full: a server that rejects at once would attract more.
		g.credit += gr.charge - max(took, gr.charge/serviceStep)
	}
	g.advance(now)
}

// learn adds a service time to the mean.
func (g *Gate) learn(took float64) {
	if g.service == 0 {
		g.service = took
	}
	g.service += serviceWeight * (min(max(took, g.service/serviceStep), g.service*serviceStep) - g.service)
}

// Expire decides about the queued requests that can be sent or can no longer be answered.
func (g *Gate) Expire(now time.Time, draw float64) []Outcome {
	g.advance(now)
	var out []Outcome
	for len(g.waiters) > 0 {
		i := g.first(now)
		w := g.waiters[i]
		if !g.free(w, now) {
			break
		}
		g.waiters = slices.Delete(g.waiters, i, i+1)
		g.queued++
		g.grant(w, now)
		out = append(out, Outcome{ID: w.id, Decision: Go{}})
	}
	g.waiters = slices.DeleteFunc(g.waiters, func(w waiter) bool {
		late := !now.Before(w.until)
		if late {
			out = append(out, Outcome{ID: w.id, Decision: Refuse{RetryAfter: g.retryAfter(w, 0, now, draw)}})
		}
		return late
	})
	return out
}

// Next returns when to call Expire at the latest, or zero if no request is queued.
func (g *Gate) Next(now time.Time) time.Time {
	if len(g.waiters) == 0 {
		return time.Time{}
	}
	next := g.waiters[0].until
	for _, w := range g.waiters {
		next = earlier(next, w.until)
	}
	if until := g.current(now).Until; !until.IsZero() {
		next = earlier(next, until)
	}
	if limit := g.Limit(now); g.counted(now) < ceil(limit) {
		need := g.need(g.waiters[g.first(now)], now)
		next = earlier(next, now.Add(seconds((need-g.credit)/max(limit, minLimit))+resolution))
	}
	if g.service > 0 {
		for _, gr := range g.grants {
			if at := gr.at.Add(overdue * g.Service()); at.After(now) {
				next = earlier(next, at)
			}
		}
	}
	return later(next, now.Add(resolution))
}

// advance adds what was earned, and updates the means of the demand.
func (g *Gate) advance(now time.Time) {
	limit := g.Limit(now)
	limited := !math.IsInf(limit, 1)
	dt := max(now.Sub(g.at).Seconds(), 0)
	switch {
	case limited && !g.limited:
		// All daemons become limited at once: with equal credit, they would also send at once.
		g.credit = limit * max(now.Sub(g.grantedAt).Seconds(), 0)
	case limited:
		g.credit += limit * dt
	}
	g.limited = limited
	if limited {
		saved := float64(max(burst, ceil(limit))) * g.service
		g.credit = min(max(g.credit, -saved), saved)
	}
	if dt == 0 {
		return
	}
	g.at = now
	keep := math.Exp(-dt / stateInterval.Seconds())
	g.demand.Rate *= math.Exp(-dt / rateInterval.Seconds())
	recent := math.Exp2(-dt / declinedHalfLife.Seconds())
	g.demand.Arrived *= recent
	g.demand.Declined *= recent
	g.demand.InFlight = keep*g.demand.InFlight + (1-keep)*float64(len(g.grants))
	g.demand.Waiting = keep*g.demand.Waiting + (1-keep)*float64(len(g.waiters))
}

// free reports whether a request can be sent now. Up to the whole part of the limit, no credit is
// needed.
func (g *Gate) free(w waiter, now time.Time) bool {
	if !g.limited {
		return true
	}
	n, limit := g.counted(now), g.Limit(now)
	return n < floor(limit) || n < ceil(limit) && g.credit >= g.need(w, now)-resolution.Seconds()
}

// need returns the credit that sending a request requires.
func (g *Gate) need(w waiter, now time.Time) float64 {
	mean := g.worked.after(now) / float64(max(len(g.works), 1))
	if g.work(w.t.Organisation, now) > excess*mean+g.service {
		return g.service * (1 + reserve)
	}
	return g.service
}

// counted returns the requests in flight that count against the limit.
func (g *Gate) counted(now time.Time) int {
	n := 0
	for _, gr := range g.grants {
		if g.service == 0 || now.Sub(gr.at) < overdue*g.Service() {
			n++
		}
	}
	return n
}

func (g *Gate) grant(w waiter, now time.Time) {
	gr := grant{at: now, organisation: w.t.Organisation}
	if g.limited {
		gr.charge = g.service
		g.credit -= gr.charge
	}
	g.addWork(gr.organisation, gr.charge, now)
	g.grants[w.id] = gr
	g.grantedAt = now
	g.demand.Arrived += math.Ln2 / declinedHalfLife.Seconds()
}

// wait returns the expected wait of a request with the given number of requests ahead of it.
func (g *Gate) wait(w waiter, ahead int, now time.Time) time.Duration {
	if g.service == 0 || !g.limited {
		return 0
	}
	limit := g.Limit(now)
	need := float64(ahead)*g.service + g.need(w, now)
	wait := max(need-g.credit, 0) / max(limit, minLimit)
	if n := ceil(limit); g.counted(now) >= n {
		wait = max(wait, float64(ahead+1)*g.service/float64(n))
	}
	if n := floor(limit); n > 0 {
		wait = min(wait, float64(ahead+1)*g.service/float64(n))
	}
	return seconds(wait)
}

// retryAfter returns when the queue ahead of a request is expected to be empty.
func (g *Gate) retryAfter(w waiter, ahead int, now time.Time, draw float64) time.Duration {
	base := max(g.wait(w, ahead, now), minRetryAfter)
	return min(seconds(base.Seconds()*(1+draw)), maxRetryAfter)
}

// first returns the index of the waiter to serve next.
func (g *Gate) first(now time.Time) int {
	if g.queued%oldestEvery == oldestEvery-1 {
		return 0
	}
	best := 0
	for i, w := range g.waiters {
		if g.compare(w, g.waiters[best], now) < 0 {
			best = i
		}
	}
	return best
}

// compare returns a negative number if a is served before b.
func (g *Gate) compare(a, b waiter, now time.Time) int {
	if c := cmp.Compare(a.t.Rank, b.t.Rank); c != 0 || a.t.Organisation == b.t.Organisation {
		return cmp.Or(c, cmp.Compare(a.id, b.id))
	}
	return cmp.Or(cmp.Compare(g.work(a.t.Organisation, now), g.work(b.t.Organisation, now)), cmp.Compare(a.id, b.id))
}

// work returns the recently granted work of an organisation.
func (g *Gate) work(organisation string, now time.Time) float64 {
	return g.works[organisation].after(now)
}

func (g *Gate) addWork(organisation string, sum float64, now time.Time) {
	if now.Sub(g.sweptAt) > fairInterval {
		g.sweptAt = now
		maps.DeleteFunc(g.works, func(_ string, w work) bool { return w.after(now) < g.service*forgotten })
	}
	g.works[organisation] = g.works[organisation].plus(sum, now)
	g.worked = g.worked.plus(sum, now)
}

func ceil(limit float64) int { return int(math.Ceil(min(max(limit, 1), maxDemand))) }

func floor(limit float64) int { return int(min(max(limit, 0), maxDemand)) }

// seconds converts seconds to a duration, at most an hour.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
