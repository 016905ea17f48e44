package admission_test

import (
	"math"
	"testing"
	"time"

	"ladderridge.example/core/admission"
)

// Guards against refusals that rise with urgency or fall with cost, level or share, that exceed
// one half, and against bad input.
func TestProbabilityIsOrderedAndBounded(t *testing.T) {
	values := []float64{0, 0.1, 0.5, 1, 1.5, 3, 100, math.Inf(1)}
	for _, level := range values {
		for _, share := range values {
			s, last := admission.State{Level: level, Share: share}, 0.0
			for rank := range 5 {
				for _, cost := range values {
					r := admission.Request{Rank: rank, Cost: cost, InTime: 1, Possible: 1}
					p := admission.Probability(r, s)
					if p < last || p > 0.5 || level <= 0.8 && p > 0 {
						t.Fatalf("probability is %v, of the one before %v: %+v %+v", p, last, r, s)
					}
					last = p
					if q := admission.Probability(r, admission.State{Level: level + 0.2, Share: share + 0.2}); share > 0 && q < p {
						t.Fatalf("probability falls from %v to %v with level and share: %+v %+v", p, q, r, s)
					}
					r.Returned = true
					if q := admission.Probability(r, s); q != p/2 {
						t.Fatalf("probability of a returned request is %v, of a new one %v", q, p)
					}
				}
			}
		}
	}
	nan := math.NaN()
	bad := admission.Request{Rank: -1, Cost: nan, InTime: nan, Possible: nan}
	if d := admission.Decide(bad, admission.State{Level: nan, Share: nan, Change: nan}, nan); d != (admission.Send{}) {
		t.Errorf("decision on bad input is %+v", d)
	}
}

// Guards against a request that waits though it cannot end in time, and against callers that
// return too early, too late or together.
func TestRetryAfterFollowsTheFallOfTheLevel(t *testing.T) {
	for c, expected := range map[[3]float64]time.Duration{ // by level, change and draw
		{1.4, -0.5, 0}:   2 * time.Second,
		{1.4, -0.5, 0.5}: 3 * time.Second,
		{1.4, -0.01, 0}:  3 * time.Second,
		{1.4, 1, 0}:      3 * time.Second,
		{1.4, -100, 0}:   250 * time.Millisecond,
		{0.1, 0, 0}:      250 * time.Millisecond,
	} {
		d, _ := admission.Decide(admission.Request{Possible: 0.01}, admission.State{Level: c[0], Change: c[1]}, c[2]).(admission.Refuse)
		if d.Reason != admission.TooLate || d.RetryAfter.Round(time.Microsecond) != expected {
			t.Errorf("level, change and draw %v: decision is %+v", c, d)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	for i := 0; b.Loop(); i++ {
		r := admission.Request{Rank: i % 3, Cost: float64(i % 5), InTime: 0.5, Possible: 1}
		admission.Decide(r, admission.State{Level: 1.2, Share: 1.1}, 0.6)
	}
}

// Guards against a service that refuses all requests as too late and therefore never learns that
// its servers are fast again.
func TestFewRequestsAreSentAlthoughTooLate(t *testing.T) {
	sent := 0
	for i := range 1000 {
		if _, ok := admission.Decide(admission.Request{Possible: 0}, admission.State{Level: 2}, float64(i)/1000).(admission.Send); ok {
			sent++
		}
	}
	if sent < 10 || sent > 60 {
		t.Errorf("%d of 1000 requests that end too late are sent", sent)
	}
}
