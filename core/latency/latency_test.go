package latency_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"ladderridge.example/core/latency"
)

var now = time.Unix(1000, 0)

// learn returns an estimate from n answers with a latency of base plus each per unit of
// their size, which is up to 10, times a noise factor around 1.
func learn(n int, base, each time.Duration, noise float64) latency.Estimate {
	r := rand.New(rand.NewPCG(1, 1))
	var e latency.Estimate
	for range n {
		size := 10 * r.Float64() * r.Float64()
		took := float64(base) + size*float64(each)
		e = e.With(size, time.Duration(took*(1+noise*(r.Float64()-0.5))), now)
	}
	return e
}

// near reports whether a is within a quarter of b.
func near(a, b time.Duration) bool { return a > b*3/4 && a < b*5/4 }

func TestLargerRequestsAreExpectedToTakeLonger(t *testing.T) {
	e := learn(400, 100*time.Millisecond, 200*time.Millisecond, 0.4)
	for _, size := range []float64{1, 4, 9} {
		want := 100*time.Millisecond + time.Duration(size*float64(200*time.Millisecond))
		if got := e.Typical(size, now); !near(got, want) {
			t.Errorf("size %v: estimate %v, actual latency %v", size, got, want)
		}
	}
	if r := e.Relative(9, 1900*time.Millisecond); r < 0.75 || r > 1.25 {
		t.Errorf("a large request with its expected latency has a relative latency of %v", r)
	}
	if r := e.Relative(1, 1900*time.Millisecond); r < 4 {
		t.Errorf("a small request with the latency of a large one has a relative latency of only %v", r)
	}
}

func TestLargeRequestIsLessLikelyInTime(t *testing.T) {
	e := learn(400, 100*time.Millisecond, 200*time.Millisecond, 0.4)
	last := 1.1
	for _, size := range []float64{1, 4, 7, 9, 12, 30} {
		p := e.ProbabilityWithin(size, 1600*time.Millisecond, now)
		if p >= last && p < 0.999 {
			t.Errorf("size %v is in time with a probability of %v, a smaller one with %v", size, p, last)
		}
		last = p
	}
	if last > 0.01 {
		t.Errorf("a request that takes four times the time left is in time with a probability of %v", last)
	}
	if p := e.ProbabilityWithin(1, 0, now); p != 0 {
		t.Errorf("with no time left the probability is %v", p)
	}
	if p := e.ProbabilityWithin(1, 1600*time.Millisecond, now); p < 0.99 {
		t.Errorf("a small request is in time with a probability of only %v", p)
	}
}

func TestIrrelevantSizesDoNotChangeEstimate(t *testing.T) {
	e := learn(400, 100*time.Millisecond, 0, 0.4)
	if got := e.Typical(10, now); !near(got, 100*time.Millisecond) {
		t.Errorf("estimate %v", got)
	}
	same := latency.Estimate{}
	for range 20 {
		same = same.With(0, 50*time.Millisecond, now)
	}
	if got := same.Typical(0, now); !near(got, 50*time.Millisecond) {
		t.Errorf("with equal sizes: estimate %v", got)
	}
}

func TestEstimateNeedsTenAnswers(t *testing.T) {
	e := learn(9, 100*time.Millisecond, 0, 0)
	if e.Typical(1, now) != 0 || e.Relative(1, time.Second) != 0 || e.ProbabilityWithin(1, time.Millisecond, now) != 1 {
		t.Error("an estimate is known after nine answers")
	}
	if !e.With(1, 100*time.Millisecond, now).Known() {
		t.Error("an estimate is not known after ten answers")
	}
}

func TestEstimateFallsWithoutAnswers(t *testing.T) {
	e := learn(100, time.Second, 0, 0)
	if got := e.Typical(1, now.Add(3*time.Second)); !near(got, 250*time.Millisecond) {
		t.Errorf("after two half-lives: %v", got)
	}
}

func TestOutlierDoesNotDistortEstimate(t *testing.T) {
	e := learn(100, 100*time.Millisecond, 0, 0).With(1, time.Hour, now)
	if got := e.Typical(1, now); got > 150*time.Millisecond {
		t.Errorf("estimate %v", got)
	}
}
