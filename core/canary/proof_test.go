package canary_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"ladderridge.example/core/canary"
)

// shortAnswers draws relative times of a service with short answers and no prompts, of which one in a
// hundred takes five times as long. A share of them takes factor times as long.
func shortAnswers(rng *rand.Rand, n int, share, factor float64) canary.Counts {
	const spread, tail, tailFactor = 0.5, 0.01, 5
	c := canary.Count{Answers: uint64(n)}
	for range n {
		relative := math.Exp(rng.NormFloat64() * spread)
		if rng.Float64() < tail {
			relative *= tailFactor
		}
		if rng.Float64() < share {
			relative *= factor
		}
		c.First = c.First.With(relative)
	}
	return canary.Counts{"r": c}
}

// completed returns the share of drawn versions that would be completed after a number of answers from
// a number of servers.
func completed(answers, servers int, share, factor float64) float64 {
	const draws, oldAnswers = 300, 300
	rng, done := rand.New(rand.NewPCG(uint64(answers), uint64(servers))), 0
	for range draws {
		e := canary.Evidence{Old: shortAnswers(rng, oldAnswers, 0, 1), New: map[string]canary.Counts{}}
		for i := range servers {
			e.New[fmt.Sprint(i)] = shortAnswers(rng, (answers+i)/servers, share, factor)
		}
		if v := e.Judge(); v.Suspicion == "" && v.Unproven == "" && v.Rejection == "" {
			done++
		}
	}
	return float64(done) / draws
}

// Guards against slow versions of services with few requests that are completed because few answers
// speak against them. Of versions whose answers take twice as long in the mean, or more, one in twenty is
// allowed, whatever the number of answers.
func TestSlowVersionWithFewAnswersIsNotCompleted(t *testing.T) {
	for _, answers := range []int{0, 3, 8, 12, 20, 40} {
		for _, servers := range []int{1, 3} {
			good := completed(answers, servers, 0, 1)
			for _, bad := range []struct{ share, factor float64 }{{0.5, 3}, {0.5, 8}, {0.3, 8}, {1, 3}, {0.1, 8}} {
				got := completed(answers, servers, bad.share, bad.factor)
				t.Logf("%d answers of %d servers, %.1f of them %.0f times slower: %.3f completed, of good versions %.3f", answers, servers, bad.share, bad.factor, got, good)
				if bad.share*(bad.factor-1) >= 1 && got > 0.05 {
					t.Errorf("%d answers of %d servers, %.1f of them %.0f times slower: %.3f were completed", answers, servers, bad.share, bad.factor, got)
				}
			}
			if answers >= 40 && good < 0.8 {
				t.Errorf("%d answers of %d servers: %.3f of good versions were completed", answers, servers, good)
			}
		}
	}
}

// Guards against versions of servers that cache prompts which are completed on a handful of answers.
func TestVersionWithColdCachesNeedsAnswers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for answers, proven := range map[int]bool{0: false, 1: false, 12: false, 29: false, 30: true, 100: true} {
		e := canary.Evidence{Old: shortAnswers(rng, 300, 0, 1), New: map[string]canary.Counts{"a": shortAnswers(rng, answers, 0, 1)}, Caching: true}
		if v := e.Judge(); (v.Unproven == "") != proven {
			t.Errorf("%d answers: %q", answers, v.Unproven)
		}
	}
}

// Guards against versions that are slow on a part of their servers and completed because each of these
// is set aside as an outlier: with three servers, a third of the callers gets slow answers.
func TestVersionThatIsSlowOnAPartOfItsServersIsNotCompleted(t *testing.T) {
	const draws, servers = 300, 3
	for _, slow := range []int{1, 2} {
		for _, answers := range []int{12, 40, 120} {
			rng, done := rand.New(rand.NewPCG(uint64(answers), uint64(slow))), 0
			for range draws {
				e := canary.Evidence{Old: shortAnswers(rng, 300, 0, 1), New: map[string]canary.Counts{}}
				for i := range servers {
					factor := 1.0
					if i < slow {
						factor = 8
					}
					e.New[fmt.Sprint(i)] = shortAnswers(rng, answers/servers, 1, factor)
				}
				if v := e.Judge(); v.Suspicion == "" && v.Unproven == "" && v.Rejection == "" {
					done++
				}
			}
			if got := float64(done) / draws; got > 0.05 {
				t.Errorf("%d answers, %d of %d servers slow: %.3f were completed", answers, slow, servers, got)
			}
		}
	}
}
