package estimate_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ladderridge.example/core/estimate"
)

// run is a run with its times.
type run struct {
	size         estimate.Size
	on           estimate.Conditions
	first, after time.Duration
	tokens       float64
}

// draw returns a run of random size on a server of pace 0.7 or 1.7 that is 2.5 times as slow
// in 15% of the time.
func draw(r *rand.Rand, perToken float64) run {
	tail := func(median, sigma float64) float64 { return median * math.Exp(sigma*r.NormFloat64()) }
	s := estimate.Size{Unique: tail(1500, 1.2), Uncached: tail(600, 1), Output: tail(200, 0.8)}
	c := estimate.Conditions{Load: math.Floor(24 * r.Float64()), Pace: []float64{0.7, 0.7, 1.7}[r.IntN(3)]}
	slow := c.Pace
	if r.Float64() < 0.15 {
		slow *= 2.5
	}
	tokens := max(2, math.Round(s.Output*tail(1, 0.5)))
	processed := s.Unique + 0.5*s.Uncached
	first := slow * tail(1, 0.2) * (0.1 + perToken/40*processed + perToken*1e-6*processed*processed) * (1 + c.Load/12)
	after := slow * tail(1, 0.1) * perToken * tokens * (1 + c.Load/24)
	return run{s, c, time.Duration(first * 1e9), time.Duration(after * 1e9), tokens}
}

func (x run) include(m estimate.Model) estimate.Model {
	return m.WithFirst(x.size, x.on, x.first).WithEnd(x.size, x.on, x.after, x.tokens)
}

func trained(r *rand.Rand, n int, perToken float64) (m estimate.Model) {
	for range n {
		m = draw(r, perToken).include(m)
	}
	return m
}

// Guards against spreads that are too narrow or too wide, and against coefficients that are not
// learned, after some tens of answers and after many.
func TestReplayIsCovered(t *testing.T) {
	for answers, least := range map[int]float64{40: 0.85, 1000: 0.88} {
		runs, deviation, covered := 0.0, 0.0, [2]float64{}
		r := rand.New(rand.NewPCG(1, uint64(answers)))
		for i := range 120000 / answers {
			perToken := []float64{0.003, 0.008, 0.03}[i%3]
			m := trained(r, answers, perToken)
			for range 40 {
				x := draw(r, perToken)
				first, end := m.First(x.size, x.on), m.End(x.size, x.on)
				for k, in := range []bool{x.first <= first.Quantile(0.9), x.first+x.after <= end.Quantile(0.9)} {
					if in {
						covered[k]++
					}
				}
				runs++
				deviation += math.Abs(math.Log(first.Median.Seconds() / x.first.Seconds()))
				m = x.include(m)
			}
		}
		first, end, mean := covered[0]/runs, covered[1]/runs, deviation/runs
		t.Logf("%d answers: %.3f of first parts and %.3f of ends covered, mean error %.3f", answers, first, end, mean)
		if min(first, end) < least || max(first, end) > 0.95 || mean > 0.4 {
			t.Errorf("the spread or the estimate after %d answers is off", answers)
		}
	}
}

// Guards against one absurd value that makes estimates useless for all later requests.
func TestAbsurdValueHasBoundedEffect(t *testing.T) {
	usual, on := estimate.Size{Unique: 1500, Uncached: 600, Output: 200}, estimate.Conditions{Load: 12, Pace: 1}
	nan, inf, huge := math.NaN(), math.Inf(1), time.Duration(math.MaxInt64)
	for _, answers := range []int{12, 300} {
		m := trained(rand.New(rand.NewPCG(2, 2)), answers, 0.008)
		first, end := m.First(usual, on).Quantile(0.9), m.End(usual, on).Quantile(0.9)
		for i, x := range []run{
			{usual, on, time.Hour, time.Hour, 2},
			{usual, on, 1, 1, 1e6},
			{estimate.Size{Unique: inf, Uncached: 1e300, Output: inf}, estimate.Conditions{Load: inf, Pace: inf}, time.Hour, time.Hour, 1e6},
			{estimate.Size{}, estimate.Conditions{Load: -1, Pace: 1e-300}, time.Hour, time.Hour, 2},
			{estimate.Size{Unique: nan, Uncached: nan, Output: nan}, estimate.Conditions{Load: nan, Pace: nan}, 1, 1, 2},
		} {
			f := float64(x.include(m).First(usual, on).Quantile(0.9)) / float64(first)
			e := float64(x.include(m).End(usual, on).Quantile(0.9)) / float64(end)
			if !(min(f, e) > 0.6 && max(f, e) < 1.6) {
				t.Errorf("absurd run %d changes estimates by factors of %.2f and %.2f", i, f, e)
			}
		}
		for i, x := range []run{{usual, on, huge, huge, 200}, {usual, on, -1, -1, 200}, {usual, on, 0, time.Second, 0}} {
			if x.include(m) != m {
				t.Errorf("impossible run %d is included", i)
			}
		}
	}
}

// Guards against refusals without data, and against a time that is known without the time per
// token.
func TestUnknownIsInTime(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	few, firstOnly, x := trained(r, 9, 0.008), estimate.Model{}, draw(r, 0.008)
	for range 100 {
		firstOnly = firstOnly.WithFirst(x.size, x.on, x.first)
	}
	for i, unknown := range []estimate.Time{
		few.First(x.size, x.on), few.End(x.size, x.on), firstOnly.End(x.size, x.on),
		trained(r, 100, 0.008).End(estimate.Size{Unique: 1}, x.on), trained(r, 100, 0.008).First(estimate.Size{Unique: math.NaN()}, x.on),
	} {
		if unknown != (estimate.Time{}) || unknown.Within(1) != 1 || unknown.Quantile(0.9) != 0 {
			t.Errorf("time %d is %v, want unknown and in time", i, unknown)
		}
	}
}

// Guards against an absurd first answer that sets the scale, against a spread that is not learned,
// and against probabilities that do not match the quantiles.
func TestRegularRunsAfterAbsurdOne(t *testing.T) {
	x := draw(rand.New(rand.NewPCG(5, 5)), 0.008)
	m := estimate.Model{}.WithFirst(x.size, x.on, time.Hour)
	for range 100 {
		m = x.include(m)
		if got := m.First(x.size, x.on).Median.Seconds() / x.first.Seconds(); got > 1.6 {
			t.Fatalf("the estimate is %.2f of all answers but the first", got)
		}
	}
	first := m.First(x.size, x.on)
	if p := first.Within(first.Quantile(0.9)); first.Spread > 0.25 || math.Abs(p-0.9) > 1e-6 {
		t.Errorf("the spread of equal times is %.2f, and the 0.9 quantile has probability %.3f", first.Spread, p)
	}
}

// Guards against estimates that ignore the pace, and against an estimate for an idle server that
// is far below all times seen.
func TestPaceAndLoadScaleTimes(t *testing.T) {
	x, m := draw(rand.New(rand.NewPCG(4, 4)), 0.008), estimate.Model{}
	x.on = estimate.Conditions{Load: 20, Pace: 1}
	for range 20 {
		m = x.include(m)
	}
	for on, want := range map[estimate.Conditions]float64{{Load: 20, Pace: 2}: 2, {Load: 20}: 1, {Pace: 1}: 1} {
		first := m.First(x.size, on).Median.Seconds() / m.First(x.size, x.on).Median.Seconds()
		end := m.End(x.size, on).Median.Seconds() / m.End(x.size, x.on).Median.Seconds()
		if math.Abs(first-want) > 1e-6 || math.Abs(end-want) > 1e-6 {
			t.Errorf("runs on %+v take %.2f and %.2f times as long, want %v", on, first, end, want)
		}
	}
}

// Guards against allocations on the path of a request.
func BenchmarkEnd(b *testing.B) {
	m, x := trained(rand.New(rand.NewPCG(6, 6)), 100, 0.008), draw(rand.New(rand.NewPCG(7, 7)), 0.008)
	call := func() { m.End(x.size, x.on).Quantile(0.9) }
	for b.Loop() {
		call()
	}
	if n := testing.AllocsPerRun(100, call); n != 0 {
		b.Errorf("%v allocations", n)
	}
}
