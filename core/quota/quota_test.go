package quota_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"ladderridge.example/core/quota"
)

// daemons returns the ids of n daemons by hall.
func daemons(n, halls int) map[string][]string {
	out := map[string][]string{}
	for i := range n {
		hall := "hall-" + strconv.Itoa(i%halls)
		out[hall] = append(out[hall], "entry-"+strconv.Itoa(i))
	}
	return out
}

// simulation simulates a server that announces a limit to daemons with enough requests to use it
// up.
type simulation struct {
	daemons, halls int
	// rate returns the server's limit at a time, in requests per second.
	rate func(at time.Duration) float64
	// demand is the rate of requests at each daemon, in requests per second.
	demand float64
	// restart is the interval at which each daemon restarts, 0 for never.
	restart time.Duration
	// maxDelay is the longest network delay of a request.
	maxDelay time.Duration
	// maxLag is the longest delay until a daemon receives a change of the limit.
	maxLag time.Duration
	// differing is the number of daemons per hall whose list contains additional daemons.
	differing int
	duration  time.Duration
}

// arrival is the arrival of a request at the server, sent by a daemon that knows the limit.
type arrival struct{ at time.Duration }

// run runs the simulation and returns the arrivals at the server in order of time.
func (l simulation) run(seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	halls := daemons(l.daemons, l.halls)
	// The daemons do not depend on each other, so they are simulated one at a time.
	var out []arrival
	for _, hall := range slices.Sorted(maps.Keys(halls)) {
		for i, id := range halls[hall] {
			known := l.known(halls, id, i)
			if known.Share("server", "hall-0", maxIncrease*l.rate(0)).Rate > 0 {
				out = append(out, l.runDaemon(random, start, known)...)
			}
		}
	}
	slices.SortFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

// known returns the list of daemons at the ith daemon of a hall.
func (l simulation) known(halls map[string][]string, id string, i int) quota.Daemons {
	if i >= l.differing {
		return quota.Daemons{Self: id, ByHall: halls}
	}
	more := map[string][]string{}
	for hall, ids := range halls {
		more[hall] = append(slices.Clone(ids), "other-"+id)
	}
	return quota.Daemons{Self: id, ByHall: more}
}

// runDaemon returns the arrivals of requests from one daemon.
func (l simulation) runDaemon(random *rand.Rand, start time.Time, known quota.Daemons) []arrival {
	var out []arrival
	var b quota.Bucket
	shares := map[float64]quota.Share{}
	rate, started := 0.0, time.Duration(0)
	lag := time.Duration(0)
	if l.maxLag > 0 {
		lag = time.Duration(random.Int64N(int64(l.maxLag)))
	}
	for at := time.Duration(0); at < l.duration; at += time.Duration(random.ExpFloat64() / l.demand * float64(time.Second)) {
		now := start.Add(at)
		if l.restart > 0 && at/l.restart != started/l.restart {
			b, rate, started = quota.Bucket{}, 0, at
		}
		if r := l.rate(max(0, at-lag)); r != rate {
			if _, ok := shares[r]; !ok {
				shares[r] = known.Share("server", "hall-0", r)
			}
			rate, b = r, b.With(shares[r], now)
		}
		if b.Ready(now) {
			b = b.Taken(now)
			delay := time.Duration(0)
			if l.maxDelay > 0 {
				delay = time.Duration(random.Int64N(int64(l.maxDelay)))
			}
			out = append(out, arrival{at: at + delay})
		}
	}
	return out
}

// excess returns the largest excess over the limit in any interval of length quota.Span, and
// the end of that interval. It is 0 or less within the limit.
func (l simulation) excess(arrivals []arrival) (worst float64, at time.Duration) {
	worst = -1e9
	for i, a := range arrivals {
		n := 0
		for j := i; j >= 0 && a.at-arrivals[j].at < quota.Span; j-- {
			n++
		}
		allowed := 0.0
		for t := time.Duration(0); t < quota.Span; t += 50 * time.Millisecond {
			// Daemons apply a lower limit within half a second.
			x := max(0, a.at-t)
			allowed += max(l.rate(x), l.rate(max(0, x-500*time.Millisecond))) * 0.05
		}
		if over := float64(n) - quota.Factor*allowed - quota.Slack; over > worst {
			worst, at = over, a.at
		}
	}
	return worst, at
}

// maxIncrease is the largest limit that a server announces, as a multiple of the first one.
const maxIncrease = 4

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

var (
	fleets = []struct{ daemons, halls int }{{1, 1}, {2, 1}, {6, 2}, {7, 3}, {14, 3}, {85, 3}, {985, 5}, {1970, 5}}
	rates  = []float64{0.1, 0.5, 1, 1.6, 2.2, 7, 100}
)

// The shares of all daemons must add up to the server's limit: daemons that each used the whole
// limit would exceed it by the number of daemons.
func TestSharesOfALimitAddUp(t *testing.T) {
	for _, f := range fleets {
		for _, rate := range rates {
			halls := daemons(f.daemons, f.halls)
			var sum, depth float64
			for _, ids := range halls {
				for _, id := range ids {
					s := quota.Daemons{Self: id, ByHall: halls}.Share("server", "hall-0", rate)
					sum, depth = sum+s.Rate, depth+s.Depth
					if s.Rate > 0 && s.Depth < 1 {
						t.Errorf("%d daemons, %v a second: a share that never allows a request: %+v", f.daemons, rate, s)
					}
				}
			}
			if sum > rate || sum < 0.85*rate || depth > quota.Burst(rate)+1e-9 {
				t.Errorf("%d daemons, %v a second: %v a second, %v at once", f.daemons, rate, sum, depth)
			}
		}
	}
}

// Servers with a limit receive no more than it allows from all daemons together: with fleets
// from one daemon to twice the size in production, with daemons that restart every second, late
// arrivals, differing lists of daemons, and limits that drop to a tenth at once or flap.
func TestServerLimitIsNotExceeded(t *testing.T) {
	limits := map[string]func(rate float64) func(time.Duration) float64{
		"constant": constant,
		"falls to a tenth": func(rate float64) func(time.Duration) float64 {
			return func(at time.Duration) float64 {
				if at > 10*time.Second {
					return rate / 10
				}
				return rate
			}
		},
		"rises and falls": func(rate float64) func(time.Duration) float64 {
			return func(at time.Duration) float64 {
				if at/(3*time.Second)%2 == 1 {
					return maxIncrease * rate
				}
				return rate
			}
		},
	}
	kinds := map[string]simulation{
		"steady":              {},
		"start every second":  {restart: time.Second},
		"late":                {maxDelay: time.Second},
		"limit received late": {maxLag: 450 * time.Millisecond},
		"lists differ by one": {differing: 1},
		"all combined":        {restart: 3 * time.Second, maxDelay: 500 * time.Millisecond, maxLag: 450 * time.Millisecond, differing: 1},
	}
	for change, limit := range limits {
		for kind, l := range kinds {
			t.Run(change+", "+kind, func(t *testing.T) {
				t.Parallel()
				for _, f := range fleets {
					for _, rate := range rates {
						l.daemons, l.halls, l.duration, l.rate = f.daemons, f.halls, 20*time.Second, limit(rate)
						l.demand = max(2, 4*rate/float64(f.daemons))
						if worst, at := l.excess(l.run(1)); worst > 0 {
							t.Errorf("%d daemons, %v a second: %.1f requests too many at %v", f.daemons, rate, worst, at)
						}
					}
				}
			})
		}
	}
}

// Daemons with enough requests must also use most of a server's limit: at least 0.8 of it with
// up to 14 daemons, and 0.6 with the fleet in production (985) and with twice that.
func TestServerLimitIsUsed(t *testing.T) {
	for _, c := range []struct {
		daemons, halls int
		demand, least  float64
	}{{1, 1, 10, 0.8}, {7, 3, 10, 0.8}, {14, 3, 5, 0.8}, {985, 5, 1, 0.6}, {1970, 5, 1, 0.6}} {
		for _, rate := range []float64{0.5, 1.6, 2.2, 7} {
			l := simulation{daemons: c.daemons, halls: c.halls, rate: constant(rate), demand: c.demand, duration: 200 * time.Second}
			used := float64(len(l.run(2))) / l.duration.Seconds() / rate
			t.Logf("%d daemons, %v a second: %.2f of it is used", c.daemons, rate, used)
			if used < c.least {
				t.Errorf("%d daemons, %v a second: %.2f of it is used, want %v", c.daemons, rate, used, c.least)
			}
		}
	}
}

func TestNewShareGrantsNoTokens(t *testing.T) {
	now := time.Unix(1000, 0)
	s := quota.Daemons{Self: "a", ByHall: map[string][]string{"h": {"a", "b"}}}.Share("server", "h", 2)
	b := quota.Bucket{}.With(s, now)
	if b.Ready(now) || b.Level(now) > 0 {
		t.Fatalf("a new bucket holds %v", b.Level(now))
	}
	later := now.Add(10 * time.Second)
	if !b.Ready(later) || b.Level(later) > s.Depth {
		t.Fatalf("after ten seconds it holds %v of %v", b.Level(later), s.Depth)
	}
	b = b.Taken(later)
	if again := b.With(s, later); again.Level(later) > b.Level(later) {
		t.Errorf("the same share again grants %v tokens", again.Level(later)-b.Level(later))
	}
	if wait := b.Wait(later); !b.Ready(later.Add(wait+time.Millisecond)) || b.Ready(later.Add(wait-time.Millisecond)) {
		t.Errorf("it is not ready after %v", wait)
	}
	none := b.With(quota.Share{TotalRate: 4}, later)
	if none.Ready(later.Add(time.Hour)) || none.Wait(later) != 250*time.Millisecond {
		t.Errorf("without a share: ready %v, wait %v", none.Ready(later.Add(time.Hour)), none.Wait(later))
	}
}
