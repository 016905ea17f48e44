//go:build policy

package policy_test

import (
	"math/rand/v2"
	"testing"

	"gonum.org/v1/gonum/stat/distuv"

	"ladderridge.example/core/evidence"
)

// The roll-out that goes bad: 400 daemons, each with 30 requests a second, of
// which a stage's share goes to the version.
const (
	guardDaemons = 400
	guardRate    = 30.0
	guardShare   = 0.01
	goodShare    = 0.01
	// pooledLag is the seconds that counts take up and down the tallies' tree.
	pooledLag = 5
	// tableLag is the seconds from a withdrawal to in force everywhere.
	tableLag  = 2
	breakAt   = 60
	guardLast = 1800
)

// badShare is the share of bad answers at a second, by how the version breaks.
type badShare func(second int) float64

func sudden(second int) float64 {
	if second < breakAt {
		return goodShare
	}
	return 0.6
}

// decaying goes from good to 30% bad within ten minutes.
func decaying(second int) float64 {
	if second < breakAt {
		return goodShare
	}
	return min(0.3, goodShare+0.29*float64(second-breakAt)/600)
}

func healthy(int) float64 { return goodShare }

// guarded runs a version until it is stopped everywhere. It returns how many
// answers the version gave after it broke, how many of them were bad, and for
// how many seconds; alarms counts how often a guard stopped it.
func guarded(rng *rand.Rand, share badShare, pooling bool, seconds int) (answers, bad, lasted float64, alarms int) {
	local := make([]evidence.Test, guardDaemons)
	stopped := make([]bool, guardDaemons)
	for i := range local {
		local[i] = evidence.Default
	}
	pooled := evidence.Pooled
	type counts struct{ answers, bad uint64 }
	history := make([]counts, seconds)
	stopAll := -1
	poisson := distuv.Poisson{Lambda: guardRate * guardShare, Src: rng}
	for second := range seconds {
		if stopAll >= 0 && second >= stopAll {
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
		if second >= breakAt {
			answers += float64(history[second].answers)
			bad += float64(history[second].bad)
			lasted++
		}
		if pooling && second >= pooledLag && stopAll < 0 {
			seen := history[second-pooledLag]
			if pooled = pooled.WithCounts(seen.answers, seen.bad); pooled.Alarmed() {
				// Each daemon guards by the pooled counts at once; the table
				// follows.
				stopAll = second + 1
				alarms++
			}
		}
		if running == 0 {
			break
		}
	}
	return answers, bad, lasted, alarms
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
				answers, bad, lasted, _ := guarded(rng, broken.f, pooling, guardLast)
				res.add(name, "exposure", seed, answers)
				res.add(name, "bad answers", seed, bad)
				res.add(name, "seconds", seed, lasted)
			}
		}
		rng := rand.New(rand.NewPCG(uint64(seed), 3))
		_, _, _, alarms := guarded(rng, healthy, true, 6*3600)
		res.add("healthy for 6 h, pooled", "false alarms", seed, float64(alarms))
	}
	res.report(t, map[string]string{"exposure": "requests", "bad answers": "requests", "seconds": "s", "false alarms": "alarms"})
}
