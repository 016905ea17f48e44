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

// daemons are n of them in some halls.
func daemons(n, halls int) map[string][]string {
	out := map[string][]string{}
	for i := range n {
		hall := "hall-" + strconv.Itoa(i%halls)
		out[hall] = append(out[hall], "entry-"+strconv.Itoa(i))
	}
	return out
}

// load is what a replay plays: a server that names a limit to daemons which would send it all
// that they may.
type load struct {
	daemons, halls int
	// rate is the server's limit at a time, in requests a second.
	rate func(at time.Duration) float64
	// demand is the requests a second for which a daemon would use the server.
	demand float64
	// restart is the time between two starts of each daemon; 0 is never.
	restart time.Duration
	// late is how long each request may be on its way.
	late time.Duration
	// hears is how long after the others a daemon hears of a change at most.
	hears time.Duration
	// views is how many lists of daemons differ: that many have one daemon more each.
	views int
	lasts time.Duration
}

// arrival is a request that reaches the server, of a daemon that knows the limit.
type arrival struct{ at time.Duration }

// play returns the arrivals at the server, in order.
func (l load) play(seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	halls := daemons(l.daemons, l.halls)
	// Each arrival of a request at a daemon is an event; daemons do not see each other.
	var out []arrival
	for _, hall := range slices.Sorted(maps.Keys(halls)) {
		for i, id := range halls[hall] {
			known := l.known(halls, id, i)
			if known.Share("server", "hall-0", highest*l.rate(0)).Rate > 0 {
				out = append(out, l.playOne(random, start, known)...)
			}
		}
	}
	slices.SortFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

// known is the list of daemons that the ith one of a hall has.
func (l load) known(halls map[string][]string, id string, i int) quota.Daemons {
	if i >= l.views {
		return quota.Daemons{Self: id, ByHall: halls}
	}
	more := map[string][]string{}
	for hall, ids := range halls {
		more[hall] = append(slices.Clone(ids), "other-"+id)
	}
	return quota.Daemons{Self: id, ByHall: more}
}

// playOne returns the arrivals from one daemon.
func (l load) playOne(random *rand.Rand, start time.Time, known quota.Daemons) []arrival {
	var out []arrival
	var b quota.Bucket
	shares := map[float64]quota.Share{}
	rate, began := 0.0, time.Duration(0)
	hears := time.Duration(0)
	if l.hears > 0 {
		hears = time.Duration(random.Int64N(int64(l.hears)))
	}
	for at := time.Duration(0); at < l.lasts; at += time.Duration(random.ExpFloat64() / l.demand * float64(time.Second)) {
		now := start.Add(at)
		if l.restart > 0 && at/l.restart != began/l.restart {
			b, rate, began = quota.Bucket{}, 0, at
		}
		if r := l.rate(max(0, at-hears)); r != rate {
			if _, ok := shares[r]; !ok {
				shares[r] = known.Share("server", "hall-0", r)
			}
			rate, b = r, b.With(shares[r], now)
		}
		if b.Ready(now) {
			b = b.Taken(now)
			delay := time.Duration(0)
			if l.late > 0 {
				delay = time.Duration(random.Int64N(int64(l.late)))
			}
			out = append(out, arrival{at: at + delay})
		}
	}
	return out
}

// excess is how many requests came in the worst span beyond those allowed.
func (l load) excess(arrivals []arrival) (worst float64, at time.Duration) {
	worst = -1e9
	for i, a := range arrivals {
		n := 0
		for j := i; j >= 0 && a.at-arrivals[j].at < quota.Span; j-- {
			n++
		}
		allowed := 0.0
		for t := time.Duration(0); t < quota.Span; t += 50 * time.Millisecond {
			// A limit that falls is known within half a second.
			x := max(0, a.at-t)
			allowed += max(l.rate(x), l.rate(max(0, x-500*time.Millisecond))) * 0.05
		}
		if over := float64(n) - quota.Factor*allowed - quota.Slack; over > worst {
			worst, at = over, a.at
		}
	}
	return worst, at
}

// highest is how many times its first limit a server names at most.
const highest = 4

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

var (
	fleets = []struct{ daemons, halls int }{{1, 1}, {2, 1}, {6, 2}, {7, 3}, {14, 3}, {85, 3}, {985, 5}, {1970, 5}}
	rates  = []float64{0.1, 0.5, 1, 1.6, 2.2, 7, 100}
)

// An allowance that each daemon keeps for itself adds up to as many times too much as there are
// daemons.
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
						t.Errorf("%d daemons, %v a second: a share that never sends: %+v", f.daemons, rate, s)
					}
				}
			}
			if sum > rate || sum < 0.85*rate || depth > quota.Burst(rate)+1e-9 {
				t.Errorf("%d daemons, %v a second: %v a second, %v at once", f.daemons, rate, sum, depth)
			}
		}
	}
}

// Servers with a limit get no more than it allows from all daemons together: with a few and with
// twice the fleet, with daemons that start every second, late arrivals, lists that differ, and
// limits that fall to a tenth at once or flap.
func TestServerWithALimitIsNotOverrun(t *testing.T) {
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
					return highest * rate
				}
				return rate
			}
		},
	}
	kinds := map[string]load{
		"steady":              {},
		"start every second":  {restart: time.Second},
		"late":                {late: time.Second},
		"heard late":          {hears: 450 * time.Millisecond},
		"lists differ by one": {views: 1},
		"all of it":           {restart: 3 * time.Second, late: 500 * time.Millisecond, hears: 450 * time.Millisecond, views: 1},
	}
	for name, limit := range limits {
		for kind, l := range kinds {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				for _, f := range fleets {
					for _, rate := range rates {
						l.daemons, l.halls, l.lasts, l.rate = f.daemons, f.halls, 20*time.Second, limit(rate)
						l.demand = max(2, 4*rate/float64(f.daemons))
						if worst, at := l.excess(l.play(1)); worst > 0 {
							t.Errorf("%d daemons, %v a second: %.1f requests too many at %v", f.daemons, rate, worst, at)
						}
					}
				}
			})
		}
	}
}

// A limited server that is left idle is no help: callers who find enough of them use at least
// 0.8 of its limit at 7 daemons and 0.6 at the size of the fleet and twice that.
func TestServerWithALimitIsUsed(t *testing.T) {
	for _, c := range []struct {
		daemons, halls int
		demand, least  float64
	}{{1, 1, 10, 0.8}, {7, 3, 10, 0.8}, {14, 3, 5, 0.8}, {985, 5, 1, 0.6}, {1970, 5, 1, 0.6}} {
		for _, rate := range []float64{0.5, 1.6, 2.2, 7} {
			l := load{daemons: c.daemons, halls: c.halls, rate: constant(rate), demand: c.demand, lasts: 200 * time.Second}
			used := float64(len(l.play(2))) / l.lasts.Seconds() / rate
			t.Logf("%d daemons, %v a second: %.2f of it is used", c.daemons, rate, used)
			if used < c.least {
				t.Errorf("%d daemons, %v a second: %.2f of it is used, want %v", c.daemons, rate, used, c.least)
			}
		}
	}
}

func TestBucketGrantsNothingAnew(t *testing.T) {
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
		t.Errorf("the same share anew gives %v", again.Level(later)-b.Level(later))
	}
	if wait := b.Wait(later); !b.Ready(later.Add(wait+time.Millisecond)) || b.Ready(later.Add(wait-time.Millisecond)) {
		t.Errorf("it is not ready after %v", wait)
	}
	none := b.With(quota.Share{All: 4}, later)
	if none.Ready(later.Add(time.Hour)) || none.Wait(later) != 250*time.Millisecond {
		t.Errorf("without a share: ready %v, wait %v", none.Ready(later.Add(time.Hour)), none.Wait(later))
	}
}
