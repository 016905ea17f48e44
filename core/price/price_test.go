package price_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ladderridge.example/core/price"
)

var start = time.Unix(1_700_000_000, 0)

// loop is a closed loop: requests whose larger runs are started or not by the price, and servers
// that work through a queue. The connected daemons exchange sums that are a second old, until cutAt.
type loop struct {
	daemons, connected int
	cutAt              time.Duration
	unpriced           bool
	levels             []float64
	// started and considered count larger runs during the jump, by rank.
	started, considered [3]float64
}

// play plays ten seconds of a load, ten of five times of it and ten of the first one again. The
// load fits with all larger runs, five times of it only without.
func (l *loop) play() {
	rng, queued, markets, sums := rand.New(rand.NewPCG(1, 2)), 0.0, make([]price.Market, l.daemons), []price.Wait{}
	for at := time.Duration(0); at < 30*time.Second; at += 20 * time.Millisecond {
		now, mean, jump := start.Add(at), 2.0, at >= 10*time.Second && at < 20*time.Second
		if jump {
			mean = 10
		}
		for range int(mean*2*rng.Float64() + 0.5) {
			d, rank := rng.IntN(l.daemons), rng.IntN(3)
			cost := price.Run{Tokens: 2000, Output: 200, Rank: rank}.Cost()
			markets[d] = markets[d].WithWait((0.05+queued)*math.Exp(0.7*rng.NormFloat64()), now).WithRun(cost)
			queued += 0.0004
			starts := l.unpriced || rng.Float64() < 0.6-markets[d].Price(cost, now)
			if starts {
				queued += 0.004
			}
			if jump {
				l.considered[rank]++
			}
			if jump && starts {
				l.started[rank]++
			}
		}
		queued = max(0, queued-0.02)
		level, sum := 0.0, price.Wait{}
		for i, m := range markets {
			level += m.Level(now) / float64(l.daemons)
			if m, w := m.WithReport(now); at%(500*time.Millisecond) == 0 && i < l.connected {
				sum.Count, sum.Share, markets[i] = sum.Count+w.Count, sum.Share+w.Share, m
			}
		}
		l.levels, sums = append(l.levels, level), append(sums, sum)
		for i := range markets[:l.connected] {
			if at%(500*time.Millisecond) == 0 && at >= time.Second && at < l.cutAt {
				markets[i] = markets[i].WithTotal(sums[len(sums)-51], now)
			}
		}
	}
}

// between returns the lowest and highest level between two seconds.
func (l *loop) between(from, to int) (low, high float64) {
	low = math.Inf(1)
	for _, level := range l.levels[from*50 : to*50] {
		low, high = min(low, level), max(high, level)
	}
	return low, high
}

// Guards against a queue that grows without bound, an overshoot of the level and lasting
// oscillation when the load jumps, and against runs of urgent requests given up before others,
// also without the exchange of figures.
func TestLevelSettlesAfterJumpOfLoad(t *testing.T) {
	free := &loop{daemons: 20, unpriced: true}
	free.play()
	if _, high := free.between(18, 20); high < 2 {
		t.Fatalf("level without a price is %.2f: the load does not overload the servers", high)
	}
	for name, l := range map[string]*loop{
		"total 1 s old":     {daemons: 20, connected: 20, cutAt: time.Hour},
		"half cut off":      {daemons: 20, connected: 10, cutAt: time.Hour},
		"reader ends":       {daemons: 20, connected: 20, cutAt: 11 * time.Second},
		"no figures":        {daemons: 20},
		"few own answers":   {daemons: 150, connected: 150, cutAt: time.Hour},
		"few, half cut off": {daemons: 150, connected: 75, cutAt: time.Hour},
		"few, no figures":   {daemons: 150},
	} {
		l.play()
		_, peak := l.between(10, 15)
		low, high := l.between(16, 20)
		_, after := l.between(24, 30)
		t.Logf("%s: peak %.2f, settled %.2f to %.2f, after %.2f; runs started %.0f of %.0f by rank", name, peak, low, high, after, l.started, l.considered)
		if peak > 1 || peak > 2.5*high || high-low > 0.25 || after > 0.2 {
			t.Errorf("%s: peak %.2f, settled %.2f to %.2f, after %.2f", name, peak, low, high, after)
		}
		if s, c := l.started, l.considered; s[0]/c[0] < 1.5*s[2]/c[2] || s[0]/c[0] < 0.2 || s[2] == 0 {
			t.Errorf("%s: runs started %.0f of %.0f by rank", name, s, c)
		}
	}
}

// Guards against a level that does not fall when answers stop, that follows an old total, or
// that counts own answers twice.
func TestLevelDecaysAndFollowsFreshTotal(t *testing.T) {
	m, now := price.Market{}, start
	for range 100 {
		now = now.Add(140 * time.Millisecond)
		m = m.WithWait(0.8, now)
	}
	later, elsewhere := now.Add(price.TotalLifetime), price.Wait{Count: 1000, Share: 100}
	reported, own := m.WithReport(now)
	for what, levels := range map[string][2]float64{
		"own answers":                  {m.Level(now), 0.8},
		"own answers after 1.5 s":      {m.Level(later), 0.4},
		"total of own answers":         {reported.WithTotal(own, now).Level(now), 0.8},
		"total of thrice as many":      {reported.WithTotal(price.Wait{Count: 3 * own.Count, Share: own.Share + 0.2*own.Count}, now).Level(now), 0.663},
		"old total":                    {m.WithTotal(elsewhere, now).Level(later), 0.4},
		"fresh total, old own answers": {m.WithTotal(elsewhere, later).Level(later), 0.13},
		"first answer after a pause":   {price.Market{}.WithWait(100, now).Level(now), 1},
	} {
		if math.Abs(levels[0]-levels[1]) > 0.02 {
			t.Errorf("%s: level is %.3f, expected %.3f", what, levels[0], levels[1])
		}
	}
}

// Guards against bad input that makes a price negative, infinite or not a number.
func TestBadInputIsIgnored(t *testing.T) {
	m := price.Market{}.WithWait(0.5, start).WithRun(10)
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		bad := m.WithWait(x, start).WithRun(x).WithTotal(price.Wait{Count: x, Share: x}, start).WithTotal(price.Wait{Count: 1, Share: -x}, start.Add(-time.Hour))
		cost := price.Run{Tokens: x, Output: x, Rank: -3}.Cost()
		if p := bad.Price(x, start); !(p >= 0 && p < 1 && cost >= 1 && cost < 1e4) {
			t.Errorf("input %v: price is %v, cost is %v", x, p, cost)
		}
	}
}

func BenchmarkMarket(b *testing.B) {
	b.ReportAllocs()
	m, r := price.Market{}.WithTotal(price.Wait{Count: 50, Share: 10}, start), price.Run{Tokens: 2000, Output: 200, Rank: 1}
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i%1000) * time.Millisecond)
		m = m.WithWait(0.3, now).WithRun(r.Cost())
		m.Price(r.Cost(), now)
	}
}
