//go:build policy

package policy_test

import (
	"math/rand/v2"
	"testing"

	"gonum.org/v1/gonum/stat/distuv"

	"ladderridge.example/core/evidence"
)

// The simulated roll-out of a faulty version: each daemon receives guardRate requests a
// second, of which guardShare go to the new version.
const (
	guardDaemons     = 400
	guardRate        = 30.0
	guardShare       = 0.01
	baselineBadShare = 0.01
	// aggregationSeconds is the time that counts take up and down the aggregation tree, in seconds.
	aggregationSeconds = 5
	// tableSeconds is the time from the withdrawal of a version until all daemons apply it, in seconds.
	tableSeconds  = 2
	failureSecond = 60
	guardSeconds  = 1800
)

// badShare returns the share of bad answers of the version in a given second.
type badShare func(second int) float64

func sudden(second int) float64 {
	if second < failureSecond {
		return baselineBadShare
	}
	return 0.6
}

// decaying rises from the baseline to 30% bad answers within ten minutes.
func decaying(second int) float64 {
	if second < failureSecond {
		return baselineBadShare
	}
	return min(0.3, baselineBadShare+0.29*float64(second-failureSecond)/600)
}

func healthy(int) float64 { return baselineBadShare }

// simulateRollout runs a version until all daemons have stopped using it. It returns
// how many answers the version gave from failureSecond on, how many of them were bad,
// and for how many seconds it gave them; alarms counts how often a guard stopped it.
func simulateRollout(rng *rand.Rand, share badShare, pooling bool, seconds int) (answers, bad, exposedSeconds float64, alarms int) {
	local := make([]evidence.Test, guardDaemons)
	stopped := make([]bool, guardDaemons)
	for i := range local {
		local[i] = evidence.Default
	}
	pooled := evidence.Pooled
	type counts struct{ answers, bad uint64 }
	history := make([]counts, seconds)
	stopAllAt := -1
	poisson := distuv.Poisson{Lambda: guardRate * guardShare, Src: rng}
	for second := range seconds {
		if stopAllAt >= 0 && second >= stopAllAt {
			break
		}
		running := 0
		for d := range local {
			if stopped[d] {
				continue
			}
			running++
			n := uint64(poisson.Rand())
			if n == 0 {
				continue
			}
			b := uint64(distuv.Binomial{N: float64(n), P: share(second), Src: rng}.Rand())
			history[second].answers += n
			history[second].bad += b
			if local[d] = local[d].WithCounts(n, b); local[d].Alarmed() {
				stopped[d] = true
				alarms++
			}
		}
		if second >= failureSecond {
			answers += float64(history[second].answers)
			bad += float64(history[second].bad)
			exposedSeconds++
		}
		if pooling && second >= aggregationSeconds && stopAllAt < 0 {
			delayed := history[second-aggregationSeconds]
			if pooled = pooled.WithCounts(delayed.answers, delayed.bad); pooled.Alarmed() {
				// Each daemon acts on the pooled counts at once, before the table withdraws the version.
				stopAllAt = second + 1
				alarms++
			}
		}
		if running == 0 {
			break
		}
	}
	return answers, bad, exposedSeconds, alarms
}

func TestPolicyGuard(t *testing.T) {
	res := newResults("guard")
	for seed := range seeds {
		for _, broken := range []struct {
			name string
			f    badShare
		}{{"sudden", sudden}, {"decaying", decaying}} {
			for _, pooling := range []bool{true, false} {
				rng := rand.New(rand.NewPCG(uint64(seed), 2))
				name := broken.name + ", local only"
				if pooling {
					name = broken.name + ", pooled"
				}
				answers, bad, exposedSeconds, _ := simulateRollout(rng, broken.f, pooling, guardSeconds)
				res.add(name, "exposure", seed, answers)
				res.add(name, "bad answers", seed, bad)
				res.add(name, "seconds", seed, exposedSeconds)
			}
		}
		rng := rand.New(rand.NewPCG(uint64(seed), 3))
		_, _, _, alarms := simulateRollout(rng, healthy, true, 6*3600)
		res.add("healthy for 6 h, pooled", "false alarms", seed, float64(alarms))
	}
	res.report(t, map[string]string{"exposure": "requests", "bad answers": "requests", "seconds": "s", "false alarms": "alarms"})
}
